"""Encoding of the records that the store accepts and returns."""

from collections.abc import Iterable
import dataclasses
import struct

from walnutport import exceptions

__all__ = ['RecordPage', 'decode_page', 'encode_records']

_HEADER = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """Consecutive records that one read returned.

    :param end: offset after the last record of the partition.
    :param first: offset of the first record that the store still holds.
    :param contents: the complete records, from the requested offset on.
    """

    end: int
    first: int
    contents: tuple[bytes, ...]


def encode_records(contents: Iterable[bytes]) -> bytes:
    """Return the body of an append."""
    return b''.join(
        _LENGTH.pack(len(content)) + content for content in contents
    )


def decode_page(data: bytes) -> RecordPage:
    """Decode the response to a read.

    A record that is cut off at the end is left out.

    :raises LogUnavailable: if there is no header.
    """
    if len(data) < _HEADER.size:
        raise exceptions.LogUnavailable(
            f'read returned fewer than the {_HEADER.size} bytes of the page '
            'header'
        )
    end, first = _HEADER.unpack_from(data)
    position = _HEADER.size
    contents = []
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + length]
        if len(content) < length:
            break
        position += length
        contents.append(content)
    return RecordPage(end, first, tuple(contents))
