"""Tests of a stream that goes on at another target."""

from hypothesis import given
from hypothesis import strategies as st

from walnutport.relay import resumable


def event(number: int) -> bytes:
    """Return one event."""
    return b'id: %d\ndata: token\n\n' % number


@given(st.lists(st.integers(1, 40), max_size=20))
def test_any_cut_gives_the_same_events(cuts):
    """Guards against events that are lost or torn at packet borders."""
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


def test_second_run_goes_on_without_repeats():
    """Guards against events that reach the caller twice."""
    relay = resumable.EventRelay()
    passed = relay.feed(event(1) + event(2) + event(3)[:7])
    relay.discard_partial()
    passed += relay.feed(event(2) + event(3) + event(4))
    assert passed == b''.join(event(number) for number in range(1, 5))


def test_missing_event_is_noticed():
    """Guards against a series with a hole."""
    relay = resumable.EventRelay()
    relay.feed(event(1) + event(3))
    assert relay.has_gap


def test_resumed_caller_gets_what_follows():
    """Guards against a stream that starts anew for a caller that resumes."""
    relay = resumable.EventRelay(last_id=2)
    assert relay.feed(event(2) + event(3)) == event(3)
