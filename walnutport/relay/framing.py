"""Events of an engine's stream: ``id: N`` with data, then ``done``."""

import dataclasses

import msgspec

from walnutport import exceptions

__all__ = ['DoneEvent', 'EVENT_END', 'event_id', 'is_done', 'parse_done']

EVENT_END = b'\n\n'
_ID = b'id: '
_DATA = b'data: '
_DONE = b'event: done\ndata: '
_MAX_ID_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class DoneEvent:
    """Last event of a stream.

    :param output: JSON text of the whole output.
    :param tokens: tokens of the whole stream.
    """

    output: msgspec.Raw
    tokens: int = 0


def is_done(event: bytes) -> bool:
    """Return whether an event is the last one of its stream."""
    return event.startswith(_DONE)


def event_id(event: bytes) -> int:
    """Return the number of an event.

    :raises CodecError: if the event has no number or no data.

    >>> event_id(b'id: 7' + bytes([10]) + b'data: {}' + EVENT_END)
    7
    """
    first, _, rest = event.partition(b'\n')
    number = first[len(_ID) :]
    if (
        not first.startswith(_ID)
        or not number.isdigit()
        or len(number) > _MAX_ID_DIGITS
        or not rest.startswith(_DATA)
    ):
        raise exceptions.CodecError(f'malformed event {event[:40]!r}')
    return int(number)


def parse_done(event: bytes) -> DoneEvent:
    """Return the content of the last event.

    :raises CodecError: if it is malformed.
    """
    try:
        return msgspec.json.decode(event[len(_DONE) :], type=DoneEvent)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.CodecError(f'malformed done event: {error}') from None
