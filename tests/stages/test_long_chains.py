"""Replays of contention between kinds with chains of different length."""

import functools
import itertools

import pytest

from tests.stages import long_chains
from tests.stages import replay

# How much less often than a less urgent kind of the same services a kind may
# be served, and how much less of its worth it may earn.
MAX_SERVED_LESS = 0.05
MAX_EARNED_LESS = 0.15
# Fraction of the jobs of a kind under its share that may be late.
MAX_LATE = 0.05
# Worth that every kind earns at least.
WORTH_FLOOR = 0.36


@functools.cache
def replayed(setting: str) -> long_chains.LongChains:
    """Replay the load."""
    return long_chains.LongChains(long_chains.SETTINGS[setting]).run()


def pairs() -> list[tuple[replay.Kind, replay.Kind]]:
    """Return each kind with each less urgent one."""
    ranked = sorted(long_chains.KINDS, key=lambda kind: kind.urgency)
    return list(itertools.combinations(ranked, 2))


@pytest.mark.parametrize('setting', long_chains.SETTINGS)
def test_no_kind_is_served_less_than_a_less_urgent_one(setting):
    """Guards against urgent kinds that are refused for less urgent ones."""
    found = replayed(setting)
    for kind, other in pairs():
        least = found.served(kind=other.name) - MAX_SERVED_LESS
        assert found.served(kind=kind.name) >= least, found.figures()


@pytest.mark.parametrize('setting', long_chains.SETTINGS)
def test_no_kind_earns_less_than_a_less_urgent_one(setting):
    """Guards against urgent kinds that are late for less urgent ones."""
    found = replayed(setting)
    for kind, other in pairs():
        least = found.worth(kind=other.name) - MAX_EARNED_LESS
        assert found.worth(kind=kind.name) >= least, found.figures()


@pytest.mark.parametrize('setting', long_chains.SETTINGS)
def test_every_kind_earns_the_floor(setting):
    """Guards against a kind that the others crowd out."""
    found = replayed(setting)
    for kind in long_chains.KINDS:
        earned = found.worth(kind=kind.name)
        assert earned >= WORTH_FLOOR, found.figures()


def test_few_jobs_of_a_kind_under_its_share_are_late():
    """Guards against less urgent jobs that delay a chain of full calls."""
    found = replayed('full_calls')
    asked = found.select(kind=long_chains.LONG_CHAIN.name)
    late = sum(item.done_at is not None and not item.on_time for item in asked)
    assert late <= MAX_LATE * len(asked), found.figures()
