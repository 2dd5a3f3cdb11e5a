"""Measures admission: decision time, goodput in overload, a member's burst.

``python -m bench.admission [decision|overload|burst|limit]`` runs one
measurement, or all of them. Overload and burst run the naive policy beside
the standard one on the same load.
"""

import collections
import json
import random
import sys
import time

from standins import caller
from standins import fleet
from standins import ledger
from walnutport.admission import fair_queue
from walnutport.admission import queue_rules
from walnutport import interfaces

__all__ = ['main']

_ENGINE_SLOTS = 4
_ENGINE_TARGETS = 1
_ENGINE_MS = 40.0
_CAPACITY_PER_S = _ENGINE_SLOTS * _ENGINE_TARGETS * 1000 / _ENGINE_MS
_DEADLINE_MS = 1_000
_SECONDS = 10.0
_WARM_UP_S = 2.0


def main() -> int:
    """Run the measurements and print a line of JSON for each."""
    runs = {
        'decision': measure_decision,
        'overload': measure_overload,
        'burst': measure_burst,
        'limit': measure_limit,
    }
    for name in sys.argv[1:] or runs:
        sys.stdout.write(json.dumps({name: runs[name]()}) + '\n')
        sys.stdout.flush()
    return 0


def measure_decision() -> dict:
    """Time one offer with the release and grant of another ticket."""
    return {
        f'members_{members}': _time_decisions(members)
        for members in (5, 100, 1000)
    }


def _time_decisions(members: int, rounds: int = 20_000) -> dict:
    rng = random.Random(1)
    rules = queue_rules.QueueRules(
        units_of=lambda ticket: (f'entry/{ticket.entry_id}', 'window/a'),
        time_needed=lambda _: queue_rules.TimeNeeded(0.05, 0.2),
    )
    queue = fair_queue.FairQueue(max_queued=2_000, rules=rules)
    queue.set_capacity('window/a', 50)
    running: collections.deque[str] = collections.deque()
    now = 0.0
    took_us = []
    for number in range(1_050 + rounds):
        now += 0.001
        started = time.perf_counter_ns()
        ticket = interfaces.Ticket(
            f't{number}',
            f'e{number % 7}',
            f'm{rng.randrange(members)}',
            f'c{number % 3}',
            now + 100.0,
        )
        decisions = [queue.offer(ticket, now)]
        if number >= 1_050:
            decisions += queue.release(running.popleft(), now)
        elapsed_us = (time.perf_counter_ns() - started) / 1000
        if number >= 1_050:
            took_us.append(elapsed_us)
        running += [
            made.ticket_id
            for made in decisions
            if made.kind is interfaces.DecisionKind.GRANTED
        ]
    assert 900 <= len(queue) <= 1_100, len(queue)
    took_us.sort()
    return {
        'us_p50': round(took_us[len(took_us) // 2], 1),
        'us_p99': round(took_us[int(len(took_us) * 0.99)], 1),
    }


def measure_overload() -> dict:
    """Send 2 times the capacity and return completions in time over it."""
    result = {}
    for policy in ('standard', 'naive'):
        loads = _loads(dict.fromkeys(fleet.TOKENS_BY_MEMBER, 2 / 3))
        with fleet.Fleet(_plan(policy)) as running:
            answered = _send(running, loads)
            clean = running.check().is_clean
        completed = [event for event in answered if _in_time(event)]
        result[policy] = {
            'goodput_ratio': round(
                len(completed) / (_SECONDS - _WARM_UP_S) / _CAPACITY_PER_S, 3
            ),
            'clean': clean,
            **_summary(answered),
        }
    return result


def measure_burst() -> dict:
    """Let one member send 5 times its share, the others 0.75 of theirs."""
    result = {}
    share = 1 / len(fleet.TOKENS_BY_MEMBER)
    for policy in ('standard', 'naive'):
        rates = dict.fromkeys(fleet.TOKENS_BY_MEMBER, 0.75 * share)
        rates['north'] = 5 * share
        with fleet.Fleet(_plan(policy)) as running:
            answered = _send(running, _loads(rates))
        others = [event for event in answered if event.member_id != 'north']
        in_time = [event for event in others if _in_time(event)]
        result[policy] = {
            'attainment_others': round(len(in_time) / len(others), 4),
            **_summary(answered),
        }
    return result


def measure_limit() -> dict:
    """Send to a limited entry with uneven balancing; peak over limit."""
    limit = 12
    contract = {
        'entry_id': 'limited',
        'owner': 'north',
        'class_id': 'standard',
        'pipeline_id': 'answers',
        'limits': {'max_in_flight': limit},
    }
    plan = fleet.FleetPlan(hosts=3, contracts=(contract,))
    load = caller.Load(
        'north', fleet.TOKENS_BY_MEMBER['north'], 'limited', 300.0, 2_400
    )
    with fleet.Fleet(plan) as running:
        sender = running.start_caller((load,), host_weights=(8.0, 1.0, 1.0))
        assert sender.process is not None
        sender.process.wait(120)
        events = ledger.read_ledger(running.ledger_folder)
    peak = _peak_in_flight(events)
    return {'limit': limit, 'peak': peak, 'ratio': round(peak / limit, 3)}


def _peak_in_flight(events: list[ledger.LedgerEvent]) -> int:
    """Return the most stages that ran or waited in targets at a time."""
    peak = current = 0
    for event in events:
        current += event.kind is ledger.EventKind.STARTED
        current -= event.kind is ledger.EventKind.FINISHED
        peak = max(peak, current)
    return peak


def _plan(policy: str) -> fleet.FleetPlan:
    return fleet.FleetPlan(
        hosts=2,
        pools=(
            fleet.PoolPlan('encoder', 2),
            fleet.PoolPlan('retriever', 2),
            fleet.PoolPlan('reranker', 2),
            fleet.PoolPlan(
                'engine',
                _ENGINE_TARGETS,
                slots=_ENGINE_SLOTS,
                service_ms=_ENGINE_MS,
            ),
        ),
        settings={'policies': {'policy': policy}},
    )


def _loads(rates: dict[str, float]) -> tuple[caller.Load, ...]:
    return tuple(
        caller.Load(
            member_id,
            fleet.TOKENS_BY_MEMBER[member_id],
            'summaries',
            rate * _CAPACITY_PER_S,
            int(rate * _CAPACITY_PER_S * _SECONDS),
            deadline_ms=_DEADLINE_MS,
        )
        for member_id, rate in rates.items()
    )


def _send(
    running: fleet.Fleet, loads: tuple[caller.Load, ...]
) -> list[ledger.LedgerEvent]:
    """Return the answers that arrived between warm-up and end of load."""
    sender = running.start_caller(loads)
    assert sender.process is not None
    sender.process.wait(120)
    events = ledger.read_ledger(running.ledger_folder)
    start = min(
        event.time_s for event in events if event.kind is ledger.EventKind.SENT
    )
    return [
        event
        for event in events
        if event.kind is ledger.EventKind.ANSWERED
        and start + _WARM_UP_S <= event.time_s < start + _SECONDS
    ]


def _in_time(event: ledger.LedgerEvent) -> bool:
    return event.outcome == 'complete' and not event.late


def _summary(answered: list[ledger.LedgerEvent]) -> dict:
    counts = collections.Counter(
        f'{event.outcome}/{event.reason}{"/late" * event.late}'
        for event in answered
    )
    return {'answers': dict(counts)}


if __name__ == '__main__':
    sys.exit(main())
