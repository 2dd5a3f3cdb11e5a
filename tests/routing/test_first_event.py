"""Tests of the forecast of the time to the first event."""

import random

from walnutport.routing import first_event
from walnutport.world import requests


def prompt(tokens: int) -> requests.PromptShape:
    """Return a prompt without shared parts."""
    return requests.PromptShape(tokens, 100, ('own',), (tokens,))


def test_long_prompt_is_forecast_from_short_ones():
    """Guards against refusing the longest prompts of a kind.

    Replays the prompts of a service whose engines prefill 157,000 tokens a
    second and need 0.11 s besides. The time of a short prompt divided by its
    tokens gives a rate ten times too low, so 28 of 44 prompts with more than
    9,000 tokens were refused.
    """
    rng = random.Random(5)
    forecast = first_event.FirstEventForecast()
    for _ in range(200):
        tokens = round(rng.lognormvariate(7.8, 0.8))
        took_s = (0.11 + tokens / 157_000) * rng.uniform(0.7, 1.3)
        forecast.observe(prompt(tokens), took_s)
    expected_s = forecast.expected_s(prompt(30_000))
    assert 0.2 < expected_s < 0.45
    assert 0.09 < forecast.expected_s(prompt(500)) < 0.2


def test_forecast_follows_slower_engines():
    """Guards against admitting requests that slow engines answer late."""
    forecast = first_event.FirstEventForecast()
    for _ in range(100):
        forecast.observe(prompt(2000), 0.05)
        forecast.observe(prompt(6000), 0.08)
    for _ in range(100):
        forecast.observe(prompt(2000), 0.3)
        forecast.observe(prompt(6000), 0.5)
    assert forecast.expected_s(prompt(2000)) > 0.2
    assert forecast.expected_s(prompt(6000)) > 0.35


def test_equal_prompts_give_their_mean_time():
    """Guards against a division by zero and a negative forecast."""
    forecast = first_event.FirstEventForecast()
    for _ in range(1000):
        forecast.observe(prompt(1000), 0.2)
    assert abs(forecast.expected_s(prompt(1000)) - 0.2) < 0.02
    for _ in range(1000):
        forecast.observe(prompt(0), 0.0)
    assert forecast.expected_s(prompt(0)) >= 0.0


def test_forecast_covers_most_of_widely_spread_times():
    """Guards against answers that are late half of the time.

    A line through the middle admits requests of which every second one misses
    its aim when the queue is as long as the aim allows.
    """
    rng = random.Random(6)
    forecast = first_event.FirstEventForecast()
    covered = 0
    for number in range(600):
        took_s = rng.expovariate(1 / 0.2)
        if number >= 200:
            covered += took_s <= forecast.expected_s(prompt(2000))
        forecast.observe(prompt(2000), took_s)
    assert covered > 0.7 * 400
