"""Follows streams of the log service by long polling."""

from collections.abc import Mapping
from collections.abc import Sequence
import logging

from twisted.internet import defer
from twisted.internet import task

from walnutport import interfaces

__all__ = ['LogReader']

LOG = logging.getLogger(__name__)
PREFIX = 'log:'

_RETRY_DELAY_S = 0.25


class LogReader:
    """Reads every followed stream with one poll and passes on the pages.

    A context manager that reads from enter to exit.

    :param poll_wait_s: longest wait of one poll in seconds.
    """

    def __init__(
        self,
        log: interfaces.LogService,
        followers: Sequence[interfaces.LogFollower],
        clock: interfaces.Clock,
        reactor,
        poll_wait_s: float,
    ) -> None:
        self._log = log
        self._followers_by_stream = {
            follower.stream: follower for follower in followers
        }
        self._clock = clock
        self._reactor = reactor
        self._poll_wait_s = poll_wait_s
        self._reading: defer.Deferred[None] | None = None
        self.last_success: float | None = None
        self.available = False
        self.failures = 0

    def add_follower(self, follower: interfaces.LogFollower) -> None:
        """Follow another stream."""
        self._followers_by_stream[follower.stream] = follower

    def __enter__(self) -> 'LogReader':
        self._reading = defer.Deferred.fromCoroutine(self._run())
        self._reading.addErrback(
            lambda failure: failure.trap(defer.CancelledError)
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._reading is not None:
            self._reading.cancel()
            self._reading = None

    async def _run(self) -> None:
        while True:
            if not await self._poll():
                await task.deferLater(self._reactor, _RETRY_DELAY_S)

    async def _poll(self) -> bool:
        offsets = {
            stream: follower.start_offset()
            for stream, follower in self._followers_by_stream.items()
        }
        wait_s = self._poll_wait_s if self.available else 0.0
        result = await self._log.read(offsets, wait_s)
        if result.is_error():
            if self.available or self.failures == 0:
                LOG.warning('%s read failed: %s', PREFIX, result.error)
            self.available = False
            self.failures += 1
            return False
        now = self._clock.monotonic()
        if not self._apply(result.ok, now):
            self.available = False
            self.failures += 1
            return False
        if not self.available:
            LOG.info('%s log service is available', PREFIX)
        self.available = True
        self.last_success = now
        return True

    def _apply(
        self, page_by_stream: Mapping[str, interfaces.StreamPage], now: float
    ) -> bool:
        """Pass on the pages; return whether every follower applied its own.

        A follower that raises has not followed its stream. It gets the page
        again after a pause, and the others go on.
        """
        succeeded = True
        for stream, page in page_by_stream.items():
            follower = self._followers_by_stream.get(stream)
            # A response may name a stream that was not requested.
            if follower is None:
                continue
            try:
                follower.apply(page, now)
            except Exception:
                LOG.exception('%s stream %s was not applied', PREFIX, stream)
                succeeded = False
        return succeeded
