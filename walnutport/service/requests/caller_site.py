"""Limits of the callers' listener that apply before a request is complete.

Header size, body size and the number of connections are checked while bytes
arrive, so that no caller can make the host buffer more than the limits. A
request or connection beyond a limit gets a complete JSON answer with outcome
``not_run``.
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
# Closing a socket with unread data makes the kernel send a reset, which can
# discard the answer before the caller reads it. So further data is read and
# dropped for this time before the connection is closed.
_LINGER_TIMEOUT_S = 2.0
_MAX_LINGERING_CONNECTIONS = 256
_OVERLOAD_RETRY_S = 1.0


class _LimitedRequest(server.Request):
    """Request that refuses its body as soon as it exceeds the limit."""

    _received_bytes = 0

    def process(self) -> None:
        """Refuse a path that is not UTF-8, which klein cannot route."""
        try:
            urllib.parse.unquote_to_bytes(self.path).decode()
        except UnicodeDecodeError:
            self.channel.refuse_path()
            return
        super().process()

    def gotLength(self, length) -> None:  # noqa: N802 - name set by Twisted
        """Check the announced body length; None if it is unknown."""
        if length is not None and length > self.channel.max_body_bytes:
            self.channel.refuse_body()
            return
        super().gotLength(length)

    def handleContentChunk(self, data) -> None:  # noqa: N802
        """Receive a part of the body."""
        if self.channel.refused:
            return
        self._received_bytes += len(data)
        if self._received_bytes > self.channel.max_body_bytes:
            self.channel.refuse_body()
            return
        super().handleContentChunk(data)


class _LimitedChannel(http.HTTPChannel):
    """Connection of a caller that ignores all input after a refusal."""

    max_body_bytes = 0
    refused = False
    _linger_timer = None

    def lineReceived(self, line) -> None:  # noqa: N802
        """Receive a line of the request head."""
        if not self.refused:
            super().lineReceived(line)

    def rawDataReceived(self, data) -> None:  # noqa: N802
        """Receive a part of the body."""
        if not self.refused:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        """Process the request unless it was refused."""
        if not self.refused:
            super().allContentReceived()

    def lineLengthExceeded(self, line) -> None:  # noqa: N802
        """Refuse a single line that exceeds the limit of the head."""
        self._refuse_headers()

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Cancel the timer that would abort the connection."""
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        super().connectionLost(reason)
        self.factory.connection_closed()

    def refuse_body(self) -> None:
        """Answer that the body is too large and close the connection."""
        self._refuse(
            answers.Reason.BODY_TOO_LARGE,
            413,
            f'body exceeds {self.max_body_bytes} bytes',
        )

    def refuse_path(self) -> None:
        """Answer that the path is malformed and close the connection."""
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
        self._linger_timer = _send_answer_and_close(
            self.transport, self.callLater, answer
        )


class _RefusedConnection(protocol.Protocol):
    """Connection beyond the limit, which gets an answer and is closed."""

    _linger_timer = None

    def connectionMade(self) -> None:  # noqa: N802
        """Answer without waiting for a request."""
        answer = answers.Answer(
            answers.Outcome.NOT_RUN,
            answers.Reason.OVERLOAD,
            detail='too many connections',
            retry_after_s=_OVERLOAD_RETRY_S,
        )
        self._linger_timer = _send_answer_and_close(
            self.transport, self.factory.call_later, answer
        )

    def dataReceived(self, data) -> None:  # noqa: N802
        """Drop data that arrives before the connection is closed."""

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        """Cancel the timer that would abort the connection."""
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        self.factory.refused_connection_closed()


class CallerSite(server.Site):
    """Listener for callers that limits connections and request sizes."""

    def __init__(
        self, resource, settings: config.CallerSettings, reactor
    ) -> None:
        super().__init__(
            resource,
            requestFactory=_LimitedRequest,
            timeout=_IDLE_TIMEOUT_S,
            reactor=reactor,
        )
        self.protocol = _LimitedChannel
        self.call_later = reactor.callLater
        self._settings = settings
        self.connections = 0
        self.refused_connections = 0
        self._lingering_count = 0

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection, or None to close it.

        Beyond the limit, up to ``_MAX_LINGERING_CONNECTIONS`` at a time get
        an answer; further ones are closed at once.
        """
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

    def refused_connection_closed(self) -> None:
        """Count a refused connection as closed."""
        self._lingering_count -= 1

    def _refuse_connection(self):
        self.refused_connections += 1
        if self._lingering_count >= _MAX_LINGERING_CONNECTIONS:
            return None
        self._lingering_count += 1
        refused = _RefusedConnection()
        refused.factory = self
        return refused


def _send_answer_and_close(transport, call_later, answer: answers.Answer):
    """Write a complete answer and return the timer that aborts the connection.

    The sending side is closed at once; until the abort the caller can read.
    """
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
    return call_later(_LINGER_TIMEOUT_S, transport.abortConnection)
