"""The soak checks must report every violated guarantee."""

import dataclasses

import pytest

from bench import soak_checks
from bench import soak_schedule

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
OTHER = b'id: 1\ndata: c\n\nid: 2\ndata: d\n\n'
EVENT = len(STREAM) // 2
GOOD = soak_checks.Outcome(
    'id-1',
    'pay',
    0,
    10.0,
    10.2,
    1.0,
    200,
    b'id-1 by plain-1',
    complete=True,
    sealed=True,
)
REFUSED = dataclasses.replace(
    GOOD, status=503, body=b'', sealed=False, retry_after='0.2'
)
CUT = dataclasses.replace(
    GOOD, status=0, body=b'', complete=False, sealed=False
)


def run(target_id: str = 'plain-1', request_id: str = 'id-1') -> dict:
    """Return the record of a run at a target."""
    return {'request_id': request_id, 'target_id': target_id, 'stage': -1}


def violations(outcome, *runs, disturbances=()) -> list[str]:
    """Return the violations that the checks report for an outcome."""
    return soak_checks.violations(
        [outcome], runs, list(disturbances), (STREAM, OTHER)
    )


def disturbance(kind: str, host: int = 0) -> soak_checks.Disturbance:
    """Return a disturbance that overlaps the request."""
    return soak_checks.Disturbance(host, kind, 10.1, 11.0)


def test_good_outcomes_pass():
    """Guards against checks that reject correct outcomes."""
    assert not violations(GOOD, run())
    assert not violations(REFUSED)
    stage = {**run('rank-1'), 'stage': 1}
    assert not violations(REFUSED, stage), 'a stage may run more than once'
    stream = dataclasses.replace(GOOD, route='write', body=STREAM)
    assert not violations(stream, run('llm-1'))
    assert not violations(
        dataclasses.replace(stream, body=OTHER[EVENT:], begun=OTHER[:EVENT]),
        run('llm-1'),
    )
    broken = dataclasses.replace(stream, body=STREAM[:-3], complete=False)
    assert not violations(broken, run('llm-1'))


@pytest.mark.parametrize(
    'outcome, runs',
    [
        (GOOD, [run('plain-1'), run('plain-2')]),
        (REFUSED, [run()]),
        (dataclasses.replace(GOOD, body=b'id-2 by plain-1'), [run()]),
        (dataclasses.replace(GOOD, body=b'id-1 by plain-2'), [run()]),
        (dataclasses.replace(GOOD, sealed=False), [run()]),
        (dataclasses.replace(GOOD, route='write', body=STREAM[:15]), [run()]),
        (
            dataclasses.replace(
                GOOD, route='write', body=OTHER[EVENT:], begun=STREAM[:EVENT]
            ),
            [run()],
        ),
        (
            dataclasses.replace(
                GOOD,
                route='write',
                body=STREAM[:EVENT] + OTHER[EVENT:],
                complete=False,
            ),
            [run()],
        ),
        (dataclasses.replace(REFUSED, retry_after=None), []),
        (dataclasses.replace(GOOD, status=418), [run()]),
        (dataclasses.replace(GOOD, end=12.5), [run()]),
        (CUT, [run()]),
        (CUT, []),
        (
            dataclasses.replace(GOOD, route='check'),
            [run(f'plain-{number}') for number in (1, 2, 3)],
        ),
    ],
)
def test_violations_are_found(outcome, runs):
    """Guards against checks that miss a violation."""
    assert len(violations(outcome, *runs)) == 1


def test_only_the_disturbed_host_is_excused():
    """Guards against a disturbance that excuses other hosts or times."""
    assert not violations(CUT, run(), disturbances=[disturbance('kill')])
    assert violations(CUT, run(), disturbances=[disturbance('kill', host=1)])
    early = soak_checks.Disturbance(0, 'kill', 8.0, 9.0)
    assert violations(CUT, run(), disturbances=[early])


def test_planned_stop_excuses_only_requests_that_did_not_run():
    """Guards against a planned stop that cuts off requests in progress."""
    assert not violations(CUT, disturbances=[disturbance('stop')])
    assert violations(CUT, run(), disturbances=[disturbance('stop')])
    started = dataclasses.replace(CUT, status=200)
    assert violations(started, disturbances=[disturbance('stop')])


def test_a_seed_gives_the_same_faults():
    """Guards against seeds that do not reproduce a round."""
    targets = ('plain-1', 'llm-1')
    first = soak_schedule.draw(7, targets, 3)
    assert first == soak_schedule.draw(7, targets, 3)
    assert first != soak_schedule.draw(8, targets, 3)
    assert len(first) >= soak_schedule.MIN_FAULTS
    assert first == sorted(first, key=lambda action: action.at_s)
