"""Runs an entry host whose connections to targets lead through a proxy.

``python -m standins.proxied_entry JSON_SETTINGS`` runs ``walnutport entry``
in a process that reaches some addresses through the fault proxy. Targets have
the same addresses for all hosts, and faults of the proxy affect the path of
this host alone.
"""

import dataclasses
import sys

import msgspec
from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.python import failure as twisted_failure

from standins import fault_proxy
from walnutport.cli import main as cli

__all__ = ['ProxiedEntrySettings', 'main', 'reach_through_proxy']


@dataclasses.dataclass(frozen=True, slots=True)
class ProxiedEntrySettings:
    """Settings of the process.

    :param port_by_target_port: port of the proxy, whose connections it
        acknowledges, by the port of a target.
    """

    port_by_target_port: dict[int, int]
    ip: str = '127.0.0.1'


class _Opening(protocol.Protocol):
    """Connection to the proxy that awaits the one to the target."""

    def __init__(self, factory: '_PathFactory', addr) -> None:
        self._factory = factory
        self._addr = addr
        self._timer = factory.reactor.callLater(
            factory.timeout_s, self._time_out
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._timer.cancel()
        self._factory.is_open = True
        opened = self._factory.inner.buildProtocol(self._addr)
        if opened is None:
            self.transport.abortConnection()
            return
        self.transport.protocol = opened
        opened.makeConnection(self.transport)
        rest = data[len(fault_proxy.ACKNOWLEDGEMENT) :]
        if rest:
            opened.dataReceived(rest)

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        if self._timer.active():
            self._timer.cancel()

    def _time_out(self) -> None:
        self._factory.problem = error.TimeoutError()
        self.transport.abortConnection()


class _PathFactory(protocol.ClientFactory):
    """Opens a connection once the target has accepted it.

    :ivar problem: why the connection cannot be opened if the proxy closes it.
    """

    noisy = False

    def __init__(
        self, reactor, inner: protocol.ClientFactory, timeout_s: float
    ) -> None:
        self.reactor = reactor
        self.inner = inner
        self.timeout_s = timeout_s
        self.is_open = False
        self.problem: Exception = error.ConnectionRefusedError()

    def doStart(self) -> None:  # noqa: N802
        self.inner.doStart()

    def doStop(self) -> None:  # noqa: N802
        self.inner.doStop()

    def startedConnecting(self, connector) -> None:  # noqa: N802
        self.inner.startedConnecting(connector)

    def buildProtocol(self, addr) -> _Opening:  # noqa: N802
        return _Opening(self, addr)

    def clientConnectionFailed(  # noqa: N802
        self, connector, reason
    ) -> None:
        self.inner.clientConnectionFailed(connector, reason)

    def clientConnectionLost(  # noqa: N802
        self, connector, reason
    ) -> None:
        if self.is_open:
            self.inner.clientConnectionLost(connector, reason)
        else:
            self.inner.clientConnectionFailed(
                connector, twisted_failure.Failure(self.problem)
            )


def reach_through_proxy(reactor, settings: ProxiedEntrySettings) -> None:
    """Let a reactor reach some addresses through the proxy."""
    connect_directly = reactor.connectTCP

    def connect(  # noqa: N803
        host, port, factory, timeout=30, bindAddress=None
    ):
        proxy_port = settings.port_by_target_port.get(port)
        if host != settings.ip or proxy_port is None:
            return connect_directly(host, port, factory, timeout, bindAddress)
        return connect_directly(
            host,
            proxy_port,
            _PathFactory(reactor, factory, timeout),
            timeout,
            bindAddress,
        )

    reactor.connectTCP = connect


def main() -> None:
    """Run an entry host until SIGTERM."""
    settings = msgspec.json.decode(sys.argv[1], type=ProxiedEntrySettings)
    reach_through_proxy(reactor, settings)
    cli.main(['walnutport', 'entry'])


if __name__ == '__main__':
    main()
