"""Responses without end: each kind is cut off, and the channel closed."""

import itertools

import pytest

from tests.http1 import test_client_channel
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# Bytes after which a head has to be cut off, and a body.
HEAD_BOUND = 2 << 20
BODY_BOUND = 20 << 20
PIECE = b'x' * 4096

KINDS = {
    'header lines': (HEAD, b'X-Pad: padding\r\n' * 100, HEAD_BOUND),
    'one header value': (HEAD + b'X-Pad: ', PIECE, HEAD_BOUND),
    'one header name': (HEAD, PIECE, HEAD_BOUND),
    'interim responses': (
        b'',
        b'HTTP/1.1 100 Continue\r\n\r\n' * 100,
        HEAD_BOUND,
    ),
    'a body until the close': (HEAD + b'\r\n', PIECE * 16, BODY_BOUND),
    'a chunked body': (
        CHUNKED,
        b'10000\r\n' + PIECE * 16 + b'\r\n',
        BODY_BOUND,
    ),
    'a chunk extension': (CHUNKED + b'1;', PIECE, HEAD_BOUND),
    'trailers': (CHUNKED + b'0\r\n', b'X-Pad: x\r\n' * 100, HEAD_BOUND),
    'a response to another request': (
        HEAD + b'X-Id: other\r\n\r\n',
        PIECE * 16,
        BODY_BOUND,
    ),
}


def receive(
    exchange: test_client_channel.Exchange, start: bytes, piece: bytes
) -> int:
    """Receive bytes until the channel is closed; return their number."""
    received = 0
    for data in itertools.chain((start,), itertools.repeat(piece)):
        if exchange.transport.aborted or received > 2 * BODY_BOUND:
            break
        exchange.channel.dataReceived(data)
        received += len(data)
    return received


@pytest.mark.parametrize('kind', KINDS)
def test_endless_response_is_cut_off(kind):
    """Guards against memory and time that a faulty peer takes."""
    start, piece, bound = KINDS[kind]
    exchange = test_client_channel.Exchange(expected_id=b'own')
    if kind != 'a response to another request':
        start = start.replace(HEAD, HEAD + b'X-Id: own\r\n')
    exchange.channel.on_oversized = lambda: exchange.idle.append('oversized')
    received = receive(exchange, start, piece)
    assert exchange.transport.aborted
    assert received <= bound
    (failure,) = exchange.failures
    assert failure.oversized and failure.written
    assert exchange.idle == ['oversized']


def test_long_response_of_small_parts_is_not_cut_off():
    """Guards against a limit on what surrounds the parts of a body."""
    exchange = test_client_channel.Exchange()
    chunk = b'1;' + b'e' * 1000 + b'\r\nx\r\n'
    count = 3 * client_channel.MAX_HEAD_BYTES // len(chunk)
    exchange.channel.dataReceived(CHUNKED)
    for _ in range(count):
        exchange.channel.dataReceived(chunk)
    exchange.channel.dataReceived(b'0\r\n\r\n')
    assert exchange.responses[0].body == b'x' * count


def test_body_up_to_the_limit_is_delivered():
    """Guards against a limit that is too low by one."""
    size = channel_pool.MAX_RESPONSE_BYTES
    for surplus, responses in ((0, 1), (1, 0)):
        exchange = test_client_channel.Exchange()
        exchange.channel.dataReceived(
            HEAD + b'Content-Length: %d\r\n\r\n' % (size + surplus)
        )
        exchange.channel.dataReceived(b'x' * (size + surplus))
        assert len(exchange.responses) == responses
        assert len(exchange.failures) == 1 - responses
