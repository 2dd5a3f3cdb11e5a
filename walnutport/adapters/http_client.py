"""HTTP client with a connection pool and bounded response bodies."""

from collections.abc import Callable
import dataclasses

import treq
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces as twisted_interfaces
from twisted.internet import protocol
from twisted.web import client
from twisted.web import iweb
from zope.interface import implementer

from walnutport import exceptions
from walnutport import world

__all__ = [
    'TimeoutClient',
    'HttpClient',
    'HttpReply',
    'ObservedBody',
    'read_bounded',
]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Status, headers and complete body of a response."""

    status: int
    headers: dict[str, str]
    body: bytes


@implementer(iweb.IBodyProducer)
class ObservedBody:
    """Request body that reports when it is written to a connection.

    Twisted calls ``startProducing`` immediately after it has written the
    request head. If it was never called, no byte of the request was sent.

    :param on_sent: called once, before the body is written.
    """

    def __init__(self, body: bytes, on_sent: Callable[[], None]) -> None:
        self.body = body
        self.length = len(body)
        self._on_sent = on_sent

    def startProducing(  # noqa: N802 - name set by the interface
        self, consumer: twisted_interfaces.IConsumer
    ) -> defer.Deferred[None]:
        """Call ``on_sent`` and write the whole body."""
        self._on_sent()
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written in one piece."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written in one piece."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written in one piece."""


@implementer(iweb.IAgentEndpointFactory)
class _IpEndpointFactory:
    """Creates endpoints for IP addresses.

    The default endpoint of the agent resolves names and tries several
    addresses, and reports a refused connection only after 0.3 s.
    """

    def __init__(self, reactor, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(  # noqa: N802 - name set by the interface
        self, uri: client.URI
    ) -> twisted_interfaces.IStreamClientEndpoint:
        """Return the endpoint of a URI whose host is an IP address."""
        host = uri.host.decode('ascii').strip('[]')
        endpoint_class = (
            endpoints.TCP6ClientEndpoint
            if ':' in host
            else endpoints.TCP4ClientEndpoint
        )
        return endpoint_class(
            self._reactor, host, uri.port, timeout=self._timeout_s
        )


class HttpClient:
    """HTTP client with a connection pool of its own.

    :param persistent: whether connections are reused. A request that must
        not be repeated needs a new connection, because the server may have
        closed a pooled one already.
    """

    def __init__(
        self,
        reactor: twisted_interfaces.IReactorTCP,
        *,
        persistent: bool = True,
        connect_timeout_s: float = 1.0,
        max_connections_per_target: int = 256,
    ) -> None:
        self._reactor = reactor
        self._pool = client.HTTPConnectionPool(reactor, persistent=persistent)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = max_connections_per_target
        self._pool.cachedConnectionTimeout = 60
        agent = client.Agent.usingEndpointFactory(
            reactor, _IpEndpointFactory(reactor, connect_timeout_s), self._pool
        )
        self._client = treq.client.HTTPClient(agent)

    async def send(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: dict[str, str],
        on_sent: Callable[[], None],
    ) -> iweb.IResponse:
        """Send a request and return the response once its head has arrived."""
        producer = ObservedBody(body, on_sent)
        return await self._client.request(
            method,
            url,
            headers=headers,
            data=producer,
            unbuffered=True,
            browser_like_redirects=False,
            allow_redirects=False,
        )

    async def call(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        *,
        on_sent: Callable[[], None] = lambda: None,
        max_body_bytes: int = 16_777_216,
    ) -> HttpReply:
        """Send a request and read the complete response.

        :raises CodecError: if the body is larger than ``max_body_bytes``.
        """
        response = await self.send(method, url, body, headers or {}, on_sent)
        content = await read_bounded(response, max_body_bytes)
        return HttpReply(response.code, flatten_headers(response), content)

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()


class TimeoutClient:
    """Sends requests to one address with a time limit.

    :param client: client whose connection pool several addresses may share.
    :param timeout_s: longest wait for a complete response in seconds.
    """

    def __init__(
        self,
        client: HttpClient,
        address: world.Address,
        reactor,
        timeout_s: float,
    ) -> None:
        self._client = client
        self._base_url = f'http://{address}/v1'
        self._reactor = reactor
        self._timeout_s = timeout_s

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        *,
        on_sent: Callable[[], None] = lambda: None,
        wait_s: float = 0.0,
    ) -> defer.Deferred[HttpReply]:
        """Send a request and read the complete response.

        :param path: path below the version prefix ``/v1``.
        :param wait_s: time that the request asks the server to wait before
            it responds; it extends the time limit.
        """
        pending = defer.Deferred.fromCoroutine(
            self._client.call(
                method, self._base_url + path, body, headers, on_sent=on_sent
            )
        )
        return pending.addTimeout(self._timeout_s + wait_s, self._reactor)


def flatten_headers(response: iweb.IResponse) -> dict[str, str]:
    """Return the last value of each header by lower-case name."""
    return {
        name.decode('latin-1').lower(): values[-1].decode('latin-1')
        for name, values in response.headers.getAllRawHeaders()
    }


async def read_bounded(response: iweb.IResponse, limit: int) -> bytes:
    """Read a response body of at most ``limit`` bytes.

    The connection is closed as soon as the body is larger.

    :raises CodecError: if the body is larger.
    """
    if response.length == 0:
        # Twisted delivers no body then.
        return b''
    body = _BoundedBody(limit)
    response.deliverBody(body)
    return await body.complete


class _BoundedBody(protocol.Protocol):
    """Collects a response body up to a limit."""

    def __init__(self, limit: int) -> None:
        self.complete: defer.Deferred[bytes] = defer.Deferred(self._cancel)
        self._limit = limit
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect a part of the body."""
        self._parts.append(data)
        self._size += len(data)
        if self._size > self._limit and not self.complete.called:
            self.complete.errback(
                exceptions.CodecError(
                    f'response body exceeds {self._limit} bytes'
                )
            )
            self._close()

    def connectionLost(  # noqa: N802
        self, reason=protocol.connectionDone
    ) -> None:
        """Return the body if it is complete."""
        if self.complete.called:
            return
        if reason.check(client.ResponseDone, client.PotentialDataLoss):
            self.complete.callback(b''.join(self._parts))
        else:
            self.complete.errback(reason)

    def _cancel(self, complete: defer.Deferred[bytes]) -> None:
        self._close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()
