"""Fault-injecting TCP proxy between two processes.

A proxy forwards one listening port to one address. Faults are set while it
runs, for each direction:

==============  ========================================================
Fault           Effect
==============  ========================================================
``delay_s``     every piece of data arrives this much later
``reset``       open connections are reset, new ones are reset at once
``black_hole``  data is read and dropped, connections stay open
``half_open``   the far side is closed, the near side stays open
``drip_bytes``  data arrives in pieces of this size, one every ``drip_s``
==============  ========================================================

One-way loss is ``black_hole`` with one direction only.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import functools

import klein
import msgspec
from twisted.internet import protocol
from twisted.internet import reactor

__all__ = ['Direction', 'FaultProxy', 'FaultProxySettings', 'Faults']


class Direction(enum.StrEnum):
    """Which data a fault applies to."""

    BOTH = 'both'
    TO_TARGET = 'to_target'
    TO_CLIENT = 'to_client'


@dataclasses.dataclass(frozen=True, slots=True)
class FaultProxySettings:
    """Settings of a proxy.

    :param port: port of the control interface.
    :param routes: forwarded address ``ip:port`` by listening port.
    """

    port: int
    routes: dict[int, str]
    ip: str = '127.0.0.1'


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults in force on one route."""

    direction: Direction = Direction.BOTH
    delay_s: float = 0.0
    reset: bool = False
    black_hole: bool = False
    half_open: bool = False
    drip_bytes: int = 0
    drip_s: float = 0.01


class _Route:
    """Faults and open connections of one listening port."""

    def __init__(self, address: str) -> None:
        self.ip, _, port = address.partition(':')
        self.port = int(port)
        self.faults = Faults()
        self.connections: set[_Client] = set()
        self.passed_bytes = 0

    def set_faults(self, faults: Faults) -> None:
        self.faults = faults
        for client in list(self.connections):
            if faults.reset:
                client.reset()
            elif faults.half_open:
                client.close_far_side()


class _Forwarder:
    """Passes data on in order, under the faults of the route.

    A direction that has dropped data stays silent for the life of the
    connection, as TCP never delivers a stream with a gap.
    """

    def __init__(self, route: _Route, direction: Direction) -> None:
        self._route = route
        self._direction = direction
        self._ready_at = 0.0
        self._waiting: collections.deque = collections.deque()
        self._is_silent = False

    def forward(self, data: bytes, transport) -> None:
        """Pass data on now or later, or drop it."""
        faults = self._faults()
        self._is_silent |= faults.black_hole
        if self._is_silent or transport is None:
            return
        self._route.passed_bytes += len(data)
        size = faults.drip_bytes or len(data)
        for start in range(0, len(data), size):
            piece = data[start : start + size]
            self._later(functools.partial(transport.write, piece), faults)

    def close(self, transport) -> None:
        """Close the connection behind the data that is under way."""
        faults = self._faults()
        self._is_silent |= faults.black_hole
        if not self._is_silent and transport is not None:
            self._later(transport.loseConnection, Faults())

    def _faults(self) -> Faults:
        faults = self._route.faults
        if faults.direction in (Direction.BOTH, self._direction):
            return faults
        return Faults()

    def _later(self, action: Callable[[], None], faults: Faults) -> None:
        now = reactor.seconds()
        self._ready_at = max(self._ready_at, now + faults.delay_s)
        if faults.drip_bytes:
            self._ready_at += faults.drip_s
        if self._ready_at <= now and not self._waiting:
            action()
            return
        # Timers of equal times have no fixed order, the queue has one.
        self._waiting.append(action)
        reactor.callLater(max(0.0, self._ready_at - now), self._run_next)

    def _run_next(self) -> None:
        self._waiting.popleft()()


class _Far(protocol.Protocol):
    """Connection to the forwarded address."""

    def __init__(self, client: '_Client') -> None:
        self._client = client

    def connectionMade(self) -> None:  # noqa: N802
        self._client.far_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._client.from_far(data)

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        self._client.far_lost()


class _Client(protocol.Protocol):
    """Connection of a client of the proxy."""

    def __init__(self, route: _Route) -> None:
        self._route = route
        self._far: _Far | None = None
        self._early: list[bytes] = []
        self._half_open = False
        self._to_target = _Forwarder(route, Direction.TO_TARGET)
        self._to_client = _Forwarder(route, Direction.TO_CLIENT)

    def connectionMade(self) -> None:  # noqa: N802
        self._route.connections.add(self)
        if self._route.faults.reset:
            self.reset()
            return
        if self._route.faults.half_open:
            self._half_open = True
            return
        connector = protocol.ClientCreator(reactor, _Far, self)
        connector.connectTCP(self._route.ip, self._route.port).addErrback(
            lambda _: self.reset()
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._half_open:
            return
        if self._far is None:
            self._early.append(data)
            return
        self._to_target.forward(data, self._far.transport)

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        self._route.connections.discard(self)
        if self._far is not None:
            self._to_target.close(self._far.transport)

    def far_connected(self, far: _Far) -> None:
        self._far = far
        if self not in self._route.connections or self._half_open:
            far.transport.abortConnection()
            return
        early, self._early = self._early, []
        for data in early:
            self._to_target.forward(data, far.transport)

    def from_far(self, data: bytes) -> None:
        self._to_client.forward(data, self.transport)

    def far_lost(self) -> None:
        if not self._half_open:
            self._to_client.close(self.transport)

    def close_far_side(self) -> None:
        self._half_open = True
        if self._far is not None and self._far.transport is not None:
            self._far.transport.abortConnection()

    def reset(self) -> None:
        if self._far is not None and self._far.transport is not None:
            self._far.transport.abortConnection()
        if self.transport is not None:
            self.transport.abortConnection()


class FaultProxy:
    """Listens on every route and takes faults over HTTP."""

    app = klein.Klein()

    def __init__(self, settings: FaultProxySettings) -> None:
        self._routes_by_port = {
            port: _Route(address) for port, address in settings.routes.items()
        }
        for port, route in self._routes_by_port.items():
            reactor.listenTCP(
                port, _RouteFactory(route), interface=settings.ip
            )

    @app.route('/control/<int:port>', methods=['POST'])
    def control(self, request, port: int) -> bytes:
        """Set the faults of the route that listens on a port."""
        faults = msgspec.json.decode(request.content.read(), type=Faults)
        self._routes_by_port[port].set_faults(faults)
        return b'{}'

    @app.route('/stats')
    def stats(self, request) -> bytes:
        """Return open connections and bytes passed, by port."""
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

    def buildProtocol(self, addr) -> _Client:  # noqa: N802
        return _Client(self._route)
