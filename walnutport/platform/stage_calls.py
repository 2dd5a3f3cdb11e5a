"""Encodes calls to stage targets and decodes their responses."""

from typing import Annotated

import msgspec

from walnutport import exceptions
from walnutport.http1 import messages
from walnutport import json_input
from walnutport.platform import wire
from walnutport.stages import pieces

__all__ = ['decode_outcomes', 'encode_free', 'encode_run']

# Handles of results are shorter. They are sent in a header, with commas
# between them.
MAX_HANDLE_CHARACTERS = 1024
MAX_RESPONSE_BYTES = 4 << 20
_JSON_HEADER = (b'content-type', b'application/json')


class _Item(msgspec.Struct, rename='camel', omit_defaults=True):
    id: str
    stage: int
    piece: int = msgspec.field()
    remaining_ms: int = msgspec.field()
    key: str | None = None
    inputs: list[str] | None = None


class _Items(msgspec.Struct):
    items: list[_Item]


_Handle = Annotated[
    str,
    msgspec.Meta(
        max_length=MAX_HANDLE_CHARACTERS,
        pattern=r'\A[^\x00-\x1f,\x7f]*\Z',
    ),
]


class _Outcome(msgspec.Struct):
    handle: _Handle | None = None
    reason: str | None = None


class _Outcomes(msgspec.Struct):
    items: list[_Outcome]


class _Handles(msgspec.Struct):
    handles: list[str]


_OUTCOMES_DECODER = json_input.Decoder(_Outcomes, MAX_RESPONSE_BYTES)
_FAILURE_BY_REASON = {
    'late': pieces.PieceFailure.LATE,
    'gone': pieces.PieceFailure.INPUT_GONE,
    'room': pieces.PieceFailure.NO_ROOM,
    'error': pieces.PieceFailure.ERROR,
}


def encode_run(
    address: tuple[str, int],
    target_id: str,
    work: list[pieces.PieceRequest],
) -> bytes:
    """Encode the call that runs pieces at a target."""
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
    """Encode the call that frees stored results at a target."""
    return _encode(wire.STAGE_FREE_PATH, address, target_id, _Handles(handles))


def decode_outcomes(
    body: bytes, expected: int
) -> list[str | pieces.PieceFailure]:
    """Return a handle or a failure for each piece of a call.

    :raises WireError: if the response is malformed or its length is wrong.
    """
    try:
        items = _OUTCOMES_DECODER.decode(body).items
    except exceptions.WireError as problem:
        raise exceptions.WireError(f'stage response: {problem}') from problem
    if len(items) != expected:
        raise exceptions.WireError(
            f'stage response: {len(items)} outcomes for {expected} pieces'
        )
    outcomes: list[str | pieces.PieceFailure] = []
    for item in items:
        if item.handle:
            outcomes.append(item.handle)
        else:
            outcomes.append(
                _FAILURE_BY_REASON.get(
                    item.reason or '', pieces.PieceFailure.ERROR
                )
            )
    return outcomes


def _encode(
    path: bytes,
    address: tuple[str, int],
    target_id: str,
    body: msgspec.Struct,
) -> bytes:
    headers = [
        (b'host', b'%s:%d' % (address[0].encode(), address[1])),
        _JSON_HEADER,
        (wire.EXPECT_INSTANCE, target_id.encode()),
    ]
    return messages.encode_request(
        b'POST', path, headers, msgspec.json.encode(body)
    )
