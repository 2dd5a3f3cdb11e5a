"""Tests of choosing targets by the outcomes of requests."""

import random

from walnutport.routing import outcomes
from walnutport.world import registrations
from walnutport.world import requests


def target(name: str, incarnation: int = 1) -> registrations.RegisteredTarget:
    """Return a target with six slots."""
    return registrations.RegisteredTarget(
        name, incarnation, 'plain', ('10.0.0.1', 80), 'a', 6, False, 0.0
    )


TARGETS = [target(name) for name in ('t1', 't2', 't3', 't4')]


def play(book, now, latency_by_id, failing=frozenset(), count=400):
    """Send requests one after the other and count where they went."""
    counts = dict.fromkeys(latency_by_id, 0)
    for step in range(count):
        chosen = book.choose(TARGETS, now + step * 0.02)
        counts[chosen.target_id] += 1
        at = now + step * 0.02
        if chosen.target_id in failing:
            book.failed(chosen, at, unreachable=False)
        else:
            book.succeeded(chosen, latency_by_id[chosen.target_id], None, at)
    return counts


def test_slow_target_gets_few_requests():
    """Guards against a target that is five times slower than its peers."""
    book = outcomes.TargetOutcomes(random.Random(1))
    latencies = {'t1': 0.5, 't2': 0.1, 't3': 0.1, 't4': 0.1}
    counts = play(book, 0.0, latencies)
    assert counts['t1'] < 0.05 * sum(counts.values())


def test_failing_target_is_left_out():
    """Guards against a target that fails while its health check passes."""
    book = outcomes.TargetOutcomes(random.Random(1))
    latencies = dict.fromkeys(('t1', 't2', 't3', 't4'), 0.1)
    counts = play(book, 0.0, latencies, failing={'t2'})
    assert counts['t2'] < 0.05 * sum(counts.values())


def test_restarted_target_starts_without_a_record():
    """Guards against blaming a new lifetime for the failures of the last."""
    book = outcomes.TargetOutcomes(random.Random(1))
    for _ in range(5):
        book.failed(TARGETS[0], 0.0, unreachable=True)
    again = target('t1', incarnation=2)
    assert book.stats(again).failure_share == 0.0


def test_ejection_of_all_targets_ejects_none():
    """Guards against a service that takes itself out of service."""
    book = outcomes.TargetOutcomes(random.Random(1))
    for entry in TARGETS:
        book.failed(entry, 0.0, unreachable=True)
    assert book.choose(TARGETS, 0.1) is not None


def test_reported_load_turns_requests_away():
    """Guards against a full target that only other hosts have filled."""
    book = outcomes.TargetOutcomes(random.Random(1))
    book.reported(TARGETS[0], requests.ReportedLoad(6, 20, 6), 0.0)
    chosen = {book.choose(TARGETS, 0.1).target_id for _ in range(50)}
    assert 't1' not in chosen


def test_target_is_taken_back_by_its_first_good_answer():
    """Guards against an ejection whose end nobody can see.

    An answer that was under way when the target was ejected says nothing.
    """
    book = outcomes.TargetOutcomes(random.Random(1))
    assert book.failed(TARGETS[0], 0.0, unreachable=True)
    assert not book.succeeded(TARGETS[0], 0.1, None, 0.1)
    later = outcomes.FIRST_EJECTION_S + 0.1
    assert book.succeeded(TARGETS[0], 0.1, None, later)
    assert not book.succeeded(TARGETS[0], 0.1, None, later + 0.1)
