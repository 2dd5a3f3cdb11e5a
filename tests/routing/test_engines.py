"""Tests of the choice of a model engine."""

import collections
import random

from walnutport.routing import engines
from walnutport.routing import outcomes
from walnutport.world import registrations
from walnutport.world import requests


def engine(name: str, data_centre: str) -> registrations.RegisteredTarget:
    """Return an engine with 64 slots."""
    return registrations.RegisteredTarget(
        name, 1, 'llm', ('10.0.0.1', 80), data_centre, 64, False, 0.0
    )


ENGINES = [engine(f'e{number}', 'abcd'[number % 4]) for number in range(9)]
PROMPT = requests.PromptShape(9000, 50, ('p1', 's7', 'x'), (2500, 3800, 2700))


def test_hosts_choose_the_same_engine_for_a_prompt():
    """Guards against prefilling a shared prompt part on every engine.

    The result must depend neither on the order of engines nor on the seed.
    """
    chosen = {
        engines.choose_engine(
            random.Random(seed).sample(ENGINES, 9),
            outcomes.TargetOutcomes(random.Random(seed)),
            PROMPT,
            {},
            0.0,
        ).target_id
        for seed in range(10)
    }
    assert len(chosen) == 1


def test_large_inputs_stay_in_their_data_centre():
    """Guards against transferring large inputs between data centres."""
    for data_centre in 'abcd':
        chosen = engines.choose_engine(
            ENGINES,
            outcomes.TargetOutcomes(random.Random(1)),
            PROMPT,
            {data_centre: 9_000_000},
            0.0,
        )
        assert chosen.data_centre == data_centre


def test_loaded_engine_is_avoided():
    """Guards against queueing at one engine while others are idle."""
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    first = engines.choose_engine(ENGINES, target_outcomes, PROMPT, {}, 0.0)
    target_outcomes.update_load(first, requests.ResponseLoad(64, 10, 64), 0.0)
    second = engines.choose_engine(ENGINES, target_outcomes, PROMPT, {}, 0.1)
    assert second.target_id != first.target_id


def test_tried_engines_are_excluded():
    """Guards against a second attempt on the same engine."""
    tried = {entry.target_id for entry in ENGINES[:8]}
    chosen = engines.choose_engine(
        ENGINES,
        outcomes.TargetOutcomes(random.Random(1)),
        PROMPT,
        {},
        0.0,
        tried,
    )
    assert chosen is ENGINES[8]


def test_first_requests_of_all_hosts_spread_over_the_engines():
    """Guards against one engine for the first request of each host.

    After all hosts lost power, none knows any load. 195 hosts are 5.4 requests
    for each of 36 engines.
    """
    pool = [engine(f'e{number}', 'abcd'[number % 4]) for number in range(36)]
    own_prompt = requests.PromptShape(900, 50, ('x',), (900,))
    for prompt in (None, own_prompt):
        counts = collections.Counter(
            engines.choose_engine(
                pool,
                outcomes.TargetOutcomes(random.Random(host)),
                prompt,
                {},
                0.0,
            ).target_id
            for host in range(195)
        )
        assert len(counts) > 30
        assert max(counts.values()) < 3 * 195 / 36


def test_reported_load_places_the_next_requests():
    """Guards against first requests at engines that have reported a queue."""
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    for loaded in ENGINES[:6]:
        target_outcomes.update_load(
            loaded, requests.ResponseLoad(60, 3, 64), 0.0
        )
    for number in range(20):
        chosen = engines.choose_engine(
            ENGINES, target_outcomes, PROMPT, {}, 0.001 * number
        )
        assert chosen in ENGINES[6:]
