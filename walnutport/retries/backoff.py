"""Exponential backoff with full jitter."""

import random

__all__ = ['delay_s']

BASE_DELAY_S = 0.02
MAX_DELAY_S = 0.5


def delay_s(attempts: int, rng: random.Random) -> float:
    """Return a random delay before the next attempt.

    :param attempts: failed attempts so far, at least one.

    >>> 0 <= delay_s(1, random.Random(1)) <= BASE_DELAY_S
    True
    """
    ceiling = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** (attempts - 1))
    return rng.uniform(0.0, ceiling)
