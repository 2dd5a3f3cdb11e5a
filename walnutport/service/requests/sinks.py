"""Writes the events of a stream to the connection of its caller."""

from typing import Any

from twisted.internet import interfaces as twisted_interfaces
from twisted.protocols import policies
from zope.interface import implementer

from walnutport.adapters import engine_client

__all__ = ['CallerSink']

_EVENT_STREAM = 'text/event-stream'


@implementer(twisted_interfaces.IPushProducer)
class CallerSink:
    """Stream to one caller, with flow control of its source.

    :param request: klein's request of the call.
    :param buffer_bytes: number of unsent bytes at which the source is paused.
    """

    def __init__(self, request, buffer_bytes: int) -> None:
        self._request = request
        self._buffer_bytes = buffer_bytes
        self._source: engine_client.FlowSource | None = None
        self.started = False
        self.paused = False
        self._is_lost = False
        self._transport: Any = None
        self._is_chunked = False
        request.notifyFinish().addErrback(self._on_connection_lost)

    def start(self) -> None:
        """Send the response head, unless it has been sent already."""
        if self.started:
            return
        self.started = True
        self._request.setHeader('content-type', _EVENT_STREAM)
        self._request.setHeader('cache-control', 'no-store')
        self._transport = _socket_transport(self._request.transport)
        self._transport.bufferSize = self._buffer_bytes
        self._request.registerProducer(self, True)
        self._request.write(b'')
        self._is_chunked = bool(self._request.chunked)

    def write(self, data: bytes) -> None:
        """Send whole events.

        The bytes go to the socket at once if the transport has no unsent
        bytes. The transport's own ``write`` would wait for the next iteration
        of the reactor and cost three further system calls.
        """
        self.start()
        if self._is_lost:
            return
        if self._is_chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        transport = self._transport
        # Both are empty once the transport has sent everything.
        if transport.dataBuffer or transport._tempDataBuffer:
            transport.write(data)
            return
        sent = transport.writeSomeData(data)
        if not isinstance(sent, int):
            # The connection is lost, which the transport notices by itself.
            transport.write(data)
        elif sent < len(data):
            transport.write(data[sent:])

    def attach(self, source: engine_client.FlowSource) -> None:
        """Let the caller's transport control the flow of a source."""
        self._source = source
        if self.paused:
            source.pauseProducing()

    def detach(self, source: engine_client.FlowSource) -> None:
        """Stop controlling the flow of a source."""
        if self._source is source:
            self._source = None

    def finish(self, *, abort_if_paused: bool) -> None:
        """End the flow control before the final event is written.

        :param abort_if_paused: whether to abort the connection if the caller
            is not reading.
        """
        if not self.started or self._is_lost:
            return
        self._request.unregisterProducer()
        if abort_if_paused and self.paused:
            self._request.transport.abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802 - name set by Twisted
        """Pause the source because the caller does not keep up."""
        self.paused = True
        if self._source is not None:
            self._source.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the source."""
        self.paused = False
        if self._source is not None:
            self._source.resumeProducing()

    def _on_connection_lost(self, failure) -> None:
        self._is_lost = True

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: a lost connection cancels the run of the call."""


def _socket_transport(transport) -> Any:
    """Return the socket transport below any protocol wrappers."""
    while isinstance(transport, policies.ProtocolWrapper):
        transport = transport.transport
    return transport
