"""Tests of the share of the fleet-wide retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from walnutport.retries import window


@given(
    st.lists(
        st.tuples(st.floats(0, 0.2), st.booleans()), min_size=1, max_size=300
    )
)
def test_no_window_has_more_repeats_than_its_budget(steps):
    """Guards against repeats of all hosts that overload a service."""
    budget = window.WindowBudget(0.2, 6.0, 10.0)
    now = 0.0
    firsts, repeats = [], []
    for gap, is_first in steps:
        now += gap
        if is_first:
            budget.first(now)
            firsts.append(now)
        elif budget.take(now):
            repeats.append(now)
        in_window = [at for at in repeats if at >= now - 10.0]
        base = [at for at in firsts if at >= now - 20.0]
        assert len(in_window) <= 0.2 * len(base) + 6.0


def test_budget_returns_with_time():
    """Guards against a host that never repeats again after a bad spell."""
    budget = window.WindowBudget(0.2, 5.0, 10.0)
    while budget.take(0.0):
        pass
    assert not budget.take(5.0)
    assert budget.take(10.5)
