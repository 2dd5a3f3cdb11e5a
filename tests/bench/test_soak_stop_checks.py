"""The checks of rounds with stops must report every violated guarantee."""

import dataclasses

import pytest

from bench import soak_checks
from bench import soak_stop_callers
from bench import soak_stop_checks
from bench import soak_stop_days

# The host gets the signal at 100 s and is killed at 108 s.
STOP = soak_stop_checks.StoppedHost(0, 100.0, 107.9, 109.0, 8.0)
SERVED = soak_checks.Outcome(
    'id-1',
    'write',
    0,
    101.0,
    104.0,
    6.0,
    200,
    complete=True,
    sealed=True,
    sent_at=101.0,
)
REFUSED = dataclasses.replace(
    SERVED, end=101.1, status=503, sealed=False, retry_after='0.02'
)
# A stream that was sent in time and broke off with the end of the host.
CUT = dataclasses.replace(SERVED, begin=102.5, end=107.5, complete=False)
# A request that crossed the close of its connection.
CROSSED = dataclasses.replace(
    SERVED,
    begin=104.0,
    sent_at=104.0,
    end=104.05,
    status=0,
    complete=False,
    sealed=False,
)
NOT_TAKEN = dataclasses.replace(
    CROSSED, sent_at=None, end=108.5, error='ConnectionRefusedError'
)


def run(begun_at: float, ended_at: float | None, stage: int = -1) -> dict:
    """Return the record of a run of the request, or of one of its pieces."""
    return {
        'request_id': 'id-1',
        'target_id': 'llm-1',
        'stage': stage,
        'begun_at': begun_at,
        'ended_at': ended_at,
    }


def violations(outcome, *runs, stops=(STOP,)) -> list[str]:
    """Return the violations that the checks report for an outcome."""
    return soak_stop_checks.violations(
        [outcome], runs, stops, soak_stop_callers.AGAIN
    )


@pytest.mark.parametrize(
    'outcome, runs',
    [
        (SERVED, [run(101.1, 103.9), run(101.0, None, stage=1)]),
        (REFUSED, []),
        (CUT, [run(102.6, 107.6)]),
        (CROSSED, []),
        (NOT_TAKEN, []),
        (dataclasses.replace(CROSSED, begin=98.0, end=104.0), []),
        (dataclasses.replace(SERVED, status=502), [run(101.1, 103.9)]),
    ],
)
def test_good_outcomes_pass(outcome, runs):
    """Guards against checks that reject correct outcomes."""
    assert not violations(outcome, *runs)


@pytest.mark.parametrize(
    'outcome, runs',
    [
        # Sent late and cut off in the middle of the stream, or in its stages.
        (dataclasses.replace(CUT, begin=103.1), [run(103.2, 107.5)]),
        (dataclasses.replace(CROSSED), [run(104.0, None, stage=0)]),
        # Read by the host, and not passed on.
        (dataclasses.replace(CROSSED, end=104.3), []),
        (dataclasses.replace(CUT, status=0, sent_at=102.5), []),
        # Cut off while the host still had time.
        (dataclasses.replace(CUT, end=106.0), [run(102.6, 106.0)]),
        # Sent late, and neither served nor refused.
        (dataclasses.replace(SERVED, begin=103.1, status=502), []),
        (dataclasses.replace(SERVED, begin=103.1, status=504), []),
        # Work for a caller who is gone.
        (CUT, [run(102.6, None)]),
        (CUT, [run(102.6, 108.1)]),
        (REFUSED, [run(101.7, None, stage=0)]),
    ],
)
def test_violations_are_found(outcome, runs):
    """Guards against checks that miss a violation."""
    assert len(violations(outcome, *runs)) == 1


def test_only_the_stop_of_the_own_host_excuses_a_cut():
    """Guards against a stop that excuses other hosts or times."""
    runs = [run(102.6, 107.6)]
    other = dataclasses.replace(STOP, host=1)
    assert violations(CUT, *runs, stops=[other])
    over = dataclasses.replace(STOP, signalled_at=90.0, ready_at=99.0)
    assert violations(CUT, *runs, stops=[over])


def test_refused_callers_must_be_served_by_hosts_that_run():
    """Guards against callers who are refused at one host after the other."""
    again = dataclasses.replace(
        REFUSED, request_id=f'id-1{soak_stop_callers.AGAIN}1'
    )
    assert not violations(again)
    assert violations(again, stops=[])
    assert not violations(
        dataclasses.replace(SERVED, request_id=again.request_id), stops=[]
    )


@pytest.mark.parametrize('seed', range(20))
def test_series_of_stops_overlap(seed):
    """Guards against rounds in which hosts are stopped one by one."""
    day = soak_stop_days.draw(seed)
    assert day == soak_stop_days.draw(seed)
    counts = [
        sum(
            stop.at_s <= other.at_s < stop.at_s + day.grace_s / 2
            for other in day.stops
        )
        for stop in day.stops
    ]
    assert max(counts) >= day.hosts - 1
    assert len(day.stops) >= 2 * (day.hosts - 1)
