"""Callers that read their streams slowly or not at all, at a real host."""

import contextlib
import pathlib
import socket
import threading
import time

import pytest

from standins import fault_proxy
from standins import platform_fleet
from standins import platform_target

# Memory of the smallest hosts of the reported installation.
MEMORY_MB = 160
EVENT_BYTES = 1_000_000


def peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process."""
    lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
    (line,) = [line for line in lines if line.startswith('VmHWM:')]
    return int(line.split()[1]) * 1024 / 1e6


def open_stream(
    fleet: platform_fleet.PlatformFleet, request_id: str, host: int = 0
) -> socket.socket:
    """Send a request for a stream and read nothing of the response."""
    caller = socket.create_connection(
        (platform_fleet.LOOPBACK_IP, fleet.caller_ports[host])
    )
    headers = platform_fleet.caller_headers(request_id)
    lines = [f'{name}: {value}' for name, value in headers.items()]
    head = '\r\n'.join(['POST /write/x HTTP/1.1', *lines])
    caller.sendall(head.encode() + b'\r\nContent-Length: 4\r\n\r\nbody')
    return caller


def read_slowly(caller: socket.socket, bytes_per_s: int) -> bytes:
    """Read a response to its last chunk or the end of the connection."""
    data = b''
    while not data.endswith(b'\r\n0\r\n\r\n'):
        piece = caller.recv(50_000)
        if not piece:
            break
        data += piece
        time.sleep(len(piece) / bytes_per_s)
    return data


@pytest.fixture
def fleet(tmp_path):
    """Return a fleet of one small host."""
    with platform_fleet.PlatformFleet(
        tmp_path, 1, host_settings=(f'limits.memoryMb={MEMORY_MB}',)
    ) as found:
        yield found


def set_mode(fleet: platform_fleet.PlatformFleet, mode: str) -> None:
    """Set the mode of all engines."""
    engines = [plan for plan in fleet.plans if plan.kind == 'engine']
    fleet.control_platform(modes={plan.target_id: mode for plan in engines})


@pytest.mark.parametrize('caller_count', [10, 40])
def test_events_without_end_for_callers_that_do_not_read(fleet, caller_count):
    """Guards against a host that keeps streams until its memory ends."""
    set_mode(fleet, 'endless_events')
    with contextlib.ExitStack() as stack:
        for number in range(caller_count):
            stack.enter_context(open_stream(fleet, f'unread-{number}'))
        until = time.monotonic() + 5.0
        number = 0
        while time.monotonic() < until:
            assert fleet.call('check', f'check-{number}').status == 200
            number += 1
            time.sleep(0.05)
    assert peak_memory_mb(fleet.hosts[0].pid) < MEMORY_MB


def test_relayed_events_without_end(tmp_path):
    """Guards against a peer that keeps what the host of a caller does not."""
    with platform_fleet.PlatformFleet(
        tmp_path,
        2,
        cut_hosts=1,
        host_settings=(f'limits.memoryMb={MEMORY_MB}',),
    ) as fleet:
        fleet.wait_for_event('peer_joined', 0)
        fleet.cut_targets(fault_proxy.Faults(reset=True))
        fleet.cut_targets(fault_proxy.Faults(refuse=True))
        assert fleet.call('check', 'first').status == 200
        fleet.wait_for_event('targets_unreachable', 0)
        set_mode(fleet, 'endless_events')
        with contextlib.ExitStack() as stack:
            for number in range(10):
                stack.enter_context(open_stream(fleet, f'unread-{number}'))
            until = time.monotonic() + 3.5
            number = 0
            while time.monotonic() < until:
                assert fleet.call('check', f'check-{number}').status == 200
                number += 1
                time.sleep(0.05)
        assert fleet.log_lines(0), 'the host of the callers has ended'
        for process in fleet.hosts:
            assert peak_memory_mb(process.pid) < MEMORY_MB


def test_bodies_without_end(fleet):
    """Guards against many bodies that are kept until their end.

    Each one is below its own limit.
    """
    plain = [plan for plan in fleet.plans if plan.kind != 'engine']
    fleet.control_platform(
        modes={plan.target_id: 'endless_events' for plan in plain[:1]}
    )
    threads = []
    for number in range(60):
        threads.append(
            threading.Thread(
                target=lambda number=number: fleet.call(
                    'check', f'body-{number}'
                )
            )
        )
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert peak_memory_mb(fleet.hosts[0].pid) < MEMORY_MB


def test_caller_that_reads_slowly_gets_its_stream(fleet):
    """Guards against flow control that loses what a slow caller reads."""
    set_mode(fleet, 'long_events')
    answers = []
    count = platform_target.LONG_EVENTS['long_events']
    with contextlib.ExitStack() as stack:
        threads = []
        for number in range(5):
            caller = stack.enter_context(open_stream(fleet, f'slow-{number}'))
            threads.append(
                threading.Thread(
                    target=lambda caller=caller: answers.append(
                        read_slowly(caller, 2 * EVENT_BYTES)
                    )
                )
            )
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    for answer in answers:
        assert answer.count(b'\nid: ') == count
        assert answer.endswith(b'\r\n0\r\n\r\n')
    assert len(answers) == 5
