"""Bytes of the streams that a worker process sends, and where they break."""

import dataclasses
import enum
import random

__all__ = [
    'Cut',
    'Framing',
    'StreamResponse',
    'draw_cut',
    'event_bytes',
    'stream_response',
]


class Framing(enum.StrEnum):
    """How the end of a response is told."""

    CHUNKS = 'chunks'
    LENGTH = 'length'
    CLOSE = 'close'


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Where and how a response breaks off.

    :param position: bytes of the response that are sent.
    :param resets: whether the channel is reset rather than closed.
    """

    position: int
    resets: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StreamResponse:
    """Bytes of a complete response.

    :param pieces: bytes of each event, and of the end of the last chunk.
    """

    framing: Framing
    head: bytes
    pieces: tuple[bytes, ...]

    def whole(self) -> bytes:
        """Return all bytes."""
        return self.head + b''.join(self.pieces)


def event_bytes(
    number: int, version: str, run_id: str, request_id: str
) -> bytes:
    """Return an event, which names its version, its run and its request."""
    return (
        f'id: {number}\ndata: {version} {number} {run_id} {request_id}\n\n'
    ).encode()


def stream_response(
    framing: Framing, fields: dict[str, str], events: tuple[bytes, ...]
) -> StreamResponse:
    """Return a response with a framing.

    :param fields: headers of the response by name.
    """
    own_fields = {
        Framing.CHUNKS: {'Transfer-Encoding': 'chunked'},
        Framing.LENGTH: {'Content-Length': str(sum(map(len, events)))},
        Framing.CLOSE: {},
    }[framing]
    lines = [
        f'{name}: {value}\r\n'
        for name, value in {**fields, **own_fields}.items()
    ]
    head = ('HTTP/1.1 200 OK\r\n' + ''.join(lines) + '\r\n').encode()
    if framing is not Framing.CHUNKS:
        return StreamResponse(framing, head, events)
    chunks = [b'%x\r\n%b\r\n' % (len(event), event) for event in events]
    return StreamResponse(framing, head, (*chunks, b'0\r\n\r\n'))


def draw_cut(rng: random.Random, response: StreamResponse) -> Cut:
    """Draw where a response breaks off, at any byte.

    A response that ends with its channel is closed inside an event only: a
    close between two events is its end.
    """
    resets = rng.random() < 0.5
    position = rng.randrange(len(response.whole()))
    if response.framing is Framing.CLOSE and not resets:
        borders = {len(response.head)}
        for piece in response.pieces:
            borders.add(max(borders) + len(piece))
        if position in borders:
            position += 1
    return Cut(position, resets)
