"""Parses the events of an engine's stream.

Each event has the lines ``id: N`` and ``data: ...``, where N counts from 0;
the last one has the lines ``event: done`` and ``data: ...``.
"""

import dataclasses

import msgspec

from walnutport import exceptions

__all__ = ['DoneEvent', 'EVENT_END', 'event_id', 'is_done', 'parse_done']

EVENT_END = b'\n\n'
_ID_PREFIX = b'id: '
_DATA_PREFIX = b'data: '
_DONE_PREFIX = b'event: done\ndata: '
_MAX_ID_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class DoneEvent:
    """Last event of a stream.

    :param output: JSON text of the whole output.
    :param tokens: number of tokens in the whole stream.
    """

    output: msgspec.Raw
    tokens: int = 0


def is_done(event: bytes) -> bool:
    """Return whether an event is the ``done`` event of its stream."""
    return event.startswith(_DONE_PREFIX)


def event_id(event: bytes) -> int:
    """Return the number in the ``id`` line of an event.

    :raises CodecError: if the event has no valid number or no data.

    >>> event_id(b'id: 7' + bytes([10]) + b'data: {}' + EVENT_END)
    7
    """
    id_line, _, rest = event.partition(b'\n')
    number = id_line[len(_ID_PREFIX) :]
    if (
        not id_line.startswith(_ID_PREFIX)
        or not number.isdigit()
        or len(number) > _MAX_ID_DIGITS
        or not rest.startswith(_DATA_PREFIX)
    ):
        raise exceptions.CodecError(f'malformed event {event[:40]!r}')
    return int(number)


def parse_done(event: bytes) -> DoneEvent:
    """Return the content of a ``done`` event.

    :raises CodecError: if it is malformed.
    """
    try:
        return msgspec.json.decode(event[len(_DONE_PREFIX) :], type=DoneEvent)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.CodecError(f'malformed done event: {error}') from None
