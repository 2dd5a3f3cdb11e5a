"""Exponential back-off with full jitter."""

import random

__all__ = ['delay_s']

BASE_S = 0.02
LONGEST_S = 0.5


def delay_s(attempts: int, rng: random.Random) -> float:
    """Return the time to wait after a count of failed attempts.

    >>> 0 <= delay_s(1, random.Random(1)) <= BASE_S
    True
    """
    ceiling = min(LONGEST_S, BASE_S * 2 ** (attempts - 1))
    return rng.uniform(0.0, ceiling)
