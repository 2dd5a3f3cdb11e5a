"""Tests of the notice that a request has left the process."""

from twisted.internet import abstract
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from zope.interface import verify

from walnutport.adapters import http_client
from walnutport.adapters import stage_client
from walnutport.http1 import write_notice
from walnutport import world

TARGET = world.Target('t', 'rerank', 'dc', world.Address('127.0.0.1', 9), 4)


class Transport(abstract.FileDescriptor):
    """Transport that writes like one of a socket, when the test says so."""

    def __init__(self, reactor) -> None:
        super().__init__(reactor)
        self.connected = 1
        self.written = b''
        self.accepted_bytes = 1 << 20

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        """Take as many bytes as the test allows."""
        taken = data[: self.accepted_bytes]
        self.written += taken
        return len(taken)

    def startWriting(self) -> None:  # noqa: N802
        """Wait for the call of ``doWrite`` by the test."""

    stopWriting = startReading = stopReading = startWriting

    def abortConnection(self) -> None:  # noqa: N802
        """Drop the data that is not written."""
        self.connected = 0
        self.dataBuffer = b''

    def getHandle(self):  # noqa: N802
        """Return an object that takes socket options."""
        return self

    def recv(self, size, flags) -> bytes:
        """Find no bytes that were not read."""
        raise BlockingIOError

    def setsockopt(self, level, option, value) -> None:
        """Ignore a socket option."""


class Reactor(task.Clock):
    """Reactor whose connections open at once."""

    def __init__(self) -> None:
        super().__init__()
        self.transports: list[Transport] = []

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        """Open a connection."""
        transport = Transport(self)
        self.transports.append(transport)
        transport.protocol = factory.buildProtocol(None)
        transport.protocol.makeConnection(transport)


def start(
    client: stage_client.StageClient, attempt_id: str, notices: list[str]
) -> defer.Deferred:
    """Start an attempt that reports when it is sent and when it is written."""
    call = stage_client.StageCall(
        attempt_id,
        'r',
        'e',
        's',
        1.0,
        b'{}',
        on_written=lambda: notices.append('written'),
    )
    return defer.Deferred.fromCoroutine(
        client.run(TARGET, call, lambda: notices.append('sent'))
    )


def answer(attempt_id: str) -> bytes:
    """Return the answer of a target."""
    body = b'{"output":{}}'
    return (
        b'HTTP/1.1 200 OK\r\nwalnutport-attempt-id: %b\r\n'
        b'Content-Length: %d\r\n\r\n%b'
        % (attempt_id.encode(), len(body), body)
    )


def stage_client_of(reactor: Reactor) -> stage_client.StageClient:
    """Return a client whose connections are those of a reactor."""
    client = http_client.HttpClient(reactor)
    return stage_client.StageClient(client, client)


def test_notice_comes_with_the_last_byte() -> None:
    """Guards against a request that counts as written while a part waits."""
    assert verify.verifyClass(
        interfaces.IPullProducer, write_notice.WriteNotice
    )
    reactor = Reactor()
    notices: list[str] = []
    pending = start(stage_client_of(reactor), 'a', notices)
    transport = reactor.transports[0]
    transport.accepted_bytes = 20
    assert notices == ['sent']
    transport.doWrite()
    assert notices == ['sent'] and len(transport.written) == 20
    transport.accepted_bytes = 1 << 20
    transport.doWrite()
    assert notices == ['sent', 'written']
    transport.protocol.dataReceived(answer('a'))
    assert pending.result.output_json == b'{}'


def test_request_cancelled_in_the_turn_of_its_send_is_not_written() -> None:
    """Guards against a charge for a request that an abort has dropped."""
    reactor = Reactor()
    notices: list[str] = []
    pending = start(stage_client_of(reactor), 'a', notices)
    pending.addErrback(lambda failure: failure.trap(defer.CancelledError))
    pending.cancel()
    transport = reactor.transports[0]
    assert not transport.connected and transport.written == b''
    assert notices == ['sent']


def test_each_request_of_a_channel_has_a_notice_of_its_own() -> None:
    """Guards against a second request on a channel without a notice."""
    reactor = Reactor()
    client = stage_client_of(reactor)
    for attempt_id in 'ab':
        notices: list[str] = []
        pending = start(client, attempt_id, notices)
        reactor.transports[0].doWrite()
        assert notices == ['sent', 'written']
        reactor.transports[0].protocol.dataReceived(answer(attempt_id))
        assert pending.result.output_json == b'{}'
    assert len(reactor.transports) == 1


def test_channel_that_still_writes_is_not_reused() -> None:
    """Guards against a request behind the rest of an answered one."""
    reactor = Reactor()
    client = stage_client_of(reactor)
    pending = start(client, 'a', [])
    reactor.transports[0].protocol.dataReceived(answer('a'))
    assert pending.result.output_json == b'{}'
    notices: list[str] = []
    start(client, 'b', notices)
    assert len(reactor.transports) == 2
    reactor.transports[1].doWrite()
    assert notices == ['sent', 'written']
