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
