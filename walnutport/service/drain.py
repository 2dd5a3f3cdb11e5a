"""Graceful stop of a listener: no call is cut.

The listener stays open for a grace time after readiness went false, until
the balancer has noticed. Then it is closed; calls on connections that stay
open are finished. A connection is closed by this side only when it has been
quiet, as a request may be under way on it; an answer that is still being
written leaves with the close.
"""

import time

from twisted.internet import defer
from twisted.internet import interfaces as twisted_interfaces
from twisted.internet import task
from twisted.protocols import policies

__all__ = [
    'TrackedFactory',
    'close_quiet_connections',
    'stop_listening',
]

_QUIET_S = 0.5
_TICK_S = 0.05


class _TrackedConnection(policies.ProtocolWrapper):
    """Connection that knows when bytes last came or went."""

    last_used = 0.0

    def connectionMade(self) -> None:  # noqa: N802 - name set by Twisted
        self.last_used = time.monotonic()
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.last_used = time.monotonic()
        super().dataReceived(data)

    def write(self, data: bytes) -> None:
        self.last_used = time.monotonic()
        super().write(data)

    def is_idle(self, now: float) -> bool:
        """Return whether no request has begun and none may be under way."""
        quiet = now - self.last_used >= _QUIET_S
        # A connection that was refused over a bound holds no requests.
        requests = getattr(self.wrappedProtocol, 'requests', ())
        return quiet and not requests


class TrackedFactory(policies.WrappingFactory):
    """Factory that knows its open connections.

    ``protocols`` holds them as keys; it is kept by Twisted.
    """

    protocol = _TrackedConnection


async def stop_listening(port: twisted_interfaces.IListeningPort) -> None:
    """Close a listener after taking the connections that wait in it.

    The kernel resets a connection that was made and not yet taken.
    """
    read = getattr(port, 'doRead', None)
    if read is not None:
        read()
    await defer.maybeDeferred(port.stopListening)


async def close_quiet_connections(
    factory: TrackedFactory, deadline: float, reactor
) -> bool:
    """Wait until every connection is closed; close the idle ones.

    :param deadline: monotonic time in seconds to give up at.
    :returns: whether all of them ended.
    """
    while factory.protocols:
        now = time.monotonic()
        if now > deadline:
            return False
        for connection in list(factory.protocols):
            if connection.is_idle(now):
                connection.loseConnection()
        await task.deferLater(reactor, _TICK_S)
    return True
