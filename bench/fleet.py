"""Run a small fleet with stand-ins until Ctrl-C or SIGTERM."""

import shlex
import signal
import sys
import threading
import types

from standins import fleet
from standins import fleet_plans

__all__ = ['main']

_MEMBER = 'north'
_ENTRY = 'summaries'


def main() -> int:
    """Start the fleet, print its addresses and wait for a signal."""
    stopped = threading.Event()

    def request_stop(signum: int, frame: types.FrameType | None) -> None:
        stopped.set()

    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, request_stop)
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=2)) as running:
        sys.stdout.write(describe(running))
        sys.stdout.flush()
        stopped.wait()
        for host in running.hosts_by_id.values():
            # Ctrl-C also signals the hosts, so they may have exited already.
            if host.is_running():
                host.terminate()
    return 0


def describe(running: fleet.Fleet) -> str:
    """Return the addresses of the fleet and commands for a first request."""
    lines = [
        f'{host_id}: callers {address}, '
        f'operators {running.control_addresses_by_host[host_id]}'
        for host_id, address in running.caller_addresses_by_host.items()
    ]
    address = next(iter(running.caller_addresses_by_host.values()))
    control = next(iter(running.control_addresses_by_host.values()))
    request = [
        'curl',
        '-s',
        f'http://{address}/v1/entries/{_ENTRY}',
        '-H',
        f'Authorization: Bearer {fleet_plans.TOKENS_BY_MEMBER[_MEMBER]}',
        '-d',
        '{"text": "invoice 17"}',
    ]
    program = f'{sys.executable} -m walnutport'
    lines += [
        f'log: {running.log_address}',
        f'list: {running.list_address}',
        'request: ' + shlex.join(request),
        f'status: {program} status --host={control}',
        f'catalogue: {program} catalogue list --log={running.log_address}',
        'Ctrl-C ends the fleet.',
    ]
    return '\n'.join(lines) + '\n'


if __name__ == '__main__':
    sys.exit(main())
