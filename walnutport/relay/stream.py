"""Which bytes of which attempt go on to the caller.

One ``StreamSession`` belongs to a streaming stage and outlives its attempts.
It knows the next event that the caller is missing. Each attempt feeds its
bytes to an ``AttemptStream``, which returns whole events that are next in
order and nothing else. The usual case, one whole event in order, costs two
byte searches and no JSON.
"""

import dataclasses

from walnutport import exceptions
from walnutport.relay import framing

__all__ = ['AttemptStream', 'StreamCounters', 'StreamSession']

_MAX_EVENT_BYTES = 1_048_576


@dataclasses.dataclass(slots=True)
class StreamCounters:
    """Sums over the streams of a host.

    :param resumed: attempts that went on after events were passed on.
    :param abandoned_events: events dropped as their attempt was over.
    :param repeated_events: events dropped as the caller had them already.
    """

    attempts: int = 0
    resumed: int = 0
    events: int = 0
    abandoned_events: int = 0
    repeated_events: int = 0


class StreamSession:
    """State of one stream towards a caller over all its attempts.

    The attempt that delivers first owns the stream until it is closed, so
    events of two concurrent attempts are never mixed.
    """

    def __init__(self) -> None:
        self.next_event = 0
        self.done: framing.DoneEvent | None = None
        self._owner: AttemptStream | None = None

    @property
    def started(self) -> bool:
        """Return whether an event was passed on."""
        return self.next_event > 0 or self.done is not None

    def open_attempt(self) -> 'AttemptStream':
        """Return the stream of a new attempt."""
        return AttemptStream(self)

    def is_owner(self, stream: 'AttemptStream') -> bool:
        """Return whether an attempt owns the stream."""
        return self._owner is stream

    def take(self, stream: 'AttemptStream') -> bool:
        """Give the stream to an attempt if no other attempt owns it."""
        if self._owner is None and self.done is None:
            self._owner = stream
        return self._owner is stream

    def leave(self, stream: 'AttemptStream') -> None:
        """End the ownership of an attempt."""
        if self._owner is stream:
            self._owner = None


class AttemptStream:
    """Events of one attempt.

    ``fault`` tells why the attempt cannot go on; ``events`` counts the
    numbered events received, whether passed on or dropped.

    >>> session = StreamSession()
    >>> stream = session.open_attempt()
    >>> event = b'id: 0' + bytes([10]) + b'data: {}' + framing.EVENT_END
    >>> stream.feed(event[:5]), stream.feed(event[5:]) == event
    (b'', True)
    """

    def __init__(self, session: StreamSession) -> None:
        self._session = session
        self._held = b''
        self._closed = False
        self.error = ''
        self.repeated_events = 0
        self.abandoned_events = 0
        self.done: framing.DoneEvent | None = None
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the target and return those for the caller."""
        if self._held:
            data = self._held + data
            self._held = b''
        session = self._session
        if (
            session.is_owner(self)
            and data.startswith(b'id: %d\ndata: ' % session.next_event)
            and data.find(framing.EVENT_END) == len(data) - 2
        ):
            session.next_event += 1
            self.events += 1
            return data
        return self._feed_each(data)

    def close(self) -> None:
        """End the attempt; events that still come are dropped."""
        self._closed = True
        self._held = b''
        self._session.leave(self)

    def _feed_each(self, data: bytes) -> bytes:
        passed: list[bytes] = []
        start = 0
        while not self.is_over():
            end = data.find(framing.EVENT_END, start)
            if end < 0:
                break
            end += len(framing.EVENT_END)
            event = data[start:end]
            start = end
            if self._accept(event):
                passed.append(event)
        if self.is_over():
            self._drop(data, start)
        else:
            self._hold(data[start:])
        return b''.join(passed)

    def is_over(self) -> bool:
        """Return whether the attempt passes no further events on."""
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
        self.events += 1
        if number > session.next_event and not self._is_late():
            self.error = f'event {number} instead of {session.next_event}'
        elif number < session.next_event:
            self.repeated_events += 1
        elif self._take():
            session.next_event += 1
            return True
        return False

    def _accept_done(self, done: framing.DoneEvent) -> bool:
        if not self._take():
            return False
        self._session.done = done
        self.done = done
        return True

    def _is_late(self) -> bool:
        """Return whether another attempt owns the stream; then end."""
        session = self._session
        return not session.is_owner(self) and not self._take()

    def _take(self) -> bool:
        if self._session.take(self):
            return True
        self.abandoned_events += 1
        self.error = 'another attempt delivers the stream'
        return False

    def _hold(self, data: bytes) -> None:
        if len(data) > _MAX_EVENT_BYTES:
            self.error = f'event exceeds {_MAX_EVENT_BYTES} bytes'
            return
        self._held = data

    def _drop(self, data: bytes, start: int) -> None:
        self.abandoned_events += data.count(framing.EVENT_END, start)
