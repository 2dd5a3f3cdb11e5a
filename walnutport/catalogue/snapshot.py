"""Snapshots of the catalogue: all entries up to a base offset.

A snapshot is a record of the catalogue stream; a host also sends one to a
peer that cannot read the log. It includes tombstones, so that a merge never
restores a deleted entry.
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
    'decode_base',
    'decode_snapshot',
    'encode_snapshot',
    'is_snapshot',
    'join_parts',
    'snapshot_due_age_s',
    'split_parts',
]

_MAGIC = b'walnutport-snapshot-1\n'
_MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
_PART_BYTES = 48 * 1024
_MAX_OFFSET_DIGITS = 18
_COMPRESSION_LEVEL = 6
# Fractions of the retention of the log: the lowest age at which a snapshot is
# due, and the range above it in which the ages of the hosts differ.
_DUE_SHARE = 0.5
_DUE_SPREAD_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Entries and tombstones after every record below ``base_offset``."""

    base_offset: int
    entries: tuple[fold.Entry, ...]


def is_snapshot(payload: bytes) -> bool:
    """Return whether a record of the stream is a snapshot."""
    return payload.startswith(_MAGIC)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot for the log or for a peer.

    The base offset and a digest precede the compressed entries, so that a
    host that needs only the base does not decode thousands of entries.
    """
    body = zlib.compress(
        msgspec.json.encode(snapshot.entries), _COMPRESSION_LEVEL
    )
    return b'%b%d %b\n%b' % (
        _MAGIC,
        snapshot.base_offset,
        _digest(body),
        body,
    )


def decode_base(payload: bytes) -> int:
    """Check the digest of a snapshot and return its base offset.

    :raises CodecError: if the payload is not an intact snapshot.
    """
    return _split_head(payload)[0]


def decode_snapshot(payload: bytes) -> Snapshot:
    """Decode a snapshot and check every entry.

    :raises CodecError: if the payload is not a valid snapshot.
    """
    base_offset, body = _split_head(payload)
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(body, _MAX_DECOMPRESSED_BYTES)
        if not unpacker.eof:
            raise exceptions.CodecError('snapshot is truncated or too large')
        entries = msgspec.json.decode(text, type=tuple[fold.Entry, ...])
    except (
        zlib.error,
        msgspec.MsgspecError,
        ValueError,
        RecursionError,
    ) as error:
        raise exceptions.CodecError(f'malformed snapshot: {error}') from None
    found = Snapshot(base_offset, entries)
    _validate(found)
    return found


def split_parts(payload: bytes) -> tuple[bytes, ...]:
    """Split a snapshot into parts that each fit into one message."""
    return tuple(
        payload[start : start + _PART_BYTES]
        for start in range(0, len(payload), _PART_BYTES)
    )


def join_parts(parts: Sequence[bytes]) -> bytes:
    """Join the parts that ``split_parts`` returned."""
    return b''.join(parts)


def snapshot_due_age_s(
    host_id: str, oldest_ms: int, retention_s: float
) -> float:
    """Return the age of the oldest needed record at which to write a snapshot.

    The ages of the hosts differ, so that one host writes first and the others
    read its snapshot before they reach their own age.

    :param oldest_ms: Unix time in ms of that record; it varies the order of
        the hosts.
    :param retention_s: time for which the log retains a record.
    """
    digest = hashlib.blake2b(
        f'{host_id}/{oldest_ms}'.encode(), digest_size=4
    ).digest()
    spread = int.from_bytes(digest, 'big') / (1 << 32)
    return retention_s * (_DUE_SHARE + _DUE_SPREAD_SHARE * spread)


def _split_head(payload: bytes) -> tuple[int, bytes]:
    if not is_snapshot(payload):
        raise exceptions.CodecError('not a snapshot')
    head, _, body = payload[len(_MAGIC) :].partition(b'\n')
    base, _, digest = head.partition(b' ')
    if not base.isdigit() or len(base) > _MAX_OFFSET_DIGITS:
        raise exceptions.CodecError('snapshot has no valid base offset')
    if digest != _digest(body):
        raise exceptions.CodecError('snapshot does not match its digest')
    return int(base), body


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=16).hexdigest().encode()


def _validate(snapshot: Snapshot) -> None:
    keys = {(entry.kind, entry.name) for entry in snapshot.entries}
    if len(keys) != len(snapshot.entries):
        raise exceptions.CodecError('snapshot holds an entry twice')
    for entry in snapshot.entries:
        if entry.version <= 0:
            raise exceptions.CodecError(
                f'entry {entry.name!r} has a version below 1'
            )
        if not entry.is_tombstone:
            try:
                records.parse_definition(entry.kind, entry.body)
            except exceptions.CatalogueError as error:
                raise exceptions.CodecError(
                    f'entry {entry.name!r}: {error}'
                ) from None
