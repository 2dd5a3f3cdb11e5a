"""Decodes and encodes the headers of requests and responses."""

import math

from walnutport import exceptions
from walnutport.http1 import messages
from walnutport.platform import wire
from walnutport.world import requests

__all__ = [
    'decode_response_headers',
    'forwarded_response_headers',
    'local_response_headers',
    'media_type',
    'decode_request_headers',
    'forwarded_request_headers',
    'relayed_request_headers',
    'response_request_id',
]

# A stated limit above this is taken for a fault of the target; a target serves
# some hundred requests a second at most.
MAX_RATE_LIMIT = 1_000_000.0
# A target that asks for more time than this is taken for a faulty one.
MAX_RETRY_AFTER_S = 60.0
# A number of requests with more digits is taken for a fault of the target.
MAX_COUNT_DIGITS = 9
# A duration of work above this, in percent of the usual one, is taken for a
# fault of the target.
MAX_SLOWNESS_PERCENT = 10_000.0
# Bytes of an invalid value that are quoted in the log.
MAX_QUOTED_BYTES = 40

_DROPPED_REQUEST_HEADERS = (
    messages.HOP_BY_HOP_HEADERS
    | wire.SYSTEM_HEADERS
    | frozenset(
        (b'content-length', b'expect', wire.CREDENTIAL, wire.DEADLINE_MS)
    )
)
_DROPPED_RESPONSE_HEADERS = messages.HOP_BY_HOP_HEADERS | frozenset(
    (
        b'content-length',
        wire.LOAD,
        wire.NOT_EXECUTED,
        wire.RATE_LIMIT,
        wire.LEAVING,
        wire.BRITTLE,
        wire.COLD_MS,
    )
)
# Headers that the system evaluates must not be repeated, as a target could
# use another value than the system.
_UNIQUE_HEADERS = (
    wire.REQUEST_ID,
    wire.DEADLINE_MS,
    wire.CREDENTIAL,
    wire.PIECES,
    wire.PIECE_KEY,
    wire.LAST_EVENT_ID,
    wire.RESUMES,
)


def decode_request_headers(
    headers: messages.Headers,
) -> requests.RequestFields:
    """Decode the headers of a caller's request.

    :raises WireError: if a header is missing, repeated or malformed.
    """
    value_by_name: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in value_by_name and name in _UNIQUE_HEADERS:
            raise exceptions.WireError(f'{name.decode()} is repeated')
        value_by_name.setdefault(name, value)
    request_id = _decode_text(value_by_name, wire.REQUEST_ID)
    if not request_id:
        raise exceptions.WireError('request id header is missing')
    timeout_ms = _parse_whole_number(value_by_name, wire.DEADLINE_MS)
    return requests.RequestFields(
        request_id=request_id,
        timeout_s=None if timeout_ms is None else timeout_ms / 1000,
        api_key=_decode_text(value_by_name, wire.CREDENTIAL),
        piece_counts=_parse_piece_counts(value_by_name),
        piece_key=_decode_text(value_by_name, wire.PIECE_KEY),
        prompt=_parse_prompt(value_by_name),
        last_event_id=_parse_whole_number(value_by_name, wire.LAST_EVENT_ID),
        continues_stream=wire.LAST_EVENT_ID in value_by_name,
        begun_by=_decode_text(value_by_name, wire.RESUMES),
        shared_parts=_parse_shared_parts(value_by_name),
    )


def forwarded_request_headers(
    headers: messages.Headers,
    *,
    target_id: str,
    team: str | None,
    remaining_s: float,
    inputs: tuple[str, ...] | None = None,
    last_event_id: int | None = None,
    priority: int | None = None,
) -> messages.Headers:
    """Return the headers of a request as they are sent to a target.

    :param headers: headers of the caller's request.
    :param last_event_id: id of the event after which the system resumes a
        stream; None keeps the caller's value.
    :param priority: rank at the target, limited to 0 to 9; None leaves the
        header out.
    """
    dropped = _DROPPED_REQUEST_HEADERS | _connection_options(headers)
    if last_event_id is not None:
        dropped = dropped | {wire.LAST_EVENT_ID}
    forwarded = [header for header in headers if header[0] not in dropped]
    remaining_ms = max(1, int(remaining_s * 1000))
    forwarded.append((wire.DEADLINE_MS, b'%d' % remaining_ms))
    forwarded.append((wire.EXPECT_INSTANCE, target_id.encode()))
    if team is not None:
        forwarded.append((wire.TENANT, team.encode()))
    if inputs is not None:
        forwarded.append((wire.INPUTS, ','.join(inputs).encode()))
    if last_event_id is not None:
        forwarded.append((wire.LAST_EVENT_ID, b'%d' % last_event_id))
    if priority is not None:
        forwarded.append((wire.PRIORITY, b'%d' % min(9, max(0, priority))))
    return forwarded


