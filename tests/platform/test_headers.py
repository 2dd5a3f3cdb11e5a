"""Tests of the headers of requests and responses."""

import pytest

from walnutport import exceptions
from walnutport.http1 import messages
from walnutport.platform import headers

CALLER_HEADERS = [
    (b'host', b'h.example'),
    (b'walnutport-request-attempt-id', b'id-1'),
    (b'walnutport-deadline-ms', b'8000'),
    (b'walnutport-credential', b'key'),
    (b'walnutport-token-counts', b'1460,80'),
    (b'walnutport-prompt-prefix', b'5c:800,91:410,e4:250'),
    (b'walnutport-pieces', b'2, 0,1'),
    (b'x-other', b'kept'),
]


def test_request_headers_are_decoded():
    """Guards against misread ids, timeouts, piece counts and prompt hints."""
    found = headers.decode_request_headers(CALLER_HEADERS)
    assert found.request_id == 'id-1'
    assert found.timeout_s == 8.0
    assert found.piece_counts == (2, 0, 1)
    assert found.prompt.part_tokens == (800, 410, 250)


@pytest.mark.parametrize(
    'extra',
    [
        [(b'walnutport-request-attempt-id', b'id-2')],
        [(b'walnutport-credential', b'other')],
        [(b'walnutport-deadline-ms', b'9')],
    ],
)
def test_duplicate_header_is_rejected(extra):
    """Guards against a target that reads a different value than the host."""
    with pytest.raises(exceptions.WireError):
        headers.decode_request_headers(CALLER_HEADERS + extra)


def test_reserved_headers_of_a_caller_are_replaced():
    """Guards against callers that forge headers of the system."""
    forged = [
        (b'walnutport-tenant', b'evil'),
        (b'walnutport-expect-instance', b'other'),
        (b'walnutport-hold', b'h'),
        (b'walnutport-pin-ms', b'4000'),
        (b'walnutport-kv-backup', b'10.0.0.1:1'),
        (b'kv-from', b'10.0.0.1:1/x'),
        (b'walnutport-inputs', b'stolen'),
        (b'walnutport-request-priority', b'0'),
        (b'connection', b'x-other'),
    ]
    found = headers.forwarded_request_headers(
        CALLER_HEADERS + forged, target_id='t1', team='north', remaining_s=1.5
    )
    values: dict[bytes, list[bytes]] = {}
    for name, value in found:
        values.setdefault(name, []).append(value)
    assert values[b'walnutport-tenant'] == [b'north']
    assert values[b'walnutport-expect-instance'] == [b't1']
    assert values[b'walnutport-deadline-ms'] == [b'1500']
    for name in (
        b'walnutport-hold',
        b'walnutport-pin-ms',
        b'walnutport-kv-backup',
        b'kv-from',
        b'walnutport-inputs',
        b'walnutport-request-priority',
        b'walnutport-credential',
        b'connection',
        b'x-other',
    ):
        assert name not in values


def test_connection_header_cannot_remove_the_request_id():
    """Guards against a caller that lists the id header in Connection."""
    found = headers.forwarded_request_headers(
        [*CALLER_HEADERS, (b'connection', b'walnutport-request-attempt-id')],
        target_id='t1',
        team=None,
        remaining_s=1.0,
    )
    assert (b'walnutport-request-attempt-id', b'id-1') in found


def test_resumed_stream_sends_one_last_event_id():
    """Guards against a target that resumes from the caller's older event."""
    found = headers.forwarded_request_headers(
        [*CALLER_HEADERS, (b'last-event-id', b'3')],
        target_id='t1',
        team=None,
        remaining_s=1.0,
        last_event_id=9,
    )
    ids = [value for name, value in found if name == b'last-event-id']
    assert ids == [b'9']


