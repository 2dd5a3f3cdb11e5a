"""Registers this host in the store and finds the other hosts there."""

from collections.abc import Callable
import random

import msgspec
from twisted.internet import defer
from twisted.internet import task

from walnutport import exceptions
from walnutport.gateway.peers import peers
from walnutport.gateway.state import feed_failures
from walnutport.gateway.state import unreadable_records
from walnutport.peer import fleet_messages
from walnutport.world import feeds

__all__ = ['HostDirectory']

# Limits the calls to the store when many hosts start while it is unavailable.
RETRY_DELAY_S = 1.0
# Hosts publish again within this time after the store has returned from an
# older copy, so that their calls stay within its rates. Until then, a host
# that starts cannot find them.
PUBLISH_AGAIN_WITHIN_S = 0.5


class HostDirectory:
    """Directory of the hosts in the store.

    :param is_stopping: returns whether this host is shutting down.
    """

    def __init__(
        self,
        reactor,
        log,
        store: feeds.FeedStore,
        mesh: peers.PeerMesh,
        rng: random.Random,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._store = store
        self._mesh = mesh
        self._rng = rng
        self._is_stopping = is_stopping
        self._unreadable = unreadable_records.UnreadableRecords('hosts')
        self._failures = feed_failures.FeedFailures(log, 'hosts')
        # Whether the record of this host has to be written, and whether a
        # coroutine is doing that.
        self._must_publish = True
        self._is_running = False

    def join(self) -> None:
        """Publish this host, then read the records of the others.

        In this order, at least one of two hosts that start at the same time
        sees the other. A read before shows the era of the store.
        """
        self._start(0.0)

    def publish_again(self) -> None:
        """Publish this host once more, as its record may be lost.

        The store has returned from an older copy. Hosts that started since
        that copy would stay unknown to those that start later.
        """
        self._must_publish = True
        self._start(self._rng.uniform(0.0, PUBLISH_AGAIN_WITHIN_S))

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {**self._unreadable.totals(), **self._failures.totals()}

    def _start(self, delay_s: float) -> None:
        if not self._is_running:
            self._is_running = True
            defer.Deferred.fromCoroutine(self._synchronize(delay_s))

    async def _synchronize(self, delay_s: float) -> None:
        has_read = False
        while not self._is_stopping():
            if delay_s:
                await task.deferLater(self._reactor, delay_s)
            delay_s = RETRY_DELAY_S
            try:
                if self._must_publish:
                    # Cleared first: a new era during the call needs another.
                    self._must_publish = False
                    has_read = False
                    await self._publish()
                if not has_read:
                    self._add_hosts(
                        await self._store.read_newest(feeds.Feed.HOSTS)
                    )
                    self._mesh.hosts_read()
                    self._mesh.dial_chosen()
                    has_read = True
                if not self._must_publish:
                    break
            except exceptions.LogServiceError as problem:
                self._log.notable('hosts_unknown', problem=str(problem))
            except Exception as problem:
                self._failures.add(problem)
                has_read = False
        self._is_running = False

    async def _publish(self) -> None:
        try:
            if not self._store.era:
                await self._store.read_newest(feeds.Feed.HOSTS)
            own = msgspec.structs.replace(
                self._mesh.own_record, era=self._store.era
            )
            self._mesh.own_record = own
            await self._store.publish(
                feeds.Feed.HOSTS, own.name, fleet_messages.encode_host(own)
            )
        except Exception:
            self._must_publish = True
            raise

    def _add_hosts(self, page: feeds.FeedPage) -> None:
        for record in page.records:
            try:
                host = fleet_messages.decode_host(record.value or b'')
            except exceptions.CodecError as problem:
                if self._unreadable.add(record.key, problem):
                    self._log.notable(
                        'host_unreadable', key=record.key, problem=str(problem)
                    )
                continue
            self._mesh.add_host(host)
