"""A planned stop: every request that has arrived at the host is answered."""

import contextlib
import http.client
import signal
import socket
import time

from standins import platform_fleet
from walnutport.gateway.entry import drain

LIMIT_S = 20.0
BODY = b'body'


def request_bytes(request_id: str, route: str = 'check') -> bytes:
    """Return a whole request."""
    lines = [f'POST /{route}/x HTTP/1.1', f'Content-Length: {len(BODY)}']
    lines += [
        f'{name}: {value}'
        for name, value in platform_fleet.caller_headers(request_id).items()
    ]
    return '\r\n'.join((*lines, '', '')).encode() + BODY


class Caller(contextlib.ExitStack):
    """Connection of one caller to the first host of a fleet."""

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        super().__init__()
        self.socket = self.enter_context(
            socket.create_connection(
                (platform_fleet.LOOPBACK_IP, fleet.caller_ports[0]), LIMIT_S
            )
        )

    def read_answer(self, request_id: str) -> None:
        """Check that the next answer is a whole one to a request."""
        response = http.client.HTTPResponse(self.socket, method='POST')
        response.begin()
        assert response.status == 200, request_id
        body = response.read(int(response.headers['content-length']))
        assert body.startswith(request_id.encode() + b' by'), body


def test_requests_that_have_arrived_are_answered(tmp_path):
    """Guards against requests that a stopping host cuts off.

    The host is suspended shortly before it would close its port and its idle
    channels, so that requests wait in the kernel when it goes on.
    """
    with platform_fleet.PlatformFleet(tmp_path) as fleet:
        host = fleet.hosts[0]
        with contextlib.ExitStack() as stack:
            callers = [stack.enter_context(Caller(fleet)) for _ in range(4)]
            idle, partly_read, pipelining, late = callers
            idle.socket.sendall(request_bytes('idle-1'))
            idle.read_answer('idle-1')
            partly_read.socket.sendall(request_bytes('part-1')[:40])
            late.socket.sendall(request_bytes('late-1'))
            late.read_answer('late-1')
            host.signal(signal.SIGTERM)
            fleet.wait_for_event('stopping')
            pipelining.socket.sendall(
                request_bytes('pipe-1') + request_bytes('pipe-2')
            )
            pipelining.read_answer('pipe-1')
            pipelining.read_answer('pipe-2')
            partly_read.socket.sendall(request_bytes('part-1')[40:])
            partly_read.read_answer('part-1')
            time.sleep(drain.BALANCER_REMOVAL_S - 0.4)
            host.signal(signal.SIGSTOP)
            time.sleep(0.8)
            # Both an idle channel and the queue of the port.
            idle.socket.sendall(request_bytes('idle-2'))
            late.socket.sendall(request_bytes('late-2'))
            accepted = [stack.enter_context(Caller(fleet)) for _ in range(3)]
            for number, caller in enumerate(accepted):
                caller.socket.sendall(request_bytes(f'new-{number}'))
            host.signal(signal.SIGCONT)
            idle.read_answer('idle-2')
            late.read_answer('late-2')
            for number, caller in enumerate(accepted):
                caller.read_answer(f'new-{number}')
        assert host.process is not None
        assert host.process.wait(LIMIT_S) == 0


def test_last_queued_connections_are_accepted_before_the_port_closes(tmp_path):
    """Guards against a port that is closed with connections in its queue.

    No channel is open when the host goes on, so that it ends at once.
    """
    with platform_fleet.PlatformFleet(tmp_path) as fleet:
        host = fleet.hosts[0]
        assert fleet.call('check', 'first').status == 200
        host.signal(signal.SIGTERM)
        fleet.wait_for_event('stopping')
        time.sleep(drain.BALANCER_REMOVAL_S - 0.4)
        host.signal(signal.SIGSTOP)
        time.sleep(0.8)
        with contextlib.ExitStack() as stack:
            callers = [stack.enter_context(Caller(fleet)) for _ in range(8)]
            for number, caller in enumerate(callers):
                caller.socket.sendall(request_bytes(f'new-{number}'))
            host.signal(signal.SIGCONT)
            for number, caller in enumerate(callers):
                caller.read_answer(f'new-{number}')
        assert host.process is not None
        assert host.process.wait(LIMIT_S) == 0


def test_process_ends_with_its_drain(tmp_path):
    """Guards against a host that is still there at the time of its kill.

    The finalization of the interpreter takes 0.2 s, and 1.2 s on a busy
    machine. An exit function stands for it here.
    """
    (tmp_path / 'sitecustomize.py').write_text(
        f'import atexit, time\natexit.register(time.sleep, {LIMIT_S})\n'
    )
    with platform_fleet.PlatformFleet(tmp_path) as fleet:
        host = fleet.hosts[0]
        host.kill()
        host.environment['PYTHONPATH'] = str(tmp_path)
        host.start()
        fleet.wait_ready(0)
        host.signal(signal.SIGTERM)
        fleet.wait_for_event('stopped')
        assert host.process is not None
        assert host.process.wait(LIMIT_S / 2) == 0
