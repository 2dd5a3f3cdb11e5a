"""A burst on an entry host whose standard output nobody reads."""

import concurrent.futures
import fcntl
import os
import time

import pytest

from standins import platform_fleet
from standins import processes

# Five times the requests a second that an entry host of today's sites takes
# on a calm day, which is some 30.
REQUESTS_PER_S = 150
BURST_S = 3.0
CALLERS = 16
# A small pipe, so that it is full before the burst is over.
PIPE_BYTES = 4096


@pytest.fixture
def fleet(tmp_path):
    """Start a host that writes to a pipe without a reader."""
    path = tmp_path / 'host-0.log'
    os.mkfifo(path)
    pipe = os.open(path, os.O_RDWR | os.O_NONBLOCK)
    fcntl.fcntl(pipe, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    try:
        with platform_fleet.PlatformFleet(tmp_path) as running:
            yield running
    finally:
        os.close(pipe)


def read_gauge(fleet, name: str) -> float:
    """Return a metric of the host."""
    address = f'{platform_fleet.IP}:{fleet.ready_ports[0]}'
    text = processes.http_json(f'http://{address}/metrics').decode()
    (line,) = [
        line for line in text.splitlines() if line.startswith(name + ' ')
    ]
    return float(line.split()[1])


def test_burst_is_answered_while_the_output_stands_still(fleet):
    """Guards against a reader of logs that stops the requests.

    Replays five times the usual requests; each is answered, and what was not
    written is counted.
    """
    count = int(REQUESTS_PER_S * BURST_S)
    begin = time.monotonic()

    def one(number: int) -> platform_fleet.Answer:
        due = begin + number / REQUESTS_PER_S
        time.sleep(max(0.0, due - time.monotonic()))
        route = ('check', 'pay', 'write')[number % 3]
        return fleet.call(route, f'id-{number}')

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        answers = list(pool.map(one, range(count)))
    assert [answer.status for answer in answers] == [200] * count
    assert all(answer.complete for answer in answers)
    assert read_gauge(fleet, 'walnutport_log_lines_dropped_total') > 0
