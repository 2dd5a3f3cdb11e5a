"""Liveness of the hosts of the fleet, from heartbeats and the host list.

Heartbeats take precedence over the list, which lags behind. A host that
should send heartbeats to this one and is silent is suspect, then dead. In a
large fleet most hosts send none to this one; their state comes from the list.
"""

from collections.abc import Mapping
import dataclasses
import enum
import ipaddress

from walnutport.membership import overlay
from walnutport.peer import messages
from walnutport.peer import replay
from walnutport import world

__all__ = ['HostMembership', 'HostState', 'KnownHost', 'StateChange']

# Heartbeat intervals of silence after which a host is suspect, and dead.
_SUSPECT_INTERVALS = 3.5
_DEAD_INTERVALS = 10.0
_RETENTION_S = 60.0


class HostState(enum.StrEnum):
    """State of a host as this host sees it."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEAVING = 'leaving'


@dataclasses.dataclass(slots=True)
class KnownHost:
    """Information about another host.

    :param known_since: time at which this host first learned of it.
    :param listed: its entry in the host list, None if it has none.
    :param tracker: tracks its incarnation; None before its first heartbeat.
    """

    host_id: str
    known_since: float
    listed: world.Host | None = None
    address: world.Address | None = None
    tracker: replay.IncarnationTracker | None = None
    leaving: bool = False
    ready: bool = False
    catalogue_offset: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """Change of a host's state since the last call of ``advance``."""

    host_id: str
    state: HostState


