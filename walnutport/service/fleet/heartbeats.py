"""Sends and takes heartbeats between hosts."""

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

_FULL_BEATS = 10
_ANNOUNCE_BEATS = 3
_EARLY_BEAT_S = 0.05
# Keeps each part of a heartbeat under the 64 KiB of a message.
_PART_BYTES = 24_000
_ITEM_BYTES = 24


class Heartbeats:
    """Owns the membership of hosts and the demands that peers report.

    :param catalogue_offset: returns the offset this host has folded up to.
    :param is_ready: returns whether this host takes new calls.
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
        # Demands and loans of this host, for limits that have any. Loans
        # are leases, so every heartbeat renews them.
        self.demands: Callable[[], Iterable[messages.LimitDemand]] = tuple
        # Takes the demands of another host.
        self.on_demands: Callable[
            [str, Sequence[messages.LimitDemand], float], None
        ] = lambda host_id, demands, now: None
        self._leaving = False
        self._beats = 0
        self._full_next = True
        self._early: twisted_interfaces.IDelayedCall | None = None
        network.live_peers = self.live_peers
        network.subscribe(messages.Heartbeat, self._heard)
        watch.on_leaving = self.beat_early

    def live_peers(self) -> tuple[str, ...]:
        """Return the live hosts among those that heartbeats go to."""
        now = self._clock.monotonic()
        return tuple(
            host_id
            for host_id in self.membership.peers()
            if self.membership.state(host_id, now) is hosts.HostState.LIVE
        )

    def live_count(self) -> int:
        """Return the count of live hosts, this one included."""
        return 1 + len(self.membership.live_ids(self._clock.monotonic()))

    def list_read(self, page: interfaces.HostListPage) -> None:
        """Take note of the list."""
        known = self.membership.peers()
        self.membership.list_read(page.hosts_by_id, self._clock.monotonic())
        self._update_addresses()
        if set(self.membership.peers()) - set(known):
            self._greet()

    def leave(self) -> None:
        """Tell the peers at once that this host is leaving."""
        self._leaving = True
        self.beat()

    def beat_early(self) -> None:
        """Send a heartbeat soon, as there is news that cannot wait."""
        if self._early is None:
            self._early = self._reactor.callLater(
                _EARLY_BEAT_S, self._beat_early
            )

    def advance(self) -> None:
        """Log changes of state and send the heartbeat of this second."""
        now = self._clock.monotonic()
        for change in self.membership.advance(now):
            LOG.info('%s %s is %s', PREFIX, change.host_id, change.state)
        self.beat()

    def beat(self) -> None:
        """Send a heartbeat to every chosen peer and unresolved seed."""
        full = self._full_next or self._beats % _FULL_BEATS == 0
        self._beats += 1
        self._full_next = False
        for message in self._messages(full):
            self._network.send_to_addresses(self._destinations(), message)

    def _greet(self) -> None:
        """Tell new peers all they need, without waiting for the second."""
        self._full_next = True
        self.beat_early()

    def _beat_early(self) -> None:
        self._early = None
        self.beat()

    def _destinations(self) -> list[world.Address]:
        addresses = self.membership.addresses_by_host()
        chosen = [
            addresses[host_id]
            for host_id in self.membership.peers()
            if host_id in addresses
        ]
        known = set(addresses.values())
        return chosen + [
            seed
            for seed in self._seeds_by_name().values()
            if seed not in known
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

    def _messages(self, full: bool) -> list[messages.Heartbeat]:
        """Return the heartbeat, in several parts if there is much news."""
        demands = tuple(self.demands())
        beat_s = self._settings.peers.heartbeat_s
        words = self._watch.membership.leaving_reports(
            0.0 if full else self._clock.monotonic() - _ANNOUNCE_BEATS * beat_s
        )
        parts = itertools.zip_longest(
            _split(demands, lambda item: item.limit_key),
            _split(words, lambda item: item.target_id + item.incarnation),
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
                leaving_targets=words_part,
                address=self._address if full else '',
            )
            for number, (demands_part, words_part) in enumerate(parts)
        ]

    def _heard(
        self, origin: messages.PeerOrigin, message: messages.Heartbeat
    ) -> None:
        now = self._clock.monotonic()
        known = self.membership.known_count()
        if self.membership.heartbeat_received(origin, message, now):
            LOG.info('%s first heartbeat of %s', PREFIX, origin.host_id)
            self._greet()
        if message.address or known != self.membership.known_count():
            self._update_addresses()
        self._watch.peer_reported_leaving(message.leaving_targets)
        if message.demands:
            self.on_demands(origin.host_id, message.demands, now)


def _split(items: tuple, text_of: Callable) -> list[tuple]:
    """Cut items into parts by the size of their text, at least one part.

    An item that is too long for any part is left out.
    """
    parts: list[list] = [[]]
    size = 0
    for item in items:
        item_size = _ITEM_BYTES + len(text_of(item).encode())
        if item_size > _PART_BYTES:
            LOG.error('%s name of %d bytes left out', PREFIX, item_size)
            continue
        if size + item_size > _PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += item_size
    return [tuple(part) for part in parts]
