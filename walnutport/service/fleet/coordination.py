"""Owns what a host shares with its peers: messages, membership, state."""

import contextlib

from walnutport.adapters import http_client
from walnutport.catalogue import follower
from walnutport.config import settings as config
from walnutport import interfaces
from walnutport.peer import codec
from walnutport.peer import messages
from walnutport.service.fleet import heartbeats
from walnutport.service.fleet import peers
from walnutport.service.records import catalogue_sync
from walnutport.service.records import log_reader
from walnutport.service.targets import target_watch
from walnutport import world

__all__ = ['Coordination']


class Coordination:
    """Peer network, heartbeats, target watch and catalogue keeper.

    A context manager that owns the sockets between hosts.

    :raises PeerError: if a key file is missing or too short.
    """

    def __init__(
        self,
        settings: config.HostSettings,
        incarnation: int,
        watch: target_watch.TargetWatch,
        catalogue: follower.CatalogueFollower,
        reader: log_reader.LogReader,
        log: interfaces.LogService,
        is_ready,
        clock: interfaces.Clock,
        reactor,
    ) -> None:
        origin = messages.PeerOrigin(settings.host_id, incarnation)
        keys = settings.peers.keys
        self.watch = watch
        self.network = peers.PeerNetwork(
            world.Address(
                settings.peers.listen.ip, settings.peers.listen.port
            ),
            origin,
            codec.load_keyring(keys) if keys else None,
            clock,
            reactor,
        )
        self.heartbeats = heartbeats.Heartbeats(
            settings,
            self.network,
            watch,
            lambda: catalogue.offset,
            is_ready,
            clock,
            reactor,
        )
        self.keeper = catalogue_sync.CatalogueKeeper(
            settings,
            catalogue,
            reader,
            self.heartbeats.membership,
            self.network,
            clock,
        )
        self.writer = catalogue_sync.SnapshotWriter(
            settings, catalogue, reader, log, clock
        )
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> 'Coordination':
        self._stack.enter_context(self.network)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def list_read(self, page: interfaces.HostListPage) -> None:
        """Take note of the platform's list."""
        self.heartbeats.list_read(page)
        self.watch.list_read(page.targets_by_id)

    def advance(self) -> None:
        """Do what is due a few times a second."""
        self.watch.advance()
        self.keeper.advance()
        self.writer.advance()


def new_target_watch(
    listeners: target_watch.TargetFanOut,
    clock: interfaces.Clock,
    reactor,
    settings: config.PeerSettings,
) -> target_watch.TargetWatch:
    """Return a target watch with a client of its own."""
    return target_watch.TargetWatch(
        listeners,
        http_client.HttpClient(reactor),
        clock,
        reactor,
        settings.target_poll_s,
    )
