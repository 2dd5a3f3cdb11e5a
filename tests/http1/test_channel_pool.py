"""Tests of fetching complete responses, without a network."""

import time

from twisted.internet import defer
from twisted.internet import task
from twisted.internet.testing import StringTransport

from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel

ADDRESS = ('127.0.0.1', 80)


class RecordingTransport(StringTransport):
    """Transport that records whether the connection was aborted."""

    aborted = False

    def abortConnection(self) -> None:
        self.aborted = True

    def getHandle(self):
        return self

    def recv(self, size, flags) -> bytes:
        """Find no bytes that were not read."""
        raise BlockingIOError

    def setsockopt(self, level, option, value) -> None:
        pass


def test_cancelled_fetch_closes_its_channel():
    """Guards against an abandoned request that keeps its channel open.

    A response that comes later, or never, would hold the connection.
    """
    clock = task.Clock()
    pool = channel_pool.ChannelPool(clock, max_idle=2)
    channel = client_channel.ClientChannel(ADDRESS)
    transport = RecordingTransport()
    channel.makeConnection(transport)
    channel.idle_since = time.monotonic()
    pool.release(channel)
    fetch = defer.Deferred.fromCoroutine(
        channel_pool.fetch(clock, pool, ADDRESS, b'GET / HTTP/1.1\r\n\r\n', 9)
    )
    assert transport.value()
    fetch.cancel()
    fetch.addErrback(lambda failure: failure.trap(defer.CancelledError))
    assert fetch.result is defer.CancelledError
    assert transport.aborted
    assert clock.getDelayedCalls() == []
    assert pool.take_idle(ADDRESS) is None


def test_channel_that_carried_no_request_can_be_used_later():
    """Guards against one more connection for each dial that checks a path.

    Such a channel looked as if it had been idle since the start of the clock.
    """
    pool = channel_pool.ChannelPool(task.Clock(), max_idle=2)
    channel = client_channel.ClientChannel(ADDRESS)
    channel.makeConnection(RecordingTransport())
    pool.release(channel)
    pool.close_expired()
    assert pool.take_idle(ADDRESS) is channel
