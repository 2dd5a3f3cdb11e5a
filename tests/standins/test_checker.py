"""The checker catches fabricated and real breaches of each promise."""

from collections.abc import Iterator
import itertools

import pytest

from standins import checker
from standins import fleet
from standins import fleet_plans
from standins import ledger
from tests.integration import faults

_COUNTS = ('lost', 'doubled', 'misdelivered', 'false_not_run')
_TRACE = fleet_plans.STAGES_BY_ENTRY['payments']
_CLOCK = itertools.count()


def event(kind: str, nonce: str = 'a', **fields) -> ledger.LedgerEvent:
    return ledger.LedgerEvent(
        ledger.EventKind(kind),
        float(next(_CLOCK)),
        nonce,
        **{'entry_id': 'payments', 'request_id': f'{nonce}-0', **fields},
    )


def sent(nonce: str = 'a', **fields) -> ledger.LedgerEvent:
    return event('sent', nonce, **fields)


def ran(nonce: str = 'a', **fields) -> ledger.LedgerEvent:
    return event(
        'started', nonce, **{'stage': 'confirm', 'repeatable': False, **fields}
    )


def told(outcome: str = 'complete', nonce: str = 'a', **fields):
    whole = {'answered_nonce': nonce, 'trace': _TRACE}
    answer = whole if outcome == 'complete' else {}
    return event('answered', nonce, outcome=outcome, **{**answer, **fields})


# Each case: events, and the counts of lost, doubled, misdelivered and false
# "not run".
CASES = {
    'clean': ([sent(), ran(), told()], (0, 0, 0, 0)),
    'unknown': ([sent(), ran(), told('unknown')], (0, 0, 0, 0)),
    'refused': ([sent(), told('not_run')], (0, 0, 0, 0)),
    'retried': (
        [sent(), ran(repeatable=True), ran(repeatable=True), told()],
        (0, 0, 0, 0),
    ),
    'sent again': (
        [sent(), ran(), told('disconnected'), told(request_id='a-1')],
        (0, 0, 0, 0),
    ),
    'no answer': ([sent(), ran()], (1, 0, 0, 0)),
    'broken off': ([sent(), told('disconnected')], (1, 0, 0, 0)),
    'no stage': ([sent(), told(trace=_TRACE[1:])], (1, 0, 0, 0)),
    'stages turned': ([sent(), told(trace=_TRACE[::-1])], (1, 0, 0, 0)),
    'event lost': ([sent(), told(tokens=(0, 2))], (1, 0, 0, 0)),
    'last event lost': (
        [sent(), told(tokens=(0, 1), tokens_wanted=3)],
        (1, 0, 0, 0),
    ),
    'event doubled': ([sent(), told(tokens=(0, 1, 1))], (0, 1, 0, 0)),
    'event doubled, then broken off': (
        [sent(), told('disconnected', tokens=(0, 0)), told()],
        (0, 1, 0, 0),
    ),
    'events turned': ([sent(), told(tokens=(1, 0))], (1, 0, 0, 0)),
    'ran twice': ([sent(), ran(), ran(), told()], (0, 1, 0, 0)),
    'ran for each send': (
        [sent(), ran(), ran(request_id='a-1'), told()],
        (0, 1, 0, 0),
    ),
    'crossed': ([sent(), told(answered_nonce='b')], (0, 0, 1, 0)),
    "nobody's": ([sent(), told(answered_nonce='')], (0, 0, 1, 0)),
    'false refusal': ([sent(), ran(), told('not_run')], (0, 0, 0, 1)),
    'false refusal of a first stage': (
        [sent(), ran(stage='encoder', repeatable=True), told('not_run')],
        (0, 0, 0, 1),
    ),
    'run after the refusal': ([sent(), told('not_run'), ran()], (0, 0, 0, 1)),
}


@pytest.mark.parametrize('name', CASES)
def test_fabricated_events(name: str) -> None:
    """Guards against a checker that misses a breach or finds a false one."""
    events, wanted = CASES[name]
    report = checker.check(events, fleet_plans.STAGES_BY_ENTRY)
    assert tuple(getattr(report, item) for item in _COUNTS) == wanted
    assert report.is_clean == (not any(wanted))


@pytest.fixture(scope='module', name='running')
def fixture_running() -> Iterator[fleet.Fleet]:
    """Targets behind a relay that answers wrongly, and no host."""
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=0)) as running:
        running.start_naive_relay('naive', 'payments')
        yield running


def test_naive_relay_is_caught(running: fleet.Fleet) -> None:
    """Guards against a checker that passes real crossed or false answers."""
    load = faults.load('payments', 5, 50.0)
    faults.finish(running.start_caller((load,), 'crossed'))
    crossed = running.check()
    assert crossed.misdelivered > 0
    assert crossed.false_not_run == 0
    running.targets_by_id['reranker-1'].kill()
    faults.finish(running.start_caller((load,), 'refused'))
    assert running.check().false_not_run == 5
