"""Entries of targets as a faulty writer may leave them in the store."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from tests.platform import test_documents
from walnutport import exceptions
from walnutport.peer import fleet_messages
from walnutport.platform import documents
from walnutport.platform import headers
from walnutport.routing import backpressure
from walnutport.world import feeds

KEY = 'llm-1'
DEEP = '[' * 5000 + ']' * 5000
HUGE = '1' + '0' * 400


def entry(**text_by_field: str) -> bytes:
    """Return an entry, with the JSON text of some fields replaced."""
    fields = {
        name: json.dumps(value) for name, value in test_documents.ENTRY.items()
    }
    fields.update(text_by_field)
    return (
        '{'
        + ','.join(f'"{name}":{text}' for name, text in fields.items())
        + '}'
    ).encode('utf-8', 'surrogatepass')


#: An entry of each sort that must name no target.
ODD_ENTRIES = {
    'deep_further_field': entry(more=DEEP),
    'deep_version': entry(version=DEEP),
    'deep_cold_time': entry(coldMs=DEEP),
    'deep_service': entry(service=DEEP),
    'deep_objects': entry(more='{"a":' * 5000 + '1' + '}' * 5000),
    'depth_that_the_parser_may_accept': entry(more='[' * 400 + ']' * 400),
    'deep_without_an_end': b'[' * 100_000,
    'born_of_10^400': entry(born=HUGE),
    'born_of_-10^400': entry(born='-' + HUGE),
    'born_of_2^63': entry(born=str(1 << 63)),
    'born_of_5,000_digits': entry(born='9' * 5000),
    'slots_of_10^400': entry(slots=HUGE),
    'slots_of_2^64': entry(slots=str(1 << 64)),
    'slots_of_a_trillion': entry(slots='1000000000000'),
    'negative_slots': entry(slots='-1'),
    'slots_of_no_whole_number': entry(slots='4.5'),
    'sequence_of_10^400': entry(sequence=HUGE),
    'sequence_of_2^64': entry(sequence=str(1 << 64)),
    'infinite_cold_time': entry(coldMs='1e400'),
    'NaN': entry(coldMs='NaN'),
    'port_of_5,000_digits': entry(address=f'"10.1.0.9:{"9" * 5000}"'),
    'port_with_a_superscript': entry(address='"10.1.0.9:8²"'),
    'port_with_other_digits': entry(address='"10.1.0.9:٣٤"'),
    'port_0': entry(address='"10.1.0.9:0"'),
    'port_65536': entry(address='"10.1.0.9:65536"'),
    'negative_port': entry(address='"10.1.0.9:-1"'),
    'address_with_a_line_break': entry(address='"10.1.0.9\\r\\nX: y:80"'),
    'address_with_NUL': entry(address='"10.1.0.9\\u0000:80"'),
    'address_with_a_zone_and_a_line_break': entry(
        address='"fe80::1%a\\r\\nb:80"'
    ),
    'address_that_is_no_IP_address': entry(address='"10.1.0.9.9:80"'),
    'address_with_a_space': entry(address='"10.1.0.9 :80"'),
    'empty_service': entry(service='""'),
    'service_with_a_line_break': entry(service='"llm\\r\\nX: y"'),
    'service_with_NUL': entry(service='"llm\\u0000"'),
    'long_service': entry(service=f'"{"x" * 5000}"'),
    'service_that_is_a_lone_surrogate': entry(service='"\\ud800"'),
    'zone_with_a_line_break': entry(zone='"a\\n"'),
    'zone_that_is_no_UTF-8': entry(zone='"a"').replace(b'"a"', b'"\xff"'),
    'zone_that_is_an_encoded_surrogate': entry(zone='"\ud800"'),
    'large': entry(more=f'"{"x" * 200_000}"'),
    'many_keys': json.dumps(
        test_documents.ENTRY | {str(number): 0 for number in range(50_000)}
    ).encode(),
    'boolean_slots': entry(slots='true'),
    'second_value_of_another_type': entry(more='1').replace(
        b'"more":1', b'"slots":"x"'
    ),
    'UTF-16': json.dumps(test_documents.ENTRY).encode('utf-16'),
    'compressed': b'\x1f\x8b\x08\x00' + b'\x00' * 40,
    'empty': b'',
    'null': b'null',
    'list': b'[]',
}


@pytest.mark.parametrize('name', sorted(ODD_ENTRIES))
def test_odd_entry_names_no_target(name):
    """Guards against an entry that ends whoever reads the list."""
    with pytest.raises(exceptions.WireError) as caught:
        documents.decode_target(KEY, ODD_ENTRIES[name])
    # Each is logged.
    assert len(str(caught.value)) < 500


@pytest.mark.parametrize(
    'key',
    [
        pytest.param('', id='empty'),
        pytest.param('a\r\nX: y', id='line_break'),
        pytest.param('a\0', id='NUL'),
        pytest.param(' a', id='space'),
        pytest.param('a\N{REPLACEMENT CHARACTER}', id='unreadable'),
        pytest.param('a' * 300, id='long'),
        pytest.param('\ud800', id='surrogate'),
    ],
)
def test_key_that_no_header_can_hold_names_no_target(key):
    """Guards against an id that adds lines to the requests to its target."""
    with pytest.raises(exceptions.WireError):
        documents.decode_target(key, entry())


@pytest.mark.parametrize(
    'text', ['"' + 'v' * 5000 + '"', '7', '[]', 'true', '[[[]]]']
)
def test_version_that_cannot_be_compared_is_that_of_one_run(text):
    """Guards against versions that fill the records of origins."""
    found = documents.decode_target(KEY, entry(version=text))
    assert found.software_version == f'invalid/{KEY}/{found.incarnation}'


def test_desired_state_is_bounded():
    """Guards against a desired state that no heartbeat can name."""
    text = json.dumps(test_documents.CONFIG)
    documents.decode_desired_state(text.encode())
    for old, new in (
        ('"somethingNew": true', f'"somethingNew": {DEEP}'),
        ('"version": 7', f'"version": {HUGE}'),
        ('"version": 7', '"version": 18446744073709551616'),
        ('"version": 7', '"version": -1'),
        ('"bytes": 8000', '"bytes": 1e308'),
        ('"timeoutMs": 5000', '"timeoutMs": 1e308'),
        ('"maxAttempts": 2', f'"maxAttempts": {HUGE}'),
        ('"name": "north"', '"name": "north\\r\\nx: y"'),
    ):
        assert old in text
        with pytest.raises(exceptions.WireError):
            documents.decode_desired_state(text.replace(old, new).encode())


@pytest.mark.parametrize('predecessor', [-1, 0, 1, 5])
def test_stage_after_one_that_is_not_there_is_rejected(predecessor):
    """Guards against a route whose every request is an internal error."""
    text = json.dumps(test_documents.CONFIG)
    odd = text.replace('"after": []', f'"after": [{predecessor}]')
    assert odd != text
    with pytest.raises(exceptions.WireError):
        documents.decode_desired_state(odd.encode())


def test_evacuation_is_bounded():
    """Guards against hosts that disagree about a nested evacuation."""
    for depth in (40, 400, 100_000):
        data = b'{"a":' + b'[' * depth + b']' * depth + b'}'
        with pytest.raises(exceptions.WireError):
            documents.decode_evacuation('b', data, ('b',))


_LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from(
        [1 << 62, 1 << 63, (1 << 64) - 1, 1 << 64, 10**400, -(10**400), 0, -1]
    )
    | st.floats()
    | st.text(st.characters(), max_size=8)
    | st.sampled_from(
        [
            'ready',
            'draining',
            '10.0.0.1:80',
            '10.0.0.1:²',
            '[::1]:80',
            '::1:80',
            'x:1',
            '10.0.0.1:' + '9' * 5000,
            'a\r\nb',
            'x' * 70_000,
            '\ud800',
        ]
    )
)
_VALUES = st.recursive(
    _LEAVES,
    lambda items: (
        st.lists(items, max_size=3)
        | st.dictionaries(st.text(max_size=4), items, max_size=3)
    ),
    max_leaves=8,
)
_ENTRIES = st.dictionaries(
    st.sampled_from([*test_documents.ENTRY, 'version', 'more']),
    _LEAVES | _VALUES,
    max_size=2,
).map(lambda changes: test_documents.ENTRY | changes)


def _check_decoded(key: str, data: bytes) -> None:
    """Check that every field of a target can go wherever it may be sent."""
    try:
        target = documents.decode_target(key, data)
    except exceptions.WireError:
        return
    host, port = target.address
    fields = headers.forwarded_request_headers(
        [], target_id=target.target_id, team=None, remaining_s=1.0
    ) + [(b'host', f'{host}:{port}'.encode())]
    for _, value in fields:
        assert not set(b'\r\n\0') & set(value)
    assert 0 < port < 65536
    for message in (
        fleet_messages.SendPermitRequest(
            target.target_id, target.incarnation, 1
        ),
        fleet_messages.TargetReports(
            (
                backpressure.TargetReport(
                    target.target_id, target.incarnation, 1.0, False, 0.0
                ),
            )
        ),
        fleet_messages.StreamsBegun(
            'route', target.service, target.software_version, ('id',)
        ),
        fleet_messages.TargetUpdate(
            (feeds.FeedRecord(key, data, target.sequence),), 0, 1, 1, 0.0
        ),
    ):
        if isinstance(message, fleet_messages.TargetReports):
            assert fleet_messages.encode(message)
            continue
        found = fleet_messages.decode(fleet_messages.encode(message))
        assert found == message
    json.dumps(str(target)).encode()


@hypothesis.settings(max_examples=1500)
@hypothesis.given(_ENTRIES | _VALUES)
def test_any_value_is_a_target_for_peers_or_rejected(value):
    """Guards against a field that fails where it is sent."""
    for escapes in (True, False):
        _check_decoded(
            KEY,
            json.dumps(value, ensure_ascii=escapes).encode(
                'utf-8', 'surrogatepass'
            ),
        )


@hypothesis.settings(max_examples=500)
@hypothesis.given(
    st.binary(max_size=80) | st.integers(0, 120_000).map(lambda n: b'[' * n),
    st.text(max_size=8),
)
def test_any_bytes_are_a_target_for_peers_or_rejected(data, key):
    """Guards against an error that nobody expects of the decoder."""
    _check_decoded(key, data)
    _check_decoded(key, entry())
    for decode in (
        documents.decode_desired_state,
        lambda value: documents.decode_evacuation('b', value, ('b',)),
    ):
        try:
            decode(data)
        except exceptions.WireError:
            continue
