"""Show a host's own view: targets, queues, catalogue offset, log lag.

Exit codes: 0 the host is ready, 1 it is not ready, 2 wrong usage,
5 the host does not answer.
"""

import sys

from absl import flags
import msgspec

from walnutport.cli import exit_codes
from walnutport.cli import fetch

__all__ = ['run']

_HOST = flags.DEFINE_string(
    'host', '127.0.0.1:8082', "address ip:port of the operators' listener"
)
_JSON = flags.DEFINE_bool('json', False, 'print JSON')


def run(argv: list[str]) -> int:
    """Run the subcommand and return its exit code."""
    if len(argv) > 1:
        sys.stderr.write(f'unexpected argument {argv[1]!r}\n')
        return exit_codes.USAGE
    try:
        status = fetch.fetch_json(_HOST.value, '/v1/status', dict)
    except fetch.FetchError as error:
        sys.stderr.write(f'{error}\n')
        return exit_codes.UNAVAILABLE
    if _JSON.value:
        sys.stdout.write(msgspec.json.encode(status).decode() + '\n')
    else:
        sys.stdout.write(format_status(status))
    return exit_codes.OK if status.get('ready') else exit_codes.FAILED


def format_status(status: dict) -> str:
    """Return a status as indented text, one value a line."""
    lines: list[str] = []
    _append(lines, status, 0)
    return '\n'.join(lines) + '\n'


def _append(lines: list[str], values: dict, depth: int) -> None:
    for name, value in values.items():
        indent = '  ' * depth
        if isinstance(value, dict):
            lines.append(f'{indent}{name}:')
            _append(lines, value, depth + 1)
        else:
            lines.append(f'{indent}{name}: {value}')
