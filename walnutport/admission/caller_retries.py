"""Detection of requests that callers retry after a refusal.

During a burst every refused caller retries once, with less time left. Such a
request has only the rest of its aim, and it is preferred over new ones, as a
second refusal leaves no time for a third attempt. Each attempt has an id of
its own, and the deadlines of callers differ, so that only the content shows
that a request has come before.
"""

import collections

__all__ = ['RefusedRequests']

# Bound of the memory; a burst of 1000 refusals a second is remembered for the
# time in which callers return.
MAX_REQUESTS = 20_000
# A caller whose deadline is longer returns within this time or not at all.
MAX_RETENTION_S = 30.0


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
