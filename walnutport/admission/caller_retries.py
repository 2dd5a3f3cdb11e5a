"""Detection of requests that callers retry after a refusal.

During a burst every refused caller retries once, with less time left. Such a
request has only the rest of its aim, and it is preferred over new ones, as a
second refusal leaves no time for a third attempt.
"""

import collections

__all__ = ['CallerRetryDetector']

# Number of recent deadlines kept per route; most of them belong to first
# attempts.
HISTORY_LENGTH = 64
# A caller whose deadline is shorter than usual by more than this is retrying.
MIN_EARLIER_S = 0.1
# Resolution at which deadlines are compared.
DEADLINE_STEP_S = 0.01


class CallerRetryDetector:
    """Detects retries by comparison with the usual deadline of a route.

    The most frequent deadline counts, so a single caller with an unusual
    deadline does not make all others look like retries.
    """

    def __init__(self) -> None:
        self._steps_by_route: dict[str, collections.deque[int]] = {}

    def earlier_attempts_s(
        self, route: str, remaining_s: float | None
    ) -> float:
        """Return the time that a caller has used up in earlier attempts.

        :param remaining_s: time for which the caller still waits; None if
            unknown.
        """
        if remaining_s is None:
            return 0.0
        steps = self._steps_by_route.get(route)
        if steps is None:
            steps = collections.deque(maxlen=HISTORY_LENGTH)
            self._steps_by_route[route] = steps
        steps.append(round(remaining_s / DEADLINE_STEP_S))
        usual_s = (
            collections.Counter(steps).most_common(1)[0][0] * DEADLINE_STEP_S
        )
        earlier_s = usual_s - remaining_s
        return earlier_s if earlier_s > MIN_EARLIER_S else 0.0

    def retain_routes(self, routes: set[str]) -> None:
        """Drop the history of routes that are no longer in force."""
        for route in self._steps_by_route.keys() - routes:
            del self._steps_by_route[route]
