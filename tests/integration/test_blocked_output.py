"""A burst of requests to an entry host whose output pipe is full."""

import concurrent.futures
import fcntl
import os
import time

import pytest

from standins import platform_fleet
from standins import processes

# Five times the usual load of an entry host at current sites, which is about
# 30 requests per second.
REQUESTS_PER_S = 150
BURST_S = 3.0
CALLERS = 16
# A small pipe fills up before the burst ends.
PIPE_BYTES = 4096


@pytest.fixture
def fleet(tmp_path):
    """Start a host that writes its output to a pipe without a reader."""
    path = tmp_path / 'host-0.log'
    os.mkfifo(path)
    pipe = os.open(path, os.O_RDWR | os.O_NONBLOCK)
    fcntl.fcntl(pipe, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    try:
        with platform_fleet.PlatformFleet(tmp_path) as running:
            yield running
    finally:
        os.close(pipe)


def read_metric(fleet, name: str) -> float:
    """Return the value of a metric of the host."""
    address = f'{platform_fleet.LOOPBACK_IP}:{fleet.ready_ports[0]}'
    text = processes.http_request(f'http://{address}/metrics').decode()
    (line,) = [
        line for line in text.splitlines() if line.startswith(name + ' ')
    ]
    return float(line.split()[1])


def test_burst_is_answered_while_the_output_is_blocked(fleet):
    """Guards against requests that block while the log output is blocked.

    At five times the usual load every request is answered, and the log lines
    that could not be written are counted as dropped.
    """
    count = int(REQUESTS_PER_S * BURST_S)
    started_at = time.monotonic()

    def send_one(number: int) -> platform_fleet.Answer:
        due_at = started_at + number / REQUESTS_PER_S
        time.sleep(max(0.0, due_at - time.monotonic()))
        route = ('check', 'pay', 'write')[number % 3]
        return fleet.call(route, f'id-{number}')

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        answers = list(pool.map(send_one, range(count)))
    assert [answer.status for answer in answers] == [200] * count
    assert all(answer.complete for answer in answers)
    assert read_metric(fleet, 'walnutport_log_lines_dropped_total') > 0
