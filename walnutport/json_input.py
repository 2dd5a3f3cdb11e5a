"""Decodes JSON that other writers have written, within bounds.

What a later step does with a value, such as sending it to a peer as msgpack,
must not depend on what a JSON parser happens to accept. The types of this
module bound numbers and texts; a ``Decoder`` bounds size and nesting, and has
one error for everything that it rejects.
"""

import re
from typing import Annotated, Generic, TypeVar

import msgspec

from walnutport import exceptions

__all__ = [
    'DECODE_ERRORS',
    'MAX_AMOUNT',
    'MAX_DEPTH',
    'MAX_INTEGER',
    'MAX_NAME_CHARACTERS',
    'MAX_POSITION',
    'MIN_INTEGER',
    'Amount',
    'Decoder',
    'Integer',
    'Name',
    'Position',
    'Text',
    'describe',
    'is_name',
    'replace_invalid_text',
]

# Levels of arrays and objects. The documents of the platform have six. The
# depth at which the parser gives up depends on the stack of its caller, so
# that two hosts could read the same bytes differently.
MAX_DEPTH = 32
# Range of a signed integer of 64 bits, which msgpack and the store can hold.
MIN_INTEGER = -(1 << 63)
MAX_INTEGER = (1 << 63) - 1
# Positions after it are in the range as well.
MAX_POSITION = 1 << 62
# Larger amounts are taken for a fault of the writer. Products with the factors
# between units are exact, and finite.
MAX_AMOUNT = 1e15
# Characters of names of services, data centres, teams and routes.
MAX_NAME_CHARACTERS = 255
# Characters of a problem that are logged.
MAX_PROBLEM_CHARACTERS = 200

#: Errors of msgspec and of conversions for bytes or values that are not as
#: expected.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)

_NO_CONTROL_CHARACTERS = r'\A[^\x00-\x1f\x7f]*\Z'

#: Whole number.
Integer = Annotated[int, msgspec.Meta(ge=MIN_INTEGER, le=MAX_INTEGER)]
#: Offset, version or era.
Position = Annotated[int, msgspec.Meta(ge=0, le=MAX_POSITION)]
#: Duration, size or weight.
Amount = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
#: Text that may become part of a header or a line; may be empty.
Text = Annotated[
    str,
    msgspec.Meta(
        max_length=MAX_NAME_CHARACTERS, pattern=_NO_CONTROL_CHARACTERS
    ),
]
#: Text that names something.
Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1,
        max_length=MAX_NAME_CHARACTERS,
        pattern=_NO_CONTROL_CHARACTERS,
    ),
]

_T = TypeVar('_T')
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?', re.DOTALL)
_AS_ARRAYS = bytes.maketrans(b'{}', b'[]')
_NO_BRACKETS = bytes(set(range(256)) - set(b'[]{}'))
_ESCAPE = re.compile(
    rb'\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}'
    rb'|(?P<lone>\\u[dD][89a-fA-F][0-9a-fA-F]{2})'
    rb'|\\.',
    re.DOTALL,
)
_REPLACEMENT_CHARACTER = '\N{REPLACEMENT CHARACTER}'


class Decoder(Generic[_T]):
    """Decodes JSON of one type.

    :param source: type of the values.
    :param max_bytes: size above which data is rejected.
    """

    def __init__(self, source: type[_T], max_bytes: int) -> None:
        self._decoder = msgspec.json.Decoder(source)
        self._max_bytes = max_bytes

    def decode(self, data: bytes) -> _T:
        """Decode a value.

        :raises WireError: if it is too large, nested too deep, malformed, or
            not of the type.
        """
        if len(data) > self._max_bytes:
            raise exceptions.WireError(
                f'{len(data)} bytes; expected at most {self._max_bytes}'
            )
        if _is_nested_deeper(data, MAX_DEPTH):
            raise exceptions.WireError(
                f'nested more than {MAX_DEPTH} levels deep'
            )
        try:
            return self._decoder.decode(data)
        except DECODE_ERRORS as problem:
            raise exceptions.WireError(describe(problem)) from problem


def describe(problem: Exception) -> str:
    """Return a description of an error that fits into a log line."""
    text = str(problem) or type(problem).__name__
    return text[:MAX_PROBLEM_CHARACTERS]


def is_name(text: str) -> bool:
    """Return whether a text was read whole and can be sent as a header."""
    return (
        0 < len(text) <= MAX_NAME_CHARACTERS
        and text.isprintable()
        and text == text.strip()
        and _REPLACEMENT_CHARACTER not in text
    )


def replace_invalid_text(data: bytes) -> bytes:
    """Return JSON with replacement characters for what is no text.

    These are bytes that are not UTF-8, and escapes of lone surrogates.
    """
    text = data.decode('utf-8', 'replace').encode()
    return _ESCAPE.sub(
        lambda found: b'\\ufffd' if found['lone'] else found[0], text
    )


def _is_nested_deeper(data: bytes, limit: int) -> bool:
    """Return whether arrays and objects are nested beyond a limit.

    Without a loop over the brackets, of which there may be millions. The
    parser rejects data whose brackets do not match.
    """
    if data.count(b'[') + data.count(b'{') <= limit:
        return False
    brackets = _STRING.sub(b'', data).translate(_AS_ARRAYS, _NO_BRACKETS)
    for _ in range(limit):
        # Removes the innermost level of each branch.
        outer = brackets.replace(b'[]', b'')
        if len(outer) == len(brackets):
            break
        brackets = outer
    # Those that are left over are levels that do not end.
    return b'[]' in brackets or brackets.count(b'[') > limit
