"""The other hosts: which are known, linked and reachable.

A link whose peer stops sending is closed, and the peer is dialled again.
"""

from collections.abc import Callable
from collections.abc import Collection
import time

from twisted.internet import abstract
from twisted.internet import protocol

from walnutport.gateway.peers import message_encoder
from walnutport.gateway.peers import peer_link
from walnutport.gateway.peers import peer_state
from walnutport.gateway.peers import ports as peer_ports
from walnutport.peer import capabilities
from walnutport.peer import fleet_messages

__all__ = ['PeerMesh']

HEARTBEAT_INTERVAL_S = 0.3
# Interval in a partial mesh, where the owner of a cell has a link from every
# host.
PARTIAL_MESH_HEARTBEAT_INTERVAL_S = 0.6
# A link is closed after this number of intervals without a message.
MISSED_HEARTBEATS = 3.15
# When its own heartbeat is this late, this host was stalled and cannot tell
# whether its peers are silent.
STALL_THRESHOLD_S = 0.5
MAX_REDIAL_DELAY_S = 3.0
# Data centres are milliseconds apart, and TCP repeats a lost SYN only after a
# second: a new dial is quicker. After a power cut of all hosts, many dial
# others that are not up yet.
DIAL_TIMEOUT_S = 0.3
# Hosts that were unreachable for this long are removed.
REMOVE_AFTER_S = 60.0
# A host that knows at least this number of peers links with only some of
# them.
MIN_PARTIAL_MESH_PEERS = 16
# Bound of the names of peers and kinds that were logged once.
MAX_LOGGED_UNKNOWN = 1000


