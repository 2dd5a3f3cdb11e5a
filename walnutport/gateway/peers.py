"""Links between entry hosts.

Messages go over plain TCP with a length before each. A link is good while its
peer is heard; hosts that fall silent are dialled again.
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

PULSE_S = 0.3
# A peer that missed three pulses is taken as silent.
SILENCE_S = 0.95
# If a pulse is this late, the host itself stood still and cannot judge others.
OWN_STALL_S = 0.5
FIRST_REDIAL_S = 0.3
LONGEST_REDIAL_S = 3.0
DIAL_TIMEOUT_S = 1.0
# Hosts that were not reached for this long are forgotten.
FORGET_S = 60.0
# Above this size hosts link with some others only.
FULL_MESH_HOSTS = 16
MAX_MESSAGE_BYTES = 4 << 20


@dataclasses.dataclass(slots=True)
class PeerView:
    """What is known of another host."""

    record: fleet_messages.HostRecord
    link: 'PeerLink | None' = None
    pulse: fleet_messages.Heartbeat | None = None
    pulse_at: float = 0.0
    redial_at: float = 0.0
    redial_s: float = FIRST_REDIAL_S
    dialling: bool = False
    lost_at: float = 0.0

    @property
    def reachable(self) -> bool:
        """Whether the peer is linked and was heard."""
        return self.link is not None and self.pulse is not None

    @property
    def takes_work(self) -> bool:
        """Whether the peer takes work of other hosts."""
        return (
            self.reachable
            and self.pulse is not None
            and self.pulse.fit
            and not self.pulse.draining
        )


class PeerLink(basic.Int32StringReceiver):
    """One connection to another host."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, mesh: 'PeerMesh', dialled: bool) -> None:
        self.mesh = mesh
        self.dialled = dialled
        self.name = ''
        self.heard_at = time.monotonic()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.send(self.mesh.hello())

    def send(self, message: fleet_messages.FleetMessage) -> None:
        """Send a message, unless the peer stopped reading."""
        if self.connected:
            self.sendString(fleet_messages.encode(message))

    def stringReceived(self, string: bytes) -> None:
        self.heard_at = time.monotonic()
        try:
            message = fleet_messages.decode(string)
        except exceptions.CodecError as problem:
            self.mesh.log.notable('peer_garbled', problem=str(problem))
            self.transport.abortConnection()
            return
        self.mesh.received(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        self.mesh.log.notable('peer_garbled', problem=f'length {length}')
        self.transport.abortConnection()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.mesh.link_lost(self)


class PeerMesh:
    """All links of this host.

    :param own: record of this host.
    :param pulse: returns the heartbeat to send.
    :param handle: called with the name of a peer and its message.
    :param on_lost: called with the name of a peer that is lost.
    """

    def __init__(
        self,
        reactor,
        log,
        own: fleet_messages.HostRecord,
        pulse: Callable[[], fleet_messages.Heartbeat],
        handle: Callable[[str, fleet_messages.FleetMessage], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self.log = log
        self.own = own
        self.view_by_name: dict[str, PeerView] = {}
        # Chooses the hosts to link with in a large fleet.
        self.wanted: Callable[[], set[str] | None] = lambda: None
        self._reactor = reactor
        self._pulse = pulse
        self._handle = handle
        self._on_lost = on_lost
        self._pulse_due = 0.0
        self._listener = None
        self._timer = None

    def listen(self, ports: tuple[int, int]) -> int:
        """Take the first free port of a range.

        :raises PeerError: when none is free.
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
        raise exceptions.PeerError(f'no free port in {ports}')

    def start(self) -> None:
        """Begin to send heartbeats and to dial."""
        self._pulse_due = time.monotonic() + PULSE_S
        self._timer = self._reactor.callLater(PULSE_S, self._tick)

    def stop(self) -> None:
        """Close every link."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for view in self.view_by_name.values():
            if view.link is not None:
                view.link.transport.loseConnection()

    def learn(self, record: fleet_messages.HostRecord) -> None:
        """Take note of a host."""
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
        if self._wants(record.name):
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
        """Send a message; False when the peer is not linked."""
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

    def received(
        self, link: PeerLink, message: fleet_messages.FleetMessage
    ) -> None:
        """Take a message of a link."""
        if isinstance(message, fleet_messages.Hello):
            self._greeted(link, message)
            return
        view = self.view_by_name.get(link.name)
        if view is None or view.link is not link:
            return
        if isinstance(message, fleet_messages.Heartbeat):
            view.pulse = message
            view.pulse_at = link.heard_at
        self._handle(link.name, message)

    def link_lost(self, link: PeerLink) -> None:
        """Take note that a link is closed."""
        view = self.view_by_name.get(link.name)
        if view is None or view.link is not link:
            return
        view.link = None
        view.pulse = None
        view.lost_at = time.monotonic()
        view.redial_at = view.lost_at
        view.redial_s = FIRST_REDIAL_S
        self.log.notable('peer_lost', peer=link.name)
        self._on_lost(link.name)

    def _greeted(self, link: PeerLink, hello: fleet_messages.Hello) -> None:
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
            # Both sides may have dialled; they keep the link that the host
            # with the smaller name dialled.
            by_smaller = link.dialled == (self.own.name < name)
            if not restarted and not by_smaller:
                link.name = ''
                link.transport.loseConnection()
                return
            view.link = None
            previous.transport.abortConnection()
            if restarted:
                self._on_lost(name)
        view.record = hello.host
        view.link = link
        view.redial_s = FIRST_REDIAL_S
        self.log.notable(
            'peer_joined', peer=name, incarnation=hello.host.incarnation
        )
        link.send(self._pulse())
        for record in hello.known:
            self.learn(record)

    def _tick(self) -> None:
        now = time.monotonic()
        stalled = now - self._pulse_due > OWN_STALL_S
        self._pulse_due = now + PULSE_S
        self._timer = self._reactor.callLater(PULSE_S, self._tick)
        pulse = self._pulse()
        for name, view in list(self.view_by_name.items()):
            link = view.link
            if link is not None:
                if stalled:
                    link.heard_at = now
                if now - link.heard_at > SILENCE_S:
                    self.log.notable(
                        'peer_silent',
                        peer=name,
                        silent_s=round(now - link.heard_at, 3),
                    )
                    link.transport.abortConnection()
                    self.link_lost(link)
                else:
                    link.send(pulse)
            elif now - view.lost_at > FORGET_S and not view.dialling:
                del self.view_by_name[name]
            elif now >= view.redial_at and self._wants(name):
                self._dial(view)

    def _wants(self, name: str) -> bool:
        if len(self.view_by_name) < FULL_MESH_HOSTS:
            return True
        wanted = self.wanted()
        return wanted is None or name in wanted

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
    """Opens one link to a host."""

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
        view.redial_at = time.monotonic() + view.redial_s
        view.redial_s = min(LONGEST_REDIAL_S, view.redial_s * 2)
