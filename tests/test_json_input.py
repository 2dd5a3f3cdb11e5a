"""Tests of decoding JSON of other writers within bounds."""

import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from walnutport import exceptions
from walnutport import json_input

_DEEP = b'[' * 5000 + b']' * 5000


class Sample(msgspec.Struct):
    """Value with a field of each bounded type."""

    number: json_input.Integer = 0
    position: json_input.Position = 0
    amount: json_input.Amount = 0.0
    name: json_input.Name = 'a'
    text: json_input.Text = ''


DECODER = json_input.Decoder(Sample, 1000)


@pytest.mark.parametrize(
    'data',
    [
        pytest.param(b'[]', id='other_type'),
        pytest.param(b'', id='nothing'),
        pytest.param(b'\xff{}', id='no_text'),
        pytest.param(b'{"text":"\xff"}', id='not_UTF-8'),
        pytest.param(b'{"text":"\\ud800"}', id='lone_surrogate'),
        pytest.param(b'{"text":"' + b'x' * 1000 + b'"}', id='large'),
        pytest.param(b'{"text":"' + b'x' * 300 + b'"}', id='long'),
        pytest.param(b'{"text":"a\\u0000"}', id='NUL'),
        pytest.param(b'{"name":"a\\r\\nb: c"}', id='line_break'),
        pytest.param(b'{"name":""}', id='empty_name'),
        pytest.param(b'{"name":"a\\n"}', id='line_break_at_the_end'),
        pytest.param(b'{"number":9223372036854775808}', id='64_bits'),
        pytest.param(b'{"number":1' + b'0' * 400 + b'}', id='10^400'),
        pytest.param(b'{"number":-1' + b'0' * 400 + b'}', id='-10^400'),
        pytest.param(b'{"number":1' + b'0' * 900 + b'}', id='10^900'),
        pytest.param(b'{"number":true}', id='boolean'),
        pytest.param(b'{"number":1.5}', id='fraction'),
        pytest.param(b'{"position":-1}', id='negative'),
        pytest.param(b'{"amount":1e400}', id='infinite'),
        pytest.param(b'{"amount":1e300}', id='amount'),
        pytest.param(b'{"amount":NaN}', id='NaN'),
        pytest.param(
            b'{"more":' + b'[' * 40 + b']' * 40 + b'}', id='40_levels'
        ),
    ],
)
def test_what_later_steps_cannot_hold_is_rejected(data):
    """Guards against values that fail only where they are used."""
    with pytest.raises(exceptions.WireError) as caught:
        DECODER.decode(data)
    assert len(str(caught.value)) <= json_input.MAX_PROBLEM_CHARACTERS


def test_deep_nesting_is_an_error_of_the_wire():
    """Guards against a RecursionError that ends whoever reads."""
    decoder = json_input.Decoder(Sample, 1 << 20)
    for data in (_DEEP, b'{"a":' + _DEEP + b'}', b'[' * 100_000):
        with pytest.raises(exceptions.WireError):
            decoder.decode(data)


def test_brackets_in_texts_are_not_nesting():
    """Guards against rejecting a text for the characters in it."""
    text = '[{"\\' * 50
    assert DECODER.decode(json.dumps({'text': text}).encode()).text == text
    siblings = json.dumps({'more': [{}] * 100}).encode()
    assert DECODER.decode(siblings) == Sample()


@pytest.mark.parametrize(
    'item', [b'[],', b'{"[":[]},', b'"[",', b'[{}],', b'][', b'[', b'}']
)
def test_any_number_of_brackets_is_scanned(item):
    """Guards against width, or brackets without a match, taken for depth."""
    data = b'[%b1]' % (item * 100_000)
    is_deep = item == b'['
    found = json_input._is_nested_deeper(data, json_input.MAX_DEPTH)
    assert found == is_deep
    decoder = json_input.Decoder(list[msgspec.Raw], len(data))
    if item.endswith(b','):
        assert len(decoder.decode(data)) == 100_001
    else:
        with pytest.raises(exceptions.WireError):
            decoder.decode(data)


def _depth(value: object) -> int:
    if isinstance(value, dict):
        return 1 + max(map(_depth, value.values()), default=0)
    if isinstance(value, list):
        return 1 + max(map(_depth, value), default=0)
    return 0


@hypothesis.given(
    st.recursive(
        st.text() | st.integers(),
        lambda items: (
            st.lists(items, max_size=4)
            | st.dictionaries(st.text(), items, max_size=4)
        ),
        max_leaves=30,
    ),
    st.integers(0, 6),
)
def test_depth_is_that_of_the_value(value, limit):
    """Guards against a scan that takes texts for structure."""
    data = json.dumps(value, ensure_ascii=False).encode(
        'utf-8', 'surrogatepass'
    )
    found = json_input._is_nested_deeper(data, limit)
    assert found == (_depth(value) > limit)


@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_an_error_of_the_wire(data):
    """Guards against an error that nobody expects of a decoder."""
    try:
        decoded = DECODER.decode(data)
    except exceptions.WireError:
        return
    assert msgspec.msgpack.encode(decoded)
