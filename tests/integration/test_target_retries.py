"""Further attempts do not go to targets that want no requests."""

import pytest

from standins import platform_fleet

LEAVING = {'Server-Leaving': '1'}
# Long enough for the test.
WAIT = {'Retry-After': '20'}
# A limit this low leaves no turn for a second request.
LIMIT = {'Server-Limit': '0'}


def state(
    fleet: platform_fleet.PlatformFleet,
    route: str,
    target_id: str,
    statement: dict[str, str],
) -> None:
    """Let the only host learn what a target states."""
    fleet.control_platform(
        headers={target_id: statement},
        modes={target_id: 'full'} if statement is WAIT else {},
    )
    number = 0
    while not fleet.arrivals(target_id):
        number += 1
        fleet.call(route, f'told-{number}')
    fleet.control_platform(modes={target_id: 'ok'})


@pytest.mark.parametrize(
    'statement',
    [
        pytest.param(LEAVING, id='leaving'),
        pytest.param(WAIT, id='wait'),
        pytest.param(LIMIT, id='limit'),
    ],
)
@pytest.mark.parametrize(
    ('route', 'service', 'mode'),
    [
        pytest.param('check', 'plain', 'reset_after', id='retry'),
        pytest.param('write', 'llm', 'reset_midway', id='resumed stream'),
    ],
)
def test_second_attempt_spares_a_target(
    tmp_path, route, service, mode, statement
):
    """Guards against a choice for retries that asks nobody.

    The first target fails, and the other one has stated that it wants no
    request.
    """
    failing, sparing = f'{service}-1', f'{service}-2'
    with platform_fleet.PlatformFleet(tmp_path) as fleet:
        state(fleet, route, sparing, statement)
        before = len(fleet.arrivals(sparing))
        fleet.control_platform(modes={failing: mode})
        answer = fleet.call(route, 'id')
        assert [run['target_id'] for run in fleet.runs_of_request('id')] == [
            failing
        ]
        assert len(fleet.arrivals(sparing)) == before
        assert not answer.complete or answer.status in (502, 503)
