"""Messages and records of hosts that no host of this build writes."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from walnutport import exceptions
from walnutport.peer import codec
from walnutport.peer import fleet_messages
from walnutport.peer import messages

RECORD = fleet_messages.HostRecord(
    'edge-1', 'i', '10.0.0.1', 7001, 'a', 1.0, 2, 7002, ('evacuations',)
)
BEGUN = fleet_messages.StreamsBegun('r', 's', 'v', ('id',))
JSON_DEEP = b'[' * 5000 + b']' * 5000
# Arrays of one element each.
PACKED_DEEP = b'\x91' * 5000 + b'\x90'


def with_field(data: bytes, name: bytes, value: bytes) -> bytes:
    """Return a JSON object with a further field, which counts."""
    return data[:-1] + b',"%b":%b}' % (name, value)


@pytest.mark.parametrize(
    'name, value',
    [
        pytest.param(b'more', JSON_DEEP, id='deep'),
        pytest.param(b'port', b'1' + b'0' * 400, id='port_of_10^400'),
        pytest.param(b'port', b'65536', id='port_65536'),
        pytest.param(b'port', b'0', id='port_0'),
        pytest.param(b'relay_port', b'65536', id='relay_port'),
        pytest.param(b'era', b'18446744073709551616', id='era'),
        pytest.param(b'era', b'-1', id='negative_era'),
        pytest.param(b'work_share', b'-1.0', id='negative_share'),
        pytest.param(b'work_share', b'1e300', id='share'),
        pytest.param(b'ip', b'"a\\r\\nb"', id='line_break_in_the_address'),
        pytest.param(b'name', b'""', id='no_name'),
        pytest.param(b'name', b'"a\\u0000"', id='NUL_in_the_name'),
        pytest.param(b'name', b'"' + b'x' * 70_000 + b'"', id='long_name'),
    ],
)
def test_odd_record_of_a_host_is_an_error_of_the_codec(name, value):
    """Guards against a record in the store that ends whoever reads it.

    What is taken goes to other hosts, and into a dial.
    """
    data = fleet_messages.encode_host(RECORD)
    assert fleet_messages.decode_host(data) == RECORD
    with pytest.raises(exceptions.CodecError):
        fleet_messages.decode_host(with_field(data, name, value))


def test_deep_record_of_streams_is_an_error_of_the_codec():
    """Guards against a record in the log that hides those after it."""
    data = fleet_messages.encode_begun(BEGUN)
    assert fleet_messages.decode_begun(data) == BEGUN
    with pytest.raises(exceptions.CodecError):
        fleet_messages.decode_begun(with_field(data, b'more', JSON_DEEP))


@pytest.mark.parametrize(
    'data',
    [
        pytest.param(
            b'\x82\xa4type\xa3ask\xa1x' + PACKED_DEEP, id='known_kind'
        ),
        pytest.param(
            b'\x82\xa1x' + PACKED_DEEP + b'\xa4type\xa3new', id='new_kind'
        ),
        pytest.param(b'\x91' * 100_000, id='without_an_end'),
    ],
)
def test_deep_message_is_an_error_of_the_codec(data):
    """Guards against a message of a peer that ends the receiver's loop."""
    with pytest.raises(exceptions.CodecError):
        fleet_messages.decode(data)


@pytest.mark.parametrize(
    'field, value',
    [
        ('interval_s', float('nan')),
        ('interval_s', float('inf')),
        ('interval_s', 0.0),
        ('store_age_s', float('nan')),
        ('store_age_s', -1.0),
        ('targets_end', -1),
        ('desired_version', (1 << 64) - 1),
    ],
)
def test_odd_heartbeat_is_an_error_of_the_codec(field, value):
    """Guards against a peer that is never silent, or that is always ahead."""
    message = fleet_messages.Heartbeat(1, 1, 1, 0.5, True, False)
    odd = msgspec.structs.replace(message, **{field: value})
    data = fleet_messages.encode(message)
    assert fleet_messages.decode(data) == message
    with pytest.raises(exceptions.CodecError):
        fleet_messages.decode(msgspec.msgpack.encode(odd))


@pytest.mark.parametrize(
    'message',
    [
        pytest.param(
            fleet_messages.SendPermitRequest('t', 10**400, 1), id='10^400'
        ),
        pytest.param(
            fleet_messages.SendPermitRequest('t', 1 << 64, 1), id='2^64'
        ),
        pytest.param(fleet_messages.ClaimQuery('\ud800'), id='surrogate'),
    ],
)
def test_message_that_cannot_be_encoded_is_an_error_of_peers(message):
    """Guards against an error that nobody expects of the encoder."""
    with pytest.raises(exceptions.PeerError):
        fleet_messages.encode(message)


@pytest.mark.parametrize('digest', [1 << 64, '\ud800'])
def test_signed_message_that_cannot_be_encoded_is_an_error_of_peers(digest):
    """Guards against an error that nobody expects of the encoder."""
    sender = codec.Codec(codec.Keyring('k', {'k': b'k' * 16}))
    with pytest.raises(exceptions.PeerError):
        sender.encode(
            messages.PeerOrigin('h', 1),
            1,
            messages.StateRequest(str(digest), digest),
        )


@hypothesis.given(
    st.binary(max_size=80) | st.integers(0, 90_000).map(lambda n: b'\x91' * n)
)
def test_any_bytes_are_decoded_or_an_error_of_the_codec(data):
    """Guards against an error that nobody expects of a decoder."""
    for decode in (
        fleet_messages.decode,
        fleet_messages.decode_host,
        fleet_messages.decode_begun,
    ):
        try:
            decode(data)
        except exceptions.CodecError:
            continue
