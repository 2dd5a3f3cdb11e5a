"""Repeats that a host may make within its share of a fleet-wide budget.

Load pattern: many targets fail at once and every host repeats every request,
which doubles the load when it hurts most. Each host keeps within its share of
the budget without asking anybody.
"""

import collections

__all__ = ['SlidingWindowBudget']

# Part of the budget that hosts use, as their windows and the judge's differ.
SAFETY = 0.8


class SlidingWindowBudget:
    """Counts first attempts and repeats of one service in a sliding window.

    :param ratio: repeats allowed for each first attempt.
    :param slack: repeats allowed besides, for this host.
    :param window_s: length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.slack = slack
        self._ratio = ratio
        self._window_s = window_s
        self._firsts: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._firsts.append(now)
        self._trim(now)

    def try_acquire(self, now: float) -> bool:
        """Take one repeat if the budget allows it."""
        self._trim(now)
        allowed = SAFETY * (self._ratio * len(self._firsts) + self.slack)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def available(self, now: float) -> float:
        """Return how many repeats are left."""
        self._trim(now)
        allowed = SAFETY * (self._ratio * len(self._firsts) + self.slack)
        return max(0.0, allowed - len(self._repeats))

    def _trim(self, now: float) -> None:
        start = now - self._window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] < start:
                times.popleft()
