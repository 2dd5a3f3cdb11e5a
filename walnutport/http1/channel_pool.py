"""Pool of idle client channels, and fetching of complete responses."""

from collections.abc import Callable
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.http1 import body_buffer
from walnutport.http1 import client_channel
from walnutport.http1 import messages
from walnutport.http1 import socket_options

__all__ = [
    'ChannelPool',
    'MAX_KEPT_BYTES',
    'MAX_RESPONSE_BYTES',
    'ResponseCollector',
    'fetch',
    'fetch_on',
]

MAX_RESPONSE_BYTES = 16 << 20
#: Bytes of unfinished responses that are kept for all channels of a pool. Many
#: responses below their own limit can fill the memory as well.
MAX_KEPT_BYTES = 64 << 20


class ResponseCollector:
    """Response receiver that collects the complete response.

    :param accepts: returns whether a head belongs to this request; None if
        heads do not name their request, so that the channel is not reused.
    """

    max_body_bytes = MAX_RESPONSE_BYTES
    keeps_body = True

    def __init__(
        self, accepts: Callable[[messages.ResponseHead], bool] | None = None
    ) -> None:
        self._head = messages.EMPTY_HEAD
        self.done: defer.Deferred = defer.Deferred()
        self._accepts = accepts
        self._body = body_buffer.BodyBuffer()

    def is_named_in(self, head: messages.ResponseHead) -> bool:
        return self._accepts is not None

    def head_received(self, head: messages.ResponseHead) -> bool:
        if self._accepts is not None and not self._accepts(head):
            return False
        self._head = head
        return True

    def body_received(self, data: bytes) -> None:
        self._body.add(data)

    def finished(self) -> None:
        if not self.done.called:
            self.done.callback(
                messages.Response(self._head, self._body.take())
            )

    def failed(self, failure: exceptions.ChannelError) -> None:
        if not self.done.called:
            self.done.errback(failure)


class ChannelPool:
    """Pool of idle channels, keyed by address.

    :param reactor: the Twisted reactor.
    :param max_idle: maximum number of idle channels for each address.
    :param max_kept_bytes: bytes of unfinished responses to keep. Beyond it,
        the longest response is cut off.
    :ivar kept_bytes: bytes of the unfinished responses that are kept.
    :ivar oversized_count: responses that were cut off as they exceeded a
        limit.
    :ivar unidentified_count: responses that were rejected as they may answer
        an earlier request.
    :ivar unread_count: idle channels that were not used as their peers had
        written to them or closed them.
    """

    def __init__(
        self, reactor, max_idle: int, max_kept_bytes: int = MAX_KEPT_BYTES
    ) -> None:
        self._reactor = reactor
        self._max_idle = max_idle
        self._max_kept_bytes = max_kept_bytes
        self._kept_by_channel: dict[client_channel.ClientChannel, int] = {}
        self.kept_bytes = 0
        self._idle_by_address: dict[
            client_channel.Address, list[client_channel.ClientChannel]
        ] = {}
        # Called with the channel at the first byte of a response.
        self.on_answered: Callable[[client_channel.ClientChannel], None] = (
            lambda channel: None
        )
        # Called when a new channel could not be opened, or has ended before
        # its first response.
        self.on_failed: Callable[[], None] = lambda: None
        # When the first request was sent since the last response; 0 if none.
        self.waiting_since = 0.0
        self.opened_count = 0
        self.oversized_count = 0
        self.unidentified_count = 0
        self.unread_count = 0

    def take_idle(
        self,
        address: client_channel.Address,
        max_idle_s: float | None = None,
    ) -> client_channel.ClientChannel | None:
        """Return an idle channel that can still be used, or None.

        :param max_idle_s: upper bound on its idle time, besides its own limit.
        """
        idle = self._idle_by_address.get(address)
        while idle:
            channel = idle.pop()
            if self._is_usable(channel, max_idle_s):
                return channel
            channel.close()
        return None

    def take_unused(
        self, address: client_channel.Address
    ) -> client_channel.ClientChannel | None:
        """Return an idle channel that has carried no request, or None.

        A response that names no request can be told from one to an earlier
        request on such a channel only.
        """
        idle = self._idle_by_address.get(address, [])
        for channel in [item for item in idle if not item.request_count]:
            idle.remove(channel)
            if self._is_usable(channel):
                return channel
            channel.close()
        return None

    async def open(
        self,
        address: client_channel.Address,
        timeout_s: float = client_channel.CONNECT_TIMEOUT_S,
    ) -> client_channel.ClientChannel:
        """Open a new channel.

        :raises ChannelError: if the peer cannot be reached.
        """
        self.opened_count += 1
        try:
            channel = await client_channel.connect(
                self._reactor, address, timeout_s
            )
        except exceptions.ChannelError:
            self.on_failed()
            raise
        channel.on_oversized = self._count_oversized
        channel.on_unidentified = self._count_unidentified
        channel.on_kept = self._record_kept
        channel.on_sent = self._sent
        channel.on_answered = self._answered
        channel.on_unanswered = self.on_failed
        return channel

    def release(self, channel: client_channel.ClientChannel) -> None:
        """Return an idle channel to the pool for later requests."""
        idle = self._idle_by_address.setdefault(channel.address, [])
        if len(idle) >= self._max_idle:
            idle.pop(0).close()
        idle.append(channel)

    def close_address(self, address: client_channel.Address) -> None:
        """Close the idle channels to an address."""
        for channel in self._idle_by_address.pop(address, ()):
            channel.close()

    def close_all(self) -> None:
        """Close all idle channels."""
        for address in list(self._idle_by_address):
            self.close_address(address)

    def close_expired(self) -> None:
        """Close the channels that reached their idle limit."""
        now = time.monotonic()
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            for channel in idle:
                idle_s = now - channel.idle_since
                if channel.alive and idle_s < channel.idle_limit_s:
                    kept.append(channel)
                else:
                    channel.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def _is_usable(
        self,
        channel: client_channel.ClientChannel,
        max_idle_s: float | None = None,
    ) -> bool:
        limit = channel.idle_limit_s
        if max_idle_s is not None:
            limit = min(limit, max_idle_s)
        if not channel.alive or time.monotonic() - channel.idle_since >= limit:
            return False
        # What arrives before a request belongs to no response to it, and may
        # not have been read yet.
        if socket_options.has_unread(channel.transport.getHandle()):
            self.unread_count += 1
            return False
        return True

    def _sent(self) -> None:
        self.waiting_since = self.waiting_since or time.monotonic()

    def _answered(self, channel: client_channel.ClientChannel) -> None:
        self.waiting_since = 0.0
        self.on_answered(channel)

    def _record_kept(
        self, channel: client_channel.ClientChannel, size: int
    ) -> None:
        """Record the bytes that are kept for a channel, 0 at the end."""
        self.kept_bytes += size - self._kept_by_channel.pop(channel, 0)
        if size:
            self._kept_by_channel[channel] = size
        if self.kept_bytes > self._max_kept_bytes:
            longest = max(
                self._kept_by_channel, key=self._kept_by_channel.__getitem__
            )
            longest.cut_off(
                f'more than {self._max_kept_bytes} bytes of all responses'
            )

    def _count_oversized(self) -> None:
        self.oversized_count += 1

    def _count_unidentified(self) -> None:
        self.unidentified_count += 1


