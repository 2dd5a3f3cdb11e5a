"""Client of model engines that answer with an event stream.

Each stream uses a separate connection and bypasses treq: the C parser of
httptools decodes the response head and the chunks, and events are written
directly to the sink.
"""

from collections.abc import Callable
import logging
from typing import Protocol

import httptools
import msgspec
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as twisted_error
from twisted.internet import protocol

from walnutport.adapters import http_client
from walnutport.adapters import stage_client
from walnutport import exceptions
from walnutport.http1 import write_notice
from walnutport.relay import stream as relay
from walnutport import world

__all__ = ['EngineClient', 'FlowControlledSink', 'FlowSource']

LOG = logging.getLogger(__name__)
PREFIX = 'engine:'

_CONNECT_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 2.0
_MAX_ERROR_DETAIL_BYTES = 200


class FlowSource(Protocol):
    """Producer that can be paused and resumed."""

    def pauseProducing(self) -> None:  # noqa: N802 - name set by Twisted
        """Stop sending until resumed."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume sending."""


class FlowControlledSink(Protocol):
    """Sink of complete events that controls the flow of their source."""

    def write(self, data: bytes) -> None:
        """Write complete events."""

    def attach(self, source: FlowSource) -> None:
        """Let the caller's transport pause and resume a source."""

    def detach(self, source: FlowSource) -> None:
        """Stop controlling the flow of a source."""


class EngineClient:
    """Streams the output of attempts from engines and cancels attempts.

    :param client: client for cancel requests.
    """

    def __init__(self, client: http_client.HttpClient, reactor) -> None:
        self._client = client
        self._reactor = reactor
        self.counters = relay.StreamCounters()

    async def stream(
        self,
        target: world.Target,
        call: stage_client.StageCall,
        attempt_stream: relay.AttemptStream,
        sink: FlowControlledSink,
        on_sent: Callable[[], None],
    ) -> stage_client.StageReply:
        """Relay the events of an attempt and return its output.

        :param on_sent: called before the first byte goes to a connection.
        :raises NotSent: if no byte was written to a connection.
        :raises AttemptLost: if the stream ended before its last event.
        :raises TargetRefused: if the target answered with an error status.
        """
        connection = await self._connect(
            target, call, attempt_stream, sink, on_sent
        )
        sink.attach(connection)
        try:
            return await connection.finished
        except (defer.CancelledError, exceptions.AttemptLost):
            # The engine may still be running the attempt, whose output is
            # no longer read.
            self.cancel(target, call.attempt_id)
            raise
        finally:
            sink.detach(connection)
            connection.close()

    def cancel(self, target: world.Target, attempt_id: str) -> None:
        """Ask an engine to cancel an attempt; do not wait for the response."""
        pending = defer.Deferred.fromCoroutine(
            self._client.call(
                'POST',
                f'http://{target.address}/v1/cancel',
                msgspec.json.encode({'attempt_id': attempt_id}),
                {'content-type': 'application/json'},
            )
        )
        pending.addTimeout(_CANCEL_TIMEOUT_S, self._reactor)
        pending.addErrback(
            lambda failure: LOG.info(
                '%s cancelling attempt %s at target %s failed: %s',
                PREFIX,
                attempt_id,
                target.target_id,
                failure.getErrorMessage(),
            )
        )

    async def _connect(
        self,
        target: world.Target,
        call: stage_client.StageCall,
        attempt_stream: relay.AttemptStream,
        sink: FlowControlledSink,
        on_sent: Callable[[], None],
    ) -> '_EngineConnection':
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            target.address.ip,
            target.address.port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        connection = _EngineConnection(
            target, call, attempt_stream, sink, on_sent
        )
        try:
            await endpoints.connectProtocol(endpoint, connection)
        except twisted_error.ConnectError as error:
            raise exceptions.NotSent(str(error)) from error
        return connection


class _EngineConnection(protocol.Protocol):
    """Connection that carries a single attempt."""

    def __init__(
        self,
        target: world.Target,
        call: stage_client.StageCall,
        attempt_stream: relay.AttemptStream,
        sink: FlowControlledSink,
        on_sent: Callable[[], None],
    ) -> None:
        self._target = target
        self._call = call
        self._attempt_stream = attempt_stream
        self._sink = sink
        self._on_sent = on_sent
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._streaming = False
        self.finished: defer.Deferred[stage_client.StageReply] = (
            defer.Deferred()
        )

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        self.transport.setTcpNoDelay(True)
        body = stage_client.encode_request_body(self._call)
        lines = [
            'POST /v1/generate HTTP/1.1',
            f'host: {self._target.address}',
            'connection: close',
            f'content-length: {len(body)}',
        ]
        headers = stage_client.request_headers(self._call)
        lines += [f'{name}: {value}' for name, value in headers.items()]
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        self._on_sent()
        self.transport.write(head + body)
        write_notice.notify_written(self.transport, self._call.on_written)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes and relay complete events."""
        if self.finished.called:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(exceptions.AttemptLost(f'malformed answer: {error}'))
            return
        if self._body and self._streaming:
            self._relay_body()

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Fail the attempt unless it is finished."""
        self._fail(exceptions.AttemptLost(reason.getErrorMessage()))

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause reading from the target."""
        if not self.finished.called:
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the target."""
        if not self.finished.called:
            self.transport.resumeProducing()

    def close(self) -> None:
        """Close the connection at once."""
        self.transport.abortConnection()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a response header."""
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Check that the response belongs to the attempt."""
        try:
            stage_client.check_attempt_id(self._call, self._headers)
        except exceptions.AttemptLost as error:
            self._fail(error)
            return
        self._streaming = self._parser.get_status_code() == 200

    def on_body(self, body: bytes) -> None:
        """Collect body bytes, those of an error response up to a limit."""
        if self._streaming or len(self._body) < _MAX_ERROR_DETAIL_BYTES:
            self._body += body

    def on_message_complete(self) -> None:
        """Fail an attempt whose response ended without its last event."""
        if self._streaming:
            self._relay_body()
            self._fail(
                exceptions.AttemptLost('stream ended before its last event')
            )
            return
        detail = self._body[:_MAX_ERROR_DETAIL_BYTES].decode(
            'utf-8', 'replace'
        )
        status = self._parser.get_status_code()
        self._fail(exceptions.TargetRefused(detail, status))

    def _relay_body(self) -> None:
        """Relay the complete events of the body so far."""
        body = bytes(self._body)
        self._body.clear()
        if self.finished.called:
            return
        attempt_stream = self._attempt_stream
        complete_events = attempt_stream.feed(body)
        if complete_events:
            self._sink.write(complete_events)
        if attempt_stream.is_over():
            self._finish()

    def _finish(self) -> None:
        done = self._attempt_stream.done
        if done is None:
            self._fail(exceptions.AttemptLost(self._attempt_stream.error))
            return
        load = stage_client.load_from_headers(self._headers)
        self.finished.callback(
            stage_client.StageReply(bytes(done.output), done.tokens, load)
        )

    def _fail(self, error: exceptions.TargetError) -> None:
        if not self.finished.called:
            self.finished.errback(error)