class PeerMesh:
    """Links of this host to its peers.

    :param own_record: record of this host.
    :param create_heartbeat: returns the heartbeat to send, from the time in
        seconds until the next one.
    :param on_message: called with the name of a peer and its message.
    :param on_lost: called with the name of a peer whose link was lost or that
        restarted.
    """

    def __init__(
        self,
        reactor,
        log,
        own_record: fleet_messages.HostRecord,
        create_heartbeat: Callable[[float], fleet_messages.Heartbeat],
        on_message: Callable[[str, fleet_messages.FleetMessage], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self.log = log
        self.encoder = message_encoder.MessageEncoder(log)
        self.own_record = own_record
        self.peer_by_name: dict[str, peer_state.PeerState] = {}
        # Messages of later builds, and messages that were not sent as their
        # receiver is of an earlier build.
        self.unknown_count = 0
        self.withheld_count = 0
        self._logged_unknown: set[tuple[str, str]] = set()
        # Rises when a host becomes known or reachable, or the opposite.
        self.change_count = 0
        # Called with the name of a peer once a link to it is up.
        self.on_joined: Callable[[str], None] = lambda name: None
        # Returns the names of the peers to link with in a large installation.
        # Called again after ``links_changed``.
        self.choose_peers: Callable[[], set[str]] = set
        self._reactor = reactor
        self._create_heartbeat = create_heartbeat
        self._hosts_known = False
        self._chosen: set[str] = set()
        self._chosen_stale = True
        # Hosts that connected to this one and that no peer was told about.
        self._unannounced: list[fleet_messages.HostRecord] = []
        self._on_message = on_message
        self._on_lost = on_lost
        self._tick_due_at = 0.0
        self._ticks_to_heartbeat = 0
        self._timer = None

    def listen(self, ports: tuple[int, int]) -> int:
        """Listen on the first free port of a range and return it.

        :raises PeerError: when no port is free.
        """
        factory = protocol.Factory.forProtocol(
            lambda: peer_link.PeerLink(self, dialled=False)
        )
        factory.noisy = False
        return peer_ports.listen_in_range(
            self._reactor, self.own_record.ip, ports, factory
        )

    def start(self) -> None:
        """Start to send heartbeats and to dial peers."""
        self._tick_due_at = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._timer = self._reactor.callLater(HEARTBEAT_INTERVAL_S, self._tick)

    def stop(self) -> None:
        """Close every link."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for peer in self.peer_by_name.values():
            if peer.link is not None:
                peer.link.transport.loseConnection()

    def add_host(self, record: fleet_messages.HostRecord) -> None:
        """Add or update a host, unless a link to it is up."""
        if record.name == self.own_record.name:
            return
        peer = self.peer_by_name.get(record.name)
        if peer is None:
            self.peer_by_name[record.name] = peer_state.PeerState(record)
            self.links_changed()
        elif peer.link is None and peer.record != record:
            peer.record = record
            peer.redial_at = 0.0
            self.links_changed()

    def hosts_read(self) -> None:
        """Record that the hosts in the store were read."""
        self._hosts_known = True

    @property
    def awaits_peers(self) -> bool:
        """Whether a first heartbeat or a failed dial is still to come.

        This is so until the hosts in the store were read, and each peer to
        link with has sent a heartbeat or could not be reached.
        """
        if not self._hosts_known:
            return True
        return any(
            peer.link is not None and peer.heartbeat is None or peer.is_untried
            for name in self.chosen_names()
            if (peer := self.peer_by_name.get(name)) is not None
        )

    def dial_chosen(self) -> None:
        """Dial the hosts to link with that have no link."""
        now = time.monotonic()
        for name in self.chosen_names():
            peer = self.peer_by_name.get(name)
            if (
                peer is not None
                and peer.link is None
                and now >= peer.redial_at
            ):
                self._dial(peer)

    def dial_failed(self, peer: peer_state.PeerState) -> None:
        """Dial a host again after a while."""
        now = time.monotonic()
        peer.dialling = False
        peer.failed_dials += 1
        peer.redial_at = now + peer.redial_delay_s
        self._reactor.callLater(peer.redial_delay_s, self.dial_chosen)
        peer.redial_delay_s = min(MAX_REDIAL_DELAY_S, peer.redial_delay_s * 2)
        if peer.failing_since is None:
            peer.failing_since = now
            self.links_changed()

    def live_names(self) -> list[str]:
        """Return the names of this host and of the peers that may be up."""
        return [self.own_record.name] + [
            name
            for name, peer in self.peer_by_name.items()
            if peer.failing_since is None
        ]

    @property
    def links_with_most(self) -> bool:
        """Whether at least half of the peers to link with were heard lately.

        A host that goes on after a pause has heard none until their next
        heartbeats, whatever links it still has.
        """
        now = time.monotonic()
        names = self.chosen_names()
        linked = sum(
            peer.heartbeat is not None
            and now - peer.heartbeat_at
            <= peer.heartbeat.interval_s * MISSED_HEARTBEATS
            for name in names
            if (peer := self.peer_by_name.get(name)) is not None
        )
        return bool(names) and 2 * linked >= len(names)

    def data_centre_by_live_host(self) -> dict[str, str]:
        """Return the data centre of each host that may be up."""
        return {
            self.own_record.name: self.own_record.data_centre,
            **{
                name: peer.record.data_centre
                for name, peer in self.peer_by_name.items()
                if peer.failing_since is None
            },
        }

    def run_of(self, name: str) -> str:
        """Return the name of a known host with its latest incarnation.

        :param name: this host, or a peer.
        """
        peer = self.peer_by_name.get(name)
        record = self.own_record if peer is None else peer.record
        return f'{name}/{record.incarnation}'

    def chosen_names(self) -> set[str]:
        """Return the names of the peers to link with."""
        if not self.is_partial:
            return set(self.peer_by_name)
        if self._chosen_stale:
            self._chosen_stale = False
            self._chosen = self.choose_peers()
        return self._chosen

    def links_changed(self) -> None:
        """Choose the hosts to link with again before the next dial."""
        self._chosen_stale = True
        self.change_count += 1

    def create_hello(self) -> fleet_messages.Hello:
        """Return the first message of a link."""
        return fleet_messages.Hello(
            self.own_record, needs_hosts=not self._hosts_known
        )

    def send_heartbeat(self) -> None:
        """Tell the linked peers at once what has changed."""
        self.broadcast(self._create_heartbeat(self._interval_s()))

    def send(self, name: str, message: fleet_messages.FleetMessage) -> bool:
        """Send a message to a peer.

        :returns: whether a link is up to a peer that understands the message,
            and the message could be encoded.
        """
        peer = self.peer_by_name.get(name)
        if peer is None or peer.link is None:
            return False
        if not peer.supports(fleet_messages.required_capability(message)):
            self.withheld_count += 1
            return False
        return peer.link.send(message)

    def broadcast(
        self,
        message: fleet_messages.FleetMessage,
        except_names: Collection[str] = (),
    ) -> None:
        """Send a message to every linked peer that understands it.

        :param except_names: names of peers that do not need it.
        """
        data = self.encoder.encode(message)
        if data is None:
            return
        capability = fleet_messages.required_capability(message)
        for name, peer in self.peer_by_name.items():
            if peer.link is None or name in except_names:
                continue
            if peer.supports(capability):
                peer.link.send_encoded(data)
            else:
                self.withheld_count += 1

    def all_support(self, capability: capabilities.Capability) -> bool:
        """Return whether all hosts that may be up understand a message."""
        return all(
            peer.supports(capability)
            for peer in self.peer_by_name.values()
            if peer.failing_since is None
        )

    def unknown_received(self, link: peer_link.PeerLink, kind: str) -> None:
        """Count a message of a kind that only later builds know."""
        self.unknown_count += 1
        if (link.name, kind) in self._logged_unknown or (
            len(self._logged_unknown) >= MAX_LOGGED_UNKNOWN
        ):
            return
        self._logged_unknown.add((link.name, kind))
        self.log.notable('peer_message_unknown', peer=link.name, kind=kind)

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'peer_messages_unknown_total': self.unknown_count,
            'peer_messages_withheld_total': self.withheld_count,
            'peer_messages_unsent_total': self.encoder.unsent_count,
        }

    def message_received(
        self, link: peer_link.PeerLink, message: fleet_messages.FleetMessage
    ) -> None:
        """Handle a message that arrived on a link."""
        if isinstance(message, fleet_messages.Hello):
            self._hello_received(link, message)
            return
        peer = self.peer_by_name.get(link.name)
        if peer is None or peer.link is not link:
            return
        if isinstance(message, fleet_messages.HostsUpdate):
            for record in message.hosts:
                self.add_host(record)
            self.dial_chosen()
            return
        if isinstance(message, fleet_messages.Heartbeat):
            peer.heartbeat = message
            peer.heartbeat_at = time.monotonic()
        self._on_message(link.name, message)

    def link_lost(self, link: peer_link.PeerLink) -> None:
        """Handle the end of a link."""
        peer = self.peer_by_name.get(link.name)
        if peer is None or peer.link is not link:
            return
        peer.link = None
        peer.heartbeat = None
        peer.redial_at = 0.0
        peer.redial_delay_s = peer_state.INITIAL_REDIAL_DELAY_S
        peer.failing_since = time.monotonic()
        self.links_changed()
        self.log.notable('peer_lost', peer=link.name)
        self._on_lost(link.name)

    def _hello_received(
        self, link: peer_link.PeerLink, hello: fleet_messages.Hello
    ) -> None:
        name = hello.host.name
        if name == self.own_record.name:
            link.transport.abortConnection()
            return
        link.name = name
        peer = self.peer_by_name.get(name)
        if peer is None:
            peer = peer_state.PeerState(hello.host)
            self.peer_by_name[name] = peer
            self._unannounced.append(hello.host)
            self.links_changed()
        previous = peer.link
        if previous is not None and previous is not link:
            restarted = peer.record.incarnation != hello.host.incarnation
            # Both hosts may have dialled each other; both keep the link that
            # the host with the smaller name dialled.
            dialled_by_smaller_name = link.dialled == (
                self.own_record.name < name
            )
            if not restarted and not dialled_by_smaller_name:
                link.name = ''
                link.transport.loseConnection()
                return
            peer.link = None
            previous.transport.abortConnection()
            if restarted:
                self._on_lost(name)
        peer.record = hello.host
        peer.link = link
        peer.redial_delay_s = peer_state.INITIAL_REDIAL_DELAY_S
        peer.failed_dials = 0
        if peer.failing_since is not None:
            peer.failing_since = None
            self.links_changed()
        self.log.notable(
            'peer_joined', peer=name, incarnation=hello.host.incarnation
        )
        link.send(self._create_heartbeat(self._interval_s()))
        if hello.needs_hosts:
            link.send(
                fleet_messages.HostsUpdate(
                    tuple(
                        other.record
                        for other in self.peer_by_name.values()
                        if other is not peer
                    )
                )
            )
        self.on_joined(name)

    def _interval_s(self) -> float:
        if self.is_partial:
            return PARTIAL_MESH_HEARTBEAT_INTERVAL_S
        return HEARTBEAT_INTERVAL_S

    @property
    def is_partial(self) -> bool:
        """Whether this host links with some of the hosts only."""
        return len(self.peer_by_name) >= MIN_PARTIAL_MESH_PEERS

    def _tick(self) -> None:
        now = time.monotonic()
        was_stalled = now - self._tick_due_at > STALL_THRESHOLD_S
        self._tick_due_at = now + HEARTBEAT_INTERVAL_S
        self._timer = self._reactor.callLater(HEARTBEAT_INTERVAL_S, self._tick)
        interval_s = self._interval_s()
        self._ticks_to_heartbeat -= 1
        heartbeat = None
        if self._ticks_to_heartbeat <= 0:
            self._ticks_to_heartbeat = round(interval_s / HEARTBEAT_INTERVAL_S)
            heartbeat = self.encoder.encode(self._create_heartbeat(interval_s))
        for name, peer in list(self.peer_by_name.items()):
            link = peer.link
            if link is not None:
                if was_stalled:
                    link.last_received_at = now
                if self._is_silent(peer, link, now):
                    self.log.notable(
                        'peer_silent',
                        peer=name,
                        silent_s=round(now - link.last_received_at, 3),
                    )
                    link.transport.abortConnection()
                    self.link_lost(link)
                elif heartbeat is not None:
                    link.send_encoded(heartbeat)
            elif (
                peer.failing_since is not None
                and now - peer.failing_since > REMOVE_AFTER_S
                and not peer.dialling
            ):
                self._remove_or_dial(peer)
        self.dial_chosen()
        self._announce_hosts()

    def _remove_or_dial(self, peer: peer_state.PeerState) -> None:
        """Remove a host whose link is lost, unless it was never dialled.

        A host that had opened the link may live and link with others now.
        """
        if peer.failed_dials:
            del self.peer_by_name[peer.record.name]
            self.links_changed()
        else:
            self._dial(peer)

    @staticmethod
    def _is_silent(
        peer: peer_state.PeerState, link: peer_link.PeerLink, now: float
    ) -> bool:
        interval_s = (
            peer.heartbeat.interval_s
            if peer.heartbeat is not None
            else PARTIAL_MESH_HEARTBEAT_INTERVAL_S
        )
        return now - link.last_received_at > interval_s * MISSED_HEARTBEATS

    def _announce_hosts(self) -> None:
        """Tell the linked peers about hosts that connected to this one.

        Only this host may know them yet: in a partial mesh, a new host links
        with some hosts, and only these can tell the others.
        """
        if self._unannounced:
            self.broadcast(
                fleet_messages.HostsUpdate(tuple(self._unannounced))
            )
            self._unannounced.clear()

    def _dial(self, peer: peer_state.PeerState) -> None:
        if peer.dialling or peer.link is not None:
            return
        ip = peer.record.ip
        if not abstract.isIPAddress(ip) and not abstract.isIPv6Address(ip):
            # Any other text would be looked up as a name.
            if not peer.failed_dials:
                self.log.notable(
                    'peer_address_invalid', peer=peer.record.name, address=ip
                )
            self.dial_failed(peer)
            return
        peer.dialling = True
        self._reactor.connectTCP(
            peer.record.ip,
            peer.record.port,
            _PeerDialler(self, peer),
            timeout=DIAL_TIMEOUT_S,
        )


class _PeerDialler(protocol.ClientFactory):
    """Opens a link to one peer."""

    noisy = False

    def __init__(self, mesh: PeerMesh, peer: peer_state.PeerState) -> None:
        self._mesh = mesh
        self._peer = peer

    def buildProtocol(self, addr) -> peer_link.PeerLink:
        self._peer.dialling = False
        return peer_link.PeerLink(self._mesh, dialled=True)

    def clientConnectionFailed(self, connector, reason) -> None:
        self._mesh.dial_failed(self._peer)