def test_response_headers_are_decoded():
    """Guards against misread load, seal and not-executed headers."""
    head = messages.ResponseHead(
        503,
        [
            (b'walnutport-not-executed', b'1'),
            (b'walnutport-server-load', b'3,0,8'),
        ],
    )
    found = headers.decode_response_headers(head)
    assert found.not_run and not found.sealed
    assert found.load.slots == 8
    assert headers.forwarded_response_headers(head) == []


@pytest.mark.parametrize(
    ('value', 'expected'),
    [(b'1', 1.0), (b'2.5', 2.5), (b'0', 0.0), (b' 3 ', 3.0)],
)
def test_rate_limit_of_a_target_is_decoded_and_not_forwarded(value, expected):
    """Guards against a stated limit that no host sees."""
    head = messages.ResponseHead(200, [(b'server-limit', value)])
    found = headers.decode_response_headers(head)
    assert found.rate_limit == expected
    assert not found.problems
    assert headers.forwarded_response_headers(head) == []


@pytest.mark.parametrize(
    'value', [b'', b'-1', b'nan', b'inf', b'1e300', b'ten', b'\xff', b'1,5']
)
def test_invalid_rate_limit_is_ignored_with_its_value(value):
    """Guards against a target whose invalid header ends its requests."""
    head = messages.ResponseHead(200, [(b'server-limit', value)])
    found = headers.decode_response_headers(head)
    assert found.rate_limit is None
    (problem,) = found.problems
    assert repr(value) in problem


@pytest.mark.parametrize(
    ('value', 'expected', 'problems'),
    [(b'1', True, 0), (b'0', False, 0), (b'yes', False, 1), (b'', False, 1)],
)
def test_leaving_target_is_recognized(value, expected, problems):
    """Guards against a target whose statement is missed or misread."""
    head = messages.ResponseHead(200, [(b'server-leaving', value)])
    found = headers.decode_response_headers(head)
    assert found.leaving is expected
    assert len(found.problems) == problems
    assert headers.forwarded_response_headers(head) == []


@pytest.mark.parametrize(
    ('status', 'value', 'expected', 'problems'),
    [
        (503, b'2', 2.0, 0),
        (503, b'0.25', 0.25, 0),
        (503, b'Fri, 04 Dec 2026 07:00:00 GMT', None, 1),
        (503, b'-1', None, 1),
        (503, b'86400', None, 1),
        (200, b'2', None, 0),
        (429, b'2', None, 0),
    ],
)
def test_time_that_a_target_asks_for_is_decoded(
    status, value, expected, problems
):
    """Guards against a target that asks for time and does not get it."""
    head = messages.ResponseHead(status, [(b'retry-after', value)])
    found = headers.decode_response_headers(head)
    assert found.retry_after_s == expected
    assert len(found.problems) == problems


def test_continuation_of_a_stream_is_decoded():
    """Guards against a stream that goes on anywhere."""
    fields = headers.decode_request_headers(
        [
            (b'walnutport-request-attempt-id', b'second'),
            (b'last-event-id', b'7'),
            (b'resumes', b'first'),
        ]
    )
    assert fields.continues_stream
    assert (fields.begun_by, fields.last_event_id) == ('first', 7)
    new = headers.decode_request_headers(
        [(b'walnutport-request-attempt-id', b'third')]
    )
    assert not new.continues_stream
    assert new.begun_by == ''


@pytest.mark.parametrize(
    ('prefix', 'expected'),
    [
        (b'a:10,b:20,own:5', ('a', 'b')),
        (b'a:10, b:20 ,a:10,own:5', ('a', 'b')),
        (b'own:5', ()),
        (b'a:10,', ('a',)),
        (b'a,b,own', ('a', 'b')),
    ],
)
def test_shared_parts_of_a_prompt_are_decoded(prefix, expected):
    """Guards against the request's own part among the shared ones.

    The counts of tokens may be missing; they are needed for routing only.
    """
    fields = headers.decode_request_headers(
        [
            (b'walnutport-request-attempt-id', b'id'),
            (b'walnutport-prompt-prefix', prefix),
        ]
    )
    assert fields.shared_parts == expected


