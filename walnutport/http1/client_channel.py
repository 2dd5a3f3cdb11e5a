"""HTTP/1.1 client channels.

A channel carries one request at a time. Its receiver gets the response or,
on failure, an error that says whether any byte of the request was written.

A peer may send a response a second time, at any later moment. Only a response
that names its request can be told from the one to the next request, so a
channel is reused only after such responses, and then accepts no others.

The receiver gets the body once a read, in however many pieces it has arrived.
"""

from collections.abc import Callable
import time
from typing import Protocol as TypingProtocol

import httptools
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol

from walnutport import exceptions
from walnutport.http1 import joined_heads
from walnutport.http1 import messages
from walnutport.http1 import socket_options
from walnutport.http1 import write_notice

__all__ = [
    'Address',
    'CONNECT_TIMEOUT_S',
    'ClientChannel',
    'JOINED_DETAIL',
    'MAX_HEAD_BYTES',
    'MAX_SKIPPED_BYTES',
    'ResponseReceiver',
    'UNIDENTIFIED_DETAIL',
    'connect',
]

Address = tuple[str, int]

# Idle limit of a channel whose peer sends no Keep-Alive timeout.
DEFAULT_IDLE_LIMIT_S = 4.0
# A channel is not reused this shortly before the idle timeout of its peer.
IDLE_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 1.0
# Bytes of a head with the interim responses before it, and between two parts
# of a body: chunk sizes with their extensions, and trailers.
MAX_HEAD_BYTES = 64 << 10
# Shorter bodies do not count among the bytes that receivers keep.
MIN_COUNTED_BYTES = 16 << 10
# Bytes of bodies that belong to other requests.
MAX_SKIPPED_BYTES = 16 << 20
#: Reasons of failures: the response may be that to an earlier request.
JOINED_DETAIL = 'status line inside a head on a used channel'
UNIDENTIFIED_DETAIL = 'response names no request on a used channel'


class ResponseReceiver(TypingProtocol):
    """Receives the response to one request."""

    @property
    def max_body_bytes(self) -> int:
        """Bytes of the body after which the response is cut off."""

    @property
    def keeps_body(self) -> bool:
        """Whether the body is kept until its end, and not passed on."""

    def is_named_in(self, head: messages.ResponseHead) -> bool:
        """Return whether a head names a request.

        The receiver rejects the heads that name another one than its own.
        """

    def head_received(self, head: messages.ResponseHead) -> bool:
        """Receive the head; return False if it answers another request."""

    def body_received(self, data: bytes) -> None:
        """Receive a part of the body."""

    def finished(self) -> None:
        """Handle the end of the response."""

    def failed(self, failure: exceptions.ChannelError) -> None:
        """Handle a failure: no complete response will arrive."""


