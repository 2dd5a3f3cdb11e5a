"""Tests of how a server channel reads requests and sends responses."""

import pytest
from twisted.internet import task
from twisted.test import proto_helpers

from walnutport.http1 import server
from walnutport.world import routes

LIMITS = routes.RequestLimits(400, 100, 3.0, 15.0)


class FakeTransport(proto_helpers.StringTransport):
    """In-memory transport that records an abort or a half-close."""

    aborted = False

    def setTcpNoDelay(self, enabled) -> None:
        """Ignore the option."""

    def getHandle(self):
        return self

    def recv(self, size: int, flags: int) -> bytes:
        """Return what waits to be read: nothing."""
        raise BlockingIOError

    def abortConnection(self) -> None:
        self.aborted = True

    def loseWriteConnection(self) -> None:
        self.disconnecting = True

    def registerProducer(self, producer, streaming: bool) -> None:
        """Ask for data at once, and again as all is written at once."""
        producer.resumeProducing()
        producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """Forget the producer."""


class Caller:
    """Server channel of one caller and the requests read from it."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.requests: list[server.ServerRequest] = []
        self.rejected: list[int] = []
        self.site = server.ServerSite(
            self.clock,
            self.requests.append,
            lambda: LIMITS,
            self.rejected.append,
        )
        self.transport = FakeTransport()
        self.channel = self.site.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def send(self, data: bytes) -> bytes:
        """Send bytes and return what the server wrote in response."""
        self.transport.clear()
        self.channel.dataReceived(data)
        return self.transport.value()


def test_fragmented_request_is_reassembled():
    """Guards against handling a request before it is complete."""
    caller = Caller()
    for byte in b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab':
        caller.send(bytes((byte,)))
    assert not caller.requests
    caller.send(b'c')
    assert caller.requests[0].body == b'abc'


def test_pipelined_requests_are_answered_in_order():
    """Guards against sending responses out of order on one channel."""
    caller = Caller()
    caller.send(
        b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n'
    )
    assert [request.target for request in caller.requests] == [b'/1']
    caller.requests[0].respond(200, [], b'one')
    assert [request.target for request in caller.requests] == [b'/1', b'/2']


@pytest.mark.parametrize(
    'head',
    [
        b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
        b'Content-Length: 3\r\nContent-Length: 4\r\n',
        b'Transfer-Encoding: chunked, gzip\r\n',
        b'Transfer-Encoding: gzip\r\n',
        b'Host: other\r\n',
        b'Content-Length: +3\r\n',
        b'X y: 1\r\n',
    ],
)
def test_ambiguous_request_is_rejected(head):
    """Guards against request smuggling."""
    caller = Caller()
    response = caller.send(
        b'POST /a HTTP/1.1\r\nHost: h\r\n' + head + b'\r\n0\r\n\r\n'
    )
    assert response.startswith(b'HTTP/1.1 400')
    assert not caller.requests
    assert caller.transport.disconnecting


def test_trailers_are_not_taken_for_headers():
    """Guards against headers forged in the trailer section."""
    caller = Caller()
    caller.send(
        b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'1\r\nx\r\n0\r\nWalnutport-Tenant: evil\r\n\r\n'
    )
    names = [name for name, _ in caller.requests[0].headers]
    assert b'walnutport-tenant' not in names
    assert caller.requests[0].body == b'x'


@pytest.mark.parametrize(
    'data, status',
    [
        (b'GET /a HTTP/1.1\r\nX: ' + b'y' * 500 + b'\r\n\r\n', 431),
        (b'GET /a HTTP/1.1\r\nX: ' + b'y' * 2000, 431),
        (b'POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n', 413),
        (
            b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n'
            + b'x' * 128,
            413,
        ),
    ],
)
def test_oversized_request_is_rejected(data, status):
    """Guards against a caller that exhausts the memory of the host."""
    caller = Caller()
    assert caller.send(data).startswith(b'HTTP/1.1 %d' % status)
    assert caller.rejected == [status]


def test_slow_headers_time_out():
    """Guards against callers that hold channels open with partial headers."""
    caller = Caller()
    caller.send(b'GET /a HTTP/1.1\r\nHo')
    caller.clock.advance(3.1)
    assert caller.transport.value().startswith(b'HTTP/1.1 408')


def test_channel_stays_open_until_the_idle_timeout():
    """Guards against closing a channel while a request is in transit."""
    caller = Caller()
    caller.send(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
    caller.requests[0].respond(200, [], b'')
    caller.clock.advance(14.0)
    assert not caller.transport.disconnecting
    caller.clock.advance(1.5)
    assert caller.transport.disconnecting


def test_aborted_stream_does_not_look_complete():
    """Guards against sending the last chunk of a stream that was aborted.

    Nothing more is sent, and the connection ends although the caller keeps
    its side open.
    """
    caller = Caller()
    caller.send(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
    request = caller.requests[0]
    request.start(200, [])
    request.write(b'id: 1\n\n')
    request.abort()
    assert caller.transport.disconnecting
    assert not caller.transport.value().endswith(b'0\r\n\r\n')
    request.write(b'id: 2\n\n')
    request.finish()
    caller.channel.dataReceived(b'GET /b HTTP/1.1\r\nHost: h\r\n\r\n')
    assert caller.transport.value().endswith(b'id: 1\n\n\r\n')
    assert len(caller.requests) == 1
    caller.clock.advance(server.LINGER_S)
    assert caller.transport.aborted


def test_events_before_an_abort_are_not_dropped():
    """Guards against a caller that gets nothing of what was ready.

    The target broke off in the moment in which its first event came, and a
    reset drops what the transport has not written yet.
    """
    caller = Caller()
    caller.send(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
    request = caller.requests[0]
    request.start(200, [])
    request.write(b'id: 1\n\n')
    request.abort()
    assert not caller.transport.aborted
    assert caller.transport.disconnecting


def test_disconnect_of_the_caller_is_reported():
    """Guards against continued work for a caller that disconnected."""
    caller = Caller()
    caller.send(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
    disconnects = []
    caller.requests[0].on_disconnect = lambda: disconnects.append(True)
    caller.channel.connectionLost()
    assert disconnects == [True]
    assert caller.requests[0].disconnected


def test_draining_host_sends_connection_close():
    """Guards against a further request on a channel that is about to close."""
    caller = Caller()
    caller.send(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
    caller.site.closing = True
    caller.requests[0].respond(200, [], b'ok')
    assert b'connection: close' in caller.transport.value()
    assert caller.transport.disconnecting


def test_stream_that_began_before_the_stop_closes_its_channel():
    """Guards against callers who go on using a channel of a stopping host.

    The head of the response was written when the channel was to be kept.
    """
    caller = Caller()
    caller.send(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
    (request,) = caller.requests
    request.start(200, [])
    assert b'connection: close' not in caller.transport.value().lower()
    caller.site.closing = True
    request.write(b'event')
    assert not caller.transport.disconnecting
    request.finish()
    assert caller.transport.disconnecting


def test_request_behind_such_a_stream_is_answered_before_the_close():
    """Guards against a request that is cut off as a stream before it ends."""
    caller = Caller()
    caller.send(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
    caller.requests[0].start(200, [])
    caller.site.closing = True
    caller.send(b'GET /2 HTTP/1.1\r\nHost: h\r\n\r\n')
    caller.requests[0].finish()
    assert not caller.transport.disconnecting
    caller.transport.clear()
    caller.requests[1].respond(200, [], b'two')
    assert b'connection: close' in caller.transport.value().lower()
    assert caller.transport.disconnecting


def test_request_partly_read_behind_such_a_stream_is_answered():
    """Guards against a close while a request of the caller is on its way."""
    caller = Caller()
    caller.send(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
    caller.requests[0].start(200, [])
    caller.site.closing = True
    caller.send(b'GET /2 HTTP/1.1\r\nHo')
    caller.requests[0].finish()
    assert not caller.transport.disconnecting
    caller.send(b'st: h\r\n\r\n')
    caller.requests[1].respond(200, [], b'two')
    assert caller.transport.disconnecting


def test_caller_that_does_not_read_is_not_waited_for_after_a_close():
    """Guards against connections that stay, as their data is never read."""
    caller = Caller()
    caller.send(b'GET /a HTTP/1.0\r\nHost: h\r\n\r\n')
    caller.requests[0].respond(200, [], b'ok')
    assert not caller.transport.aborted
    caller.clock.advance(server.UNREAD_LIMIT_S)
    assert caller.transport.aborted
