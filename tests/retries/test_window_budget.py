"""Tests of a host's share of the fleet-wide retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from walnutport.retries import window_budget


@given(
    st.lists(
        st.tuples(st.floats(0, 0.2), st.booleans()), min_size=1, max_size=300
    )
)
def test_no_window_has_more_retries_than_its_budget(steps):
    """Guards against a service overloaded by the retries of all hosts."""
    budget = window_budget.SlidingWindowBudget(0.2, 6.0, 10.0)
    now = 0.0
    firsts, retries = [], []
    for gap, is_first in steps:
        now += gap
        if is_first:
            budget.record_first_attempt(now)
            firsts.append(now)
        elif budget.try_acquire(now):
            retries.append(now)
        in_window = [at for at in retries if at >= now - 10.0]
        base = [at for at in firsts if at >= now - 20.0]
        assert len(in_window) <= 0.2 * len(base) + 6.0


def test_budget_recovers_once_the_window_has_passed():
    """Guards against a host that stops retrying after it spent its budget."""
    budget = window_budget.SlidingWindowBudget(0.2, 5.0, 10.0)
    while budget.try_acquire(0.0):
        pass
    assert not budget.try_acquire(5.0)
    assert budget.try_acquire(10.5)


def test_fleet_stays_within_its_budget_while_all_targets_fail():
    """Every request fails at every target for 8 s.

    Seven hosts of unequal load share a slack of 40. One of them restarts
    during the outage and loses its count of retries.
    """
    hosts, ratio, slack, window_s = 7, 0.2, 40.0, 10.0

    def new_budget() -> window_budget.SlidingWindowBudget:
        return window_budget.SlidingWindowBudget(
            ratio, slack / hosts, window_s
        )

    budgets = [new_budget() for _ in range(hosts)]
    firsts: list[float] = []
    retries: list[float] = []
    for tick in range(4000):
        now = tick * 0.005
        if tick == 1200:
            budgets[0] = new_budget()
        number = tick % 10
        budget = budgets[number if number < hosts else 0]
        budget.record_first_attempt(now)
        firsts.append(now)
        if 4.0 <= now < 12.0 and budget.try_acquire(now):
            retries.append(now)
        start = now - window_s
        recent = sum(at >= start for at in retries)
        allowed = ratio * sum(at >= start for at in firsts) + slack
        assert recent <= allowed
    assert len(retries) > 100, 'hardly any retry was allowed'


def test_refused_request_allows_no_retry():
    """Guards against retries in proportion to requests that were not sent."""
    budget = window_budget.SlidingWindowBudget(1.0, 0.0, 10.0)
    for _ in range(20):
        budget.record_first_attempt(1.0)
    allowed = budget.available(1.0)
    budget.record_first_attempt(1.0)
    budget.retract_first_attempt()
    assert budget.available(1.0) == allowed
