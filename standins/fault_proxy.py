"""TCP proxy that injects faults between two processes.

Each route forwards a listening port to an address. Faults are set at run time
and may be limited to one direction:

==============  ========================================================
Fault           Effect
==============  ========================================================
``delay_s``     all data arrives later by this time
``reset``       open connections are reset, new ones once they open
``black_hole``  data is read and discarded, connections stay open
``half_open``   the target's side is closed, the client's stays open
``drip_bytes``  data arrives in chunks of this size every ``drip_s``
``refuse``      new connections are refused, open ones stay
``stall``       new connections are neither accepted nor refused
``repeat``      responses are sent a second time, see ``Repeat``
==============  ========================================================

``black_hole`` in one direction is one-way loss.

A proxy accepts a connection before it knows whether the target does. On routes
that acknowledge connections, a client that waits for the acknowledgement sees
what it would see at the target: a connection that the target refuses is closed
without one, and one that the proxy resets or leaves silent has got one.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import functools
import socket

import klein
import msgspec
from twisted.internet import protocol
from twisted.internet import reactor

__all__ = [
    'ACKNOWLEDGEMENT',
    'Direction',
    'FaultProxy',
    'FaultProxySettings',
    'Faults',
    'Repeat',
]

#: First byte to the client, on routes that acknowledge connections.
ACKNOWLEDGEMENT = b'+'


class Direction(enum.StrEnum):
    """Direction of the data that a fault applies to."""

    BOTH = 'both'
    TO_TARGET = 'to_target'
    TO_CLIENT = 'to_client'


class Repeat(enum.StrEnum):
    """What follows a response on its connection.

    The data to the client between two requests counts as one response.
    """

    NONE = ''
    #: A copy of it, before the response to the next request.
    BEFORE_NEXT = 'before_next'
    #: A copy of it after ``repeat_s``.
    LATE = 'late'
    #: Its first byte, directly behind it.
    BYTE = 'byte'


@dataclasses.dataclass(frozen=True, slots=True)
class FaultProxySettings:
    """Settings of a proxy.

    :param port: port of the HTTP control interface.
    :param routes: target address ``ip:port`` by listening port.
    :param acknowledged: listening ports at which connections are acknowledged.
    """

    port: int
    routes: dict[int, str]
    ip: str = '127.0.0.1'
    acknowledged: frozenset[int] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults that a route applies."""

    direction: Direction = Direction.BOTH
    delay_s: float = 0.0
    reset: bool = False
    black_hole: bool = False
    half_open: bool = False
    drip_bytes: int = 0
    drip_s: float = 0.01
    refuse: bool = False
    stall: bool = False
    repeat: Repeat = Repeat.NONE
    repeat_s: float = 0.0


class _Route:
    """Faults and open connections of one listening port."""

    def __init__(
        self, ip: str, listening_port: int, address: str, acknowledges: bool
    ) -> None:
        self.acknowledges = acknowledges
        self._ip = ip
        self._listening_port = listening_port
        self._listener = None
        # Sockets that keep the queue of new connections full.
        self._stalling_sockets: list[socket.socket] = []
        self.target_ip, _, port = address.partition(':')
        self.target_port = int(port)
        self.faults = Faults()
        self.connections: set[_ClientConnection] = set()
        self.passed_bytes = 0

    def listen(self) -> None:
        """Listen for connections of clients."""
        self._listener = reactor.listenTCP(
            self._listening_port, _RouteFactory(self), interface=self._ip
        )

    def set_faults(self, faults: Faults) -> None:
        self.faults = faults
        for stalling in self._stalling_sockets:
            stalling.close()
        self._stalling_sockets.clear()
        if self._listener is not None and (faults.refuse or faults.stall):
            self._listener.stopListening()
            self._listener = None
        if faults.stall:
            # The listener closes its socket in the next turn of the loop.
            reactor.callLater(0, self._stall)
        elif self._listener is None and not faults.refuse:
            reactor.callLater(0, self.listen)
        for client in list(self.connections):
            if faults.reset:
                client.reset()
            elif faults.half_open:
                client.close_target_side()

    def _stall(self) -> None:
        address = (self._ip, self._listening_port)
        stalling = socket.socket()
        stalling.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        stalling.bind(address)
        stalling.listen(0)
        self._stalling_sockets.append(stalling)
        for _ in range(2):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex(address)
            self._stalling_sockets.append(filling)


class _Forwarder:
    """Forwards data of one direction in order, with the faults of the route.

    A direction that has dropped data stays silent until the connection ends,
    as TCP never delivers a stream with a gap.
    """

    def __init__(self, route: _Route, direction: Direction) -> None:
        self._route = route
        self._direction = direction
        self._next_due_s = 0.0
        self._scheduled: collections.deque = collections.deque()
        self._is_silent = False

    def forward(self, data: bytes, transport) -> None:
        """Forward data now or after a delay, or drop it."""
        faults = self._faults()
        self._is_silent |= faults.black_hole
        if self._is_silent or transport is None:
            return
        self._route.passed_bytes += len(data)
        size = faults.drip_bytes or len(data)
        for start in range(0, len(data), size):
            chunk = data[start : start + size]
            self._schedule(functools.partial(transport.write, chunk), faults)

    def close(self, transport) -> None:
        """Close the connection after the data that is still scheduled."""
        faults = self._faults()
        self._is_silent |= faults.black_hole
        if not self._is_silent and transport is not None:
            self._schedule(transport.loseConnection, Faults())

    def _faults(self) -> Faults:
        faults = self._route.faults
        if faults.direction in (Direction.BOTH, self._direction):
            return faults
        return Faults()

    def _schedule(self, action: Callable[[], None], faults: Faults) -> None:
        now = reactor.seconds()
        self._next_due_s = max(self._next_due_s, now + faults.delay_s)
        if faults.drip_bytes:
            self._next_due_s += faults.drip_s
        if self._next_due_s <= now and not self._scheduled:
            action()
            return
        # Timers that are due at the same time fire in no fixed order, so the
        # queue keeps the order of the data.
        self._scheduled.append(action)
        reactor.callLater(max(0.0, self._next_due_s - now), self._run_next)

    def _run_next(self) -> None:
        self._scheduled.popleft()()


