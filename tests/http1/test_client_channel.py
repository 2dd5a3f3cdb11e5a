"""Tests of how a client channel parses the responses of a peer."""

import pytest
from twisted.internet import error
from twisted.python import failure
from twisted.test import proto_helpers

from walnutport import exceptions
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import messages
from walnutport.http1 import socket_options


class FakeTransport(proto_helpers.StringTransport):
    """In-memory transport that records an abort."""

    aborted = False

    def getHandle(self):
        return self

    def setsockopt(self, *args) -> None:
        """Ignore the socket options."""

    def abortConnection(self) -> None:
        self.aborted = True


class Exchange:
    """Client channel with one request in flight."""

    def __init__(self, expected_id: bytes = b'') -> None:
        self.transport = FakeTransport()
        self.channel = client_channel.ClientChannel(('10.0.0.1', 80))
        self.channel.makeConnection(self.transport)
        self.idle: list = []
        self.failures: list = []
        self.responses: list = []
        self.receiver = channel_pool.ResponseCollector(
            lambda head: not expected_id or head.header(b'x-id') == expected_id
        )
        self.receiver.done.addCallbacks(
            self.responses.append,
            lambda failed: self.failures.append(failed.value),
        )
        self.channel.send(b'request', self.receiver, self.idle.append)

    def close_by_peer(self, clean: bool = True) -> None:
        """Close the connection from the peer's side."""
        kind = error.ConnectionDone if clean else error.ConnectionLost
        self.channel.connectionLost(failure.Failure(kind()))


def test_complete_response_makes_the_channel_reusable():
    """Guards against opening a new connection for every request."""
    exchange = Exchange()
    exchange.channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    )
    assert exchange.responses[0].body == b'ok'
    assert exchange.idle == [exchange.channel]
    assert not exchange.transport.aborted


@pytest.mark.parametrize('clean', [True, False])
def test_truncated_response_is_a_failure(clean):
    """Guards against passing on an incomplete body as a complete one."""
    exchange = Exchange()
    exchange.channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'
    )
    exchange.close_by_peer(clean)
    assert exchange.failures[0].written
    assert not exchange.responses


def test_response_without_a_length_ends_at_connection_close():
    """Guards against losing responses that are delimited by the close."""
    exchange = Exchange()
    exchange.channel.dataReceived(b'HTTP/1.1 200 OK\r\n\r\nok')
    exchange.close_by_peer()
    assert exchange.responses[0].body == b'ok'
    assert not exchange.idle


def test_reset_during_a_response_without_a_length_is_a_failure():
    """Guards against taking a truncated response for a complete one."""
    exchange = Exchange()
    exchange.channel.dataReceived(b'HTTP/1.1 200 OK\r\n\r\nok')
    exchange.close_by_peer(clean=False)
    assert exchange.failures and not exchange.responses


def test_unexpected_second_response_closes_the_channel():
    """Guards against giving a surplus response to the next request."""
    exchange = Exchange()
    response = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    exchange.channel.dataReceived(response + response)
    assert len(exchange.responses) == 1
    assert exchange.transport.aborted or not exchange.idle


def test_data_on_an_idle_channel_closes_it():
    """Guards against taking a late response for that of the next request."""
    exchange = Exchange()
    exchange.channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    )
    exchange.channel.dataReceived(b'HTTP/1.1 200 OK\r\n')
    assert exchange.transport.aborted


def test_response_to_another_request_is_skipped():
    """Guards against accepting the response to an earlier request."""
    exchange = Exchange(expected_id=b'mine')
    exchange.channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong'
        b'HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nright'
    )
    assert exchange.responses[0].body == b'right'
    assert not exchange.idle


def test_malformed_response_is_a_failure():
    """Guards against forwarding malformed bytes to a caller."""
    exchange = Exchange()
    exchange.channel.dataReceived(b'\x00\x01garbage\r\n\r\n')
    assert exchange.failures[0].malformed


def test_interim_response_is_skipped():
    """Guards against taking a 100 Continue for the final response."""
    exchange = Exchange()
    exchange.channel.dataReceived(
        b'HTTP/1.1 100 Continue\r\n\r\n'
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    )
    assert exchange.responses[0].status == 200


def test_connection_close_header_prevents_reuse():
    """Guards against sending a request on a channel that the peer closes."""
    exchange = Exchange()
    exchange.channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
    )
    assert exchange.responses and not exchange.idle


def test_busy_channel_rejects_a_second_request():
    """Guards against mixing up the responses of two requests."""
    exchange = Exchange()
    with pytest.raises(exceptions.ChannelError) as caught:
        exchange.channel.send(b'other', exchange.receiver)
    assert not caught.value.written


def test_post_without_a_body_has_a_content_length():
    """Guards against a peer that waits for a body that never comes."""
    data = messages.encode_request(b'POST', b'/', [(b'host', b'h')], b'')
    assert b'content-length: 0\r\n' in data


def test_silence_of_a_second_does_not_end_a_channel():
    """Guards against a target that counts as lost while it stands still.

    Linux ends a connection at the first keep-alive probe that is unanswered
    for its interval once the user timeout has passed, whatever the count of
    probes. The first probe may fall on the beginning of the silence.
    """
    tolerated_s = socket_options.KEEPALIVE_INTERVAL_S
    assert tolerated_s >= 2
    assert socket_options.UNACKED_TIMEOUT_MS > 1000
    given_up_s = socket_options.KEEPALIVE_IDLE_S + tolerated_s
    assert given_up_s * 1000 > socket_options.UNACKED_TIMEOUT_MS
    assert given_up_s <= 4
