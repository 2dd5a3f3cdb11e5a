"""Bodies in pieces of two bytes: each receiver keeps little more than them."""

import tracemalloc

import pytest
from twisted.internet import task

from tests.gateway import call_builders
from tests.http1 import test_client_channel
from tests.http1 import test_server
from walnutport.gateway.targets import attempts
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import server
from walnutport.world import routes

CHUNKED = b'HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n'
PIECE = b'2\r\nxx\r\n'
PIECES_IN_A_READ = 4096
READS = 128
BODY_BYTES = 2 * PIECES_IN_A_READ * READS
# Memory for a body, with what it is copied into once it is complete.
MAX_MEMORY_RATIO = 4.0


def response_collector():
    return channel_pool.ResponseCollector()


def attempt_receiver():
    return attempts.AttemptReceiver(
        call_builders.caller_call(),
        call_builders.engine('llm-1'),
        None,
        lambda: None,
        lambda fields, status: None,
    )


def receive(channel, read: bytes, count: int) -> float:
    """Return the most memory that a body takes, divided by its length."""
    tracemalloc.start()
    try:
        for _ in range(count):
            channel.dataReceived(read)
        return tracemalloc.get_traced_memory()[1] / BODY_BYTES
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    'make_receiver', [response_collector, attempt_receiver]
)
def test_response_in_small_pieces_takes_little_memory(make_receiver):
    """Guards against a host that a response below its limit ends."""
    channel = client_channel.ClientChannel(('10.0.0.1', 80))
    channel.makeConnection(test_client_channel.FakeTransport())
    channel.send(b'request', make_receiver())
    channel.dataReceived(CHUNKED)
    ratio = receive(channel, PIECE * PIECES_IN_A_READ, READS)
    assert channel.alive
    assert ratio < MAX_MEMORY_RATIO


def test_request_in_small_pieces_takes_little_memory():
    """Guards against a host that the body of a caller ends."""
    limits = routes.RequestLimits(body_bytes=2 * BODY_BYTES)
    site = server.ServerSite(
        task.Clock(), lambda request: None, lambda: limits
    )
    channel = site.buildProtocol(None)
    channel.makeConnection(test_server.FakeTransport())
    channel.dataReceived(
        b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    ratio = receive(channel, PIECE * PIECES_IN_A_READ, READS)
    assert not channel.idle
    assert ratio < MAX_MEMORY_RATIO


def test_pieces_of_one_read_are_received_at_once():
    """Guards against work for each piece of a body."""
    exchange = test_client_channel.Exchange()
    received = []
    exchange.receiver.body_received = received.append
    exchange.channel.dataReceived(CHUNKED + PIECE * 100)
    assert received == [b'xx' * 100]


def test_pieces_before_a_malformed_one_are_received():
    """Guards against events that are lost with the bytes behind them."""
    exchange = test_client_channel.Exchange()
    received = []
    exchange.receiver.body_received = received.append
    exchange.channel.dataReceived(CHUNKED + PIECE + b'garbage\r\n')
    assert received == [b'xx']
    assert exchange.failures[0].malformed


def opened_channels(max_kept_bytes: int, count: int):
    """Return a pool, and exchanges on channels that it has opened."""
    pool = channel_pool.ChannelPool(None, 4, max_kept_bytes)
    exchanges = []
    for _ in range(count):
        exchange = test_client_channel.Exchange()
        exchange.channel.on_kept = pool._record_kept
        exchange.channel.on_oversized = pool._count_oversized
        exchange.channel.dataReceived(CHUNKED)
        exchanges.append(exchange)
    return pool, exchanges


def test_many_long_responses_are_limited_together():
    """Guards against responses below their limit that fill the memory."""
    size = 2 * client_channel.MIN_COUNTED_BYTES
    pool, exchanges = opened_channels(10 * size, 20)
    chunk = b'%x\r\n%s\r\n' % (size, b'x' * size)
    for exchange in exchanges:
        exchange.channel.dataReceived(chunk)
        assert pool.kept_bytes <= 10 * size
    failures = [exchange for exchange in exchanges if exchange.failures]
    assert len(failures) == 10 == pool.oversized_count
    assert all(exchange.failures[0].oversized for exchange in failures)


def test_longest_response_is_cut_off_and_the_others_go_on():
    """Guards against short responses that pay for an endless one."""
    size = client_channel.MIN_COUNTED_BYTES
    pool, (endless, short) = opened_channels(10 * size, 2)
    for _ in range(9):
        endless.channel.dataReceived(b'%x\r\n%s\r\n' % (size, b'x' * size))
    short.channel.dataReceived(b'%x\r\n%s\r\n' % (2 * size, b'x' * 2 * size))
    assert endless.failures and not short.failures
    short.channel.dataReceived(b'0\r\n\r\n')
    assert len(short.responses[0].body) == 2 * size
    assert pool.kept_bytes == 0
