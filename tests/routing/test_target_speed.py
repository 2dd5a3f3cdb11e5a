"""Tests of the estimate of how fast a target is."""

import random

import pytest

from tests.routing import test_outcomes
from walnutport.routing import outcomes
from walnutport.routing import target_speed
from walnutport.world import requests


def speed() -> target_speed.TargetSpeed:
    """Return the speed of a target that takes one second."""
    return target_speed.TargetSpeed(1.0, 0.2)


def test_old_figure_gives_way_to_measurement():
    """Guards against the figure of a spell that is long over.

    In between, the figure counts for less the older it is.
    """
    found = speed()
    found.measure(1.0, 0.0)
    found.report(2.5, 0.0)
    estimates = [found.expected(age_s) for age_s in (0.0, 0.3, 0.6, 1.5)]
    assert estimates[0] == pytest.approx(2.5)
    assert estimates == sorted(estimates, reverse=True)
    assert estimates[2] < 1.7
    assert found.expected(1.51) == found.measured == 1.0


def test_target_that_stops_reporting_is_measured_again():
    """Guards against an estimate that keeps the last figure."""
    found = speed()
    found.report(2.5, 0.0)
    found.report(None, 0.1)
    assert not found.is_reported(0.1)
    assert found.expected(0.1) == found.measured


@pytest.mark.parametrize('contains_lasting_speed', [True, False])
def test_lasting_speed_is_measured_beside_the_figure(contains_lasting_speed):
    """Guards against counting a lasting speed twice, or not at all.

    A target of 0.6 times the usual speed takes 1 / 0.6 of the usual time. Its
    figure may say so, or only tell of spells.
    """
    found = speed()
    rng = random.Random(3)
    for step in range(300):
        spell = 2.5 if rng.random() < 0.15 else 1.0
        figure = spell / 0.6 if contains_lasting_speed else spell
        found.report(figure, step * 0.2)
        found.measure(spell / 0.6, step * 0.2)
    found.report(2.5 / 0.6 if contains_lasting_speed else 2.5, 60.0)
    assert found.expected(60.0) == pytest.approx(2.5 / 0.6, rel=0.02)


def replay(reports_figure: bool, seed: int) -> float:
    """Return the mean time of requests to 12 targets of uneven speed.

    Spells of 600 ms take 15% of the time, as in the traffic of known
    installations. A target runs its requests at once, so that only the choice
    matters; its answers carry its load.
    """
    rng = random.Random(seed)
    target_outcomes = outcomes.TargetOutcomes(random.Random(seed + 1))
    targets = [test_outcomes.target(f't{number}') for number in range(12)]
    speed_by_id = {
        target.target_id: (0.6, 1.0, 1.6)[number % 3]
        for number, target in enumerate(targets)
    }
    spell_until = dict.fromkeys(speed_by_id, 0.0)
    ends: list[tuple[float, object, float]] = []
    times = []
    for step in range(8000):
        now = step * 0.01
        for target_id in speed_by_id:
            if spell_until[target_id] <= now and rng.random() < 0.01 / 3.4:
                spell_until[target_id] = now + 0.6
        for end in [entry for entry in ends if entry[0] <= now]:
            ends.remove(end)
            _, done, took_s = end
            figure = 2.5 if spell_until[done.target_id] > now else 1.0
            target_outcomes.attempt_finished(done)
            target_outcomes.record_success(
                done,
                took_s,
                requests.ResponseLoad(
                    1, 0, 6, figure if reports_figure else None
                ),
                now,
            )
        chosen = target_outcomes.choose(targets, now)
        factor = 2.5 if spell_until[chosen.target_id] > now else 1.0
        took_s = 0.1 * factor / speed_by_id[chosen.target_id]
        target_outcomes.attempt_started(chosen)
        ends.append((now + took_s, chosen, took_s))
        times.append(took_s)
    return sum(times) / len(times)


def test_reported_figures_shorten_requests():
    """Replays uneven targets with and without figures in their answers."""
    with_figures = [replay(True, seed) for seed in (1, 2, 3)]
    without = [replay(False, seed) for seed in (1, 2, 3)]
    assert sum(with_figures) < sum(without)


def test_crash_ends_what_was_reported():
    """Guards against a figure that outlives the process that reported it."""
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    first = test_outcomes.TARGETS[0]
    target_outcomes.update_load(
        first, requests.ResponseLoad(0, 0, 6, 2.5), 0.0
    )
    assert target_outcomes.describe(first, 0.0)['slowness'] == 2.5
    restarted = test_outcomes.target('t1', incarnation=2)
    assert target_outcomes.describe(restarted, 0.0)['slowness'] == 1.0


def test_nearly_full_target_is_slower():
    """Guards against filling a target because its last figure was good."""
    assert target_speed.crowding_factor(0.5) == 1.0
    assert target_speed.crowding_factor(1.0) == pytest.approx(1.5)
