"""Relay of an event stream that may go on at another target.

Load pattern: a target stops in the middle of a stream, even of an event, and
the stream goes on elsewhere. Whole events with growing ids are passed on, so
that the caller sees one series without gaps or repeats.
"""

__all__ = ['EventRelay']

_EVENT_END = b'\n\n'


class EventRelay:
    """Cuts the bytes of one or more runs into whole events.

    :param last_id: id after which the caller wants the stream to go on.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self._partial = b''
        self._gap = False

    @property
    def has_gap(self) -> bool:
        """Whether an event of the series is missing."""
        return self._gap

    @property
    def partial(self) -> bytes:
        """Bytes after the last whole event."""
        return self._partial

    def discard_partial(self) -> None:
        """Forget the incomplete event of a run that broke off."""
        self._partial = b''

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are to be passed on."""
        data = self._partial + data
        passed = []
        start = 0
        while True:
            end = data.find(_EVENT_END, start)
            if end < 0:
                break
            event = data[start : end + 2]
            start = end + 2
            if self._takes(event):
                passed.append(event)
        self._partial = data[start:]
        self.events += len(passed)
        return b''.join(passed)

    def _takes(self, event: bytes) -> bool:
        number = _event_id(event)
        if number is None:
            return True
        if self.last_id is not None:
            if number <= self.last_id:
                return False
            if number != self.last_id + 1:
                self._gap = True
        self.last_id = number
        return True


def _event_id(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(b'id:'):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
