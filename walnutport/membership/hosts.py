"""Hosts of the fleet: who is live, as heartbeats and the list tell.

A heartbeat goes before the list, which lags. A host that should send to this
one and has been silent is suspect, then dead. In a large fleet most hosts do
not send to this one; the list alone tells of them.
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

_SUSPECT_BEATS = 3.5
_DEAD_BEATS = 10.0
_FORGET_S = 60.0


class HostState(enum.StrEnum):
    """State of a host as this host sees it."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEAVING = 'leaving'


@dataclasses.dataclass(slots=True)
class KnownHost:
    """What is known of another host.

    :param since: time at which the host was first known here.
    :param gate: its incarnation; None before the first heartbeat.
    """

    host_id: str
    since: float
    listed: world.Host | None = None
    address: world.Address | None = None
    gate: replay.IncarnationTracker | None = None
    leaving: bool = False
    ready: bool = False
    catalogue_offset: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """A host whose state differs from the last look."""

    host_id: str
    state: HostState


class HostMembership:
    """Other hosts by id.

    :param host_id: this host.
    :param fanout: most hosts that heartbeats go to.
    :param heartbeat_s: time between two heartbeats in seconds.
    """

    def __init__(self, host_id: str, fanout: int, heartbeat_s: float) -> None:
        self._host_id = host_id
        self._fanout = fanout
        self._suspect_s = _SUSPECT_BEATS * heartbeat_s
        self._dead_s = _DEAD_BEATS * heartbeat_s
        self._hosts_by_id: dict[str, KnownHost] = {}
        self._states_by_host: dict[str, HostState] = {}
        self._peers: tuple[str, ...] = ()
        self._senders: frozenset[str] = frozenset()
        self._chosen_from: frozenset[str] = frozenset()

    def list_read(
        self, hosts_by_id: Mapping[str, world.Host], now: float
    ) -> None:
        """Take note of the list."""
        for host_id, listed in hosts_by_id.items():
            if host_id != self._host_id:
                host = self._known(host_id, now)
                host.listed = listed
                host.address = listed.peer_address
        for host_id, host in self._hosts_by_id.items():
            if host_id not in hosts_by_id:
                host.listed = None
        self._choose()

    def heartbeat_received(
        self,
        origin: messages.PeerOrigin,
        message: messages.Heartbeat,
        now: float,
    ) -> bool:
        """Take note of a heartbeat.

        :returns: whether it came from a new incarnation; such a host knows
            nothing of earlier heartbeats of this one.
        """
        if origin.host_id == self._host_id:
            return False
        host = self._known(origin.host_id, now)
        is_new = host.gate is None or host.gate.current != origin.incarnation
        if host.gate is None:
            host.gate = replay.IncarnationTracker(origin.incarnation, now)
        elif not host.gate.admit(origin.incarnation, now):
            return False
        elif is_new:
            host.leaving, host.catalogue_offset = False, -1
        host.gate.last_heard = now
        # A heartbeat that was overtaken must not take back that its sender
        # is leaving, nor what it has folded.
        host.leaving = host.leaving or message.leaving
        host.ready = message.ready and not host.leaving
        host.catalogue_offset = max(
            host.catalogue_offset, message.catalogue_offset
        )
        if message.address and host.listed is None:
            host.address = _parse_address(message.address) or host.address
        self._choose()
        return is_new

    def state(self, host_id: str, now: float) -> HostState:
        """Return the state of a host; one that is not known is dead."""
        host = self._hosts_by_id.get(host_id)
        if host is None:
            return HostState.DEAD
        heard = host.gate.last_heard if host.gate else None
        if heard is not None and now - heard < self._suspect_s:
            return HostState.LEAVING if host.leaving else HostState.LIVE
        if host_id not in self._senders and host.listed is not None:
            left = host.listed.leaving or host.leaving
            return HostState.LEAVING if left else HostState.LIVE
        if host.leaving:
            return HostState.DEAD
        silent_s = now - (host.since if heard is None else heard)
        dead = silent_s >= self._dead_s
        return HostState.DEAD if dead else HostState.SUSPECT

    def live_ids(self, now: float) -> tuple[str, ...]:
        """Return the other hosts that are live."""
        return tuple(
            host_id
            for host_id in self._hosts_by_id
            if self.state(host_id, now) is HostState.LIVE
        )

    def recently_heard_ids(self, now: float) -> tuple[str, ...]:
        """Return the live hosts whose own heartbeats arrive here."""
        return tuple(
            host_id
            for host_id, host in self._hosts_by_id.items()
            if host.gate is not None
            and now - host.gate.last_heard < self._suspect_s
            and not host.leaving
        )

    def known_ids(self) -> tuple[str, ...]:
        """Return every other host that the list or a heartbeat named."""
        return tuple(self._hosts_by_id)

    def known_count(self) -> int:
        """Return the count of known hosts, this one included."""
        return 1 + len(self._hosts_by_id)

    def peers(self) -> tuple[str, ...]:
        """Return the hosts that heartbeats go to."""
        return self._peers

    def host(self, host_id: str) -> KnownHost | None:
        """Return what is known of a host."""
        return self._hosts_by_id.get(host_id)

    def addresses_by_host(self) -> dict[str, world.Address]:
        """Return the known addresses."""
        return {
            host_id: host.address
            for host_id, host in self._hosts_by_id.items()
            if host.address is not None
        }

    def ids_ahead_of(self, offset: int, now: float) -> tuple[str, ...]:
        """Return hosts heard of that folded more of the catalogue."""
        found = [
            (self._hosts_by_id[host_id].catalogue_offset, host_id)
            for host_id in self.recently_heard_ids(now)
        ]
        return tuple(
            host_id
            for known, host_id in sorted(found, reverse=True)
            if known > offset
        )

    def advance(self, now: float) -> list[StateChange]:
        """Return the states that changed, and forget hosts long gone."""
        changes = []
        for host_id in list(self._hosts_by_id):
            state = self.state(host_id, now)
            if self._states_by_host.get(host_id) is not state:
                self._states_by_host[host_id] = state
                changes.append(StateChange(host_id, state))
            if state is HostState.DEAD:
                self._forget(host_id, now)
        return changes

    def _forget(self, host_id: str, now: float) -> None:
        host = self._hosts_by_id[host_id]
        last = host.gate.last_heard if host.gate else host.since
        if host.listed is None and now - last >= _FORGET_S:
            del self._hosts_by_id[host_id]
            del self._states_by_host[host_id]
            self._choose()

    def _known(self, host_id: str, now: float) -> KnownHost:
        host = self._hosts_by_id.get(host_id)
        if host is None:
            host = KnownHost(host_id, now)
            self._hosts_by_id[host_id] = host
        return host

    def _choose(self) -> None:
        known = frozenset(self._hosts_by_id)
        if known == self._chosen_from:
            return
        self._chosen_from = known
        links = overlay.Overlay(known | {self._host_id}, self._fanout)
        self._peers = links.peers_of(self._host_id)
        self._senders = links.senders_to(self._host_id)


def _parse_address(text: str) -> world.Address | None:
    ip, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(ip)
        return world.Address(ip, int(port))
    except ValueError:
        return None
