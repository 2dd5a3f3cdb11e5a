"""Bytes of responses that their readers have not taken yet.

A connection whose peer reads slowly takes no more bytes for a while. What is
written meanwhile is kept here, and the source of the response, a channel to a
target, is not read from, so that flow control reaches the target.

The bytes of all connections share one limit. A connection may keep as much as
is left for all, so that one slow reader alone gets a large buffer and many get
small ones (dynamic thresholds, A. K. Choudhury and E. L. Hahne, 1998). Where
the limit is exceeded all the same, as by responses that are complete, the
connection with the most bytes among those that take nothing is cut off.
"""

from collections.abc import Callable
import time
from typing import Protocol

from twisted.internet import interfaces
import zope.interface

__all__ = ['ResponseBuffer', 'ResponseSource', 'UnreadBytes']

#: Bytes that are kept for all connections, unless another limit is given.
DEFAULT_LIMIT_BYTES = 64 << 20
# Bytes that each connection may keep in any case.
MIN_KEPT_BYTES = 64 << 10
# Bytes that are given to a transport at once; one that holds more than this
# asks to pause.
PIECE_BYTES = 64 << 10
# A connection that has taken bytes within this time is not cut off.
STALL_S = 1.0


class ResponseSource(Protocol):
    """Sends the body of a response, and can be paused."""

    def pause_reading(self) -> None:
        """Read no more for now."""

    def resume_reading(self) -> None:
        """Read on."""


class UnreadBytes:
    """Bytes that the buffers of all connections keep.

    :param limit_bytes: limit of their sum.
    :ivar total: their sum.
    :ivar paused_count: how often a source was paused.
    :ivar cut_count: connections that were cut off.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._buffers: set[ResponseBuffer] = set()
        self.total = 0
        self.paused_count = 0
        self.cut_count = 0

    def threshold(self) -> int:
        """Return the bytes from which the source of a buffer is paused."""
        return max(MIN_KEPT_BYTES, self._limit_bytes - self.total)

    def changed(self, buffer: 'ResponseBuffer', difference: int) -> None:
        """Record that a buffer keeps more bytes, or fewer."""
        self.total += difference
        if not len(buffer):
            self._buffers.discard(buffer)
            return
        self._buffers.add(buffer)
        if (
            difference > 0
            and self.total > self._limit_bytes
            and not buffer.has_source
        ):
            self._cut_off()

    def _cut_off(self) -> None:
        """Cut off the longest response whose reader takes nothing.

        Readers that take bytes go on, unless the limit is exceeded twice over.
        """
        now = time.monotonic()
        victims = [
            buffer
            for buffer in self._buffers
            if buffer.stalled_s(now) >= STALL_S
        ]
        if not victims and self.total <= 2 * self._limit_bytes:
            return
        self.cut_count += 1
        max(victims or self._buffers, key=len).cut_off()


@zope.interface.implementer(interfaces.IPushProducer)
class ResponseBuffer:
    """Writes responses to a connection as fast as it takes them.

    :param transport: transport of the connection, which has no producer.
    :param unread: bytes that all buffers keep.
    :param on_cut_off: called with the kept bytes to end the connection.
    """

    def __init__(
        self, transport, unread: UnreadBytes, on_cut_off: Callable[[int], None]
    ) -> None:
        self._transport = transport
        self._unread = unread
        self._on_cut_off = on_cut_off
        self._kept = bytearray()
        self._is_full = False
        self._has_ended = False
        self._is_registered = False
        self._progress_at = 0.0
        self._source: ResponseSource | None = None
        self._is_source_paused = False
        self._on_drained: Callable[[], None] | None = None

    def __len__(self) -> int:
        return len(self._kept)

    @property
    def has_source(self) -> bool:
        """Whether the source of the response waits for the reader."""
        return self._source is not None

    def stalled_s(self, now: float) -> float:
        """Return for how long the connection has taken nothing."""
        return now - self._progress_at if self._is_full else 0.0

    def write(self, data: bytes) -> None:
        """Write bytes, or keep them until the connection takes more."""
        if self._has_ended:
            return
        if not self._is_registered:
            self._is_registered = True
            self._transport.registerProducer(self, True)
        if not self._is_full and len(data) <= PIECE_BYTES:
            self._transport.write(data)
        else:
            self._kept += data
            self._unread.changed(self, len(data))
            self._flush()
        self._update_source()

    def set_source(self, source: ResponseSource) -> None:
        """Pause a source while this buffer keeps too much.

        It takes the place of the one before.
        """
        if source is not self._source and not self._has_ended:
            self._source = source
            self._is_source_paused = False
            self._update_source()

    def clear_source(self, source: ResponseSource) -> None:
        """Let go of a source that sends nothing more."""
        if source is self._source:
            if self._is_source_paused:
                source.resume_reading()
            self._source = None
            self._is_source_paused = False

    def when_drained(self, callback: Callable[[], None]) -> None:
        """Call back once, when the transport has been given all bytes.

        The transport has no producer from then on. Nothing may be written
        after this call.
        """
        if self._is_full:
            self._on_drained = callback
            return
        self._unregister()
        callback()

    def cut_off(self) -> None:
        """End the connection, as its peer does not read."""
        self._on_cut_off(len(self._kept))

    def discard(self) -> None:
        """Drop what is kept, as the connection has ended."""
        self._has_ended = True
        self._on_drained = None
        self._is_full = False
        size = len(self._kept)
        self._kept = bytearray()
        self._unread.changed(self, -size)
        if self._source is not None:
            self.clear_source(self._source)

    # Calls of the transport.

    def pauseProducing(self) -> None:  # noqa: N802
        """Keep what is written from now on."""
        if not self._is_full:
            self._is_full = True
            self._progress_at = time.monotonic()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write what is kept, as the transport has passed on all it had."""
        self._is_full = False
        self._progress_at = time.monotonic()
        self._flush()
        self._update_source()
        if not self._is_full and self._on_drained is not None:
            callback, self._on_drained = self._on_drained, None
            self._unregister()
            callback()

    def stopProducing(self) -> None:  # noqa: N802
        """Handle the end of the connection."""
        self.discard()

    def _flush(self) -> None:
        while self._kept and not self._is_full:
            piece = bytes(self._kept[:PIECE_BYTES])
            del self._kept[:PIECE_BYTES]
            self._unread.changed(self, -len(piece))
            self._transport.write(piece)

    def _update_source(self) -> None:
        """Pause the source, or let it go on."""
        if self._source is None:
            return
        limit = self._unread.threshold()
        if not self._is_source_paused and len(self._kept) > limit:
            self._is_source_paused = True
            self._unread.paused_count += 1
            self._source.pause_reading()
        elif self._is_source_paused and 2 * len(self._kept) <= limit:
            self._is_source_paused = False
            self._source.resume_reading()

    def _unregister(self) -> None:
        if self._is_registered:
            self._is_registered = False
            self._transport.unregisterProducer()
