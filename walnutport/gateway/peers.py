"""Links between entry hosts.

Messages go over plain TCP, each with its length as a prefix. A link whose peer
stops sending is closed, and the peer is dialled again.
"""

from collections.abc import Callable
import dataclasses
import time

from twisted.internet import error
from twisted.internet import protocol
from twisted.protocols import basic

from walnutport import exceptions
from walnutport.peer import fleet_messages

__all__ = ['PeerLink', 'PeerMesh', 'PeerView']

HEARTBEAT_INTERVAL_S = 0.3
# A link is closed after three missed heartbeats.
HEARTBEAT_TIMEOUT_S = 0.95
# When its own heartbeat is this late, this host was stalled and cannot tell
# whether its peers are silent.
STALL_THRESHOLD_S = 0.5
INITIAL_REDIAL_DELAY_S = 0.3
MAX_REDIAL_DELAY_S = 3.0
DIAL_TIMEOUT_S = 1.0
# Hosts that were unreachable for this long are removed.
REMOVE_AFTER_S = 60.0
# From this number of known peers on, a host links with some of them only.
FULL_MESH_HOSTS = 16
MAX_MESSAGE_BYTES = 4 << 20


@dataclasses.dataclass(slots=True)
class PeerView:
    """What this host knows of a peer.

    :param redial_at: earliest time of the next dial.
    :param redial_delay_s: delay after the next failed dial.
    :param lost_at: when the last link was closed.
    """

    record: fleet_messages.HostRecord
    link: 'PeerLink | None' = None
    heartbeat: fleet_messages.Heartbeat | None = None
    heartbeat_at: float = 0.0
    redial_at: float = 0.0
    redial_delay_s: float = INITIAL_REDIAL_DELAY_S
    dialling: bool = False
    lost_at: float = 0.0

    @property
    def reachable(self) -> bool:
        """Whether a link is up and a heartbeat was received on it."""
        return self.link is not None and self.heartbeat is not None

    @property
    def takes_work(self) -> bool:
        """Whether the peer takes work of other hosts."""
        return (
            self.reachable
            and self.heartbeat is not None
            and self.heartbeat.fit
            and not self.heartbeat.draining
        )


