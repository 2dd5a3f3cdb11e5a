"""Bytes that hosts of the last landing send, and what they read of ours."""

import json
import pathlib

import msgspec
import pytest

from walnutport.peer import fleet_messages

DATA = pathlib.Path(__file__).parent / 'data' / '3e22dd2.json'
GOLDEN = json.loads(DATA.read_text())


def assert_contains(value: object, expected: object) -> None:
    """Assert that a value is the expected one, but for further fields."""
    if isinstance(expected, dict):
        assert isinstance(value, dict)
        for name, part in expected.items():
            assert name in value, name
            assert_contains(value[name], part)
    elif isinstance(expected, list):
        assert isinstance(value, list)
        assert len(value) == len(expected)
        for part, expected_part in zip(value, expected, strict=True):
            assert_contains(part, expected_part)
    else:
        assert value == expected
        assert type(value) is type(expected)


@pytest.mark.parametrize('name', GOLDEN)
def test_message_of_the_last_landing_is_understood(name):
    """Guards against a build that breaks links to hosts of the last one.

    A field that the old message lacks takes the meaning that it had.
    """
    golden = GOLDEN[name]
    message = fleet_messages.decode(bytes.fromhex(golden['bytes']))
    fields = json.loads(msgspec.json.encode(message))
    assert_contains(fields, golden['fields'])


@pytest.mark.parametrize('name', GOLDEN)
def test_message_keeps_the_fields_that_the_last_landing_reads(name):
    """Guards against a renamed, removed or retyped field.

    Hosts of the last landing ignore fields that they do not know.
    """
    golden = GOLDEN[name]
    data = bytes.fromhex(golden['bytes'])
    sent = fleet_messages.encode(fleet_messages.decode(data))
    assert_contains(
        msgspec.to_builtins(msgspec.msgpack.decode(sent)),
        msgspec.to_builtins(msgspec.msgpack.decode(data)),
    )


def test_each_kind_of_the_last_landing_needs_no_capability():
    """Guards against old messages that are withheld from old hosts."""
    for name in GOLDEN:
        data = bytes.fromhex(GOLDEN[name]['bytes'])
        message = fleet_messages.decode(data)
        assert fleet_messages.required_capability(message) is None


def test_host_record_of_the_last_landing_is_read_from_the_store():
    """Guards against a host that does not know hosts of the last build."""
    fields = GOLDEN['hello/full']['fields']['host']
    record = fleet_messages.decode_host(json.dumps(fields).encode())
    assert record.name == fields['name']
    assert record.capabilities == ()
