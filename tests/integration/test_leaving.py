"""Idle targets that start to leave while the host list is outdated."""

import time

from standins import caller
from standins import fleet
from standins import fleet_plans
from standins import ledger

_LEAVING_BOUND_S = 3.0
_TARGETS = ('encoder-1', 'engine-1', 'payments-1')


def _load(entry_id: str, **fields) -> caller.Load:
    return caller.Load(
        'north',
        fleet_plans.TOKENS_BY_MEMBER['north'],
        entry_id,
        rate_per_s=30.0,
        count=20,
        deadline_ms=20_000,
        **fields,
    )


def _run(running: fleet.Fleet, source: str) -> None:
    loads = (
        _load('summaries'),
        _load('summaries', stream=True),
        _load('payments', keyed=True),
    )
    sender = running.start_caller(loads, source)
    assert sender.process is not None and sender.process.wait(60) == 0


def test_an_idle_leaving_target_gets_no_request_after_the_bound() -> None:
    """Guards against work for a target whose last report is too old."""
    plan = fleet_plans.FleetPlan(
        hosts=2,
        pools=(
            fleet_plans.PoolPlan('encoder', 2),
            fleet_plans.PoolPlan('retriever', 1, slots=16),
            fleet_plans.PoolPlan('reranker', 1, slots=16),
            fleet_plans.PoolPlan('engine', 2, slots=16),
            fleet_plans.PoolPlan('payments', 2, repeatable=False),
        ),
        list_lag_s=1_000.0,
        # The hosts must not learn of it from a regular poll during the test.
        settings={'peers': {'target_poll_s': 100.0}},
    )
    with fleet.Fleet(plan) as running:
        _run(running, 'caller-1')
        for target_id in _TARGETS:
            running.set_target_behaviour(target_id, leaving=True)
        time.sleep(_LEAVING_BOUND_S)
        bound_at = time.monotonic()
        _run(running, 'caller-2')
        events = ledger.read_ledger(running.ledger_folder)
        started = [
            event for event in events if event.kind is ledger.EventKind.STARTED
        ]
        before = {e.source for e in started if e.time_s < bound_at}
        after = {e.source for e in started if e.time_s >= bound_at}
        assert before >= set(_TARGETS)
        assert after >= {'encoder-2', 'engine-2', 'payments-2'}
        assert not after & set(_TARGETS)
        answered = [
            event.outcome
            for event in events
            if event.kind is ledger.EventKind.ANSWERED
        ]
        assert answered == ['complete'] * 120
        assert running.check_ledger().findings == ()
