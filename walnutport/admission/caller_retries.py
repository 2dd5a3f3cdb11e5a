"""Detection of requests that callers retry.

During a burst every refused caller retries once, with less time left. Such a
request has only the rest of its aim, and it is preferred over new ones, as a
second refusal leaves no time for a third attempt. Each attempt has an id of
its own. The content shows that a request was refused before, and a deadline
that is shorter than usual shows any earlier attempt, also one that was lost on
its way, where all callers of a route send the same deadline.
"""

import collections

__all__ = ['DeadlineHistory', 'RefusedRequests']

# Bound of the memory; a burst of 1000 refusals a second is remembered for the
# time in which callers return.
MAX_REQUESTS = 20_000
# A caller whose deadline is longer returns within this time or not at all.
MAX_RETENTION_S = 30.0
# Number of recent deadlines kept for each route.
HISTORY_LENGTH = 64
# Share of these that the usual deadline must have; where callers choose their
# deadlines, a shorter one shows nothing.
MIN_USUAL_SHARE = 0.25
# A caller whose deadline is shorter than usual by more than this is retrying.
MIN_EARLIER_S = 0.1
# Resolution at which deadlines are compared.
DEADLINE_STEP_S = 0.01


class DeadlineHistory:
    """Recent deadlines of the callers of each route.

    The most frequent deadline counts, so a single caller with an unusual
    deadline does not make all others look like retries.
    """

    def __init__(self) -> None:
        self._steps_by_route: dict[str, collections.deque[int]] = {}

    def spent_s(self, route: str, remaining_s: float | None) -> float:
        """Return the time that a caller has used up in earlier attempts.

        :param remaining_s: time for which the caller still waits; None if
            unknown.
        :returns: seconds; 0 if the deadlines of the route show nothing.
        """
        if remaining_s is None:
            return 0.0
        steps = self._steps_by_route.get(route)
        if steps is None:
            steps = collections.deque(maxlen=HISTORY_LENGTH)
            self._steps_by_route[route] = steps
        steps.append(round(remaining_s / DEADLINE_STEP_S))
        usual_step, count = collections.Counter(steps).most_common(1)[0]
        if count < MIN_USUAL_SHARE * len(steps):
            return 0.0
        earlier_s = usual_step * DEADLINE_STEP_S - remaining_s
        return earlier_s if earlier_s > MIN_EARLIER_S else 0.0

    def retain_routes(self, routes: set[str]) -> None:
        """Drop the history of routes that are no longer in force."""
        for route in self._steps_by_route.keys() - routes:
            del self._steps_by_route[route]


class RefusedRequests:
    """Contents that were refused, with the time of their first refusal.

    Times are seconds of a monotonic clock, passed in as ``now``.
    """

    def __init__(self) -> None:
        # In the order of the first refusal.
        self._refused_at_by_content: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def spent_s(self, content: bytes, now: float) -> float:
        """Return the time since the first refusal of a request.

        :param content: digest of the content of the request.
        :returns: seconds; 0 if it was not refused before.
        """
        refused_at = self._refused_at_by_content.get(content)
        if refused_at is None or now - refused_at > MAX_RETENTION_S:
            return 0.0
        return max(0.0, now - refused_at)

    def record(self, content: bytes, now: float) -> None:
        """Remember a refusal, unless an earlier one is remembered."""
        self._forget_expired(now)
        if content:
            self._refused_at_by_content.setdefault(content, now)

    def _forget_expired(self, now: float) -> None:
        while self._refused_at_by_content:
            content, refused_at = next(
                iter(self._refused_at_by_content.items())
            )
            if (
                now - refused_at <= MAX_RETENTION_S
                and len(self._refused_at_by_content) < MAX_REQUESTS
            ):
                return
            del self._refused_at_by_content[content]