class PeerLink(basic.Int32StringReceiver):
    """One connection to a peer.

    :param dialled: whether this host opened the connection.
    """

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, mesh: 'PeerMesh', dialled: bool) -> None:
        self.mesh = mesh
        self.dialled = dialled
        self.name = ''
        self.last_received_at = time.monotonic()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.send(self.mesh.hello())

    def send(self, message: fleet_messages.FleetMessage) -> None:
        """Send a message, unless the connection is closed."""
        if self.connected:
            self.sendString(fleet_messages.encode(message))

    def stringReceived(self, string: bytes) -> None:
        self.last_received_at = time.monotonic()
        try:
            message = fleet_messages.decode(string)
        except exceptions.CodecError as problem:
            self.mesh.log.notable('peer_garbled', problem=str(problem))
            self.transport.abortConnection()
            return
        self.mesh.message_received(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        self.mesh.log.notable(
            'peer_garbled',
            problem=f'message of {length} bytes is too long',
        )
        self.transport.abortConnection()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.mesh.link_lost(self)


class PeerMesh:
    """Links of this host to its peers.

    :param own: record of this host.
    :param heartbeat: returns the heartbeat to send.
    :param handle: called with the name of a peer and its message.
    :param on_lost: called with the name of a peer whose link was lost or that
        restarted.
    """

    def __init__(
        self,
        reactor,
        log,
        own: fleet_messages.HostRecord,
        heartbeat: Callable[[], fleet_messages.Heartbeat],
        handle: Callable[[str, fleet_messages.FleetMessage], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self.log = log
        self.own = own
        self.view_by_name: dict[str, PeerView] = {}
        # Returns the peers to link with in a large installation, or None for
        # all of them.
        self.choose_links: Callable[[], set[str] | None] = lambda: None
        self._reactor = reactor
        self._heartbeat = heartbeat
        self._handle = handle
        self._on_lost = on_lost
        self._heartbeat_due_at = 0.0
        self._listener = None
        self._timer = None

    def listen(self, ports: tuple[int, int]) -> int:
        """Listen on the first free port of a range and return it.

        :raises PeerError: when no port is free.
        """
        factory = protocol.Factory.forProtocol(
            lambda: PeerLink(self, dialled=False)
        )
        factory.noisy = False
        for port in range(ports[0], ports[1] + 1):
            try:
                self._listener = self._reactor.listenTCP(
                    port, factory, interface=self.own.ip
                )
            except error.CannotListenError:
                continue
            return port
        raise exceptions.PeerError(f'no free port for peers in {ports}')

    def start(self) -> None:
        """Start to send heartbeats and to dial peers."""
        self._heartbeat_due_at = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._timer = self._reactor.callLater(HEARTBEAT_INTERVAL_S, self._tick)

    def stop(self) -> None:
        """Close every link."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for view in self.view_by_name.values():
            if view.link is not None:
                view.link.transport.loseConnection()

    def add_host(self, record: fleet_messages.HostRecord) -> None:
        """Add or update a host, unless a link to it is up."""
        if record.name == self.own.name:
            return
        view = self.view_by_name.get(record.name)
        if view is None:
            view = PeerView(record, lost_at=time.monotonic())
            self.view_by_name[record.name] = view
        elif view.link is None:
            view.record = record
        else:
            return
        if self._should_link(record.name):
            self._dial(view)

    def hello(self) -> fleet_messages.Hello:
        """Return the first message of a link."""
        known = tuple(
            view.record
            for view in self.view_by_name.values()
            if view.reachable
        )
        return fleet_messages.Hello(self.own, known)

    def send(self, name: str, message: fleet_messages.FleetMessage) -> bool:
        """Send a message; return False when no link to the peer is up."""
        view = self.view_by_name.get(name)
        if view is None or view.link is None:
            return False
        view.link.send(message)
        return True

    def broadcast(self, message: fleet_messages.FleetMessage) -> None:
        """Send a message to every linked peer."""
        for view in self.view_by_name.values():
            if view.link is not None:
                view.link.send(message)

    def message_received(
        self, link: PeerLink, message: fleet_messages.FleetMessage
    ) -> None:
        """Handle a message that arrived on a link."""
        if isinstance(message, fleet_messages.Hello):
            self._hello_received(link, message)
            return
        view = self.view_by_name.get(link.name)
        if view is None or view.link is not link:
            return
        if isinstance(message, fleet_messages.Heartbeat):
            view.heartbeat = message
            view.heartbeat_at = link.last_received_at
        self._handle(link.name, message)

    def link_lost(self, link: PeerLink) -> None:
        """Handle the end of a link."""
        view = self.view_by_name.get(link.name)
        if view is None or view.link is not link:
            return
        view.link = None
        view.heartbeat = None
        view.lost_at = time.monotonic()
        view.redial_at = view.lost_at
        view.redial_delay_s = INITIAL_REDIAL_DELAY_S
        self.log.notable('peer_lost', peer=link.name)
        self._on_lost(link.name)

    def _hello_received(
        self, link: PeerLink, hello: fleet_messages.Hello
    ) -> None:
        name = hello.host.name
        if name == self.own.name:
            link.transport.abortConnection()
            return
        link.name = name
        view = self.view_by_name.get(name)
        if view is None:
            view = PeerView(hello.host)
            self.view_by_name[name] = view
        previous = view.link
        if previous is not None and previous is not link:
            restarted = view.record.incarnation != hello.host.incarnation
            # Both hosts may have dialled each other; both keep the link that
            # the host with the smaller name dialled.
            dialled_by_smaller_name = link.dialled == (self.own.name < name)
            if not restarted and not dialled_by_smaller_name:
                link.name = ''
                link.transport.loseConnection()
                return
            view.link = None
            previous.transport.abortConnection()
            if restarted:
                self._on_lost(name)
        view.record = hello.host
        view.link = link
        view.redial_delay_s = INITIAL_REDIAL_DELAY_S
        self.log.notable(
            'peer_joined', peer=name, incarnation=hello.host.incarnation
        )
        link.send(self._heartbeat())
        for record in hello.known:
            self.add_host(record)

    def _tick(self) -> None:
        now = time.monotonic()
        was_stalled = now - self._heartbeat_due_at > STALL_THRESHOLD_S
        self._heartbeat_due_at = now + HEARTBEAT_INTERVAL_S
        self._timer = self._reactor.callLater(HEARTBEAT_INTERVAL_S, self._tick)
        heartbeat = self._heartbeat()
        for name, view in list(self.view_by_name.items()):
            link = view.link
            if link is not None:
                if was_stalled:
                    link.last_received_at = now
                if now - link.last_received_at > HEARTBEAT_TIMEOUT_S:
                    self.log.notable(
                        'peer_silent',
                        peer=name,
                        silent_s=round(now - link.last_received_at, 3),
                    )
                    link.transport.abortConnection()
                    self.link_lost(link)
                else:
                    link.send(heartbeat)
            elif now - view.lost_at > REMOVE_AFTER_S and not view.dialling:
                del self.view_by_name[name]
            elif now >= view.redial_at and self._should_link(name):
                self._dial(view)

    def _should_link(self, name: str) -> bool:
        if len(self.view_by_name) < FULL_MESH_HOSTS:
            return True
        links = self.choose_links()
        return links is None or name in links

    def _dial(self, view: PeerView) -> None:
        if view.dialling or view.link is not None:
            return
        view.dialling = True
        self._reactor.connectTCP(
            view.record.ip,
            view.record.port,
            _PeerDialler(self, view),
            timeout=DIAL_TIMEOUT_S,
        )


class _PeerDialler(protocol.ClientFactory):
    """Opens a link to one peer."""

    noisy = False

    def __init__(self, mesh: PeerMesh, view: PeerView) -> None:
        self._mesh = mesh
        self._view = view

    def buildProtocol(self, addr) -> PeerLink:
        self._view.dialling = False
        return PeerLink(self._mesh, dialled=True)

    def clientConnectionFailed(self, connector, reason) -> None:
        view = self._view
        view.dialling = False
        view.redial_at = time.monotonic() + view.redial_delay_s
        view.redial_delay_s = min(MAX_REDIAL_DELAY_S, view.redial_delay_s * 2)
