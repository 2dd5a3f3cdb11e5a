"""Reads the feed of the desired state from the store."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

from twisted.internet import defer
from twisted.internet import task

from walnutport import exceptions
from walnutport.gateway.state import feed_failures
from walnutport.world import feeds

__all__ = ['DesiredReader']

# Longest time that the store holds a read until there is a new record (long
# polling).
HELD_READ_S = 25.0
# The same for a host that reads the store for its peers, or has failed to read
# a newer state. The answer to a read may be lost and a connection may fall
# silent without a reset, which shows only when a response is overdue.
HELD_READ_FOR_PEERS_S = 1.0
INITIAL_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 1.0


class DesiredReader:
    """Reads that the store holds until there is a new record.

    :param store: the installation's store.
    :param on_page: called with the records of each successful read; the next
        read begins when it is done.
    :param on_failure: called with the error of each failed read.
    :ivar failures: unexpected errors of reads and of ``on_page``.
    """

    def __init__(
        self,
        reactor,
        log,
        store: feeds.FeedStore,
        on_page: Callable[[feeds.FeedPage], Awaitable[None]],
        on_failure: Callable[[Exception], None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._store = store
        self._on_page = on_page
        self._on_failure = on_failure
        self.failures = feed_failures.FeedFailures(log, 'desired')
        # Offset to read from next, None before a read of the newest records,
        # and the era that it belongs to.
        self._offset: int | None = None
        self._era = 0
        self._read: defer.Deferred | None = None
        self._read_since = 0.0
        self._pause_call: defer.Deferred | None = None
        # Whether the next read is one that a newer state has called for.
        self._is_repeat = False
        self._read_at = 0.0
        # Whether the store held the last read for a while.
        self._was_held = False
        self._reads_for_peers = False
        self._stopped = False

    def start(self) -> None:
        """Start to read."""
        defer.Deferred.fromCoroutine(self._run())

    def stop(self) -> None:
        """Stop once the read in flight is complete."""
        self._stopped = True

    def age_s(self) -> float:
        """Return the seconds since the store last answered."""
        return time.monotonic() - self._read_at

    def read_age_s(self) -> float:
        """Return the age of the read in flight, 0 if there is none."""
        if self._read is None:
            return 0.0
        return time.monotonic() - self._read_since

    @property
    def reads_for_peers(self) -> bool:
        """Whether other hosts rely on the reads of this one."""
        return self._reads_for_peers

    def read_again(self) -> None:
        """Read at once, as the store has a state that no read has brought.

        The read in flight will not be answered, or the next one is paused
        after a failure.
        """
        self._is_repeat = True
        self._abandon_read()
        if self._pause_call is not None:
            self._pause_call.cancel()

    def set_reads_for_peers(self, reads_for_peers: bool) -> None:
        """Set whether other hosts rely on the reads of this one."""
        has_started = reads_for_peers and not self._reads_for_peers
        self._reads_for_peers = reads_for_peers
        if has_started and self._offset is not None:
            # The connection of the held read may have fallen silent.
            self._abandon_read()

    def enter_era(self, era: int) -> None:
        """Abandon a held read whose offset is of an earlier era.

        The store may have no record at that offset for long, and new ones
        below it.
        """
        if self._era < era and self._offset is not None:
            self._offset = None
            self._abandon_read()

    def _abandon_read(self) -> None:
        """Cancel the read in flight, if any; the next one follows at once."""
        if self._read is not None:
            self._read.cancel()

    async def _run(self) -> None:
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while not self._stopped:
            try:
                page = await self._next_page()
            except defer.CancelledError:
                continue
            except exceptions.RecordsExpired:
                self._log.notable('desired_expired', offset=self._offset)
                self._offset = None
                await self._pause(INITIAL_RETRY_DELAY_S)
                continue
            except exceptions.LogServiceError as problem:
                self._on_failure(problem)
                await self._pause(retry_delay_s)
                retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)
                continue
            except Exception as problem:
                self.failures.add(problem)
                await self._pause(MAX_RETRY_DELAY_S)
                continue
            retry_delay_s = INITIAL_RETRY_DELAY_S
            if page is None:
                continue
            self._offset = page.end
            self._era = page.era
            self._read_at = time.monotonic()
            try:
                await self._on_page(page)
            except Exception as problem:
                self.failures.add(problem)
                # The records are applied in part, or not at all.
                self._offset = None
                await self._pause(MAX_RETRY_DELAY_S)
                continue
            if not page.records and not self._was_held:
                # The operator has not written a desired state yet.
                await self._pause(INITIAL_RETRY_DELAY_S)

    async def _next_page(self) -> feeds.FeedPage | None:
        """Read on, or read the newest records.

        :returns: None if the store has entered another era since the offset
            of the read was valid.
        """
        started_at = self._read_since = time.monotonic()
        offset = self._offset
        is_held_long = not (self._reads_for_peers or self._is_repeat)
        self._is_repeat = False
        if offset is None or self._store.era != self._era:
            offset = None
            reading = self._store.read_newest(feeds.Feed.DESIRED)
        else:
            reading = self._store.read(
                feeds.Feed.DESIRED,
                offset,
                HELD_READ_S if is_held_long else HELD_READ_FOR_PEERS_S,
            )
        self._read = defer.Deferred.fromCoroutine(reading)
        try:
            page = await self._read
        finally:
            self._read = None
        self._was_held = time.monotonic() - started_at > INITIAL_RETRY_DELAY_S
        if offset is None:
            return dataclasses.replace(page, lists_all=True)
        return page if page.era == self._era else None

    async def _pause(self, delay_s: float) -> None:
        """Wait, unless a read is called for meanwhile."""
        self._pause_call = task.deferLater(self._reactor, delay_s)
        try:
            await self._pause_call
        except defer.CancelledError:
            pass
        finally:
            self._pause_call = None
