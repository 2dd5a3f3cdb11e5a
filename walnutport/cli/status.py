"""Show the state of a host and the fleet as the host sees it.

walnutport status [--host=IP:PORT] [--json]

Prints readiness, calls in flight, catalogue offset, age of the last read of
the log, hosts, targets with state, health and attempts in flight of this
host, the busiest queues, and the latest digests in quarantine.

Exit codes:
  0  the host is ready
  1  the host is not ready
  2  wrong use of the command
  5  the host does not answer
"""

import sys

from absl import flags
import msgspec

from walnutport.cli import exit_codes
from walnutport.cli import fetch

__all__ = ['run']

_HOST = flags.DEFINE_string(
    'host',
    '127.0.0.1:8082',
    "address ip:port of the operators' listener",
    allow_override=True,
)
_JSON = flags.DEFINE_bool('json', False, 'print JSON', allow_override=True)


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
    """Return a status as indented text with one value per line."""
    lines: list[str] = []
    _append_lines(lines, status, 0)
    return '\n'.join(lines) + '\n'


def _append_lines(lines: list[str], values: dict, depth: int) -> None:
    for name, value in values.items():
        indent = '  ' * depth
        if isinstance(value, dict) and _is_flat(value):
            # A flat value, such as a target or a queue, takes one line.
            fields = ' '.join(f'{key}={item}' for key, item in value.items())
            lines.append(f'{indent}{name}: {fields}')
        elif isinstance(value, dict):
            lines.append(f'{indent}{name}:')
            _append_lines(lines, value, depth + 1)
        else:
            lines.append(f'{indent}{name}: {value}')


def _is_flat(values: dict) -> bool:
    return all(
        isinstance(value, str | int | float | None)
        for value in values.values()
    )
