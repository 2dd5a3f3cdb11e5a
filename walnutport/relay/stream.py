"""Selects the bytes of concurrent attempts that are forwarded to the caller.

One ``StreamSession`` belongs to a streaming stage and outlives its attempts.
It holds the number of the next event for the caller. Each attempt feeds its
bytes to an ``AttemptStream``, which returns only complete events that are next
in order. The usual case, one complete event in order, takes two byte searches
and no JSON parsing.
"""

import dataclasses

from walnutport import exceptions
from walnutport.relay import event_buffer
from walnutport.relay import framing

__all__ = ['AttemptStream', 'StreamCounters', 'StreamSession']

_MAX_EVENT_BYTES = 1_048_576


@dataclasses.dataclass(slots=True)
class StreamCounters:
    """Totals over the streams of a host.

    :param resumed: attempts that started after events had been forwarded.
    :param abandoned_events: events dropped because their attempt was over.
    :param repeated_events: events dropped because the caller had them already.
    """

    attempts: int = 0
    resumed: int = 0
    events: int = 0
    abandoned_events: int = 0
    repeated_events: int = 0


class StreamSession:
    """State of the stream to one caller over all its attempts.

    The first attempt that delivers an event owns the stream until it is
    closed, so events of concurrent attempts are never interleaved.
    """

    def __init__(self) -> None:
        self.next_event = 0
        self.done: framing.DoneEvent | None = None
        self._owner: AttemptStream | None = None

    @property
    def started(self) -> bool:
        """Return whether an event was forwarded."""
        return self.next_event > 0 or self.done is not None

    def open_attempt(self) -> 'AttemptStream':
        """Return the stream of a new attempt."""
        return AttemptStream(self)

    def is_owner(self, stream: 'AttemptStream') -> bool:
        """Return whether an attempt owns the stream."""
        return self._owner is stream

    def try_acquire(self, stream: 'AttemptStream') -> bool:
        """Make an attempt the owner unless another attempt owns the stream."""
        if self._owner is None and self.done is None:
            self._owner = stream
        return self._owner is stream

    def release(self, stream: 'AttemptStream') -> None:
        """End the ownership of an attempt, if it is the owner."""
        if self._owner is stream:
            self._owner = None


class AttemptStream:
    """Events of one attempt.

    ``error`` tells why the attempt cannot continue; ``events`` counts the
    numbered events received, whether forwarded or dropped.

    >>> session = StreamSession()
    >>> stream = session.open_attempt()
    >>> event = b'id: 0' + bytes([10]) + b'data: {}' + framing.EVENT_END
    >>> stream.feed(event[:5]), stream.feed(event[5:]) == event
    (b'', True)
    """

    def __init__(self, session: StreamSession) -> None:
        self._session = session
        self._buffer = event_buffer.EventBuffer()
        self._closed = False
        self.error = ''
        self.repeated_events = 0
        self.abandoned_events = 0
        self.done: framing.DoneEvent | None = None
        self.event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes from the target and return those to forward."""
        session = self._session
        if (
            not self._buffer
            and session.is_owner(self)
            and data.startswith(b'id: %d\ndata: ' % session.next_event)
            and data.find(framing.EVENT_END) == len(data) - 2
        ):
            session.next_event += 1
            self.event_count += 1
            return data
        return self._feed_events(data)

    def close(self) -> None:
        """End the attempt; events that arrive later are dropped."""
        self._closed = True
        self._buffer.clear()
        self._session.release(self)

    def _feed_events(self, data: bytes) -> bytes:
        self._buffer.add(data)
        forwarded: list[bytes] = []
        while (
            not self.is_over() and (event := self._buffer.take()) is not None
        ):
            if self._accept(event):
                forwarded.append(event)
        if self.is_over():
            self.abandoned_events += self._buffer.count_events()
            self._buffer.clear()
        elif len(self._buffer) > _MAX_EVENT_BYTES:
            self.error = f'incomplete event exceeds {_MAX_EVENT_BYTES} bytes'
            self._buffer.clear()
        return b''.join(forwarded)

    def is_over(self) -> bool:
        """Return whether the attempt forwards no further events."""
        return self._closed or self.done is not None or bool(self.error)

    def _accept(self, event: bytes) -> bool:
        session = self._session
        try:
            if framing.is_done(event):
                return self._accept_done(framing.parse_done(event))
            number = framing.event_id(event)
        except exceptions.CodecError as error:
            self.error = str(error)
            return False
        self.event_count += 1
        if number > session.next_event and not self._is_superseded():
            self.error = f'got event {number}, expected {session.next_event}'
        elif number < session.next_event:
            self.repeated_events += 1
        elif self._try_acquire_stream():
            session.next_event += 1
            return True
        return False

    def _accept_done(self, done: framing.DoneEvent) -> bool:
        if not self._try_acquire_stream():
            return False
        self._session.done = done
        self.done = done
        return True

    def _is_superseded(self) -> bool:
        """Return whether another attempt owns the stream.

        In that case the attempt ends. If no attempt owns it, this one does
        from now on.
        """
        session = self._session
        return not session.is_owner(self) and not self._try_acquire_stream()

    def _try_acquire_stream(self) -> bool:
        if self._session.try_acquire(self):
            return True
        self.abandoned_events += 1
        self.error = 'another attempt owns the stream'
        return False
