"""Tests of the places that are held for refused callers."""

from hypothesis import given
from hypothesis import strategies as st

from walnutport.stages import returns

SLOTS = {'encode': 9.0}


def reserve(places, content: bytes, now: float, **changes):
    """Reserve a place for a request with 0.1 s of work."""
    values = {
        'cost_by_service': {'encode': 0.1},
        'slots_by_service': SLOTS,
        'late_by_service': {},
        'needed_s': 0.6,
        'aim_left_s': 0.7,
        'left_s': 6.0,
        'now': now,
    }
    return places.reserve(content, **(values | changes))


@given(st.lists(st.floats(0.0, 0.3), min_size=1, max_size=300))
def test_promises_stay_within_capacity(gaps):
    """Guards against promising more work than fits until the deadline.

    All places end, so that the reserved work returns to nothing.
    """
    places = returns.ReturnPlaces()
    now = 0.0
    for number, gap in enumerate(gaps):
        now += gap
        place = reserve(places, b'%d' % number, now)
        limit_s = returns.RETURN_RATIO * SLOTS['encode'] * 5.4
        assert places.reserved_s('encode') <= limit_s + 1e-6
        if place is not None:
            delay_s = place.due_at - now
            assert returns.MIN_DELAY_S <= delay_s + 1e-9
            assert delay_s <= returns.MAX_DELAY_RATIO * 6.0 + 1e-9
    assert places.find(b'none', now + 10.0) is None
    assert len(places) == 0
    assert places.reserved_s('encode') < 1e-6


def test_returns_of_a_herd_are_spread():
    """Guards against callers refused together that return together."""
    places = returns.ReturnPlaces()
    # A hundred of them are as much work as returns may take.
    cost_by_service = {'encode': 0.025}
    due = [
        reserve(places, b'%d' % n, 0.0, cost_by_service=cost_by_service).due_at
        for n in range(100)
    ]
    for start in range(2, 18):
        found = sum(start / 10 <= at < (start + 1) / 10 for at in due)
        assert found <= 20


def test_hopeless_return_holds_no_place():
    """Guards against a promise that the deadline cannot keep."""
    places = returns.ReturnPlaces()
    assert reserve(places, b'1', 0.0, left_s=0.7) is None
    assert reserve(places, b'2', 0.0, late_by_service={'encode': 40}) is None
    assert reserve(places, b'', 0.0) is None
    assert len(places) == 0


def test_memory_is_bounded():
    """Guards against unbounded memory in a burst of refusals."""
    places = returns.ReturnPlaces()
    for number in range(returns.MAX_PLACES + 10):
        reserve(places, b'%d' % number, 0.0, cost_by_service={'encode': 0})
    assert len(places) == returns.MAX_PLACES


def test_expired_places_are_dropped_after_a_pause():
    """Guards against promises of an owner that was paused."""
    places = returns.ReturnPlaces()
    place = reserve(places, b'1', 0.0)
    assert places.find(b'1', place.due_at) is place
    assert places.find(b'1', place.due_at + returns.HOLD_S) is None
    assert places.expired_count == 1
