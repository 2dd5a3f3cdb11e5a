"""Splits the bytes of an event stream into events."""

from walnutport.relay import framing

__all__ = ['EventBuffer']


class EventBuffer:
    """Holds the bytes of an event until its end arrives.

    Each byte is searched once, so that an event in many small pieces takes no
    more time than a whole one.

    >>> buffer = EventBuffer()
    >>> buffer.add(b'data: a')
    >>> buffer.take() is None
    True
    >>> buffer.add(framing.EVENT_END + b'da')
    >>> buffer.take() == b'data: a' + framing.EVENT_END, len(buffer)
    (True, 2)
    """

    def __init__(self) -> None:
        self._data = bytearray()
        # Bytes in which no event ends.
        self._searched = 0

    def __len__(self) -> int:
        return len(self._data)

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        self._data += data

    def take(self) -> bytes | None:
        """Remove the first complete event and return it, or None."""
        found = self._data.find(framing.EVENT_END, self._searched)
        if found < 0:
            # The first half of the end may have arrived.
            self._searched = max(
                0, len(self._data) - len(framing.EVENT_END) + 1
            )
            return None
        end = found + len(framing.EVENT_END)
        event = bytes(self._data[:end])
        del self._data[:end]
        self._searched = 0
        return event

    def clear(self) -> None:
        """Discard all bytes."""
        self._data.clear()
        self._searched = 0

    def count_events(self) -> int:
        """Return the number of complete events."""
        return self._data.count(framing.EVENT_END)