async def fetch(
    reactor,
    pool: ChannelPool,
    address: client_channel.Address,
    request: bytes,
    timeout_s: float,
    may_send: Callable[[], bool] = lambda: True,
    is_new: bool = False,
) -> messages.Response:
    """Send an idempotent request and return the complete response.

    The response may name no request, so the channel carries no other one.
    Cancelling closes the channel.

    :param may_send: asked directly before the request is written.
    :param is_new: whether to open a new channel in any case.
    :raises ChannelError: if no complete response arrives in time.
    """
    channel = None if is_new else pool.take_unused(address)
    if channel is None:
        channel = await pool.open(
            address, min(timeout_s, client_channel.CONNECT_TIMEOUT_S)
        )
    if not may_send():
        pool.release(channel)
        raise exceptions.ChannelError('no longer to be sent', written=False)
    return await fetch_on(
        reactor, channel, request, timeout_s, ResponseCollector(), pool.release
    )


async def fetch_on(
    reactor,
    channel: client_channel.ClientChannel,
    request: bytes,
    timeout_s: float,
    collector: ResponseCollector,
    on_idle: Callable[[client_channel.ClientChannel], None] = lambda _: None,
) -> messages.Response:
    """Send an idempotent request on a channel, and return the response.

    Cancelling closes the channel.

    :param on_idle: called with the channel if it can be reused.
    :raises ChannelError: if no complete response arrives in time.
    """
    timer = reactor.callLater(timeout_s, _abort_on_timeout, channel, collector)
    try:
        channel.send(request, collector, on_idle)
        return await collector.done
    except defer.CancelledError:
        channel.cancel()
        raise
    finally:
        if timer.active():
            timer.cancel()


def _abort_on_timeout(
    channel: client_channel.ClientChannel, collector: ResponseCollector
) -> None:
    channel.cancel()
    collector.failed(
        exceptions.ChannelError(
            'no complete response within the timeout',
            written=True,
            timed_out=True,
        )
    )
