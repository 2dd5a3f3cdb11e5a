"""HTTP/1.1 client channels.

A channel carries one request at a time. Its receiver learns what came back
and, on a failure, whether any byte of the request was written.
"""

from collections.abc import Callable
import socket
import time
from typing import Protocol as TypingProtocol

import httptools
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol

from walnutport import exceptions
from walnutport.http1 import messages

__all__ = [
    'Address',
    'AnswerReceiver',
    'CONNECT_TIMEOUT_S',
    'ClientChannel',
    'connect',
]

Address = tuple[str, int]

# A peer that is cut off acknowledges nothing; the kernel gives up on written
# data after this long. Detection must fit within the shortest deadlines.
UNACKED_LIMIT_MS = 1500
# Keep-alive probes find a channel that went silent while we wait for an
# answer and nothing is unacknowledged.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Idle channels are kept for at most this long when the peer names no limit.
DEFAULT_IDLE_S = 4.0
# A channel is not reused within this margin of the peer's idle limit.
IDLE_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 1.0


class AnswerReceiver(TypingProtocol):
    """Takes what a channel reads for one request."""

    def head_received(self, head: messages.ResponseHead) -> bool:
        """Take the head; return False for the answer to another request."""

    def body_received(self, data: bytes) -> None:
        """Take a part of the body."""

    def finished(self) -> None:
        """Take note that the answer is complete."""

    def failed(self, failure: exceptions.ChannelError) -> None:
        """Take note that no complete answer will come."""


class ClientChannel(protocol.Protocol):
    """One connection to a target, the store or a stage."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S
        self.alive = False
        self.requests = 0
        self._receiver: AnswerReceiver | None = None
        self._written = False
        self._keep = True
        self._swallow = False
        self.on_open: Callable[[ClientChannel], None] = lambda channel: None
        self._on_idle = lambda channel: None
        self._done = False
        self._until_close = False
        self._head: messages.ResponseHead | None = None
        self._headers: messages.Headers = []
        self._reset_parser()

    def connectionMade(self) -> None:
        self.alive = True
        _bound_silence(self.transport)
        self.on_open(self)

    def send(
        self,
        data: bytes,
        receiver: AnswerReceiver,
        on_idle=lambda channel: None,
    ) -> None:
        """Write one request.

        :param on_idle: called with the channel once it can be used again.
        """
        if not self.alive or self._receiver is not None:
            raise exceptions.ChannelError('channel is not free', written=False)
        self._receiver = receiver
        self._on_idle = on_idle
        self._written = True
        self.requests += 1
        self.transport.write(data)

    def cancel(self) -> None:
        """Drop the request in flight and the channel with it."""
        self._receiver = None
        self._drop()

    def close(self) -> None:
        """Close an idle channel."""
        self._drop()

    def dataReceived(self, data: bytes) -> None:
        if self._receiver is None:
            # Bytes that no request waits for belong to nobody.
            self._drop()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as problem:
            if not self._done:
                self._fail(f'malformed answer: {problem}', malformed=True)
                return
            self._keep = False
        if self._done:
            self._complete()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.alive = False
        if self._receiver is None:
            return
        if (
            self._until_close
            and self._head is not None
            and reason.check(error.ConnectionDone)
        ):
            self._complete()
            return
        self._fail(f'channel lost: {reason.type.__name__}')

    # The methods below are called by the parser.

    def on_message_begin(self) -> None:
        if self._done:
            # A second answer after a complete one belongs to no request.
            self._keep = False
            self._swallow = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self._done or self._receiver is None or status < 200:
            return
        head = messages.ResponseHead(status, self._headers)
        if not self._receiver.head_received(head):
            self._swallow = True
            self._keep = False
            return
        self._swallow = False
        self._head = head
        self._until_close = (
            head.header(b'content-length') is None
            and head.header(b'transfer-encoding') is None
            and status not in (204, 304)
        )
        self._keep = (
            self._keep
            and not self._until_close
            and self._parser.should_keep_alive()
        )
        self._read_idle_limit(head)

    def on_body(self, data: bytes) -> None:
        if self._swallow or self._done or self._receiver is None:
            return
        if self._head is not None:
            self._receiver.body_received(data)

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            return
        if self._swallow or self._head is None:
            self._swallow = False
            return
        if not self._until_close:
            # The answer is handed on once all bytes that came with it are
            # read: more bytes make the channel useless.
            self._done = True

    def _complete(self) -> None:
        receiver = self._receiver
        self._receiver = None
        if receiver is None:
            return
        reusable = self._keep and self.alive
        if reusable:
            self._reset_parser()
            self.idle_since = time.monotonic()
        else:
            self._drop()
        receiver.finished()
        if reusable and self._receiver is None:
            self._on_idle(self)

    def _fail(self, text: str, malformed: bool = False) -> None:
        receiver = self._receiver
        self._receiver = None
        self._drop()
        if receiver is not None:
            receiver.failed(
                exceptions.ChannelError(
                    text, written=self._written, malformed=malformed
                )
            )

    def _drop(self) -> None:
        self.alive = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head = None
        self._until_close = False
        self._done = False
        self._swallow = False
        self._keep = True

    def _read_idle_limit(self, head: messages.ResponseHead) -> None:
        value = head.header(b'keep-alive') or b''
        for part in value.split(b','):
            name, _, number = part.strip().partition(b'=')
            if name.lower() == b'timeout' and number.isdigit():
                self.idle_limit_s = float(number) - IDLE_MARGIN_S


async def connect(
    reactor, address: Address, timeout_s: float = CONNECT_TIMEOUT_S
) -> ClientChannel:
    """Open a channel.

    :raises ChannelError: when the peer cannot be reached.
    """
    dialler = _Dialler(ClientChannel(address))
    dialler.connector = reactor.connectTCP(
        address[0], address[1], dialler, timeout=timeout_s
    )
    return await dialler.opened


class _Dialler(protocol.ClientFactory):
    """Opens one channel, unless it is cancelled before."""

    noisy = False

    def __init__(self, channel: ClientChannel) -> None:
        self.connector = None
        self.opened: defer.Deferred = defer.Deferred(self._cancel)
        self._channel = channel
        self._cancelled = False
        channel.on_open = self.opened.callback

    def buildProtocol(self, addr) -> ClientChannel:
        return self._channel

    def clientConnectionFailed(self, connector, reason) -> None:
        if not self._cancelled:
            self.opened.errback(
                exceptions.ChannelError(
                    f'cannot connect: {reason.type.__name__}', written=False
                )
            )

    def _cancel(self, opened: defer.Deferred) -> None:
        self._cancelled = True
        if self.connector is not None:
            self.connector.disconnect()


def _bound_silence(transport) -> None:
    handle = transport.getHandle()
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_LIMIT_MS),
    )
    for level, option, value in options:
        handle.setsockopt(level, option, value)
