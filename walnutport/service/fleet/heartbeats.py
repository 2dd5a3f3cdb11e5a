"""Sends and receives heartbeats between hosts."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import logging

from twisted.internet import interfaces as twisted_interfaces

from walnutport.config import settings as config
from walnutport import interfaces
from walnutport.membership import hosts
from walnutport.peer import messages
from walnutport.service.fleet import peers
from walnutport.service.targets import target_watch
from walnutport import world

__all__ = ['Heartbeats']

LOG = logging.getLogger(__name__)
PREFIX = 'membership:'

_FULL_HEARTBEAT_PERIOD = 10
_LEAVING_REPORT_HEARTBEATS = 3
_EARLY_HEARTBEAT_DELAY_S = 0.05
# A message holds at most 64 KiB and carries two lists of this size at most.
_MAX_PART_BYTES = 24_000
_ITEM_OVERHEAD_BYTES = 24


class Heartbeats:
    """Maintains the host membership and exchanges limit demands with peers.

    :param catalogue_offset: returns the offset up to which this host has
        applied the catalogue stream.
    :param is_ready: returns whether this host accepts new calls.
    """

    def __init__(
        self,
        settings: config.HostSettings,
        network: peers.PeerNetwork,
        watch: target_watch.TargetWatch,
        catalogue_offset: Callable[[], int],
        is_ready: Callable[[], bool],
        clock: interfaces.Clock,
        reactor: twisted_interfaces.IReactorTime,
    ) -> None:
        listen = settings.peers.listen
        self._settings = settings
        self._address = f'{listen.ip}:{listen.port}'
        self._network = network
        self._watch = watch
        self._catalogue_offset = catalogue_offset
        self._is_ready = is_ready
        self._clock = clock
        self._reactor = reactor
        self.membership = hosts.HostMembership(
            settings.host_id, settings.peers.fanout, settings.peers.heartbeat_s
        )
        # Returns the demands and loans of this host, for limits that have
        # any. Loans are leases, so every heartbeat renews them.
        self.demands: Callable[[], Iterable[messages.LimitDemand]] = tuple
        # Called with the demands of another host.
        self.on_demands: Callable[
            [str, Sequence[messages.LimitDemand], float], None
        ] = lambda host_id, demands, now: None
        self._leaving = False
        self._heartbeat_count = 0
        self._next_is_full = True
        self._early_call: twisted_interfaces.IDelayedCall | None = None
        network.live_peers = self.live_peers
        network.subscribe(messages.Heartbeat, self._on_heartbeat)
        watch.on_leaving = self.schedule_early_heartbeat

    def live_peers(self) -> tuple[str, ...]:
        """Return the live hosts among the receivers of heartbeats."""
        now = self._clock.monotonic()
        return tuple(
            host_id
            for host_id in self.membership.peers()
            if self.membership.state(host_id, now) is hosts.HostState.LIVE
        )

    def live_count(self) -> int:
        """Return the number of live hosts, including this one."""
        return 1 + len(self.membership.live_ids(self._clock.monotonic()))

    def apply_host_list(self, page: interfaces.HostListPage) -> None:
        """Apply a new version of the platform's host list."""
        known_peers = self.membership.peers()
        self.membership.list_read(page.hosts_by_id, self._clock.monotonic())
        self._update_addresses()
        if set(self.membership.peers()) - set(known_peers):
            self._announce_to_new_peers()

    def leave(self) -> None:
        """Tell the peers immediately that this host is leaving."""
        self._leaving = True
        self.send_heartbeat()

    def schedule_early_heartbeat(self) -> None:
        """Send an urgent change soon, ahead of the regular heartbeat."""
        if self._early_call is None:
            self._early_call = self._reactor.callLater(
                _EARLY_HEARTBEAT_DELAY_S, self._send_early_heartbeat
            )

    def advance(self) -> None:
        """Log state changes of hosts and send the regular heartbeat."""
        now = self._clock.monotonic()
        for change in self.membership.advance(now):
            LOG.info('%s %s is %s', PREFIX, change.host_id, change.state)
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send a heartbeat to the selected peers and to unresolved seeds."""
        full = (
            self._next_is_full
            or self._heartbeat_count % _FULL_HEARTBEAT_PERIOD == 0
        )
        self._heartbeat_count += 1
        self._next_is_full = False
        for message in self._make_messages(full):
            self._network.send_to_addresses(self._destinations(), message)

    def _announce_to_new_peers(self) -> None:
        """Send a full heartbeat soon, for peers that are new."""
        self._next_is_full = True
        self.schedule_early_heartbeat()

    def _send_early_heartbeat(self) -> None:
        self._early_call = None
        self.send_heartbeat()

    def _destinations(self) -> list[world.Address]:
        addresses = self.membership.addresses_by_host()
        peer_addresses = [
            addresses[host_id]
            for host_id in self.membership.peers()
            if host_id in addresses
        ]
        known_addresses = set(addresses.values())
        return peer_addresses + [
            seed
            for seed in self._seeds_by_name().values()
            if seed not in known_addresses
        ]

    def _seeds_by_name(self) -> dict[str, world.Address]:
        return {
            f'seed {seed.ip}:{seed.port}': world.Address(seed.ip, seed.port)
            for seed in self._settings.peers.seeds
            if f'{seed.ip}:{seed.port}' != self._address
        }

    def _update_addresses(self) -> None:
        self._network.update_addresses(
            self._seeds_by_name() | self.membership.addresses_by_host()
        )

    def _make_messages(self, full: bool) -> list[messages.Heartbeat]:
        """Return the heartbeat, split into several messages if it is large."""
        demands = tuple(self.demands())
        interval_s = self._settings.peers.heartbeat_s
        leaving = self._watch.membership.leaving_reports(
            0.0
            if full
            else self._clock.monotonic()
            - _LEAVING_REPORT_HEARTBEATS * interval_s
        )
        parts = itertools.zip_longest(
            _split(demands, lambda item: item.limit_key),
            _split(leaving, lambda item: item.target_id + item.incarnation),
            fillvalue=(),
        )
        return [
            messages.Heartbeat(
                data_centre=self._settings.data_centre,
                ready=self._is_ready(),
                leaving=self._leaving,
                catalogue_offset=self._catalogue_offset(),
                full=full and number == 0,
                demands=demands_part,
                leaving_targets=leaving_part,
                address=self._address if full else '',
            )
            for number, (demands_part, leaving_part) in enumerate(parts)
        ]

    def _on_heartbeat(
        self, origin: messages.PeerOrigin, message: messages.Heartbeat
    ) -> None:
        now = self._clock.monotonic()
        known_count = self.membership.known_count()
        if self.membership.heartbeat_received(origin, message, now):
            LOG.info('%s first heartbeat from %s', PREFIX, origin.host_id)
            self._announce_to_new_peers()
        if message.address or known_count != self.membership.known_count():
            self._update_addresses()
        self._watch.peer_reported_leaving(message.leaving_targets)
        if message.demands:
            self.on_demands(origin.host_id, message.demands, now)


def _split(items: tuple, text_of: Callable) -> list[tuple]:
    """Split items by the size of their text into one or more parts.

    An item that exceeds the size of a part is omitted.
    """
    parts: list[list] = [[]]
    size = 0
    for item in items:
        item_size = _ITEM_OVERHEAD_BYTES + len(text_of(item).encode())
        if item_size > _MAX_PART_BYTES:
            LOG.error(
                '%s item of %d bytes omitted: too large for a heartbeat',
                PREFIX,
                item_size,
            )
            continue
        if size + item_size > _MAX_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += item_size
    return [tuple(part) for part in parts]
