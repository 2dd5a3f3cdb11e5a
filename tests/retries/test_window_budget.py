"""Tests of the share of the fleet-wide retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from walnutport.retries import window_budget


@given(
    st.lists(
        st.tuples(st.floats(0, 0.2), st.booleans()), min_size=1, max_size=300
    )
)
def test_no_window_has_more_repeats_than_its_budget(steps):
    """Guards against repeats of all hosts that overload a service."""
    budget = window_budget.SlidingWindowBudget(0.2, 6.0, 10.0)
    now = 0.0
    firsts, repeats = [], []
    for gap, is_first in steps:
        now += gap
        if is_first:
            budget.record_first_attempt(now)
            firsts.append(now)
        elif budget.try_acquire(now):
            repeats.append(now)
        in_window = [at for at in repeats if at >= now - 10.0]
        base = [at for at in firsts if at >= now - 20.0]
        assert len(in_window) <= 0.2 * len(base) + 6.0


def test_budget_returns_with_time():
    """Guards against a host that never repeats again after a bad spell."""
    budget = window_budget.SlidingWindowBudget(0.2, 5.0, 10.0)
    while budget.try_acquire(0.0):
        pass
    assert not budget.try_acquire(5.0)
    assert budget.try_acquire(10.5)


def test_outage_of_all_targets_keeps_the_budget_of_the_fleet():
    """Replays 8 s in which every request fails at every target.

    Seven hosts of unequal load share a slack of 40. One of them restarts in
    the middle and has forgotten what it spent.
    """
    hosts, ratio, slack, window_s = 7, 0.2, 40.0, 10.0

    def new() -> window_budget.SlidingWindowBudget:
        return window_budget.SlidingWindowBudget(
            ratio, slack / hosts, window_s
        )

    budgets = [new() for _ in range(hosts)]
    firsts: list[float] = []
    repeats: list[float] = []
    for step in range(4000):
        now = step * 0.005
        if step == 1200:
            budgets[0] = new()
        number = step % 10
        budget = budgets[number if number < hosts else 0]
        budget.record_first_attempt(now)
        firsts.append(now)
        if 4.0 <= now < 12.0 and budget.try_acquire(now):
            repeats.append(now)
        start = now - window_s
        recent = sum(at >= start for at in repeats)
        allowed = ratio * sum(at >= start for at in firsts) + slack
        assert recent <= allowed
    assert len(repeats) > 100, 'the budget was of use'
