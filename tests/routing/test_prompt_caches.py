"""Tests of the expected contents of the caches of engines."""

import random

from tests.routing import test_engines
from walnutport.routing import engines
from walnutport.routing import outcomes
from walnutport.routing import prompt_caches
from walnutport.world import requests


def prompt(*parts: tuple[str, int]) -> requests.PromptShape:
    """Return a prompt with the given parts."""
    return requests.PromptShape(
        sum(tokens for _, tokens in parts),
        50,
        tuple(part_id for part_id, _ in parts),
        tuple(tokens for _, tokens in parts),
    )


def test_part_counts_only_behind_the_parts_before_it():
    """Guards against counting parts that an engine has to prefill again."""
    caches = prompt_caches.PromptCaches()
    engine = test_engines.ENGINES[0]
    caches.record(prompt(('a', 100), ('b', 50), ('c', 10)), engine)
    assert caches.cached_tokens(prompt(('a', 100), ('x', 70)), engine) == 100
    assert caches.cached_tokens(prompt(('x', 70), ('b', 50)), engine) == 0


def test_restarted_engine_holds_nothing():
    """Guards against requests that follow the cache of a crashed engine."""
    caches = prompt_caches.PromptCaches()
    engine = test_engines.ENGINES[0]
    shape = prompt(('a', 100), ('c', 10))
    caches.record(shape, engine)
    restarted = test_engines.engine('e0', 'b')
    assert restarted.incarnation_key == engine.incarnation_key
    assert caches.cached_tokens(shape, restarted) == 110
    caches.forget('e0')
    assert caches.cached_tokens(shape, restarted) == 0


def test_memory_of_an_engine_bounds_its_parts():
    """Guards against parts that the engine has dropped.

    The shared part is kept the longest, as every request uses it. The other
    900 tokens hold the last nine parts.
    """
    caches = prompt_caches.PromptCaches()
    engine = test_engines.ENGINES[0]
    for number in range(50):
        caches.record(
            prompt(('shared', 100), (f'own-{number}', 100)), engine, 1000.0
        )
    held = [
        number
        for number in range(50)
        if caches.cached_tokens(
            prompt(('shared', 100), (f'own-{number}', 100)), engine
        )
        == 200
    ]
    assert held == list(range(41, 50))


def test_dossiers_are_read_by_few_engines():
    """Replays the dossiers of a quiet day on five engines.

    213 dossiers of 13,300 tokens are asked for some 20 times a second, with
    inputs of several megabytes in any of four data centres. Guards against
    one copy of a dossier in each data centre, which makes a quarter of all
    tokens shared parts that are read again.
    """
    rng = random.Random(3)
    caches = prompt_caches.PromptCaches()
    target_outcomes = outcomes.TargetOutcomes(rng)
    pool = test_engines.ENGINES[:5]
    engines_by_dossier: dict[str, set[str]] = {}
    read_tokens = 0
    total_tokens = 0
    for step in range(1000):
        number = min(int(rng.expovariate(0.02)), 212)
        shape = prompt((f'd{number}', 13_300), (f'own-{step}', 1500))
        inputs = {rng.choice('abcd'): 7_500_000}
        chosen = engines.choose_engine(
            pool, target_outcomes, shape, inputs, step / 20, caches=caches
        )
        cached = caches.cached_tokens(shape, chosen)
        read_tokens += shape.input_tokens - cached
        total_tokens += shape.input_tokens
        caches.record(shape, chosen, 1_222_764.0)
        engines_by_dossier.setdefault(f'd{number}', set()).add(
            chosen.target_id
        )
    copies = sum(len(found) for found in engines_by_dossier.values())
    assert copies < 1.2 * len(engines_by_dossier)
    assert read_tokens < 0.35 * total_tokens


def test_busy_engine_does_not_keep_its_requests():
    """Guards against a hot dossier that waits at one engine."""
    caches = prompt_caches.PromptCaches()
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    shape = prompt(('hot', 13_300), ('own', 1500))
    holder = test_engines.ENGINES[3]
    caches.record(shape, holder)

    def choose():
        return engines.choose_engine(
            test_engines.ENGINES,
            target_outcomes,
            shape,
            {},
            0.1,
            caches=caches,
        )

    assert choose() is holder
    target_outcomes.update_load(holder, requests.ResponseLoad(64, 9, 64), 0.0)
    assert choose() is not holder
