"""Snapshots of the catalogue: all entries up to a base offset.

A snapshot is a record of the catalogue stream and also what a host sends to
a peer that cannot read the log. It holds tombstones too, so that a merge
never brings back a deleted entry.
"""

from collections.abc import Sequence
import dataclasses
import hashlib
import zlib

import msgspec

from walnutport.catalogue import fold
from walnutport.catalogue import records
from walnutport import exceptions

__all__ = [
    'Snapshot',
    'decode_snapshot',
    'encode_snapshot',
    'is_snapshot',
    'join_parts',
    'rewrite_age_s',
    'split_parts',
]

_MAGIC = b'walnutport-snapshot-1\n'
_MAX_BYTES = 64 * 1024 * 1024
_PART_BYTES = 48 * 1024
_REWRITE_SHARE = 0.5
_SPREAD_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Entries and tombstones after every record below ``base_offset``."""

    base_offset: int
    entries: tuple[fold.Entry, ...]


def is_snapshot(payload: bytes) -> bool:
    """Return whether a record of the stream is a snapshot."""
    return payload.startswith(_MAGIC)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot for the log or for a peer."""
    return _MAGIC + zlib.compress(msgspec.json.encode(snapshot))


def decode_snapshot(payload: bytes) -> Snapshot:
    """Decode a snapshot and check every entry.

    :raises CodecError: if the payload is not a snapshot that can be used.
    """
    if not is_snapshot(payload):
        raise exceptions.CodecError('not a snapshot')
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(payload[len(_MAGIC) :], _MAX_BYTES)
        if not unpacker.eof:
            raise exceptions.CodecError('snapshot is cut off or too large')
        snapshot = msgspec.json.decode(text, type=Snapshot)
    except (
        zlib.error,
        msgspec.MsgspecError,
        ValueError,
        RecursionError,
    ) as error:
        raise exceptions.CodecError(f'snapshot: {error}') from None
    _check(snapshot)
    return snapshot


def split_parts(payload: bytes) -> tuple[bytes, ...]:
    """Cut a snapshot into parts that fit into a message each."""
    return tuple(
        payload[start : start + _PART_BYTES]
        for start in range(0, len(payload), _PART_BYTES)
    )


def join_parts(parts: Sequence[bytes]) -> bytes:
    """Undo ``split_parts``."""
    return b''.join(parts)


def rewrite_age_s(host_id: str, oldest_ms: int, retention_s: float) -> float:
    """Return the age of the oldest needed record to write a snapshot at.

    The ages of the hosts are spread, so that the first one writes and the
    others read its snapshot before their turn comes.

    :param oldest_ms: time of that record, which changes the order of turns.
    """
    digest = hashlib.blake2b(
        f'{host_id}/{oldest_ms}'.encode(), digest_size=4
    ).digest()
    turn = int.from_bytes(digest, 'big') / (1 << 32)
    return retention_s * (_REWRITE_SHARE + _SPREAD_SHARE * turn)


def _check(snapshot: Snapshot) -> None:
    keys = {(entry.kind, entry.name) for entry in snapshot.entries}
    if len(keys) != len(snapshot.entries) or snapshot.base_offset < 0:
        raise exceptions.CodecError('snapshot is inconsistent')
    for entry in snapshot.entries:
        if entry.version <= 0:
            raise exceptions.CodecError(f'version of {entry.name!r}')
        if not entry.is_tombstone:
            try:
                records.parse_definition(entry.kind, entry.body)
            except exceptions.CatalogueError as error:
                raise exceptions.CodecError(
                    f'entry {entry.name!r}: {error}'
                ) from None
