"""Runs the hypothesis tests with new seeds until the time is over.

Each round prints its seed, and a failing round the command that runs it
again. A failing seed is to become a test.
"""

import argparse
import os
import secrets
import subprocess
import sys
import time

__all__ = ['main']

_SEED_BITS = 32


def main() -> int:
    """Run rounds until the minutes are over and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--minutes', type=float, default=5.0)
    parser.add_argument('paths', nargs='*', default=['tests'])
    arguments = parser.parse_args()
    end = time.monotonic() + arguments.minutes * 60
    rounds = 0
    while time.monotonic() < end:
        seed = secrets.randbits(_SEED_BITS)
        sys.stdout.write(f'soak: round {rounds + 1}, seed {seed}\n')
        sys.stdout.flush()
        if not _run_round(seed, arguments.paths):
            command = ' '.join(_command(seed, arguments.paths))
            sys.stdout.write(
                f'soak: seed {seed} failed; run it again with\n'
                f'HYPOTHESIS_PROFILE=soak PYTHONHASHSEED=0 {command}\n'
            )
            return 1
        rounds += 1
    sys.stdout.write(f'soak: {rounds} rounds without a failure\n')
    return 0


def _command(seed: int, paths: list[str]) -> list[str]:
    return [
        sys.executable,
        '-m',
        'pytest',
        '-n',
        '6',
        '--ignore=tests/integration',
        f'--hypothesis-seed={seed}',
        *paths,
    ]


def _run_round(seed: int, paths: list[str]) -> bool:
    # Sets are iterated in the order of their hashes.
    environment = {
        **os.environ,
        'HYPOTHESIS_PROFILE': 'soak',
        'PYTHONHASHSEED': '0',
    }
    command = _command(seed, paths)
    return subprocess.run(command, env=environment).returncode == 0


if __name__ == '__main__':
    sys.exit(main())
