"""Entry hosts and targets that say in their responses that they leave."""

import time

import pytest

from standins import platform_fleet

HOSTS = 2
STAGED_HEADERS = {'Walnutport_Pieces': '1,1', 'Walnutport_Piece_Key': 'k'}
# Until then, a host that has not heard the target has heard a peer.
TOLD_S = 1.0


@pytest.mark.parametrize(
    ('route', 'service', 'headers'),
    [
        pytest.param('check', 'plain', {}, id='plain'),
        pytest.param('write', 'llm', {}, id='stream'),
        pytest.param('review', 'llm', STAGED_HEADERS, id='staged'),
        pytest.param('review', 'rank', STAGED_HEADERS, id='stage_calls'),
    ],
)
def test_target_that_leaves_gets_nothing_from_any_host(
    tmp_path, route, service, headers
):
    """Guards against requests to a target that has said that it leaves.

    Its entry in the store still shows it as ready.
    """
    with platform_fleet.PlatformFleet(tmp_path, hosts=HOSTS) as fleet:
        for host in range(HOSTS):
            fleet.wait_for_event('peer_joined', host)
        answer = fleet.call(route, 'id-first', **headers)
        assert answer.status == 200
        (leaving,) = {
            run['target_id']
            for run in fleet.all_runs()
            if run['target_id'].startswith(service)
        }
        fleet.control_platform(headers={leaving: {'Server-Leaving': '1'}})
        deadline = time.monotonic() + platform_fleet.TIMEOUT_S
        told_at = 0.0
        before = len(fleet.arrivals(leaving))
        number = 0
        while not told_at and time.monotonic() < deadline:
            number += 1
            fleet.call(route, f'id-{number}', **headers)
            if len(fleet.arrivals(leaving)) > before:
                told_at = time.monotonic()
        assert told_at
        time.sleep(TOLD_S)
        before = len(fleet.arrivals(leaving))
        for more in range(10):
            answer = fleet.call(
                route, f'id-more-{more}', host=more % HOSTS, **headers
            )
            assert answer.status == 200
        assert len(fleet.arrivals(leaving)) == before


def test_request_is_refused_at_once_when_all_targets_leave(fleet_of_one):
    """Guards against a request that waits for a target that is leaving."""
    names = ('plain-1', 'plain-2')
    fleet_of_one.control_platform(
        headers={name: {'Server-Leaving': '1'} for name in names}
    )
    statuses = [
        fleet_of_one.call('check', f'id-{number}').status
        for number in range(4)
    ]
    assert statuses == [200, 200, 503, 503]
    line = fleet_of_one.wait_for_event('finished', id='id-3')
    assert line['outcome'] == 'no_target'
    assert line['took_s'] < 0.2


@pytest.fixture
def fleet_of_one(tmp_path):
    """Start a fleet with one host."""
    with platform_fleet.PlatformFleet(tmp_path) as running:
        yield running
