"""Tells callers that come back after a refusal from new ones.

Load pattern: in a burst every refused caller comes back once, with less time
left. A request that comes back must be judged by what is left of its aim, and
goes before a new one, as a second refusal leaves it no third try.
"""

import collections

__all__ = ['CallerRetryDetector']

# Deadlines of a route that are remembered; most of them are first tries.
REMEMBERED = 64
# A caller whose deadline is this much shorter than usual is on a later try.
RETURNED_AFTER_S = 0.1
# Deadlines are told apart at this step.
STEP_S = 0.01


class CallerRetryDetector:
    """Usual deadline of the callers of each route.

    The most frequent one counts, so a caller with a deadline of its own does
    not make all others look late.
    """

    def __init__(self) -> None:
        self._steps_by_route: dict[str, collections.deque[int]] = {}

    def earlier_attempts_s(self, route: str, wait_s: float | None) -> float:
        """Return the time that a caller has used up in earlier tries.

        :param wait_s: how long the caller still waits; None if not said.
        """
        if wait_s is None:
            return 0.0
        steps = self._steps_by_route.get(route)
        if steps is None:
            steps = collections.deque(maxlen=REMEMBERED)
            self._steps_by_route[route] = steps
        steps.append(round(wait_s / STEP_S))
        usual = collections.Counter(steps).most_common(1)[0][0] * STEP_S
        spent = usual - wait_s
        return spent if spent > RETURNED_AFTER_S else 0.0

    def retain_routes(self, routes: set[str]) -> None:
        """Forget the routes that are not in force any more."""
        for route in self._steps_by_route.keys() - routes:
            del self._steps_by_route[route]
