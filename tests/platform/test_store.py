"""Tests of decoding the records of the platform's store."""

import struct

import pytest

from walnutport import exceptions
from walnutport.platform import store


def encode_record(key: bytes, value: bytes) -> bytes:
    """Encode a keyed record as the store sends it."""
    content = bytes((len(key),)) + key + value
    return struct.pack('>I', len(content)) + content


def test_records_are_decoded_with_their_offsets():
    """Guards against offsets that are too low for their records."""
    data = (
        struct.pack('>QQ', 9, 0)
        + encode_record(b'a', b'1')
        + encode_record(b'b', b'')
    )
    page = store._decode_records(data, 5)
    assert page.end == 7
    assert [(found.key, found.value) for found in page.records] == [
        ('a', b'1'),
        ('b', None),
    ]
    assert page.records[1].offset == 6


def test_truncated_record_is_left_for_the_next_read():
    """Guards against skipping a record that is cut off at the end."""
    data = struct.pack('>QQ', 9, 0) + encode_record(b'a', b'1')
    page = store._decode_records(data + encode_record(b'b', b'2')[:-1], 5)
    assert page.end == 6


def test_record_without_a_valid_key_is_skipped():
    """Guards against a malformed record that blocks those after it."""
    data = (
        struct.pack('>QQ', 9, 0)
        + struct.pack('>I', 0)
        + struct.pack('>I', 2)
        + b'\x09x'
        + encode_record(b'a', b'1')
    )
    page = store._decode_records(data, 0)
    assert page.end == 3
    assert [found.offset for found in page.records] == [2]


def test_too_short_response_counts_as_unavailable():
    """Guards against taking an empty response for a page of records."""
    with pytest.raises(exceptions.LogUnavailable):
        store._decode_records(b'', 0)
