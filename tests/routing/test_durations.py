"""Tests of the forecast of durations."""

import random

import pytest

from walnutport.routing import durations


def test_most_durations_are_below_the_forecast():
    """Guards against work that is accepted and takes longer than expected."""
    rng = random.Random(1)
    forecast = durations.DurationForecast(1.0, 0.02)
    below = 0
    for number in range(600):
        tokens = rng.randrange(20, 400)
        took_s = tokens * rng.uniform(0.01, 0.03)
        if number >= 100:
            below += took_s <= forecast.expected_s('chat', tokens)
        forecast.observe('chat', took_s, tokens)
    assert below / 500 >= 0.95


@pytest.mark.parametrize('spread', [0.5, 0.8])
def test_most_durations_with_a_long_tail_are_below_the_forecast(spread):
    """Guards against streams that a stopping host takes and cuts off."""
    rng = random.Random(1)
    forecast = durations.DurationForecast(1.0)
    below = 0
    for number in range(2100):
        took_s = rng.lognormvariate(0.0, spread)
        if number >= 100:
            below += took_s <= forecast.expected_s('report')
        forecast.observe('report', took_s)
    assert below / 2000 >= 0.95


def test_forecast_follows_a_slower_pace():
    """Guards against the pace of an idle service that is busy now."""
    forecast = durations.DurationForecast(1.0, 0.02)
    for _ in range(50):
        forecast.observe('chat', 1.0, 100)
    assert forecast.expected_s('chat', 100) < 1.1
    for _ in range(20):
        forecast.observe('chat', 4.0, 100)
    assert forecast.expected_s('chat', 100) > 4.0


def test_names_and_missing_units_are_kept_apart():
    """Guards against the time of one service that counts for another."""
    forecast = durations.DurationForecast(1.0, 0.02)
    forecast.observe('chat', 9.0, 100)
    assert forecast.expected_s('draft', 100) < 3.0
    assert forecast.expected_s('chat') < 2.0
    forecast.observe('chat', 9.0)
    assert forecast.expected_s('chat') > 9.0


@pytest.mark.parametrize('count', [1, 3, 10])
def test_few_measurements_leave_a_margin(count):
    """Guards against a host that has just started and stops again.

    It has seen some short durations of a name whose long ones take ten times
    as long, and takes what it will cut off.
    """
    rng = random.Random(1)
    below = 0
    for _ in range(400):
        forecast = durations.DurationForecast(0.5)
        for _ in range(count):
            forecast.observe('report', rng.uniform(0.2, 2.0))
        below += rng.uniform(0.2, 2.0) <= forecast.expected_s('report')
    assert below / 400 >= 0.9


def test_broken_off_duration_counts_if_it_was_longer():
    """Guards against the longest streams, cut off, that never count."""
    forecast = durations.DurationForecast(1.0)
    for _ in range(50):
        forecast.observe('report', 1.0)
    before_s = forecast.expected_s('report')
    forecast.observe_unfinished('report', 0.5)
    assert forecast.expected_s('report') == before_s
    forecast.observe_unfinished('report', 3.0)
    assert forecast.expected_s('report') > 3.0
