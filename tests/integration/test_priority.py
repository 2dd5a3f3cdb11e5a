"""Class weights that act as priorities at targets, with real processes."""

import time

from standins import caller
from standins import fleet
from standins import fleet_plans
from standins import ledger


def _load(entry_id: str, start_s: float, count: int) -> caller.Load:
    return caller.Load(
        'north',
        fleet_plans.TOKENS_BY_MEMBER['north'],
        entry_id,
        rate_per_s=1_000.0,
        count=count,
        start_s=start_s,
        deadline_ms=30_000,
    )


def _wait_started(running: fleet.Fleet, entry_id: str, count: int) -> None:
    deadline = time.monotonic() + 30.0
    while _count(running, entry_id) < count:
        assert time.monotonic() < deadline, 'condition not met in time'
        time.sleep(0.02)


def _count(running: fleet.Fleet, entry_id: str) -> int:
    return sum(
        event.kind is ledger.EventKind.STARTED
        and event.source == 'engine-1'
        and event.entry_id == entry_id
        for event in ledger.read_ledger(running.ledger_folder)
    )


def test_the_engine_runs_the_higher_class_weight_first() -> None:
    """Guards against a priority that is not passed on to the engine."""
    plan = fleet_plans.FleetPlan(
        hosts=2,
        pools=(
            *(
                fleet_plans.PoolPlan(name, 1, slots=16, service_ms=1.0)
                for name in ('encoder', 'retriever', 'reranker')
            ),
            fleet_plans.PoolPlan('engine', 1, slots=1, service_ms=1_000.0),
        ),
        settings={'policies': {'policy': 'naive'}},
        contracts=(
            {
                'entry_id': 'fast',
                'owner': 'north',
                'class_id': 'urgent',
                'pipeline_id': 'answers',
            },
        ),
    )
    with fleet.Fleet(plan) as running:
        plain = running.start_caller((_load('summaries', 0.0, 6),), 'caller-1')
        _wait_started(running, 'summaries', 6)
        urgent = running.start_caller((_load('fast', 0.0, 1),), 'caller-2')
        for sender in (plain, urgent):
            assert sender.process is not None and sender.process.wait(60) == 0
        times_by_entry: dict[str, list[tuple[ledger.EventKind, float]]] = {}
        for event in ledger.read_ledger(running.ledger_folder):
            if event.source == 'engine-1':
                times_by_entry.setdefault(event.entry_id, []).append(
                    (event.kind, event.time_s)
                )
        (_, arrived_at), (_, finished_at) = times_by_entry['fast']
        finished_between = [
            time_s
            for kind, time_s in times_by_entry['summaries']
            if kind is ledger.EventKind.FINISHED
            and arrived_at < time_s < finished_at
        ]
        # Only the request that held the slot may finish before the urgent one.
        assert len(finished_between) <= 1
        assert running.check_ledger().findings == ()
