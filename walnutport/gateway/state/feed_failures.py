"""Logs unexpected errors of what follows a feed, which goes on."""

import traceback

__all__ = ['FeedFailures']

# Only this many characters at the end of a traceback are logged.
MAX_TRACE_CHARACTERS = 1500
# Bound of the errors that were logged once.
MAX_LOGGED_ERRORS = 100


class FeedFailures:
    """Unexpected errors in reading or applying a feed.

    An error that no layer declares must not end the coroutine that follows a
    feed: the host would serve from what it knew then, and no log line would
    tell.

    :param feed: name of the feed.
    :ivar count: errors since the start.
    """

    def __init__(self, log, feed: str) -> None:
        self._log = log
        self._feed = feed
        self._logged: set[str] = set()
        self.count = 0

    def add(self, problem: Exception) -> None:
        """Count the error that is being handled, and log it once."""
        self.count += 1
        description = repr(problem)
        if (
            description in self._logged
            or len(self._logged) >= MAX_LOGGED_ERRORS
        ):
            return
        self._logged.add(description)
        self._log.notable(
            'feed_failed',
            feed=self._feed,
            problem=description,
            trace=traceback.format_exc()[-MAX_TRACE_CHARACTERS:],
        )

    def totals(self) -> dict[str, float]:
        """Return the counter by name."""
        return {f'feed_failures_total{{feed="{self._feed}"}}': self.count}
