"""Graceful shutdown of a listener without aborting calls.

The listener stays open for a grace period after readiness turned false, until
the load balancer has noticed. Then it is closed, and calls on connections that
are still open are finished. This side closes a connection only after it has
been idle for a moment, as a request may be in transit on it; a response that
is still being written is sent before the close.
"""

import time

from twisted.internet import defer
from twisted.internet import interfaces as twisted_interfaces
from twisted.internet import task
from twisted.protocols import policies

__all__ = [
    'TrackedFactory',
    'close_idle_connections',
    'stop_listening',
]

_IDLE_S = 0.5
_POLL_INTERVAL_S = 0.05


class _TrackedConnection(policies.ProtocolWrapper):
    """Connection that records when it last received or wrote bytes."""

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
        """Return whether no request has begun and none may be in transit."""
        is_quiet = now - self.last_used >= _IDLE_S
        # The protocol of a refused connection has no attribute ``requests``.
        requests = getattr(self.wrappedProtocol, 'requests', ())
        return is_quiet and not requests


class TrackedFactory(policies.WrappingFactory):
    """Factory that tracks its open connections.

    ``protocols``, maintained by Twisted, holds them as keys.
    """

    protocol = _TrackedConnection


async def stop_listening(port: twisted_interfaces.IListeningPort) -> None:
    """Close a listener after accepting the connections in its backlog.

    The kernel resets connections that were made but not accepted.
    """
    accept = getattr(port, 'doRead', None)
    if accept is not None:
        accept()
    await defer.maybeDeferred(port.stopListening)


async def close_idle_connections(
    factory: TrackedFactory, deadline: float, reactor
) -> bool:
    """Wait until every connection is closed; close the idle ones.

    :param deadline: monotonic time in seconds to give up at.
    :returns: whether all connections were closed in time.
    """
    while factory.protocols:
        now = time.monotonic()
        if now > deadline:
            return False
        for connection in list(factory.protocols):
            if connection.is_idle(now):
                connection.loseConnection()
        await task.deferLater(reactor, _POLL_INTERVAL_S)
    return True
