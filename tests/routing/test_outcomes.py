"""Tests of choosing targets by the outcomes of earlier requests."""

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


def run_requests(
    target_outcomes, now, latency_by_id, failing=frozenset(), count=400
):
    """Send requests one after the other and count them by target."""
    counts = dict.fromkeys(latency_by_id, 0)
    for step in range(count):
        chosen = target_outcomes.choose(TARGETS, now + step * 0.02)
        counts[chosen.target_id] += 1
        time = now + step * 0.02
        if chosen.target_id in failing:
            target_outcomes.record_failure(chosen, time, unreachable=False)
        else:
            target_outcomes.record_success(
                chosen, latency_by_id[chosen.target_id], None, time
            )
    return counts


def test_slow_target_gets_few_requests():
    """Guards against using a target that is five times slower than others."""
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    latencies = {'t1': 0.5, 't2': 0.1, 't3': 0.1, 't4': 0.1}
    counts = run_requests(target_outcomes, 0.0, latencies)
    assert counts['t1'] < 0.05 * sum(counts.values())


def test_failing_target_is_ejected():
    """Guards against using a failing target whose health check passes."""
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    latencies = dict.fromkeys(('t1', 't2', 't3', 't4'), 0.1)
    counts = run_requests(target_outcomes, 0.0, latencies, failing={'t2'})
    assert counts['t2'] < 0.05 * sum(counts.values())


def test_restarted_target_has_fresh_statistics():
    """Guards against counting failures from before a restart."""
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    for _ in range(5):
        target_outcomes.record_failure(TARGETS[0], 0.0, unreachable=True)
    restarted = target('t1', incarnation=2)
    assert target_outcomes.stats(restarted).failure_share == 0.0


def test_ejection_of_all_targets_ejects_none():
    """Guards against a service without targets because all were ejected."""
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    for entry in TARGETS:
        target_outcomes.record_failure(entry, 0.0, unreachable=True)
    assert target_outcomes.choose(TARGETS, 0.1) is not None


def test_target_with_high_reported_load_is_avoided():
    """Guards against choosing a target that other hosts have filled."""
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    target_outcomes.update_load(
        TARGETS[0], requests.ResponseLoad(6, 20, 6), 0.0
    )
    chosen = {
        target_outcomes.choose(TARGETS, 0.1).target_id for _ in range(50)
    }
    assert 't1' not in chosen


def test_first_success_after_ejection_restores_the_target():
    """Guards against an ejection whose end is not reported.

    A response to an attempt from before the ejection does not end it.
    """
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    assert target_outcomes.record_failure(TARGETS[0], 0.0, unreachable=True)
    assert not target_outcomes.record_success(TARGETS[0], 0.1, None, 0.1)
    later = outcomes.MIN_EJECTION_S + 0.1
    assert target_outcomes.record_success(TARGETS[0], 0.1, None, later)
    assert not target_outcomes.record_success(
        TARGETS[0], 0.1, None, later + 0.1
    )