@pytest.mark.parametrize('value', [b'1,2', b'1,2,x', b'1,2,' + b'9' * 5000])
def test_unreadable_load_of_a_target_is_ignored(value):
    """Guards against an exception in the middle of a response."""
    head = messages.ResponseHead(200, [(b'walnutport-server-load', value)])
    assert headers.decode_response_headers(head).load is None


@pytest.mark.parametrize(('value', 'expected'), [(b'5', 5.0), (b'x', None)])
def test_rejection_limit_is_decoded_and_not_forwarded(value, expected):
    """Guards against a statement to this system that callers get."""
    head = messages.ResponseHead(200, [(b'server-brittle', value)])
    assert headers.decode_response_headers(head).rejection_limit == expected
    assert headers.forwarded_response_headers(head) == []


@pytest.mark.parametrize(
    ('value', 'expected', 'is_invalid'),
    [
        (b'2500', 2.5, False),
        (b'0', 0.0, False),
        (b'nan', 0.0, True),
        (b'-5', 0.0, True),
        (b'700000', 0.0, True),
        (b'soon', 0.0, True),
    ],
)
def test_cold_time_is_decoded_and_not_forwarded(value, expected, is_invalid):
    """Guards against a target that stays limited by an invalid value."""
    head = messages.ResponseHead(200, [(b'walnutport-cold-ms', value)])
    fields = headers.decode_response_headers(head)
    assert fields.cold_s == expected
    assert bool(fields.cold_problem) is is_invalid
    assert headers.forwarded_response_headers(head) == []
    assert headers.decode_response_headers(messages.EMPTY_HEAD).cold_s is None


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'1,2,8,100', 1.0),
        (b'1, 2, 8, 62.5', 0.625),
        (b'1,2,8,10000', 100.0),
        (b'1,2,8', None),
    ],
)
def test_slowness_of_a_target_is_decoded(value, expected):
    """Guards against a figure that is read as a share instead of percent."""
    head = messages.ResponseHead(200, [(b'walnutport-server-load', value)])
    fields = headers.decode_response_headers(head)
    assert fields.load.slowness == expected
    assert not fields.slowness_problem


@pytest.mark.parametrize(
    'figure', [b'', b'x', b'-1', b'10001', b'nan', b'1e3', b'0000000100', b'.']
)
def test_absurd_slowness_is_reported_and_leaves_the_load(figure):
    """Guards against an absurd figure that hides the rest of the load.

    It must not count as a problem of what the target states either, as a
    limit that the target has lifted would then be kept.
    """
    head = messages.ResponseHead(
        200, [(b'walnutport-server-load', b'1,2,8,' + figure)]
    )
    fields = headers.decode_response_headers(head)
    assert (fields.load.running, fields.load.queued) == (1, 2)
    assert fields.load.slowness is None
    assert fields.slowness_problem and not fields.problems


@pytest.mark.parametrize(
    'counts, prefix',
    [
        pytest.param(b'-1,80', b'', id='negative'),
        pytest.param(b'1' * 4000 + b',80', b'', id='4,000_digits'),
        pytest.param(b'80,' + b'1' * 5000, b'', id='5,000_digits'),
        pytest.param(b'80,1', b'a:-5', id='negative_part'),
        pytest.param(b'80,1', b'a:' + b'1' * 400, id='large_part'),
        pytest.param(b'1_0,1', b'', id='underscore'),
    ],
)
def test_prompt_with_odd_numbers_is_no_hint(counts, prefix):
    """Guards against counts that no sum, gauge or message can hold."""
    assert (
        headers._parse_prompt(
            {
                headers.wire.TOKEN_COUNTS: counts,
                headers.wire.PROMPT_PREFIX: prefix,
            }
        )
        is None
    )
