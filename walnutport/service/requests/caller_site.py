"""Bounds of the callers' listener that hold before a request is whole.

Header size, body size and the count of connections are checked while bytes
arrive, so that no caller makes the host keep more than the bounds. Whatever
exceeds one gets a whole JSON answer with outcome ``not_run``.
"""

import logging
import urllib.parse

from twisted.internet import protocol
from twisted.web import http
from twisted.web import server

from walnutport.config import settings as config
from walnutport.lifecycle import answers
from walnutport.service.requests import answer_format

__all__ = ['CallerSite']

LOG = logging.getLogger(__name__)
PREFIX = 'callers:'

_IDLE_TIMEOUT_S = 60
# A close with unread data makes the kernel send a reset, which can destroy
# the answer at the caller; so the rest is read and dropped for a while.
_LINGER_S = 2.0
_MAX_LINGERING = 256
_BUSY_RETRY_S = 1.0


class _BoundedRequest(server.Request):
    """Request that refuses its body as soon as it exceeds the bound."""

    _received = 0

    def process(self) -> None:
        """Refuse a path that is not UTF-8, which the router cannot take."""
        try:
            urllib.parse.unquote_to_bytes(self.path).decode()
        except UnicodeDecodeError:
            self.channel.refuse_path()
            return
        super().process()

    def gotLength(self, length) -> None:  # noqa: N802 - name of the library
        """Check the announced length; None tells that it is unknown."""
        if length is not None and length > self.channel.max_body_bytes:
            self.channel.refuse_body()
            return
        super().gotLength(length)

    def handleContentChunk(self, data) -> None:  # noqa: N802
        """Take a part of the body."""
        if self.channel.refused:
            return
        self._received += len(data)
        if self._received > self.channel.max_body_bytes:
            self.channel.refuse_body()
            return
        super().handleContentChunk(data)


class _BoundedChannel(http.HTTPChannel):
    """Connection of a caller."""

    max_body_bytes = 0
    refused = False
    _lingering = None

    def lineReceived(self, line) -> None:  # noqa: N802
        """Take a line of the head."""
        if not self.refused:
            super().lineReceived(line)

    def rawDataReceived(self, data) -> None:  # noqa: N802
        """Take a part of the body."""
        if not self.refused:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        """Process the request unless it was refused."""
        if not self.refused:
            super().allContentReceived()

    def lineLengthExceeded(self, line) -> None:  # noqa: N802
        """Refuse a single line that exceeds the bound of the head."""
        self._refuse_headers()

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Stop to wait for the end of the connection."""
        if self._lingering is not None and self._lingering.active():
            self._lingering.cancel()
        super().connectionLost(reason)
        self.factory.connection_closed()

    def refuse_body(self) -> None:
        """Answer that the body is too large and close."""
        self._refuse(
            answers.Reason.BODY_TOO_LARGE,
            413,
            f'body exceeds {self.max_body_bytes} bytes',
        )

    def refuse_path(self) -> None:
        """Answer that the path is malformed and close."""
        self._refuse(answers.Reason.BAD_REQUEST, 400, 'path is not UTF-8')

    def _refuse_headers(self) -> None:
        self._refuse(
            answers.Reason.HEADERS_TOO_LARGE,
            431,
            f'headers exceed {self.totalHeadersSize} bytes',
        )

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        if self._receivedHeaderSize > self.totalHeadersSize:
            self._refuse_headers()
        else:
            self._refuse(answers.Reason.BAD_REQUEST, 400, 'malformed HTTP')

    def _refuse(self, reason: answers.Reason, status: int, text: str) -> None:
        if self.refused:
            return
        self.refused = True
        LOG.info('%s refused a request: %s', PREFIX, text)
        answer = answers.Answer(
            answers.Outcome.NOT_RUN, reason, detail=text, status=status
        )
        # The transport half-closes only without a registered producer.
        self._networkProducer.unregisterProducer()
        self._lingering = _answer_and_close(
            self.transport, self.callLater, answer
        )


class _RefusedConnection(protocol.Protocol):
    """Connection beyond the bound: it is answered and closed."""

    _lingering = None

    def connectionMade(self) -> None:  # noqa: N802
        """Answer without reading anything."""
        answer = answers.Answer(
            answers.Outcome.NOT_RUN,
            answers.Reason.OVERLOAD,
            detail='too many connections',
            retry_after_s=_BUSY_RETRY_S,
        )
        self._lingering = _answer_and_close(
            self.transport, self.factory.call_later, answer
        )

    def dataReceived(self, data) -> None:  # noqa: N802
        """Drop what arrives before the connection is closed."""

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        """Stop to wait for the end of the connection."""
        if self._lingering is not None and self._lingering.active():
            self._lingering.cancel()
        self.factory.refused_closed()


class CallerSite(server.Site):
    """Listener for callers with bounds on what it keeps."""

    def __init__(
        self, resource, settings: config.CallerSettings, reactor
    ) -> None:
        super().__init__(
            resource,
            requestFactory=_BoundedRequest,
            timeout=_IDLE_TIMEOUT_S,
            reactor=reactor,
        )
        self.protocol = _BoundedChannel
        self.call_later = reactor.callLater
        self._settings = settings
        self.connections = 0
        self.refused_connections = 0
        self._lingering = 0

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection, or None to close it."""
        if self.connections >= self._settings.max_connections:
            return self._refuse_connection()
        channel = super().buildProtocol(addr)
        channel.max_body_bytes = self._settings.max_body_bytes
        channel.totalHeadersSize = self._settings.max_header_bytes
        channel.MAX_LENGTH = self._settings.max_header_bytes
        self.connections += 1
        return channel

    def connection_closed(self) -> None:
        """Count a connection as closed."""
        self.connections -= 1

    def refused_closed(self) -> None:
        """Count a refused connection as closed."""
        self._lingering -= 1

    def _refuse_connection(self):
        self.refused_connections += 1
        if self._lingering >= _MAX_LINGERING:
            return None
        self._lingering += 1
        refused = _RefusedConnection()
        refused.factory = self
        return refused


def _answer_and_close(transport, call_later, answer: answers.Answer):
    """Write a whole answer and return the timer of the final close."""
    body = answer_format.encode_answer('', answer)
    phrase = http.RESPONSES.get(answer.http_status, b'')
    lines = [
        b'HTTP/1.1 %d %b' % (answer.http_status, phrase),
        b'Content-Type: application/json',
        b'Content-Length: %d' % len(body),
        b'Connection: close',
        b'Walnutport-Outcome: %b' % answer.outcome.value.encode(),
    ]
    if answer.retry_after_s > 0:
        lines.append(b'Retry-After: %d' % max(1, round(answer.retry_after_s)))
    transport.write(b'\r\n'.join(lines) + b'\r\n\r\n' + body)
    transport.loseWriteConnection()
    return call_later(_LINGER_S, transport.abortConnection)
