"""Tests of the checks of the soak: each broken promise must be found."""

import dataclasses

import pytest

from bench import soak_checks
from bench import soak_schedule

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
GOOD = soak_checks.Outcome(
    'id-1',
    'pay',
    0,
    10.0,
    10.2,
    1.0,
    200,
    b'id-1 by plain-1',
    whole=True,
    sealed=True,
)
REFUSED = dataclasses.replace(
    GOOD, status=503, body=b'', sealed=False, retry_after='0.2'
)
CUT = dataclasses.replace(GOOD, status=0, body=b'', whole=False, sealed=False)


def run(target_id: str = 'plain-1', request_id: str = 'id-1') -> dict:
    """Return the record of a run."""
    return {'request_id': request_id, 'target_id': target_id, 'stage': -1}


def judged(outcome, *runs, disturbances=()) -> list[str]:
    """Return what the checks find."""
    return soak_checks.violations([outcome], runs, list(disturbances), STREAM)


def disturbance(kind: str, host: int = 0) -> soak_checks.Disturbance:
    """Return a disturbance while the request was under way."""
    return soak_checks.Disturbance(host, kind, 10.1, 11.0)


def test_good_outcomes_pass():
    """Guards against checks that find fault with everything."""
    assert not judged(GOOD, run())
    assert not judged(REFUSED)
    stage = {**run('rank-1'), 'stage': 1}
    assert not judged(REFUSED, stage), 'a stage may run again'
    stream = dataclasses.replace(GOOD, route='write', body=STREAM)
    assert not judged(stream, run('llm-1'))


@pytest.mark.parametrize(
    'outcome, runs',
    [
        (GOOD, [run('plain-1'), run('plain-2')]),
        (REFUSED, [run()]),
        (dataclasses.replace(GOOD, body=b'id-2 by plain-1'), [run()]),
        (dataclasses.replace(GOOD, body=b'id-1 by plain-2'), [run()]),
        (dataclasses.replace(GOOD, sealed=False), [run()]),
        (dataclasses.replace(GOOD, route='write', body=STREAM[:15]), [run()]),
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
def test_broken_promises_are_found(outcome, runs):
    """Guards against checks that let a broken promise pass."""
    assert len(judged(outcome, *runs)) == 1


def test_only_the_disturbed_host_is_excused():
    """Guards against faults of one host that hide those of another."""
    assert not judged(CUT, run(), disturbances=[disturbance('kill')])
    assert judged(CUT, run(), disturbances=[disturbance('kill', host=1)])
    early = soak_checks.Disturbance(0, 'kill', 8.0, 9.0)
    assert judged(CUT, run(), disturbances=[early])


def test_planned_stop_excuses_only_what_was_not_taken():
    """Guards against a planned stop that cuts the work under way."""
    assert not judged(CUT, disturbances=[disturbance('stop')])
    assert judged(CUT, run(), disturbances=[disturbance('stop')])
    begun = dataclasses.replace(CUT, status=200)
    assert judged(begun, disturbances=[disturbance('stop')])


def test_a_seed_gives_the_same_faults():
    """Guards against seeds that cannot be played again."""
    targets = ('plain-1', 'llm-1')
    first = soak_schedule.draw(7, targets, 3)
    assert first == soak_schedule.draw(7, targets, 3)
    assert first != soak_schedule.draw(8, targets, 3)
    assert len(first) >= soak_schedule.FEWEST
    assert first == sorted(first, key=lambda action: action.at_s)
