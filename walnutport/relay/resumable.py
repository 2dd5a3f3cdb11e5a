"""Relay of an event stream that may resume at another target.

A target may fail in the middle of a stream, even in the middle of an event;
the stream then resumes at another target. Only complete events with increasing
ids are forwarded, so the caller gets one sequence without duplicates, and gaps
are detected.
"""

__all__ = ['EventRelay', 'MAX_EVENT_BYTES']

# An event holds some tokens; without a limit, one without end would be kept.
MAX_EVENT_BYTES = 256 << 10
# A number with more digits is no count of events.
MAX_ID_DIGITS = 12

_EVENT_END = b'\n\n'


class EventRelay:
    """Splits the bytes of one or more runs into complete events.

    :param last_id: id of the last event that the caller already has.
    :ivar events: forwarded events. Comments, which targets send to keep a
        channel open, are forwarded but are none.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self._partial = b''
        self._gap = False

    @property
    def has_gap(self) -> bool:
        """Whether an event of the sequence is missing, or its id is none."""
        return self._gap

    @property
    def is_oversized(self) -> bool:
        """Whether an event exceeds the size limit."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def partial(self) -> bytes:
        """Bytes after the last complete event."""
        return self._partial

    def discard_partial(self) -> None:
        """Discard the incomplete event of a run that failed."""
        self._partial = b''

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the complete events to forward."""
        data = self._partial + data
        forwarded = []
        start = 0
        while True:
            end = data.find(_EVENT_END, start)
            if end < 0:
                break
            event = data[start : end + 2]
            start = end + 2
            if self._accept(event):
                forwarded.append(event)
                self.events += not _is_comment(event)
        self._partial = data[start:]
        return b''.join(forwarded)

    def _accept(self, event: bytes) -> bool:
        number = _event_id(event)
        if number is None:
            return True
        if number < 0:
            self._gap = True
            return False
        if self.last_id is not None:
            if number <= self.last_id:
                return False
            if number != self.last_id + 1:
                self._gap = True
        self.last_id = number
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
