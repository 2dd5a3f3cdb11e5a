"""Further attempts do not go to targets that want no requests."""

import pytest

from standins import platform_fleet

LEAVING = {'Server-Leaving': '1'}
# Long enough for the test.
WAIT = {'Retry-After': '20'}
# Once the saved turns are used, a limit this low leaves none during the test.
LIMIT = {'Server-Limit': '0'}
SAVED_TURNS = 2


def state(
    fleet: platform_fleet.PlatformFleet,
    route: str,
    target_id: str,
    other_id: str,
    statement: dict[str, str],
) -> None:
    """Let the only host learn what a target states.

    :param other_id: the other target, which is full meanwhile, so that the
        request goes on to the first one.
    """
    fleet.control_platform(
        headers={target_id: statement},
        modes={
            other_id: 'full',
            target_id: 'full' if statement is WAIT else 'ok',
        },
    )
    for number in range(SAVED_TURNS + 1):
        fleet.call(route, f'told-{number}')
    assert fleet.arrivals(target_id)
    fleet.control_platform(modes={target_id: 'ok', other_id: 'ok'})


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
        state(fleet, route, sparing, failing, statement)
        before = len(fleet.arrivals(sparing))
        fleet.control_platform(modes={failing: mode})
        answer = fleet.call(route, 'id')
        assert [run['target_id'] for run in fleet.runs_of_request('id')] == [
            failing
        ]
        assert len(fleet.arrivals(sparing)) == before
        assert not answer.complete or answer.status in (502, 503)
