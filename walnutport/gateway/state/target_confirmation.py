"""Reads the targets from the store when a decision needs the present state.

What a host knows of the targets is up to a second old, and older on a host
that was out of touch. A target may have started again since with another
software version, or the first target of a new version may have begun streams.
A read that began after a moment shows all that was registered until then, as
the responses of the store are linearizable.
"""

from collections.abc import Callable
from collections.abc import Coroutine
import math
import time

from twisted.internet import defer

__all__ = ['CONFIRM_LIMIT_S', 'TargetConfirmation']

# The store answers within milliseconds; without an answer by then, it counts
# as away.
CONFIRM_LIMIT_S = 0.3


class TargetConfirmation:
    """Reads the targets on request, with one read for all that wait.

    :param read: reads the targets and applies them, and then calls
        ``read_succeeded``.
    :ivar read_count: reads that were made on request.
    """

    def __init__(
        self,
        reactor,
        read: Callable[[], Coroutine[object, object, None]],
    ) -> None:
        self._reactor = reactor
        self._read = read
        # When the last read began that has succeeded.
        self._confirmed_at = -math.inf
        self._running: defer.Deferred | None = None
        self._running_since = -math.inf
        self._waiters: list[defer.Deferred] = []
        self.read_count = 0

    def read_succeeded(self, began_at: float) -> None:
        """Record a read of any kind that was applied.

        :param began_at: when it was sent.
        """
        self._confirmed_at = max(self._confirmed_at, began_at)

    async def confirm(self, at: float) -> bool:
        """Make sure that the targets are known as of a moment.

        :param at: monotonic time, not in the future.
        :returns: False if the store does not answer in time.
        """
        limit_at = time.monotonic() + CONFIRM_LIMIT_S
        while self._confirmed_at < at:
            left_s = limit_at - time.monotonic()
            if left_s <= 0:
                return False
            is_new = self._running is None
            if self._running is None:
                self._start()
            if not await self._wait(left_s) and is_new:
                return False
        return True

    def _start(self) -> None:
        self.read_count += 1
        self._running_since = time.monotonic()
        self._running = defer.Deferred.fromCoroutine(self._read())
        self._running.addBoth(self._ended)

    def _ended(self, _: object) -> None:
        self._running = None
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(self._has_succeeded())

    def _has_succeeded(self) -> bool:
        """Return whether the last read on request was applied."""
        return self._confirmed_at >= self._running_since

    def _wait(self, limit_s: float) -> defer.Deferred:
        """Return a result that fires when the running read has ended.

        :returns: its result is whether the read was applied.
        """
        waiter: defer.Deferred = defer.Deferred()
        if self._running is None:
            # It has ended at once.
            waiter.callback(self._has_succeeded())
            return waiter
        self._waiters.append(waiter)
        waiter.addTimeout(
            limit_s, self._reactor, lambda result, timeout: False
        )
        return waiter
