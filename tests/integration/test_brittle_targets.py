"""Targets that fall over when they have to turn many requests away."""

import collections
import concurrent.futures
import time

import pytest

from standins import platform_fleet

HOSTS = 3
REJECTIONS_PER_S = 3
# Two targets of four slots and 0.4 s a request serve 20 requests a second.
WORK_MS = 400.0
REQUESTS_PER_S = 40
CAPACITY_PER_S = 20
LOAD_S = 6.0
# Bound of the platform: 2 and a tenth of the number of targets.
MAX_CRASHES = 2
# From then on, the targets let fewer wait.
STATED_S = 3.0


@pytest.fixture
def fleet(tmp_path):
    """Start hosts whose plain targets have said that they are brittle."""
    with platform_fleet.PlatformFleet(
        tmp_path, HOSTS, work_ms=WORK_MS
    ) as running:
        for host in range(HOSTS):
            running.wait_for_event('peer_joined', host)
        running.control_platform(
            headers={
                f'plain-{number}': {'Server-Brittle': str(REJECTIONS_PER_S)}
                for number in (1, 2)
            }
        )
        stated_until = time.monotonic() + STATED_S
        number = 0
        while time.monotonic() < stated_until:
            number += 1
            running.call('check', f'before-{number}', number % HOSTS)
        running.control_platform(brittle={'plain': REJECTIONS_PER_S})
        yield running


def test_overload_does_not_make_brittle_targets_fall_over(fleet):
    """Guards against hosts that find the room of a target by rejections."""

    def send(number: int) -> int:
        return fleet.call('check', f'id-{number}', number % HOSTS).status

    with concurrent.futures.ThreadPoolExecutor(80) as pool:
        futures = []
        for number in range(int(LOAD_S * REQUESTS_PER_S)):
            futures.append(pool.submit(send, number))
            time.sleep(1 / REQUESTS_PER_S)
        statuses = collections.Counter(future.result() for future in futures)
    crashes = fleet.crashes()
    assert len(crashes) <= MAX_CRASHES, (len(crashes), statuses)
    assert statuses[200] > 0.6 * CAPACITY_PER_S * LOAD_S, statuses
    assert set(statuses) <= {200, 503}


def test_peer_and_started_host_know_brittle_targets(fleet):
    """Guards against a host that sends as if a target could queue."""
    fleet.add_host()
    for target in ('plain-1', 'plain-2'):
        line = fleet.wait_for_event('target_brittle', HOSTS, target=target)
        assert line['rejections_per_s'] == REJECTIONS_PER_S
        assert line['source'].startswith('peer')