class ClientChannel(protocol.Protocol):
    """Client connection to a target, the store or a stage target."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.alive = False
        self.request_count = 0
        # Start of the process at the other end, in Unix milliseconds, once it
        # has reported it on this channel.
        self.run: int | None = None
        # Whether only the close has ended the last response, so that it may
        # have broken off.
        self.ended_by_close = False
        self.opened_at = 0.0
        # Called when a request is sent; with the channel at the first byte of
        # a response; and when the channel ends before the first one.
        self.on_sent: Callable[[], None] = lambda: None
        self.on_answered: Callable[[ClientChannel], None] = lambda channel: (
            None
        )
        self.on_unanswered: Callable[[], None] = lambda: None
        # Whether any byte of a response has come, so that the peer was alive
        # when the channel was opened.
        self.was_answered = False
        self._awaits_answer = False
        # Called when a response is cut off as it exceeds a limit, and when
        # one is rejected as it may answer an earlier request.
        self.on_oversized: Callable[[], None] = lambda: None
        self.on_unidentified: Callable[[], None] = lambda: None
        # Called with the channel and the bytes that its receiver keeps.
        self.on_kept: Callable[[ClientChannel, int], None] = (
            lambda channel, size: None
        )
        self._kept_bytes = 0
        self._is_paused = False
        self._receiver: ResponseReceiver | None = None
        self._written = False
        self._notice: write_notice.WriteNotice | None = None
        self._keep_alive = True
        self._skip_response = False
        self.on_open: Callable[[ClientChannel], None] = lambda channel: None
        self._on_idle = lambda channel: None
        self._response_complete = False
        self._body_until_close = False
        self._head: messages.ResponseHead | None = None
        self._headers: messages.Headers = []
        # Why the response may be that to an earlier request, empty if not.
        self._doubt = ''
        self._reset_parser()

    def connectionMade(self) -> None:
        self.alive = True
        self.idle_since = self.opened_at = time.monotonic()
        socket_options.set_client_options(self.transport.getHandle())
        self.on_open(self)

    def send(
        self,
        data: bytes,
        receiver: ResponseReceiver,
        on_idle=lambda channel: None,
        on_written: Callable[[], None] | None = None,
    ) -> None:
        """Write one request.

        :param on_idle: called with the channel once it can be reused.
        :param on_written: called once the kernel has the whole request.
        :raises ChannelError: if the channel is closed or busy.
        """
        if not self.alive or self._receiver is not None:
            raise exceptions.ChannelError(
                'channel is closed or busy', written=False
            )
        self._receiver = receiver
        self._on_idle = on_idle
        self._written = True
        self.request_count += 1
        self._awaits_answer = True
        self.on_sent()
        self.transport.write(data)
        if on_written is not None:
            self._notice = write_notice.notify_written(
                self.transport, on_written
            )

    def cancel(self) -> None:
        """Abandon the request in flight and close the channel."""
        self._receiver = None
        self._release_body()
        self._abort()

    def close(self) -> None:
        """Close an idle channel."""
        self._abort()

    def pause_reading(self) -> None:
        """Read no more for now, so that the peer has to wait.

        The end of the connection is not noticed meanwhile.
        """
        if self.alive and not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Read on."""
        if self._is_paused:
            self._is_paused = False
            if self.alive:
                self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:
        if self._receiver is None:
            # No request is in flight, so the data cannot be a response.
            self._abort()
            return
        if self._awaits_answer:
            self._awaits_answer = False
            self.was_answered = True
            self.on_answered(self)
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as problem:
            if not self._response_complete:
                self._deliver_body()
                self._fail(f'malformed answer: {problem}', malformed=True)
                return
            self._keep_alive = False
        self._deliver_body()
        if self._receiver is None:
            return
        excess = self._find_excess(self._receiver)
        if self._doubt:
            self.on_unidentified()
            self._fail(self._doubt, malformed=True)
        elif excess:
            self.cut_off(excess)
        elif self._response_complete:
            self._complete()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.alive = False
        if self._receiver is None:
            return
        if (
            self._body_until_close
            and self._head is not None
            and reason.check(error.ConnectionDone)
        ):
            self.ended_by_close = True
            self._complete()
            return
        self._fail(f'channel lost: {reason.type.__name__}')

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if self._response_complete:
            # A second response after a complete one belongs to no request.
            self._keep_alive = False
            self._skip_response = True
        self._headers = []
        self._reason = b''

    def on_status(self, reason: bytes) -> None:
        if self._head is None:
            self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self._response_complete or self._receiver is None or self._doubt:
            return
        is_used = self.request_count > 1
        if is_used and joined_heads.is_joined(self._reason, self._headers):
            self._doubt = JOINED_DETAIL
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        head = messages.ResponseHead(status, self._headers)
        is_named = self._receiver.is_named_in(head)
        if is_used and not is_named:
            self._doubt = UNIDENTIFIED_DETAIL
            return
        if not self._receiver.head_received(head):
            self._skip_response = True
            self._keep_alive = False
            return
        self._skip_response = False
        self._head = head
        self._body_until_close = (
            head.header(b'content-length') is None
            and head.header(b'transfer-encoding') is None
            and status not in (204, 304)
        )
        self._keep_alive = (
            self._keep_alive
            and not self._body_until_close
            and is_named
            and self._parser.should_keep_alive()
        )
        self._parse_idle_limit(head)

    def on_body(self, data: bytes) -> None:
        if self._response_complete or self._receiver is None:
            return
        if self._skip_response:
            self._head_bytes = 0
            self._skipped_bytes += len(data)
        elif self._head is not None:
            self._head_bytes = 0
            self._body_bytes += len(data)
            if self._body_bytes <= self._receiver.max_body_bytes:
                self._read_body += data

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            return
        if self._skip_response or self._head is None:
            self._skip_response = False
            return
        if not self._body_until_close:
            # The response is delivered after all data that arrived with it is
            # parsed, since surplus data makes the channel unusable.
            self._response_complete = True

    def cut_off(self, reason: str) -> None:
        """Fail the response in progress, as it takes too much memory."""
        if self._receiver is not None:
            self.on_oversized()
            self._fail(reason, malformed=True, oversized=True)

    def _deliver_body(self) -> None:
        """Give the receiver the part of the body that a read has brought."""
        if not self._read_body:
            return
        data = bytes(self._read_body)
        self._read_body.clear()
        if self._receiver is None:
            return
        self._receiver.body_received(data)
        if (
            self._receiver is not None
            and self._body_bytes >= MIN_COUNTED_BYTES
            and self._receiver.keeps_body
        ):
            self._kept_bytes = self._body_bytes
            self.on_kept(self, self._kept_bytes)

    def _release_body(self) -> None:
        """Tell that the receiver keeps nothing for this channel any more."""
        if self._kept_bytes:
            self._kept_bytes = 0
            self.on_kept(self, 0)

    def _find_excess(self, receiver: ResponseReceiver) -> str:
        """Return which limit the response exceeds, empty if none."""
        if self._body_bytes > receiver.max_body_bytes:
            return f'body of more than {receiver.max_body_bytes} bytes'
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            return (
                f'more than {MAX_SKIPPED_BYTES} bytes of responses to other '
                'requests'
            )
        if self._head_bytes > MAX_HEAD_BYTES and not self._response_complete:
            return f'more than {MAX_HEAD_BYTES} bytes without a body'
        return ''

    def _complete(self) -> None:
        receiver = self._receiver
        self._receiver = None
        self._release_body()
        if receiver is None:
            return
        is_writing = self._notice is not None and self._notice.is_pending
        reusable = self._keep_alive and self.alive and not is_writing
        if reusable:
            self._reset_parser()
            self.idle_since = time.monotonic()
        else:
            self._abort()
        receiver.finished()
        if reusable and self._receiver is None:
            self._on_idle(self)

    def _fail(
        self, reason: str, malformed: bool = False, oversized: bool = False
    ) -> None:
        receiver = self._receiver
        self._receiver = None
        self._release_body()
        self._abort()
        if not self.was_answered:
            self.on_unanswered()
        if receiver is not None:
            receiver.failed(
                exceptions.ChannelError(
                    reason,
                    written=self._written,
                    malformed=malformed,
                    oversized=oversized,
                )
            )

    def _abort(self) -> None:
        self.alive = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._reason = b''
        self._head = None
        # Bytes that arrived since the last part of a body, about.
        self._head_bytes = 0
        self._body_bytes = 0
        # Part of the body that the present read has brought.
        self._read_body = bytearray()
        self._skipped_bytes = 0
        self._body_until_close = False
        self._response_complete = False
        self._skip_response = False
        self._keep_alive = True

    def _parse_idle_limit(self, head: messages.ResponseHead) -> None:
        value = head.header(b'keep-alive') or b''
        for part in value.split(b','):
            name, _, number = part.strip().partition(b'=')
            if name.lower() == b'timeout' and number.isdigit():
                self.idle_limit_s = float(number) - IDLE_MARGIN_S


async def connect(
    reactor, address: Address, timeout_s: float = CONNECT_TIMEOUT_S
) -> ClientChannel:
    """Open a channel.

    :raises ChannelError: if the peer cannot be reached.
    """
    factory = _ChannelFactory(ClientChannel(address))
    factory.connector = reactor.connectTCP(
        address[0], address[1], factory, timeout=timeout_s
    )
    return await factory.opened


class _ChannelFactory(protocol.ClientFactory):
    """Opens one channel; cancelling ``opened`` aborts the attempt."""

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
                    f'cannot connect: {reason.type.__name__}',
                    written=False,
                    refused=bool(reason.check(error.ConnectionRefusedError)),
                )
            )

    def _cancel(self, opened: defer.Deferred) -> None:
        self._cancelled = True
        if self.connector is not None:
            self.connector.disconnect()