class HostMembership:
    """The other hosts and their states.

    :param host_id: id of this host.
    :param fanout: largest count of hosts to send heartbeats to.
    :param heartbeat_s: time between two heartbeats in seconds.
    """

    def __init__(self, host_id: str, fanout: int, heartbeat_s: float) -> None:
        self._host_id = host_id
        self._fanout = fanout
        self._suspect_s = _SUSPECT_INTERVALS * heartbeat_s
        self._dead_s = _DEAD_INTERVALS * heartbeat_s
        self._hosts_by_id: dict[str, KnownHost] = {}
        self._states_by_host: dict[str, HostState] = {}
        self._peers: tuple[str, ...] = ()
        self._expected_senders: frozenset[str] = frozenset()
        self._linked_hosts: frozenset[str] = frozenset()

    def list_read(
        self, hosts_by_id: Mapping[str, world.Host], now: float
    ) -> None:
        """Update the hosts from the list."""
        for host_id, listed in hosts_by_id.items():
            if host_id != self._host_id:
                host = self._get_or_add(host_id, now)
                host.listed = listed
                host.address = listed.peer_address
        for host_id, host in self._hosts_by_id.items():
            if host_id not in hosts_by_id:
                host.listed = None
        self._update_links()

    def heartbeat_received(
        self,
        origin: messages.PeerOrigin,
        message: messages.Heartbeat,
        now: float,
    ) -> bool:
        """Process a heartbeat.

        :returns: whether it came from a new incarnation, which has received
            no earlier heartbeat of this host.
        """
        if origin.host_id == self._host_id:
            return False
        host = self._get_or_add(origin.host_id, now)
        is_new = (
            host.tracker is None or host.tracker.current != origin.incarnation
        )
        if host.tracker is None:
            host.tracker = replay.IncarnationTracker(origin.incarnation, now)
        elif not host.tracker.admit(origin.incarnation, now):
            return False
        elif is_new:
            host.leaving, host.catalogue_offset = False, -1
        host.tracker.last_heard = now
        # A heartbeat delivered out of order must neither revoke that its
        # sender is leaving nor lower its catalogue offset.
        host.leaving = host.leaving or message.leaving
        host.ready = message.ready and not host.leaving
        host.catalogue_offset = max(
            host.catalogue_offset, message.catalogue_offset
        )
        if message.address and host.listed is None:
            host.address = _parse_address(message.address) or host.address
        self._update_links()
        return is_new

    def state(self, host_id: str, now: float) -> HostState:
        """Return the state of a host; an unknown host is dead."""
        host = self._hosts_by_id.get(host_id)
        if host is None:
            return HostState.DEAD
        heard_at = host.tracker.last_heard if host.tracker else None
        if heard_at is not None and now - heard_at < self._suspect_s:
            return HostState.LEAVING if host.leaving else HostState.LIVE
        if host_id not in self._expected_senders and host.listed is not None:
            leaving = host.listed.leaving or host.leaving
            return HostState.LEAVING if leaving else HostState.LIVE
        if host.leaving:
            return HostState.DEAD
        silent_s = now - (host.known_since if heard_at is None else heard_at)
        dead = silent_s >= self._dead_s
        return HostState.DEAD if dead else HostState.SUSPECT

    def live_ids(self, now: float) -> tuple[str, ...]:
        """Return the ids of the other hosts that are live."""
        return tuple(
            host_id
            for host_id in self._hosts_by_id
            if self.state(host_id, now) is HostState.LIVE
        )

    def recently_heard_ids(self, now: float) -> tuple[str, ...]:
        """Return the ids of live hosts whose heartbeats arrive here."""
        return tuple(
            host_id
            for host_id, host in self._hosts_by_id.items()
            if host.tracker is not None
            and now - host.tracker.last_heard < self._suspect_s
            and not host.leaving
        )

    def known_ids(self) -> tuple[str, ...]:
        """Return the ids of all hosts in the list or known by heartbeat."""
        return tuple(self._hosts_by_id)

    def known_count(self) -> int:
        """Return the count of known hosts, including this one."""
        return 1 + len(self._hosts_by_id)

    def peers(self) -> tuple[str, ...]:
        """Return the ids of the hosts to send heartbeats to."""
        return self._peers

    def host(self, host_id: str) -> KnownHost | None:
        """Return the information about a host, or None if it is unknown."""
        return self._hosts_by_id.get(host_id)

    def addresses_by_host(self) -> dict[str, world.Address]:
        """Return the known addresses by host id."""
        return {
            host_id: host.address
            for host_id, host in self._hosts_by_id.items()
            if host.address is not None
        }

    def ids_ahead_of(self, offset: int, now: float) -> tuple[str, ...]:
        """Return recently heard hosts with a higher catalogue offset.

        The host with the highest offset is the first.
        """
        offsets_and_ids = [
            (self._hosts_by_id[host_id].catalogue_offset, host_id)
            for host_id in self.recently_heard_ids(now)
        ]
        return tuple(
            host_id
            for host_offset, host_id in sorted(offsets_and_ids, reverse=True)
            if host_offset > offset
        )

    def advance(self, now: float) -> list[StateChange]:
        """Return the changes of state and remove hosts that are long dead."""
        changes = []
        for host_id in list(self._hosts_by_id):
            state = self.state(host_id, now)
            if self._states_by_host.get(host_id) is not state:
                self._states_by_host[host_id] = state
                changes.append(StateChange(host_id, state))
            if state is HostState.DEAD:
                self._remove_if_expired(host_id, now)
        return changes

    def _remove_if_expired(self, host_id: str, now: float) -> None:
        host = self._hosts_by_id[host_id]
        last_contact = (
            host.tracker.last_heard if host.tracker else host.known_since
        )
        if host.listed is None and now - last_contact >= _RETENTION_S:
            del self._hosts_by_id[host_id]
            del self._states_by_host[host_id]
            self._update_links()

    def _get_or_add(self, host_id: str, now: float) -> KnownHost:
        host = self._hosts_by_id.get(host_id)
        if host is None:
            host = KnownHost(host_id, now)
            self._hosts_by_id[host_id] = host
        return host

    def _update_links(self) -> None:
        known_ids = frozenset(self._hosts_by_id)
        if known_ids == self._linked_hosts:
            return
        self._linked_hosts = known_ids
        links = overlay.Overlay(known_ids | {self._host_id}, self._fanout)
        self._peers = links.peers_of(self._host_id)
        self._expected_senders = links.senders_to(self._host_id)


def _parse_address(text: str) -> world.Address | None:
    ip, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(ip)
        return world.Address(ip, int(port))
    except ValueError:
        return None
