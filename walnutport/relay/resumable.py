"""Relay of an event stream that may resume at another target.

A target may fail in the middle of a stream, even in the middle of an event;
the stream then resumes at another target. Only complete events with increasing
ids are forwarded, so the caller gets one sequence without duplicates, and gaps
are detected.

A run that follows an event of an earlier one has to show that it goes on after
it: its response has the same media type, and it brings the next event, or the
last one once more, before any event without an id. Otherwise it may be the
response to something else, such as an error.
"""

from walnutport.relay import event_buffer

__all__ = ['EventRelay', 'MAX_EVENT_BYTES']

# An event holds some tokens; without a limit, one without end would be kept.
MAX_EVENT_BYTES = 256 << 10
# A number with more digits is no count of events.
MAX_ID_DIGITS = 12


class EventRelay:
    """Splits the bytes of one or more runs into complete events.

    :param last_id: id of the last event that the caller already has.
    :ivar events: forwarded events. Comments, which targets send to keep a
        channel open, are forwarded but are none.
    :ivar repeated_events: events that the caller has and that were dropped.
    :ivar gaps: runs in which an event was missing, or its id was none.
    :ivar run_first_id: id of the first event of the run that was accepted;
        None before one with an id.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self.repeated_events = 0
        self.gaps = 0
        self.run_first_id: int | None = None
        self._partial = event_buffer.EventBuffer()
        self._gap = False
        self._media_type = b''
        self._has_forwarded = False
        self._events_before_run = 0
        # Whether the run has shown that it belongs to the stream.
        self._continues = True
        # Id of the last event of the run that the caller had already.
        self._repeated_id: int | None = None
        # Events without an id that were forwarded after the last id.
        self._unnumbered = 0
        # Of these, the ones that the run has yet to repeat.
        self._left_to_repeat = 0

    @property
    def has_gap(self) -> bool:
        """Whether an event of the sequence is missing, or its id is none."""
        return self._gap

    @property
    def run_events(self) -> int:
        """Events of the run that were accepted."""
        return self.events - self._events_before_run

    @property
    def lacks_continuation(self) -> bool:
        """Whether the run has brought no event after those of earlier runs."""
        return (
            self._events_before_run > 0
            and self.events == self._events_before_run
        )

    @property
    def is_oversized(self) -> bool:
        """Whether an event exceeds the size limit."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def has_partial(self) -> bool:
        """Whether bytes have come after the last complete event."""
        return len(self._partial) > 0

    def begin_run(self, media_type: bytes) -> bool:
        """Begin the next run; return False if it cannot belong to the stream.

        :param media_type: media type of its response, empty without one.
        """
        if not self._has_forwarded:
            self._media_type = media_type
        elif media_type != self._media_type:
            return False
        self._partial.clear()
        self._gap = False
        self.run_first_id = None
        self._events_before_run = self.events
        self._continues = not self.events
        self._repeated_id = None
        return True

    def discard_partial(self) -> None:
        """Discard the incomplete event of a run that failed."""
        self._partial.clear()

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the complete events to forward.

        Nothing behind a gap is returned.
        """
        self._partial.add(data)
        forwarded = []
        while not self._gap and (event := self._partial.take()) is not None:
            if self._accept(event):
                forwarded.append(event)
                self.events += not _is_comment(event)
            self.gaps += self._gap
        self._has_forwarded |= bool(forwarded)
        return b''.join(forwarded)

    def _accept(self, event: bytes) -> bool:
        number = _event_id(event)
        if number is None:
            return self._accept_unnumbered(event)
        if self.last_id is not None and 0 <= number <= self.last_id:
            self._repeated_id = number
            self._left_to_repeat = self._unnumbered
            self.repeated_events += 1
            return False
        if self.last_id is None:
            # No event shows where a run goes on that follows such ones.
            self._gap = number < 0 or not self._continues
        else:
            self._gap = number != self.last_id + 1
        if self._gap:
            return False
        self._continues = True
        self._repeated_id = None
        self._unnumbered = 0
        self.last_id = number
        if self.run_first_id is None:
            self.run_first_id = number
        return True

    def _accept_unnumbered(self, event: bytes) -> bool:
        """Return whether to forward an event without an id, or a comment."""
        if _is_comment(event):
            return True
        if self._repeated_id is None:
            self._gap = not self._continues
        elif self._repeated_id != self.last_id:
            # The caller has it, as it has the numbered events around it.
            self.repeated_events += 1
            return False
        elif self._left_to_repeat:
            self._left_to_repeat -= 1
            self.repeated_events += 1
            return False
        if self._gap:
            return False
        self._continues = True
        self._unnumbered += 1
        return True


def _is_comment(event: bytes) -> bool:
    """Return whether all lines of an event are comments."""
    return all(line.startswith(b':') for line in event.split(b'\n') if line)


def _event_id(event: bytes) -> int | None:
    """Return the id of an event.

    :returns: None without a number, -1 if the number has too many digits.
    """
    for line in event.split(b'\n'):
        if line.startswith(b'id:'):
            value = line[3:].strip()
            if len(value) > MAX_ID_DIGITS and value.isdigit():
                return -1
            return int(value) if value.isdigit() else None
    return None
