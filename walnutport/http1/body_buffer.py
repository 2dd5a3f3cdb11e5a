"""Buffer for a body that arrives in pieces of any size."""

__all__ = ['BodyBuffer']


class BodyBuffer:
    """Joins the pieces of a body as they arrive.

    An object for each piece takes some thirty times as much memory as a piece
    of two bytes, so that a limit on the length of a body would not limit what
    it takes.

    >>> body = BodyBuffer()
    >>> body.add(b'wal')
    >>> body.add(b'nut')
    >>> len(body), body.take(), len(body)
    (6, b'walnut', 0)
    """

    def __init__(self) -> None:
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def add(self, piece: bytes) -> None:
        """Append a piece."""
        self._data += piece

    def take(self) -> bytes:
        """Return what has arrived, and empty the buffer."""
        data = bytes(self._data)
        self._data = bytearray()
        return data
