"""Run the Hypothesis tests with random seeds for a given time.

Each round prints its seed, and a failing round the command that repeats it.
Add a test for the failure that a seed finds.
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
    """Run rounds for the given time and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--minutes', type=float, default=5.0)
    parser.add_argument('paths', nargs='*', default=['tests'])
    arguments = parser.parse_args()
    ends_at = time.monotonic() + arguments.minutes * 60
    rounds = 0
    while time.monotonic() < ends_at:
        seed = secrets.randbits(_SEED_BITS)
        sys.stdout.write(f'soak: round {rounds + 1}, seed {seed}\n')
        sys.stdout.flush()
        if not _run_round(seed, arguments.paths):
            command = ' '.join(_pytest_command(seed, arguments.paths))
            sys.stdout.write(
                f'soak: seed {seed} failed; run it again with\n'
                f'HYPOTHESIS_PROFILE=soak PYTHONHASHSEED=0 {command}\n'
            )
            return 1
        rounds += 1
    sys.stdout.write(f'soak: {rounds} rounds without a failure\n')
    return 0


def _pytest_command(seed: int, paths: list[str]) -> list[str]:
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
    # A fixed hash seed makes the iteration order of sets reproducible.
    environment = {
        **os.environ,
        'HYPOTHESIS_PROFILE': 'soak',
        'PYTHONHASHSEED': '0',
    }
    command = _pytest_command(seed, paths)
    return subprocess.run(command, env=environment).returncode == 0


if __name__ == '__main__':
    sys.exit(main())
