"""Tests of the relay of a stream that resumes at another target."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from walnutport.relay import resumable


def event(number: int) -> bytes:
    """Return one event."""
    return b'id: %d\ndata: token\n\n' % number


@given(st.lists(st.integers(1, 40), max_size=20))
def test_events_do_not_depend_on_packet_boundaries(cuts):
    """Guards against events lost or split at packet boundaries."""
    data = b''.join(event(number) for number in range(1, 9))
    relay = resumable.EventRelay()
    passed = b''
    start = 0
    for cut in cuts:
        passed += relay.feed(data[start : start + cut])
        start += cut
    passed += relay.feed(data[start:])
    assert passed == data
    assert not relay.has_gap and not relay.partial


def test_resumed_stream_has_no_duplicate_events():
    """Guards against events that reach the caller twice."""
    relay = resumable.EventRelay()
    passed = relay.feed(event(1) + event(2) + event(3)[:7])
    relay.discard_partial()
    passed += relay.feed(event(2) + event(3) + event(4))
    assert passed == b''.join(event(number) for number in range(1, 5))


def test_missing_event_is_reported_as_a_gap():
    """Guards against a sequence of events that silently has a gap."""
    relay = resumable.EventRelay()
    relay.feed(event(1) + event(3))
    assert relay.has_gap


def test_caller_that_resumes_gets_only_later_events():
    """Guards against a stream that restarts for a caller that resumes."""
    relay = resumable.EventRelay(last_id=2)
    assert relay.feed(event(2) + event(3)) == event(3)


def test_event_without_end_is_reported():
    """Guards against an event that fills the memory of a host."""
    relay = resumable.EventRelay()
    relay.feed(b'id: 1\ndata: ' + b'x' * (resumable.MAX_EVENT_BYTES // 2))
    assert not relay.is_oversized
    relay.feed(b'x' * resumable.MAX_EVENT_BYTES)
    assert relay.is_oversized


@pytest.mark.parametrize('digits', [13, 5000])
def test_event_id_that_is_no_count_breaks_the_stream(digits):
    """Guards against an exception in the middle of a response.

    Python converts at most 4,300 digits to a number.
    """
    relay = resumable.EventRelay()
    assert relay.feed(event(1))
    assert not relay.feed(b'id: %s\ndata: token\n\n' % (b'9' * digits))
    assert relay.has_gap


def test_comments_are_forwarded_but_are_no_events():
    """Guards against stage results that are freed at a keep-alive comment.

    The first event shows that an engine has read them, and some events that
    the prompt does not crash it.
    """
    relay = resumable.EventRelay()
    assert relay.feed(b': wait\n\n') == b': wait\n\n'
    assert relay.events == 0
    relay.feed(b': note\ndata: x\n\n')
    assert relay.events == 1
