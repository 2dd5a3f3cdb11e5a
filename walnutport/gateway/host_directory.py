"""Makes this host known through the store and finds the others there."""

from collections.abc import Callable

from twisted.internet import task

from walnutport import exceptions
from walnutport.gateway import peers
from walnutport.peer import fleet_messages
from walnutport.world import feeds

__all__ = ['HostDirectory']

# Bounds the calls of a fleet that starts while the store is away.
RETRY_S = 1.0


class HostDirectory:
    """Entries of the hosts in the store.

    :param stopping: tells whether this host is being stopped.
    """

    def __init__(
        self,
        reactor,
        log,
        store: feeds.FeedStore,
        mesh: peers.PeerMesh,
        stopping: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._store = store
        self._mesh = mesh
        self._stopping = stopping

    async def join(self) -> None:
        """Publish this host, then look who else is there.

        In this order, one of two hosts that start together sees the other.
        """
        own = self._mesh.own
        published = False
        while not self._stopping():
            try:
                if not published:
                    await self._store.publish(
                        feeds.Feed.HOSTS,
                        own.name,
                        fleet_messages.encode_host(own),
                    )
                    published = True
                self._learn(await self._store.newest(feeds.Feed.HOSTS))
                return
            except exceptions.LogServiceError as problem:
                self._log.notable('hosts_unknown', problem=str(problem))
                await task.deferLater(self._reactor, RETRY_S)

    def _learn(self, page: feeds.FeedPage) -> None:
        for record in page.records:
            try:
                host = fleet_messages.decode_host(record.value or b'')
            except exceptions.CodecError as problem:
                self._log.notable(
                    'host_unreadable', key=record.key, problem=str(problem)
                )
                continue
            self._mesh.learn(host)
