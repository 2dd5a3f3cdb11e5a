"""Connects a host with its peers: messages, membership and catalogue."""

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
    """Peer network, heartbeats, target watch and catalogue exchange.

    A context manager that opens and closes the sockets between hosts.

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
            lambda: catalogue.folded_offset,
            is_ready,
            clock,
            reactor,
        )
        self.catalogue_sync = catalogue_sync.CatalogueSync(
            settings,
            catalogue,
            reader,
            self.heartbeats.membership,
            self.network,
            clock,
        )
        self.snapshot_writer = catalogue_sync.SnapshotWriter(
            settings, catalogue, reader, log, clock
        )
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> 'Coordination':
        self._stack.enter_context(self.network)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def apply_host_list(self, page: interfaces.HostListPage) -> None:
        """Apply a new version of the platform's host list."""
        self.heartbeats.apply_host_list(page)
        self.watch.apply_target_list(page.targets_by_id)

    def advance(self) -> None:
        """Poll silent targets and exchange or write the catalogue if due."""
        self.watch.advance()
        self.catalogue_sync.advance()
        self.snapshot_writer.advance()


def new_target_watch(
    listeners: target_watch.TargetFanOut,
    clock: interfaces.Clock,
    reactor,
    settings: config.PeerSettings,
) -> target_watch.TargetWatch:
    """Return a target watch with its own HTTP client."""
    return target_watch.TargetWatch(
        listeners,
        http_client.HttpClient(reactor),
        clock,
        reactor,
        settings.target_poll_s,
    )
