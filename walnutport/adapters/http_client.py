"""HTTP client with a connection pool and bounded response bodies.

Calls use the channels of ``http1``, whose parser is written in C: a call takes
about a fifth of the processor time that the agent of Twisted takes.
"""

from collections.abc import Callable
import dataclasses
from urllib import parse

from twisted.internet import defer
from twisted.internet import interfaces as twisted_interfaces

from walnutport import exceptions
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import messages
from walnutport import world

__all__ = ['HttpClient', 'HttpReply', 'TimeoutClient']

MAX_BODY_BYTES = 16_777_216


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Status, headers and complete body of a response.

    :param headers: last value of each header by lower-case name.
    """

    status: int
    headers: dict[str, str]
    body: bytes


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
        self._pool = channel_pool.ChannelPool(
            reactor, max_connections_per_target if persistent else 0
        )
        self._persistent = persistent
        self._connect_timeout_s = connect_timeout_s

    async def call(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        *,
        on_sent: Callable[[], None] = lambda: None,
        on_written: Callable[[], None] | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
        echoed_header: str = '',
    ) -> HttpReply:
        """Send a request and read the complete response.

        Cancelling closes the connection. It is reused only after a response
        that names its request, as a server may send a response twice.

        :param url: URL whose host is an IP address.
        :param on_sent: called before the first byte goes to a connection.
        :param on_written: called once the kernel has the whole request.
        :param echoed_header: lower-case name of the request header that a
            response repeats; responses with another value are skipped. Empty
            if responses name no request.
        :raises ChannelError: if no complete response arrives; says whether
            any byte of the request was written.
        :raises CodecError: if the body is larger than ``max_body_bytes``.
        """
        parts = parse.urlsplit(url)
        address = (parts.hostname or '', parts.port or 80)
        path = f'{parts.path}?{parts.query}' if parts.query else parts.path
        request = messages.encode_request(
            method.encode('ascii'),
            path.encode('ascii'),
            [(b'host', parts.netloc.encode('ascii'))]
            + [
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in (headers or {}).items()
            ],
            body,
        )
        channel = await self._acquire(address, bool(echoed_header))
        echoed = (headers or {}).get(echoed_header, '').encode('latin-1')
        collector = _EchoCollector(echoed_header.encode('ascii'), echoed)
        collector.max_body_bytes = max_body_bytes
        on_sent()
        try:
            channel.send(request, collector, self._release, on_written)
            response = await collector.done
        except defer.CancelledError:
            channel.cancel()
            raise
        except exceptions.ChannelError as problem:
            if problem.oversized:
                raise exceptions.CodecError(
                    f'response body exceeds {max_body_bytes} bytes'
                ) from problem
            raise
        return HttpReply(
            response.status,
            {
                name.decode('latin-1'): value.decode('latin-1')
                for name, value in response.head.headers
            },
            response.body,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close_all()

    async def _acquire(
        self, address: client_channel.Address, names_request: bool
    ) -> client_channel.ClientChannel:
        channel = (
            self._pool.take_idle(address)
            if names_request
            else self._pool.take_unused(address)
        )
        if channel is None:
            channel = await self._pool.open(address, self._connect_timeout_s)
        return channel

    def _release(self, channel: client_channel.ClientChannel) -> None:
        if self._persistent:
            self._pool.release(channel)
        else:
            channel.close()


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


class _EchoCollector(channel_pool.ResponseCollector):
    """Collects the response that repeats a header of its request.

    :param name: lower-case name of the header.
    :param value: value of the request; empty if responses repeat none.
    """

    def __init__(self, name: bytes, value: bytes) -> None:
        super().__init__(self._may_answer)
        self._name = name
        self._value = value

    def is_named_in(self, head: messages.ResponseHead) -> bool:
        return bool(self._value) and head.header(self._name) is not None

    def _may_answer(self, head: messages.ResponseHead) -> bool:
        if not self._value:
            return True
        # The caller decides on a response without the header.
        return head.header(self._name) in (None, self._value)