def relayed_request_headers(headers: messages.Headers) -> messages.Headers:
    """Return the headers of a caller's request as a peer gets them."""
    dropped = messages.HOP_BY_HOP_HEADERS | _connection_options(headers)
    dropped |= {b'content-length', b'expect'}
    return [header for header in headers if header[0] not in dropped]


def decode_response_headers(
    head: messages.ResponseHead,
) -> requests.ResponseFields:
    """Decode a target's headers; an unreadable value counts as missing."""
    problems: list[str] = []
    load, slowness_problem = _parse_load(head.header(wire.LOAD))
    rate_limit = _parse_decimal(
        head, wire.RATE_LIMIT, MAX_RATE_LIMIT, problems
    )
    retry_after_s = None
    if head.status == 503:
        retry_after_s = _parse_decimal(
            head, wire.RETRY_AFTER, MAX_RETRY_AFTER_S, problems
        )
    cold_problems: list[str] = []
    cold_ms = _parse_decimal(
        head, wire.COLD_MS, wire.MAX_COLD_MS, cold_problems
    )
    if cold_problems:
        cold_ms = 0.0
    return requests.ResponseFields(
        request_id=response_request_id(head),
        sealed=bool(head.header(wire.SEAL)),
        not_run=head.header(wire.NOT_EXECUTED) is not None,
        load=load,
        rate_limit=rate_limit,
        rejection_limit=_parse_decimal(
            head, wire.BRITTLE, MAX_RATE_LIMIT, problems
        ),
        leaving=_parse_flag(head, wire.LEAVING, problems),
        retry_after_s=retry_after_s,
        problems=tuple(problems),
        cold_s=None if cold_ms is None else cold_ms / 1000,
        cold_problem=''.join(cold_problems),
        slowness_problem=slowness_problem,
    )


def response_request_id(head: messages.ResponseHead) -> str:
    """Return the id of the request that a response names, empty if none."""
    return (head.header(wire.REQUEST_ID) or b'').decode('latin-1')


def media_type(head: messages.ResponseHead) -> bytes:
    """Return the media type of a response, without parameters.

    :returns: empty if it has none.
    """
    value = head.header(b'content-type') or b''
    return value.partition(b';')[0].strip().lower()


def forwarded_response_headers(
    head: messages.ResponseHead,
) -> messages.Headers:
    """Return the headers of a target's response as sent to the caller."""
    dropped = _DROPPED_RESPONSE_HEADERS | _connection_options(head.headers)
    return [header for header in head.headers if header[0] not in dropped]


def local_response_headers(
    request_id: str, retry_after_s: float | None
) -> messages.Headers:
    """Return the headers of a response that the system itself creates."""
    local_headers: messages.Headers = []
    if request_id:
        local_headers.append((wire.REQUEST_ID, request_id.encode('latin-1')))
    if retry_after_s is not None:
        local_headers.append((wire.RETRY_AFTER, b'%.3f' % retry_after_s))
    return local_headers


def _connection_options(headers: messages.Headers) -> set[bytes]:
    return {
        part.strip().lower()
        for name, value in headers
        if name == b'connection'
        for part in value.split(b',')
    } - {wire.REQUEST_ID}


def _decode_text(value_by_name: dict[bytes, bytes], name: bytes) -> str:
    return value_by_name.get(name, b'').decode('latin-1')


