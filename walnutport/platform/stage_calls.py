"""Formats of the calls to stage targets."""

import msgspec

from walnutport import exceptions
from walnutport.http1 import messages
from walnutport.platform import wire
from walnutport.stages import pieces

__all__ = ['decode_outcomes', 'encode_free', 'encode_run']

_JSON = (b'content-type', b'application/json')


class _Item(msgspec.Struct, rename='camel', omit_defaults=True):
    id: str
    stage: int
    piece: int = msgspec.field()
    remaining_ms: int = msgspec.field()
    key: str | None = None
    inputs: list[str] | None = None


class _Items(msgspec.Struct):
    items: list[_Item]


class _Outcome(msgspec.Struct):
    handle: str | None = None
    reason: str | None = None


class _Outcomes(msgspec.Struct):
    items: list[_Outcome]


class _Handles(msgspec.Struct):
    handles: list[str]


_OUTCOMES = msgspec.json.Decoder(_Outcomes)
_REASONS = {
    'late': pieces.PieceFailure.LATE,
    'gone': pieces.PieceFailure.INPUT_GONE,
    'room': pieces.PieceFailure.NO_ROOM,
    'error': pieces.PieceFailure.ERROR,
}


def encode_run(
    address: tuple[str, int],
    target_id: str,
    work: list[pieces.PieceWork],
) -> bytes:
    """Return the call that runs pieces at a target."""
    items = [
        _Item(
            item.request_id,
            item.stage,
            item.piece,
            max(1, int(item.remaining_s * 1000)),
            None if item.inputs is not None else item.key,
            None if item.inputs is None else list(item.inputs),
        )
        for item in work
    ]
    return _encode(wire.STAGE_RUN_PATH, address, target_id, _Items(items))


def encode_free(
    address: tuple[str, int], target_id: str, handles: list[str]
) -> bytes:
    """Return the call that gives results up."""
    return _encode(wire.STAGE_FREE_PATH, address, target_id, _Handles(handles))


def decode_outcomes(
    body: bytes, expected: int
) -> list[str | pieces.PieceFailure]:
    """Return a handle or a failure for each piece of a call.

    :raises WireError: when the answer is not of that form.
    """
    try:
        items = _OUTCOMES.decode(body).items
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise exceptions.WireError(f'stage answer: {problem}') from problem
    if len(items) != expected:
        raise exceptions.WireError(
            f'stage answer: {len(items)} outcomes for {expected} pieces'
        )
    found: list[str | pieces.PieceFailure] = []
    for item in items:
        if item.handle:
            found.append(item.handle)
        else:
            found.append(
                _REASONS.get(item.reason or '', pieces.PieceFailure.ERROR)
            )
    return found


def _encode(
    path: bytes,
    address: tuple[str, int],
    target_id: str,
    body: msgspec.Struct,
) -> bytes:
    headers = [
        (b'host', b'%s:%d' % (address[0].encode(), address[1])),
        _JSON,
        (wire.EXPECT_INSTANCE, target_id.encode()),
    ]
    return messages.encode_request(
        b'POST', path, headers, msgspec.json.encode(body)
    )
