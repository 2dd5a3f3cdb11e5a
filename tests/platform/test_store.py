"""Tests of the formats of the store."""

import struct

import pytest

from walnutport import exceptions
from walnutport.platform import store


def record(key: bytes, value: bytes) -> bytes:
    """Return a keyed record as the store sends it."""
    content = bytes((len(key),)) + key + value
    return struct.pack('>I', len(content)) + content


def test_records_are_decoded_with_their_offsets():
    """Guards against news that are taken for older than they are."""
    data = struct.pack('>QQ', 9, 0) + record(b'a', b'1') + record(b'b', b'')
    page = store._decode_records(data, 5)
    assert page.end == 7
    assert [(found.key, found.value) for found in page.records] == [
        ('a', b'1'),
        ('b', None),
    ]
    assert page.records[1].offset == 6


def test_torn_record_is_read_again_later():
    """Guards against a record that is lost at the end of an answer."""
    data = struct.pack('>QQ', 9, 0) + record(b'a', b'1')
    page = store._decode_records(data + record(b'b', b'2')[:-1], 5)
    assert page.end == 6


def test_foreign_bytes_take_their_offset_only():
    """Guards against a record without a key that stops all news."""
    data = (
        struct.pack('>QQ', 9, 0)
        + struct.pack('>I', 0)
        + struct.pack('>I', 2)
        + b'\x09x'
        + record(b'a', b'1')
    )
    page = store._decode_records(data, 0)
    assert page.end == 3
    assert [found.offset for found in page.records] == [2]


def test_short_answer_is_an_outage():
    """Guards against an empty answer that counts as news."""
    with pytest.raises(exceptions.LogUnavailable):
        store._decode_records(b'', 0)
