"""HTTP/1.1 server channels.

A request is handled only after it was read completely. A pipelined request
waits until the response to the one before it is sent, so responses stay in
order.
"""

from collections.abc import Callable
import socket
import time

import httptools
from twisted.internet import protocol

from walnutport.http1 import body_buffer
from walnutport.http1 import messages
from walnutport.http1 import response_buffer
from walnutport.http1 import write_notice
from walnutport.world import routes

__all__ = ['ServerChannel', 'ServerRequest', 'ServerSite']

# Pipelined requests that may wait on one channel behind the active one.
MAX_PIPELINED = 8
# Time for a caller to read the response to a rejected request before the
# connection is reset.
LINGER_S = 1.0
# Time for a caller to read the responses on a connection that is closed after
# them.
UNREAD_LIMIT_S = 15.0
_UNIQUE_HEADERS = frozenset((b'host', b'content-length', b'transfer-encoding'))


class ServerRequest:
    """Request of a caller, with methods to send the response.

    :param channel: channel on which the request arrived.
    :param received_at: monotonic time at which it was read completely.
    :param started_at: monotonic time of its first byte.
    :ivar response_ended: whether the response was sent completely or aborted.
    """

    def __init__(
        self,
        channel: 'ServerChannel',
        method: bytes,
        target: bytes,
        headers: messages.Headers,
        body: bytes,
        keep_alive: bool,
        started_at: float,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.started_at = started_at
        self.received_at = time.monotonic()
        self.disconnected = False
        self.response_ended = False
        self.head_sent = False
        self.on_disconnect: Callable[[], None] = lambda: None
        self._channel = channel
        self._keep_alive = keep_alive

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header.

        :param name: name of the header in lower case.
        """
        for found, value in self.headers:
            if found == name:
                return value
        return None

    def respond(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        if self.disconnected or self.response_ended:
            return
        self.response_ended = True
        self.head_sent = True
        all_headers = [
            *headers,
            (b'content-length', b'%d' % len(body)),
            *self._connection_headers(),
        ]
        head = messages.encode_response_head(status, all_headers)
        if len(body) <= response_buffer.PIECE_BYTES:
            self._channel.write_response(head + body)
        else:
            self._channel.write_response(head)
            self._channel.write_response(body)
        self._channel.response_finished(self._keep_alive)

    def start(self, status: int, headers: messages.Headers) -> None:
        """Send the head of a response whose body follows in chunks."""
        if self.disconnected or self.response_ended:
            return
        self.head_sent = True
        all_headers = [
            *headers,
            (b'transfer-encoding', b'chunked'),
            *self._connection_headers(),
        ]
        self._channel.write_response(
            messages.encode_response_head(status, all_headers)
        )

    def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if data and not self.disconnected and not self.response_ended:
            self._channel.write_response(b'%x\r\n%s\r\n' % (len(data), data))

    def set_source(self, source: response_buffer.ResponseSource) -> None:
        """Pause the source of the body while the caller reads too slowly."""
        if not self.disconnected and not self.response_ended:
            self._channel.output.set_source(source)

    def clear_source(self, source: response_buffer.ResponseSource) -> None:
        """Let go of a source that sends nothing more."""
        self._channel.output.clear_source(source)

    def finish(self) -> None:
        """End a response that was sent in chunks."""
        if self.disconnected or self.response_ended:
            return
        self.response_ended = True
        self._channel.write_response(b'0\r\n\r\n')
        self._channel.response_finished(self._keep_alive)

    def abort(self) -> None:
        """End the connection, so that the response cannot look complete."""
        if self.disconnected or self.response_ended:
            return
        self.response_ended = True
        self._channel.abort()

    def mark_disconnected(self) -> None:
        """Record that the caller closed the connection."""
        if not self.disconnected:
            self.disconnected = True
            if not self.response_ended:
                self.on_disconnect()

    def _connection_headers(self) -> messages.Headers:
        if self._channel.site.closing and not self._channel.has_more():
            self._keep_alive = False
        if self._keep_alive:
            return []
        return [(b'connection', b'close')]


class ServerChannel(protocol.Protocol):
    """Server side of a caller's connection.

    :ivar output: writes the responses.
    """

    output: response_buffer.ResponseBuffer

    def __init__(self, site: 'ServerSite') -> None:
        self.site = site
        self.active: ServerRequest | None = None
        self._pipelined: list[ServerRequest] = []
        self._closing = False
        self._discarding = False
        self._timer = None
        self._last_activity_at = time.monotonic()
        self._request_started_at = 0.0
        self._in_headers = False
        self._in_body = False
        self._parser = httptools.HttpRequestParser(self)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.output = response_buffer.ResponseBuffer(
            self.transport, self.site.unread, self._cut_off
        )
        self.site.channels.add(self)
        self._start_timer(self.site.limits().idle_s)

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.site.channels.discard(self)
        self._closing = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.output.discard()
        pipelined, self._pipelined = self._pipelined, []
        for request in pipelined:
            request.mark_disconnected()
        if self.active is not None:
            self.active.mark_disconnected()

    def dataReceived(self, data: bytes) -> None:
        if self._closing or self._discarding:
            return
        self._last_activity_at = time.monotonic()
        if not self._in_headers and not self._in_body:
            self._request_started_at = self._last_activity_at
            self._header_size = 0
        if not self._in_body:
            self._header_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            if not self._discarding:
                self._reject(400)
        if self._in_headers:
            limits = self.site.limits()
            if self._header_size > limits.header_bytes + 1024:
                self._reject(431)

    @property
    def idle(self) -> bool:
        """Whether no request is being read or handled."""
        return (
            self.active is None
            and not self._pipelined
            and not self._in_headers
            and not self._in_body
        )

    def has_more(self) -> bool:
        """Return whether a request has arrived behind the active one.

        It may still be unread, or partly read. A close would cut it off
        without a response.
        """
        if self._pipelined or self._in_headers or self._in_body:
            return True
        if self._closing or self._discarding:
            return False
        try:
            return bool(self.transport.getHandle().recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def inactive_s(self) -> float:
        """Return the seconds since the last byte arrived or response ended."""
        return time.monotonic() - self._last_activity_at

    def write_response(self, data: bytes) -> None:
        """Write a part of a response."""
        self.output.write(data)

    def response_finished(self, keep_alive: bool) -> None:
        """Handle the end of the response to the active request.

        While the site closes, the channel closes with the response even if
        its head did not say so, unless a further request has arrived.
        """
        self.active = None
        self._last_activity_at = time.monotonic()
        is_last = self.site.closing and not self.has_more()
        if not keep_alive or self._closing:
            self._close()
            return
        if is_last:
            self._close_unannounced()
            return
        if self._pipelined:
            self._handle(self._pipelined.pop(0))
        else:
            self._start_timer(self.site.limits().idle_s)

    def abort(self) -> None:
        """End the connection in the middle of a response.

        The last chunk is missing, so the response is incomplete. What was
        written before is sent; a reset would drop it.
        """
        self._linger()

    def close_idle(self) -> None:
        """Close a channel that has no request in progress."""
        if not self._closing:
            self._close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._in_headers = True
        self._url = b''
        self._headers: messages.Headers = []
        self._body = body_buffer.BodyBuffer()
        if self.active is None:
            self._start_timer(self.site.limits().header_s)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers follow the body and must not be taken for headers.
        if self._in_headers:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._in_headers = False
        self._in_body = True
        limits = self.site.limits()
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size > limits.header_bytes:
            self._reject(431)
            return
        names = [name for name, _ in self._headers]
        for name in _UNIQUE_HEADERS:
            if names.count(name) > 1:
                self._reject(400)
                return
        length = self._first_value(b'content-length')
        coding = self._first_value(b'transfer-encoding')
        if coding is not None and (
            length is not None or coding.lower() != b'chunked'
        ):
            self._reject(400)
            return
        if length is not None and int(length) > limits.body_bytes:
            self._reject(413)
            return
        expects = (self._first_value(b'expect') or b'').lower()
        if expects == b'100-continue' and self.active is None:
            self.output.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        self._wait_for_body()

    def on_body(self, data: bytes) -> None:
        if self._discarding:
            return
        if len(self._body) + len(data) > self.site.limits().body_bytes:
            self._reject(413)
            return
        self._body.add(data)

    def on_message_complete(self) -> None:
        self._in_body = False
        if self._closing or self._discarding:
            return
        request = ServerRequest(
            self,
            self._parser.get_method(),
            self._url,
            self._headers,
            self._body.take(),
            self._parser.should_keep_alive(),
            self._request_started_at,
        )
        if self.active is None:
            self._handle(request)
        elif len(self._pipelined) < MAX_PIPELINED:
            self._pipelined.append(request)
        else:
            self._discarding = True

    def _handle(self, request: ServerRequest) -> None:
        self.active = request
        self._cancel_timer()
        self.site.handler(request)

    def _first_value(self, name: bytes) -> bytes | None:
        for found, value in self._headers:
            if found == name:
                return value
        return None

    def _reject(self, status: int) -> None:
        """Send an error status for an invalid request, then close."""
        self._discarding = True
        self.site.on_rejected(status)
        if self.active is not None:
            # An earlier request still awaits its response. The data after it
            # cannot be parsed, so the channel closes after that response.
            self._closing = True
            return
        self.output.write(
            messages.encode_response_head(
                status,
                [(b'content-length', b'0'), (b'connection', b'close')],
            )
        )
        self._linger()

    def _close(self) -> None:
        self._closing = True
        self._abort_later()
        self.output.when_drained(self.transport.loseConnection)

    def _abort_later(self) -> None:
        """Limit the time that the caller has to read what was written."""
        self._cancel_timer()
        self._timer = self.site.reactor.callLater(
            UNREAD_LIMIT_S, self.transport.abortConnection
        )

    def _cut_off(self, kept_bytes: int) -> None:
        """End the connection, as the caller does not read."""
        self.site.on_unread(kept_bytes)
        self._closing = True
        self.output.discard()
        self.transport.abortConnection()

    def _close_unannounced(self) -> None:
        """Close after a response that has announced no close.

        The caller may write its next request meanwhile. A close with unread
        data would reset the connection, so that it could lose the response.
        """
        self._closing = True
        self._abort_later()
        self.output.when_drained(self._notify_written)

    def _notify_written(self) -> None:
        write_notice.notify_written(self.transport, self._half_close)

    def _half_close(self) -> None:
        """Close for writing; what the caller still sends is read away."""
        self._cancel_timer()
        self.transport.loseWriteConnection()
        self._timer = self.site.reactor.callLater(
            LINGER_S, self.transport.loseConnection
        )

    def _linger(self) -> None:
        """Close for writing, but keep reading for a while.

        Closing with unread data resets the connection, and the caller would
        lose the response.
        """
        self._closing = True
        self._cancel_timer()
        self.output.when_drained(self.transport.loseWriteConnection)
        self._timer = self.site.reactor.callLater(
            LINGER_S, self.transport.abortConnection
        )

    def _wait_for_body(self) -> None:
        """Limit the time for the body, also if bytes go on arriving."""
        limits = self.site.limits()
        read_s = time.monotonic() - self._request_started_at
        if read_s < limits.request_s:
            self._start_timer(min(limits.idle_s, limits.request_s - read_s))
        elif self.active is None:
            self._reject(408)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _start_timer(self, delay_s: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay_s)
        else:
            self._timer = self.site.reactor.callLater(
                delay_s, self._handle_timeout
            )

    def _handle_timeout(self) -> None:
        if self._closing or self.active is not None:
            return
        if self._in_headers:
            self._reject(408)
        elif self._in_body and self.inactive_s() < self.site.limits().idle_s:
            self._wait_for_body()
        elif self._in_body or not self.has_more():
            self._close()


class ServerSite(protocol.Factory):
    """Factory of server channels.

    :param handler: called with each request.
    :param limits: returns the limits in force.
    :param on_rejected: called with the status of each rejected request.
    :param unread: bytes that callers have not read yet, which sites may share.
    :param on_unread: called with the bytes that a caller has not read when it
        is cut off.
    """

    noisy = False

    def __init__(
        self,
        reactor,
        handler: Callable[[ServerRequest], None],
        limits: Callable[[], routes.RequestLimits],
        on_rejected: Callable[[int], None] = lambda status: None,
        unread: response_buffer.UnreadBytes | None = None,
        on_unread: Callable[[int], None] = lambda kept_bytes: None,
    ) -> None:
        self.reactor = reactor
        self.handler = handler
        self.limits = limits
        self.on_rejected = on_rejected
        self.unread = unread or response_buffer.UnreadBytes()
        self.on_unread = on_unread
        self.channels: set[ServerChannel] = set()
        # While set, each response carries ``Connection: close``.
        self.closing = False

    def buildProtocol(self, addr) -> ServerChannel:
        return ServerChannel(self)

    def close_idle(self, inactive_s: float) -> None:
        """Close the idle channels without activity for ``inactive_s``."""
        for channel in list(self.channels):
            if (
                channel.idle
                and channel.inactive_s() >= inactive_s
                and not channel.has_more()
            ):
                channel.close_idle()
