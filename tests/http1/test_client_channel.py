"""Tests of what a client channel makes of a target's bytes."""

import pytest
from twisted.internet import error
from twisted.python import failure
from twisted.test import proto_helpers

from walnutport import exceptions
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import messages


class FakeTransport(proto_helpers.StringTransport):
    """Transport without a socket."""

    aborted = False

    def getHandle(self):
        return self

    def setsockopt(self, *args) -> None:
        """Ignore socket options."""

    def abortConnection(self) -> None:
        self.aborted = True


class Exchange:
    """Channel with one request in flight."""

    def __init__(self, wanted: bytes = b'') -> None:
        self.transport = FakeTransport()
        self.channel = client_channel.ClientChannel(('10.0.0.1', 80))
        self.channel.makeConnection(self.transport)
        self.idle: list = []
        self.failures: list = []
        self.answers: list = []
        self.receiver = channel_pool.CollectedAnswer(
            lambda head: not wanted or head.header(b'x-id') == wanted
        )
        self.receiver.done.addCallbacks(
            self.answers.append,
            lambda found: self.failures.append(found.value),
        )
        self.channel.send(b'request', self.receiver, self.idle.append)

    def close(self, clean: bool = True) -> None:
        """Close the channel from the target's side."""
        kind = error.ConnectionDone if clean else error.ConnectionLost
        self.channel.connectionLost(failure.Failure(kind()))


def test_whole_answer_frees_the_channel():
    """Guards against a new connection for every request."""
    exchange = Exchange()
    exchange.channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    )
    assert exchange.answers[0].body == b'ok'
    assert exchange.idle == [exchange.channel]
    assert not exchange.transport.aborted


@pytest.mark.parametrize('clean', [True, False])
def test_truncated_answer_is_a_failure(clean):
    """Guards against an incomplete body that is passed on as complete."""
    exchange = Exchange()
    exchange.channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'
    )
    exchange.close(clean)
    assert exchange.failures[0].written
    assert not exchange.answers


def test_answer_without_a_length_ends_with_the_channel():
    """Guards against losing the answers of targets that close the channel."""
    exchange = Exchange()
    exchange.channel.dataReceived(b'HTTP/1.1 200 OK\r\n\r\nok')
    exchange.close()
    assert exchange.answers[0].body == b'ok'
    assert not exchange.idle


def test_reset_answer_without_a_length_is_a_failure():
    """Guards against a cut answer that looks complete."""
    exchange = Exchange()
    exchange.channel.dataReceived(b'HTTP/1.1 200 OK\r\n\r\nok')
    exchange.close(clean=False)
    assert exchange.failures and not exchange.answers


def test_second_answer_is_dropped_with_its_channel():
    """Guards against an extra answer that goes to the next request."""
    exchange = Exchange()
    whole = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    exchange.channel.dataReceived(whole + whole)
    assert len(exchange.answers) == 1
    assert exchange.transport.aborted or not exchange.idle


def test_bytes_on_an_idle_channel_close_it():
    """Guards against a late answer that is taken for the next one."""
    exchange = Exchange()
    exchange.channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    )
    exchange.channel.dataReceived(b'HTTP/1.1 200 OK\r\n')
    assert exchange.transport.aborted


def test_answer_to_another_request_is_skipped():
    """Guards against the answer to a request that came before."""
    exchange = Exchange(wanted=b'mine')
    exchange.channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong'
        b'HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nright'
    )
    assert exchange.answers[0].body == b'right'
    assert not exchange.idle


def test_bytes_that_are_no_http_are_a_failure():
    """Guards against garbled bytes that reach a caller."""
    exchange = Exchange()
    exchange.channel.dataReceived(b'\x00\x01garbage\r\n\r\n')
    assert exchange.failures[0].malformed


def test_interim_answer_is_not_the_answer():
    """Guards against a 100 that is taken for the final status."""
    exchange = Exchange()
    exchange.channel.dataReceived(
        b'HTTP/1.1 100 Continue\r\n\r\n'
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    )
    assert exchange.answers[0].status == 200


def test_connection_close_ends_the_channel():
    """Guards against a request on a channel that its target closes."""
    exchange = Exchange()
    exchange.channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
    )
    assert exchange.answers and not exchange.idle


def test_busy_channel_takes_no_second_request():
    """Guards against two requests whose answers could be mixed up."""
    exchange = Exchange()
    with pytest.raises(exceptions.ChannelError) as caught:
        exchange.channel.send(b'other', exchange.receiver)
    assert not caught.value.written


def test_request_has_a_length_even_without_a_body():
    """Guards against a target that waits for a body."""
    data = messages.encode_request(b'POST', b'/', [(b'host', b'h')], b'')
    assert b'content-length: 0\r\n' in data
