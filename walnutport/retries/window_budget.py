"""Retries that a host may make within its share of a fleet-wide budget.

When many targets fail at once and every host retries every request, the load
on the remaining targets doubles. Each host therefore stays within its share of
the budget, without communicating with other hosts.
"""

import collections

__all__ = ['SlidingWindowBudget']

# Fraction of the budget that a host uses: its window does not coincide with
# the window over which the limit of the fleet is checked.
SAFETY_FACTOR = 0.8


class SlidingWindowBudget:
    """Limits the retries of one service in a sliding window.

    :param ratio: retries allowed for each first attempt.
    :param slack: retries that this host may make in addition, its share of
        the fleet's retry slack.
    :param window_s: length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.slack = slack
        self._ratio = ratio
        self._window_s = window_s
        self._first_attempts: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._first_attempts.append(now)
        self._drop_expired(now)

    def retract_first_attempt(self) -> None:
        """Uncount a request that was refused before it was sent."""
        if self._first_attempts:
            self._first_attempts.pop()

    def try_acquire(self, now: float) -> bool:
        """Count one retry if the budget allows it."""
        self._drop_expired(now)
        allowed = SAFETY_FACTOR * (
            self._ratio * len(self._first_attempts) + self.slack
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def available(self, now: float) -> float:
        """Return how many retries are left."""
        self._drop_expired(now)
        allowed = SAFETY_FACTOR * (
            self._ratio * len(self._first_attempts) + self.slack
        )
        return max(0.0, allowed - len(self._retries))

    def _drop_expired(self, now: float) -> None:
        start = now - self._window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] < start:
                times.popleft()
