"""Entry hosts and targets that turn requests away and ask for time."""

import time

import pytest

from standins import platform_fleet

STAGED_HEADERS = {'Walnutport_Pieces': '1,1', 'Walnutport_Piece_Key': 'k'}
WAIT_S = 2.0
# Bound of the users: from half a second after the response until the time has
# passed, a target gets at most two requests from the host.
TOLD_S = 0.5
MAX_REQUESTS = 2
# A target that is free again gets work within this time.
RESUME_S = 1.0
INTERVAL_S = 0.05


@pytest.mark.parametrize(
    ('route', 'service', 'headers'),
    [
        pytest.param('check', 'plain', {}, id='plain'),
        pytest.param('write', 'llm', {}, id='stream'),
        pytest.param('review', 'rank', STAGED_HEADERS, id='stage_calls'),
    ],
)
def test_target_that_asks_for_time_gets_it(tmp_path, route, service, headers):
    """Guards against requests to a target that has turned some away.

    Both targets of the service are full, so there is no other choice.
    """
    names = (f'{service}-1', f'{service}-2')
    with platform_fleet.PlatformFleet(tmp_path) as fleet:
        fleet.control_platform(
            modes=dict.fromkeys(names, 'full'),
            headers={name: {'Retry-After': str(WAIT_S)} for name in names},
        )
        statuses = call_for(fleet, WAIT_S - TOLD_S, 'full', route, headers)
        assert set(statuses) == {503}
        full_until = time.monotonic()
        for name in names:
            arrivals = fleet.arrivals(name)
            for start in arrivals:
                later = [
                    at
                    for at in arrivals
                    if start + TOLD_S < at < min(start + WAIT_S, full_until)
                ]
                assert len(later) <= MAX_REQUESTS
        fleet.control_platform(
            modes=dict.fromkeys(names, 'ok'),
            headers=dict.fromkeys(names, {}),
        )
        statuses = call_for(fleet, TOLD_S + RESUME_S, 'free', route, headers)
        assert statuses[-1] == 200


def test_request_is_refused_at_once_with_the_time_that_targets_ask_for(
    tmp_path,
):
    """Guards against callers that wait for targets that want no requests."""
    with platform_fleet.PlatformFleet(tmp_path) as fleet:
        fleet.control_platform(
            modes={'plain-1': 'full', 'plain-2': 'full'},
            headers={
                'plain-1': {'Retry-After': '1'},
                'plain-2': {'Retry-After': '0.8'},
            },
        )
        fleet.call('check', 'id-1')
        answer = fleet.call('check', 'id-2')
        assert answer.status == 503
        headers = {
            name.lower(): value for name, value in answer.headers.items()
        }
        # A fifth of spread around what is left of the shorter time.
        assert 0.4 < float(headers['retry-after']) < 1.0
        line = fleet.wait_for_event('finished', id='id-2')
        assert line['outcome'] == 'targets_held_back'
        assert line['took_s'] < 0.2
        fleet.wait_for_event('target_held_back', target='plain-2')
        fleet.wait_for_event('target_hold_ended', target='plain-2')


def test_target_that_asks_for_time_is_not_taken_for_a_faulty_one(tmp_path):
    """Guards against the ejection of a target that is only busy."""
    with platform_fleet.PlatformFleet(tmp_path) as fleet:
        fleet.control_platform(
            modes={'plain-1': 'full'},
            headers={'plain-1': {'Retry-After': '0.3'}},
        )
        statuses = call_for(fleet, 2.0, 'id', 'check', {})
        assert set(statuses) == {200}
        assert not [
            line
            for line in fleet.log_lines()
            if line['event'] == 'target_ejected'
        ]


def call_for(
    fleet: platform_fleet.PlatformFleet,
    seconds: float,
    prefix: str,
    route: str,
    headers: dict[str, str],
) -> list[int]:
    """Call a route again and again, and return the statuses."""
    statuses = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        answer = fleet.call(route, f'{prefix}-{len(statuses)}', **headers)
        statuses.append(answer.status)
        time.sleep(INTERVAL_S)
    return statuses
