"""HTTP/1.1 server channels.

Requests are read whole before they are handed on. Requests that arrive on a
channel while another is being answered wait, so answers keep their order.
"""

from collections.abc import Callable
import time

import httptools
from twisted.internet import protocol

from walnutport.http1 import messages
from walnutport.world import routes

__all__ = ['ServerChannel', 'ServerRequest', 'ServerSite']

# Requests of one channel that may wait behind the one being answered.
MAX_PIPELINED = 8
# A caller whose bytes were rejected gets this long to read the answer.
LINGER_S = 1.0
_SINGLE_HEADERS = frozenset((b'host', b'content-length', b'transfer-encoding'))


class ServerRequest:
    """One request of a caller and the means to answer it.

    :param channel: where the request was read.
    :param received_at: monotonic time at which it was read whole.
    :param started_at: monotonic time of its first byte.
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
        self.answered = False
        self.head_sent = False
        self.on_disconnect: Callable[[], None] = lambda: None
        self._channel = channel
        self._keep_alive = keep_alive

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case."""
        for found, value in self.headers:
            if found == name:
                return value
        return None

    def respond(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Send a whole answer."""
        if self.disconnected or self.answered:
            return
        self.answered = True
        self.head_sent = True
        all_headers = [
            *headers,
            (b'content-length', b'%d' % len(body)),
            *self._channel_headers(),
        ]
        head = messages.encode_response_head(status, all_headers)
        self._channel.write_answer(head + body)
        self._channel.answer_done(self._keep_alive)

    def start(self, status: int, headers: messages.Headers) -> None:
        """Send the head of an answer whose body follows in parts."""
        if self.disconnected or self.answered:
            return
        self.head_sent = True
        all_headers = [
            *headers,
            (b'transfer-encoding', b'chunked'),
            *self._channel_headers(),
        ]
        self._channel.write_answer(
            messages.encode_response_head(status, all_headers)
        )

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data and not self.disconnected and not self.answered:
            self._channel.write_answer(b'%x\r\n%s\r\n' % (len(data), data))

    def finish(self) -> None:
        """End an answer that was sent in parts."""
        if self.disconnected or self.answered:
            return
        self.answered = True
        self._channel.write_answer(b'0\r\n\r\n')
        self._channel.answer_done(self._keep_alive)

    def abort(self) -> None:
        """Break off, so that the answer cannot look complete."""
        if self.disconnected or self.answered:
            return
        self.answered = True
        self._channel.break_off()

    def lost(self) -> None:
        """Take note that the caller closed the channel."""
        if not self.disconnected:
            self.disconnected = True
            if not self.answered:
                self.on_disconnect()

    def _channel_headers(self) -> messages.Headers:
        if self._channel.site.closing:
            self._keep_alive = False
        if self._keep_alive:
            return []
        return [(b'connection', b'close')]


class ServerChannel(protocol.Protocol):
    """Connection of a caller."""

    def __init__(self, site: 'ServerSite') -> None:
        self.site = site
        self.active: ServerRequest | None = None
        self._waiting: list[ServerRequest] = []
        self._closing = False
        self._discarding = False
        self._timer = None
        self._quiet_since = time.monotonic()
        self._begun_at = 0.0
        self._in_headers = False
        self._in_body = False
        self._parser = httptools.HttpRequestParser(self)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.site.channels.add(self)
        self._arm(self.site.limits().idle_s)

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.site.channels.discard(self)
        self._closing = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            request.lost()
        if self.active is not None:
            self.active.lost()

    def dataReceived(self, data: bytes) -> None:
        if self._closing or self._discarding:
            return
        self._quiet_since = time.monotonic()
        if not self._in_headers and not self._in_body:
            self._begun_at = self._quiet_since
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
        """Whether no request is being read or answered."""
        return (
            self.active is None
            and not self._waiting
            and not self._in_headers
            and not self._in_body
        )

    def quiet_s(self) -> float:
        """Return the seconds since the last byte came or an answer ended."""
        return time.monotonic() - self._quiet_since

    def write_answer(self, data: bytes) -> None:
        """Write a part of an answer."""
        self.transport.write(data)

    def answer_done(self, keep_alive: bool) -> None:
        """Take note that the active request has its whole answer."""
        self.active = None
        self._quiet_since = time.monotonic()
        if not keep_alive or self._closing:
            self._close()
            return
        if self._waiting:
            self._begin(self._waiting.pop(0))
        else:
            self._arm(self.site.limits().idle_s)

    def break_off(self) -> None:
        """Reset the channel in the middle of an answer."""
        self._closing = True
        self.transport.abortConnection()

    def close_idle(self) -> None:
        """Close a channel on which nothing is under way."""
        self._close()

    # The methods below are called by the parser.

    def on_message_begin(self) -> None:
        self._in_headers = True
        self._url: list[bytes] = []
        self._headers: messages.Headers = []
        self._body: list[bytes] = []
        self._body_size = 0
        if self.active is None:
            self._arm(self.site.limits().header_s)

    def on_url(self, url: bytes) -> None:
        self._url.append(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers come after the body and must not pass for headers.
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
        for name in _SINGLE_HEADERS:
            if names.count(name) > 1:
                self._reject(400)
                return
        length = self._value(b'content-length')
        coding = self._value(b'transfer-encoding')
        if coding is not None and (
            length is not None or coding.lower() != b'chunked'
        ):
            self._reject(400)
            return
        if length is not None and int(length) > limits.body_bytes:
            self._reject(413)
            return
        expects = (self._value(b'expect') or b'').lower()
        if expects == b'100-continue' and self.active is None:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        self._arm(limits.idle_s)

    def on_body(self, data: bytes) -> None:
        if self._discarding:
            return
        self._body_size += len(data)
        if self._body_size > self.site.limits().body_bytes:
            self._reject(413)
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        self._in_body = False
        if self._closing or self._discarding:
            return
        request = ServerRequest(
            self,
            self._parser.get_method(),
            b''.join(self._url),
            self._headers,
            b''.join(self._body),
            self._parser.should_keep_alive(),
            self._begun_at,
        )
        self._body = []
        if self.active is None:
            self._begin(request)
        elif len(self._waiting) < MAX_PIPELINED:
            self._waiting.append(request)
        else:
            self._discarding = True

    def _begin(self, request: ServerRequest) -> None:
        self.active = request
        self._disarm()
        self.site.handler(request)

    def _value(self, name: bytes) -> bytes | None:
        for found, value in self._headers:
            if found == name:
                return value
        return None

    def _reject(self, status: int) -> None:
        """Answer bytes that are no acceptable request, then close."""
        self._discarding = True
        self.site.rejected(status)
        if self.active is not None:
            # The answer of an earlier request is still due; what follows it
            # cannot be read, so the channel ends after that answer.
            self._closing = True
            return
        self.transport.write(
            messages.encode_response_head(
                status,
                [(b'content-length', b'0'), (b'connection', b'close')],
            )
        )
        self._linger()

    def _close(self) -> None:
        self._closing = True
        self._disarm()
        self.transport.loseConnection()

    def _linger(self) -> None:
        """Close, but read on for a while.

        Closing with unread bytes resets the channel, and the caller would
        lose the answer.
        """
        self._closing = True
        self._disarm()
        self.transport.loseWriteConnection()
        self._timer = self.site.reactor.callLater(
            LINGER_S, self.transport.abortConnection
        )

    def _disarm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _arm(self, delay_s: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay_s)
        else:
            self._timer = self.site.reactor.callLater(delay_s, self._expire)

    def _expire(self) -> None:
        if self._closing or self.active is not None:
            return
        if self._in_headers:
            self._reject(408)
        elif self._in_body and self.quiet_s() < self.site.limits().idle_s:
            self._arm(self.site.limits().idle_s)
        else:
            self._close()


class ServerSite(protocol.Factory):
    """Creates server channels.

    :param handler: called with each request.
    :param limits: returns the bounds in force.
    :param rejected: called with the status of each unreadable request.
    """

    noisy = False

    def __init__(
        self,
        reactor,
        handler: Callable[[ServerRequest], None],
        limits: Callable[[], routes.RequestLimits],
        rejected: Callable[[int], None] = lambda status: None,
    ) -> None:
        self.reactor = reactor
        self.handler = handler
        self.limits = limits
        self.rejected = rejected
        self.channels: set[ServerChannel] = set()
        # While set, each answer tells the caller to close its channel.
        self.closing = False

    def buildProtocol(self, addr) -> ServerChannel:
        return ServerChannel(self)

    def close_idle(self, quiet_s: float) -> None:
        """Close the channels that were quiet for some time."""
        for channel in list(self.channels):
            if channel.idle and channel.quiet_s() >= quiet_s:
                channel.close_idle()
