"""Tests of decoding the responses of stage targets."""

import hypothesis
from hypothesis import strategies as st
import pytest

from walnutport import exceptions
from walnutport.platform import stage_calls
from walnutport.stages import pieces


def test_outcomes_are_decoded():
    """Guards against a failure that is taken for a result."""
    body = b'{"items":[{"handle":"h1"},{"reason":"late"},{"reason":"x"}]}'
    assert stage_calls.decode_outcomes(body, 3) == [
        'h1',
        pieces.PieceFailure.LATE,
        pieces.PieceFailure.ERROR,
    ]


@pytest.mark.parametrize(
    'body',
    [
        pytest.param(
            b'{"items":[{"handle":"h"}],"more":'
            + b'[' * 5000
            + b']' * 5000
            + b'}',
            id='deep',
        ),
        pytest.param(b'[' * 100_000, id='deep_without_an_end'),
        pytest.param(b'{"items":[{"handle":"a\\r\\nb: c"}]}', id='line_break'),
        pytest.param(b'{"items":[{"handle":"a,b"}]}', id='comma'),
        pytest.param(b'{"items":[{"handle":"a\\u0000"}]}', id='NUL'),
        pytest.param(b'{"items":[{"handle":"\\ud800"}]}', id='surrogate'),
        pytest.param(
            b'{"items":[{"handle":"' + b'h' * 100_000 + b'"}]}', id='long'
        ),
    ],
)
def test_odd_response_is_an_error_of_the_wire(body):
    """Guards against a response of a target that ends the owner's cell.

    Handles become parts of a header, separated by commas.
    """
    with pytest.raises(exceptions.WireError):
        stage_calls.decode_outcomes(body, 1)


@hypothesis.given(st.binary(max_size=80))
def test_any_bytes_are_decoded_or_rejected(body):
    """Guards against an error that nobody expects of the decoder."""
    try:
        stage_calls.decode_outcomes(body, 1)
    except exceptions.WireError:
        pass