def _parse_whole_number(
    value_by_name: dict[bytes, bytes], name: bytes
) -> int | None:
    value = value_by_name.get(name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 12:
        if name == wire.LAST_EVENT_ID:
            # Event ids of the system are numbers; a target validates others.
            return None
        raise exceptions.WireError(f'{name.decode()} is not a whole number')
    return int(value)


def _parse_piece_counts(
    value_by_name: dict[bytes, bytes],
) -> tuple[int, ...] | None:
    value = value_by_name.get(wire.PIECES)
    if value is None:
        return None
    parts = [part.strip() for part in value.split(b',')]
    if not all(part.isdigit() and len(part) < 6 for part in parts):
        raise exceptions.WireError('piece counts are not whole numbers')
    return tuple(int(part) for part in parts)


def _parse_shared_parts(value_by_name: dict[bytes, bytes]) -> tuple[str, ...]:
    """Return the ids of the parts of the prompt but the last, each once."""
    prefix = _decode_text(value_by_name, wire.PROMPT_PREFIX)
    part_ids = [part.partition(':')[0].strip() for part in prefix.split(',')]
    return tuple(dict.fromkeys(part for part in part_ids[:-1] if part))


def _parse_prompt(
    value_by_name: dict[bytes, bytes],
) -> requests.PromptShape | None:
    counts = value_by_name.get(wire.TOKEN_COUNTS)
    if counts is None:
        return None
    try:
        input_tokens, output_tokens = (
            _parse_count(part) for part in counts.split(b',')
        )
        parts = [
            part.strip().split(b':')
            for part in value_by_name.get(wire.PROMPT_PREFIX, b'').split(b',')
            if part.strip()
        ]
        return requests.PromptShape(
            input_tokens,
            output_tokens,
            tuple(part[0].decode('latin-1') for part in parts),
            tuple(_parse_count(part[1]) for part in parts),
        )
    except (ValueError, IndexError):
        # The target validates these headers; the host only uses them as a
        # hint for routing.
        return None


def _parse_count(text: bytes) -> int:
    """Return a count of tokens.

    :raises ValueError: if it is none, or too large for sums and messages.
    """
    digits = text.strip()
    if not digits.isdigit() or len(digits) > MAX_COUNT_DIGITS:
        raise ValueError(f'invalid count {text[:MAX_QUOTED_BYTES]!r}')
    return int(digits)


def _parse_load(
    value: bytes | None,
) -> tuple[requests.ResponseLoad | None, str]:
    """Return the load of a target and the problem of its slowness, if any.

    An invalid slowness does not affect the other figures.
    """
    if value is None:
        return None, ''
    parts = [part.strip() for part in value.split(b',')]
    if len(parts) not in (3, 4) or not all(
        part.isdigit() and len(part) <= MAX_COUNT_DIGITS for part in parts[:3]
    ):
        return None, ''
    slowness = None
    problem = ''
    if len(parts) == 4:
        slowness = _parse_slowness(parts[3])
        if slowness is None:
            problem = _describe_invalid(wire.LOAD, value)
    running, waiting, slots = (int(part) for part in parts[:3])
    return requests.ResponseLoad(running, waiting, slots, slowness), problem


def _parse_slowness(value: bytes) -> float | None:
    """Return a duration in percent of the usual one as a multiple of it."""
    if len(value) > MAX_COUNT_DIGITS:
        return None
    whole, _, fraction = value.partition(b'.')
    if not whole.isdigit() or not (fraction or b'0').isdigit():
        return None
    percent = float(value)
    return percent / 100 if percent <= MAX_SLOWNESS_PERCENT else None


def _parse_flag(
    head: messages.ResponseHead, name: bytes, problems: list[str]
) -> bool:
    """Return whether a flag is set.

    :param problems: gets a description if the value is invalid.
    """
    value = head.header(name)
    if value not in (None, b'0', b'1'):
        problems.append(_describe_invalid(name, value))
    return value == b'1'


def _parse_decimal(
    head: messages.ResponseHead,
    name: bytes,
    maximum: float,
    problems: list[str],
) -> float | None:
    """Return a decimal number from 0 to a maximum.

    :param problems: gets a description if the value is invalid.
    """
    value = head.header(name)
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if 0 <= number <= maximum:
        return number
    problems.append(_describe_invalid(name, value))
    return None


def _describe_invalid(name: bytes, value: bytes) -> str:
    return f'{name.decode()}: {value[:MAX_QUOTED_BYTES]!r}'
