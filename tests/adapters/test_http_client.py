"""Tests of the HTTP client against servers that misbehave."""

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.internet.testing import StringTransport
from twisted.python import failure

from walnutport.adapters import http_client
from walnutport import exceptions

URL = 'http://127.0.0.1:9/v1/run?wait_ms=5'
LIMIT = 1000


class FakeReactor(task.Clock):
    """Reactor whose connections are channels that tests answer."""

    def __init__(self) -> None:
        super().__init__()
        self.channels: list = []
        self.refuses = False

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        """Connect a channel at once, or refuse it."""
        if self.refuses:
            factory.clientConnectionFailed(
                None, failure.Failure(error.ConnectionRefusedError())
            )
            return
        channel = factory.buildProtocol(None)
        self.channels.append(channel)
        channel.makeConnection(ChannelTransport())


class ChannelTransport(StringTransport):
    """Transport of a channel without a socket."""

    def getHandle(self):  # noqa: N802
        """Return an object that takes socket options."""
        return self

    def recv(self, size, flags) -> bytes:
        """Find no bytes that were not read."""
        raise BlockingIOError

    def setsockopt(self, level, option, value) -> None:
        """Ignore a socket option."""


def started(client, **options) -> tuple[defer.Deferred, list]:
    """Start a call; return its result and what was reported as sent."""
    sent: list = []
    pending = defer.Deferred.fromCoroutine(
        client.call(
            'POST',
            URL,
            b'{}',
            {'x-attempt': 'a'},
            on_sent=lambda: sent.append(True),
            **options,
        )
    )
    return pending, sent


def answer(body: bytes) -> bytes:
    """Return the bytes of a response."""
    return (
        b'HTTP/1.1 200 OK\r\nX-Attempt: a\r\nContent-Length: %d\r\n\r\n%b'
        % (
            len(body),
            body,
        )
    )


def test_connections_are_reused_only_where_requests_may_be_repeated():
    """Guards against a lost request on a connection that was closed."""
    for persistent, echoed_header, connections in (
        (True, 'x-attempt', 1),
        (True, '', 2),
        (False, 'x-attempt', 2),
    ):
        reactor = FakeReactor()
        client = http_client.HttpClient(reactor, persistent=persistent)
        for _ in range(2):
            pending, sent = started(client, echoed_header=echoed_header)
            assert sent == [True]
            channel = reactor.channels[-1]
            assert b'POST /v1/run?wait_ms=5 HTTP/1.1\r\n' in (
                channel.transport.value()
            )
            channel.dataReceived(answer(b'x'))
            assert pending.result == http_client.HttpReply(
                200, {'x-attempt': 'a', 'content-length': '1'}, b'x'
            )
        assert len(reactor.channels) == connections


def test_response_to_an_earlier_call_is_skipped():
    """Guards against a late second copy that answers the next call."""
    reactor = FakeReactor()
    pending, _ = started(
        http_client.HttpClient(reactor), echoed_header='x-attempt'
    )
    channel = reactor.channels[0]
    channel.dataReceived(answer(b'other').replace(b': a', b': b'))
    assert not pending.called
    channel.dataReceived(answer(b'own'))
    assert pending.result.body == b'own' and not channel.alive


def test_body_up_to_the_limit_is_returned():
    """Guards against a limit that is too low by one."""
    reactor = FakeReactor()
    pending, _ = started(http_client.HttpClient(reactor), max_body_bytes=LIMIT)
    reactor.channels[0].dataReceived(answer(b'x' * LIMIT))
    assert pending.result.body == b'x' * LIMIT


def test_endless_body_closes_the_connection():
    """Guards against bytes that are read until a timeout ends the wait."""
    reactor = FakeReactor()
    pending, _ = started(http_client.HttpClient(reactor), max_body_bytes=LIMIT)
    channel = reactor.channels[0]
    channel.dataReceived(b'HTTP/1.1 200 OK\r\n\r\n' + b'x' * LIMIT)
    assert channel.alive
    channel.dataReceived(b'x')
    assert not channel.alive
    with pytest.raises(exceptions.CodecError):
        pending.result.raiseException()
    pending.addErrback(lambda _: None)


def test_body_that_breaks_off_is_an_error():
    """Guards against a part of a body that looks complete."""
    reactor = FakeReactor()
    pending, _ = started(http_client.HttpClient(reactor))
    channel = reactor.channels[0]
    channel.dataReceived(answer(b'xx')[:-1])
    channel.connectionLost()
    with pytest.raises(exceptions.ChannelError) as caught:
        pending.result.raiseException()
    assert caught.value.written
    pending.addErrback(lambda _: None)


def test_cancelled_call_closes_the_connection():
    """Guards against a response that goes on after its reader has left."""
    reactor = FakeReactor()
    pending, _ = started(http_client.HttpClient(reactor))
    pending.addErrback(lambda _: None)
    pending.cancel()
    assert not reactor.channels[0].alive


def test_refused_connection_shows_that_nothing_was_sent():
    """Guards against calls that are given up though they may be repeated."""
    reactor = FakeReactor()
    reactor.refuses = True
    pending, sent = started(http_client.HttpClient(reactor))
    with pytest.raises(exceptions.ChannelError) as caught:
        pending.result.raiseException()
    assert sent == [] and not caught.value.written and caught.value.refused
    pending.addErrback(lambda _: None)
