"""Tests that the checker finds violations of each delivery guarantee.

The events are constructed by hand or recorded behind a faulty relay.
"""

from collections.abc import Iterator
import itertools

import pytest

from standins import checker
from standins import fleet
from standins import fleet_plans
from standins import ledger
from tests.integration import faults

_VIOLATION_COUNTS = ('lost', 'doubled', 'misdelivered', 'false_not_run')
_PAYMENT_STAGES = fleet_plans.STAGES_BY_ENTRY['payments']
_TIMES_S = itertools.count()


def make_event(kind: str, nonce: str = 'a', **fields) -> ledger.LedgerEvent:
    return ledger.LedgerEvent(
        ledger.EventKind(kind),
        float(next(_TIMES_S)),
        nonce,
        **{'entry_id': 'payments', 'request_id': f'{nonce}-0', **fields},
    )


def sent(nonce: str = 'a', **fields) -> ledger.LedgerEvent:
    return make_event('sent', nonce, **fields)


def started(nonce: str = 'a', **fields) -> ledger.LedgerEvent:
    return make_event(
        'started', nonce, **{'stage': 'confirm', 'repeatable': False, **fields}
    )


def answered(outcome: str = 'complete', nonce: str = 'a', **fields):
    complete = {'answered_nonce': nonce, 'trace': _PAYMENT_STAGES}
    answer = complete if outcome == 'complete' else {}
    return make_event(
        'answered', nonce, outcome=outcome, **{**answer, **fields}
    )


# Each case has its events and the expected counts, in the order of
# _VIOLATION_COUNTS.
CASES = {
    'complete': ([sent(), started(), answered()], (0, 0, 0, 0)),
    'unknown': ([sent(), started(), answered('unknown')], (0, 0, 0, 0)),
    'refused': ([sent(), answered('not_run')], (0, 0, 0, 0)),
    'retried': (
        [
            sent(),
            started(repeatable=True),
            started(repeatable=True),
            answered(),
        ],
        (0, 0, 0, 0),
    ),
    'resent after a broken connection': (
        [
            sent(),
            started(),
            answered('disconnected'),
            answered(request_id='a-1'),
        ],
        (0, 0, 0, 0),
    ),
    'no answer': ([sent(), started()], (1, 0, 0, 0)),
    'connection broken': ([sent(), answered('disconnected')], (1, 0, 0, 0)),
    'stage missing': (
        [sent(), answered(trace=_PAYMENT_STAGES[1:])],
        (1, 0, 0, 0),
    ),
    'stages out of order': (
        [sent(), answered(trace=_PAYMENT_STAGES[::-1])],
        (1, 0, 0, 0),
    ),
    'event lost': ([sent(), answered(tokens=(0, 2))], (1, 0, 0, 0)),
    'last event lost': (
        [sent(), answered(tokens=(0, 1), tokens_wanted=3)],
        (1, 0, 0, 0),
    ),
    'event duplicated': ([sent(), answered(tokens=(0, 1, 1))], (0, 1, 0, 0)),
    'event duplicated, then connection broken': (
        [sent(), answered('disconnected', tokens=(0, 0)), answered()],
        (0, 1, 0, 0),
    ),
    'events out of order': ([sent(), answered(tokens=(1, 0))], (1, 0, 0, 0)),
    'ran twice': ([sent(), started(), started(), answered()], (0, 1, 0, 0)),
    'ran once for each send': (
        [sent(), started(), started(request_id='a-1'), answered()],
        (0, 1, 0, 0),
    ),
    'answer of another request': (
        [sent(), answered(answered_nonce='b')],
        (0, 0, 1, 0),
    ),
    'answer without a nonce': (
        [sent(), answered(answered_nonce='')],
        (0, 0, 1, 0),
    ),
    'started before not_run': (
        [sent(), started(), answered('not_run')],
        (0, 0, 0, 1),
    ),
    'repeatable stage started before not_run': (
        [
            sent(),
            started(stage='encoder', repeatable=True),
            answered('not_run'),
        ],
        (0, 0, 0, 1),
    ),
    'started after not_run': (
        [sent(), answered('not_run'), started()],
        (0, 0, 0, 1),
    ),
}


@pytest.mark.parametrize('name', CASES)
def test_constructed_events(name: str) -> None:
    """Guards against missed violations and false positives."""
    events, expected = CASES[name]
    report = checker.check(events, fleet_plans.STAGES_BY_ENTRY)
    assert (
        tuple(getattr(report, item) for item in _VIOLATION_COUNTS) == expected
    )
    assert report.is_clean == (not any(expected))


@pytest.fixture(scope='module', name='running')
def fixture_running() -> Iterator[fleet.Fleet]:
    """Run targets behind a deliberately faulty relay, without a host."""
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=0)) as running:
        running.start_naive_relay('naive', 'payments')
        yield running


def test_checker_detects_naive_relay(running: fleet.Fleet) -> None:
    """Guards against a checker that misses violations in real traffic."""
    load = faults.load('payments', 5, 50.0)
    faults.finish(running.start_caller((load,), 'misdelivered'))
    report = running.check_ledger()
    assert report.misdelivered > 0
    assert report.false_not_run == 0
    running.targets_by_id['reranker-1'].kill()
    faults.finish(running.start_caller((load,), 'refused'))
    assert running.check_ledger().false_not_run == 5