class _TargetConnection(protocol.Protocol):
    """Connection to the target of a route."""

    def __init__(self, client: '_ClientConnection') -> None:
        self._client = client

    def connectionMade(self) -> None:  # noqa: N802
        self._client.target_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._client.target_data_received(data)

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        self._client.target_lost()


class _ClientConnection(protocol.Protocol):
    """Connection of a client to the proxy."""

    def __init__(self, route: _Route) -> None:
        self._route = route
        self._target: _TargetConnection | None = None
        self._data_before_connect: list[bytes] = []
        self._half_open = False
        self._is_acknowledged = False
        # Data to the client since its last request.
        self._response = b''
        self._to_target = _Forwarder(route, Direction.TO_TARGET)
        self._to_client = _Forwarder(route, Direction.TO_CLIENT)

    def connectionMade(self) -> None:  # noqa: N802
        self._route.connections.add(self)
        faults = self._route.faults
        if faults.reset or faults.half_open or faults.black_hole:
            self._acknowledge()
        if faults.reset:
            self.reset()
            return
        if faults.half_open:
            self._half_open = True
            return
        connector = protocol.ClientCreator(reactor, _TargetConnection, self)
        connector.connectTCP(
            self._route.target_ip, self._route.target_port
        ).addErrback(self._target_refused)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._half_open:
            return
        if self._target is None:
            self._data_before_connect.append(data)
            return
        self._repeat_before_next()
        self._to_target.forward(data, self._target.transport)

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        self._route.connections.discard(self)
        if self._target is not None:
            self._to_target.close(self._target.transport)

    def target_connected(self, target_connection: _TargetConnection) -> None:
        self._target = target_connection
        if self not in self._route.connections or self._half_open:
            target_connection.transport.abortConnection()
            return
        self._acknowledge()
        data_before_connect, self._data_before_connect = (
            self._data_before_connect,
            [],
        )
        for data in data_before_connect:
            self._to_target.forward(data, target_connection.transport)

    def _acknowledge(self) -> None:
        if self._route.acknowledges and not self._is_acknowledged:
            self._is_acknowledged = True
            # The reset of a new connection discards what is only queued.
            self.transport.getHandle().send(ACKNOWLEDGEMENT)

    def _target_refused(self, reason) -> None:
        if not self._route.acknowledges:
            self.reset()
        elif not self._is_acknowledged:
            self.transport.loseConnection()

    def target_data_received(self, data: bytes) -> None:
        self._to_client.forward(data, self.transport)
        faults = self._route.faults
        if not self._response and faults.repeat is Repeat.BYTE:
            reactor.callLater(
                0, self._to_client.forward, data[:1], self.transport
            )
        if not self._response and faults.repeat is Repeat.LATE:
            reactor.callLater(faults.repeat_s, self._repeat_late)
        self._response += data

    def _repeat_before_next(self) -> None:
        response, self._response = self._response, b''
        if response and self._route.faults.repeat is Repeat.BEFORE_NEXT:
            self._to_client.forward(response, self.transport)

    def _repeat_late(self) -> None:
        if self.transport is not None and self in self._route.connections:
            self._to_client.forward(self._response, self.transport)

    def target_lost(self) -> None:
        if not self._half_open:
            self._to_client.close(self.transport)

    def close_target_side(self) -> None:
        self._half_open = True
        if self._target is not None and self._target.transport is not None:
            self._target.transport.abortConnection()

    def reset(self) -> None:
        if self._target is not None and self._target.transport is not None:
            self._target.transport.abortConnection()
        if self.transport is not None:
            self.transport.abortConnection()


class FaultProxy:
    """Forwards every route; faults are set over HTTP."""

    app = klein.Klein()

    def __init__(self, settings: FaultProxySettings) -> None:
        self._routes_by_port = {
            port: _Route(
                settings.ip, port, address, port in settings.acknowledged
            )
            for port, address in settings.routes.items()
        }
        for route in self._routes_by_port.values():
            route.listen()

    @app.route('/control/<int:port>', methods=['POST'])
    def set_route_faults(self, request, port: int) -> bytes:
        """Set the faults of the route with a listening port."""
        faults = msgspec.json.decode(request.content.read(), type=Faults)
        self._routes_by_port[port].set_faults(faults)
        return b'{}'

    @app.route('/stats')
    def stats(self, request) -> bytes:
        """Return open connections and forwarded bytes by listening port."""
        return msgspec.json.encode(
            {
                str(port): {
                    'connections': len(route.connections),
                    'passed_bytes': route.passed_bytes,
                }
                for port, route in self._routes_by_port.items()
            }
        )


class _RouteFactory(protocol.Factory):
    def __init__(self, route: _Route) -> None:
        self._route = route

    def buildProtocol(self, addr) -> _ClientConnection:  # noqa: N802
        return _ClientConnection(self._route)
