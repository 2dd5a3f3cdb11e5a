"""Measure the CPU time of a host per relayed token event.

One host process relays the streams of a minimal engine process to a reader
process. The reader counts events over a window and reads the CPU time of the
host at its start and end. Run it with
``python -m bench.relay [--seconds S] [--streams N]``.
"""

import heapq
import json
import selectors
import socket
import sys
import time

from absl import flags
import psutil

from standins import fleet
from standins import fleet_plans

__all__ = ['main', 'measure']

_EVENT_INTERVAL_S = 0.029
_WARM_UP_S = 3.0
_READER_TIMEOUT_S = 55.0
_ENTRY = 'relay'
_HEAD_END = b'\r\n\r\n'
_STREAMS = flags.DEFINE_integer('streams', 437, 'concurrent streams')
_SECONDS = flags.DEFINE_float('seconds', 8.0, 'length of the window in s')


class RelayFleet(fleet.Fleet):
    """A fleet of one host that uses the minimal engine of this module."""

    def start_target(self, target_id: str) -> None:
        """Start the minimal engine."""
        port = self.listed_targets_by_id[target_id].port
        self.targets_by_id[target_id] = self._start(
            ['bench.relay', 'engine', str(port)], target_id
        )


def measure(streams: int, seconds: float) -> dict:
    """Run the processes and return the figures of the reader."""
    plan = fleet_plans.FleetPlan(
        hosts=1,
        pools=(fleet_plans.PoolPlan('engine', 1, slots=streams),),
        settings={'control': {'log_level': 'WARNING'}},
    )
    with RelayFleet(plan) as running:
        running.publish_catalogue(_relay_entry())
        time.sleep(0.5)
        reader = running._start(
            [
                'bench.relay',
                'reader',
                running.caller_addresses_by_host['host-1'],
                str(running.hosts_by_id['host-1'].pid),
                str(streams),
                str(seconds),
            ],
            'reader',
        )
        assert reader.process is not None
        reader.process.wait(_READER_TIMEOUT_S)
        return json.loads(running.read_output('reader').splitlines()[-1])


def main() -> int:
    """Run the named process, or measure and print the figures."""
    processes_by_name = {'engine': _run_engine, 'reader': _run_reader}
    if len(sys.argv) > 1 and sys.argv[1] in processes_by_name:
        processes_by_name[sys.argv[1]](*sys.argv[2:])
        return 0
    flags.FLAGS(sys.argv)
    result = measure(_STREAMS.value, _SECONDS.value)
    sys.stdout.write(json.dumps(result) + '\n')
    return 0


def _relay_entry() -> list[dict]:
    bodies: dict[str, dict] = {
        'pipeline': {
            'pipeline_id': _ENTRY,
            'stages': [
                {'name': 'generate', 'service': 'engine', 'streams': True}
            ],
        },
        'contract': {
            'entry_id': _ENTRY,
            'owner': 'north',
            'class_id': 'standard',
            'pipeline_id': _ENTRY,
            'limits': {'max_in_flight': 5_000},
        },
    }
    return [
        {
            'change_id': f'bench-{kind}',
            'kind': kind,
            'name': _ENTRY,
            'expected_version': 0,
            'operator': 'bench',
            'body': json.dumps(body),
        }
        for kind, body in bodies.items()
    ]


def _run_engine(port: str) -> None:
    """Send an event every 29 ms on each stream until its connection closes."""
    listener = socket.create_server(('127.0.0.1', int(port)), backlog=1024)
    listener.setblocking(False)
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    due: list[tuple[float, int, int, socket.socket]] = []
    stream_number = 0
    while True:
        timeout_s = max(0.0, due[0][0] - time.monotonic()) if due else 1.0
        for key, _ in selector.select(timeout_s):
            if key.fileobj is listener:
                accepted = listener.accept()[0]
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                selector.register(accepted, selectors.EVENT_READ)
                continue
            connection = key.fileobj
            assert isinstance(connection, socket.socket)
            selector.unregister(connection)
            if _start_stream(connection):
                stream_number += 1
                heapq.heappush(
                    due, (time.monotonic(), stream_number, 0, connection)
                )
        while due and due[0][0] <= time.monotonic():
            at, number, index, connection = heapq.heappop(due)
            if _send_event(connection, index):
                item = (at + _EVENT_INTERVAL_S, number, index + 1, connection)
                heapq.heappush(due, item)


def _start_stream(connection: socket.socket) -> bool:
    head = connection.recv(65_536).lower()
    if not head.startswith(b'post /v1/generate'):
        connection.sendall(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
        connection.close()
        return False
    name = b'walnutport-attempt-id: '
    attempt_id = head.split(name)[1].split(b'\r\n')[0]
    connection.sendall(
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n'
        b'content-type: text/event-stream\r\n%b%b\r\n\r\n' % (name, attempt_id)
    )
    return True


def _send_event(connection: socket.socket, index: int) -> bool:
    event = b'id: %d\ndata: {"token": %d, "nonce": "0123456789abcdef"}\n\n' % (
        index,
        index,
    )
    try:
        connection.send(b'%x\r\n%b\r\n' % (len(event), event))
    except OSError:
        connection.close()
        return False
    return True


def _run_reader(address: str, pid: str, streams: str, seconds: str) -> None:
    """Open the streams, count events over the window and print the figures."""
    selector = selectors.DefaultSelector()
    for number in range(int(streams)):
        selector.register(_open_stream(address, number), selectors.EVENT_READ)
    host = psutil.Process(int(pid))
    _count_events(selector, _WARM_UP_S)
    before = host.cpu_times()
    started = time.monotonic()
    events, reads = _count_events(selector, float(seconds))
    elapsed_s = time.monotonic() - started
    after = host.cpu_times()
    used_s = after.user - before.user + after.system - before.system
    result = {
        'relay_cpu_us_per_token_event': round(used_s / events * 1e6, 1),
        'user_us': round((after.user - before.user) / events * 1e6, 1),
        'events_per_s': round(events / elapsed_s),
        'events_per_read': round(events / reads, 2),
        'core_share': round(used_s / elapsed_s, 3),
    }
    sys.stdout.write(json.dumps(result) + '\n')


def _open_stream(address: str, number: int) -> socket.socket:
    ip, _, port = address.partition(':')
    connection = socket.create_connection((ip, int(port)))
    # Requests with the same content would run one at a time until one has
    # completed, so each stream has its own nonce.
    body = b'{"nonce": "%016x"}' % number
    connection.sendall(
        b'POST /v1/entries/%b HTTP/1.1\r\nhost: bench\r\n'
        b'accept: text/event-stream\r\nauthorization: Bearer %b\r\n'
        b'walnutport-deadline-ms: 50000\r\ncontent-length: %d\r\n\r\n%b'
        % (
            _ENTRY.encode(),
            fleet_plans.TOKENS_BY_MEMBER['north'].encode(),
            len(body),
            body,
        )
    )
    head = connection.recv(65_536)
    if not head.startswith(b'HTTP/1.1 200'):
        sys.exit(f'unexpected answer {head[:200]!r}')
    return connection


def _count_events(selector, seconds: float) -> tuple[int, int]:
    events = reads = 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for key, _ in selector.select(0.1):
            events += key.fileobj.recv(65_536).count(b'data: {"token"')
            reads += 1
    return events, reads


if __name__ == '__main__':
    sys.exit(main())
