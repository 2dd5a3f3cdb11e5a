"""Shared HTTP client: one connection pool for each use, bounded bodies."""

from collections.abc import Callable
import dataclasses

import treq
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces as twisted_interfaces
from twisted.web import client
from twisted.web import iweb
from zope.interface import implementer

from walnutport import exceptions
from walnutport import world

__all__ = [
    'TimeoutClient',
    'HttpClient',
    'HttpReply',
    'ReportingBody',
    'read_bounded',
]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Status, headers and whole body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@implementer(iweb.IBodyProducer)
class ReportingBody:
    """Request body that reports the moment it goes to a connection.

    Twisted calls ``startProducing`` right after it wrote the request head,
    so an attempt whose body was never started sent no byte at all.

    :param on_sent: called once, before the body is written.
    """

    def __init__(self, body: bytes, on_sent: Callable[[], None]) -> None:
        self.body = body
        self.length = len(body)
        self._on_sent = on_sent

    def startProducing(  # noqa: N802 - name set by the interface
        self, consumer: twisted_interfaces.IConsumer
    ) -> defer.Deferred[None]:
        """Report and write the whole body."""
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
class _IpEndpoints:
    """Makes endpoints for IP numbers.

    The agent's own endpoint looks names up and tries several addresses; it
    reports a refused connection only after 0.3 s.
    """

    def __init__(self, reactor, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(  # noqa: N802 - name set by the interface
        self, uri: client.URI
    ) -> twisted_interfaces.IStreamClientEndpoint:
        """Return the endpoint of a URI whose host is an IP number."""
        host = uri.host.decode('ascii').strip('[]')
        kind = (
            endpoints.TCP6ClientEndpoint
            if ':' in host
            else endpoints.TCP4ClientEndpoint
        )
        return kind(self._reactor, host, uri.port, timeout=self._timeout_s)


class HttpClient:
    """Client for one outside system.

    :param persistent: whether connections are kept for further calls. A call
        that may not be repeated uses a fresh connection, as a kept one may
        have been closed by the other side already.
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
            reactor, _IpEndpoints(reactor, connect_timeout_s), self._pool
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
        """Send a request and return the response once its head is here."""
        producer = ReportingBody(body, on_sent)
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
        """Send a request and read the whole answer.

        :raises CodecError: if the answer is larger than ``max_body_bytes``.
        """
        response = await self.send(method, url, body, headers or {}, on_sent)
        content = await read_bounded(response, max_body_bytes)
        return HttpReply(response.code, flatten_headers(response), content)

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()


class TimeoutClient:
    """Calls one address and gives up after a time.

    :param client: connections that several addresses may share.
    :param timeout_s: longest wait for a whole answer in seconds.
    """

    def __init__(
        self,
        client: HttpClient,
        address: world.Address,
        reactor,
        timeout_s: float,
    ) -> None:
        self._client = client
        self._base = f'http://{address}/v1'
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
        """Send a request and read the whole answer.

        :param path: path below the version of the interface.
        :param wait_s: time for which the call asks the other side to wait.
        """
        calling = defer.Deferred.fromCoroutine(
            self._client.call(
                method, self._base + path, body, headers, on_sent=on_sent
            )
        )
        return calling.addTimeout(self._timeout_s + wait_s, self._reactor)


def flatten_headers(response: iweb.IResponse) -> dict[str, str]:
    """Return the last value of each header by lower-case name."""
    return {
        name.decode('latin-1').lower(): values[-1].decode('latin-1')
        for name, values in response.headers.getAllRawHeaders()
    }


async def read_bounded(response: iweb.IResponse, limit: int) -> bytes:
    """Read a body of at most ``limit`` bytes.

    :raises CodecError: if the body is larger.
    """
    parts: list[bytes] = []
    size = 0

    def collect(data: bytes) -> None:
        nonlocal size
        size += len(data)
        if size <= limit:
            parts.append(data)

    await treq.collect(response, collect)
    if size > limit:
        raise exceptions.CodecError(f'body of {size} bytes exceeds {limit}')
    return b''.join(parts)
