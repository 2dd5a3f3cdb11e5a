"""Differential test of the retry budget against a replay of all events."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from walnutport.retries import budget


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Requests and retries at changing times."""

    share = 0.1

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.budget = budget.RetryBudget(self.share, self.now)
        self.events: list[tuple[float, float]] = []

    def replayed(self) -> float:
        """Return the tokens that a replay of all events leaves."""
        tokens, last = budget.FIRST_TOKENS, 100.0
        for at, change in [*self.events, (self.now, 0.0)]:
            earned = max(0.0, at - last) * budget.MIN_RATE_PER_S
            last = max(last, at)
            if change < 0:
                tokens = min(budget.CAPACITY, tokens + earned) + change
            else:
                tokens = min(budget.CAPACITY, tokens + earned + change)
        return tokens

    @stateful.rule(count=st.integers(1, 40))
    def earn(self, count: int) -> None:
        """Count requests."""
        for _ in range(count):
            self.budget.earn(self.now)
            self.events.append((self.now, self.share))

    @stateful.rule()
    def take(self) -> None:
        """Guards against retries without a token and the reverse."""
        left = self.replayed()
        if abs(left - 1.0) < 1e-6:
            return
        taken = self.budget.take(self.now)
        assert taken == (left >= 1.0)
        if taken:
            self.events.append((self.now, -1.0))

    @stateful.rule(step=st.floats(-1.0, 8.0))
    def pass_time(self, step: float) -> None:
        """Let time pass; a step back must not earn anything."""
        self.now += step
        self.events.append((self.now, 0.0))
        self.budget.earn(self.now)
        self.events.append((self.now, self.share))

    @stateful.invariant()
    def agrees(self) -> None:
        """Guards against tokens that leak or appear."""
        left = self.budget.available(self.now)
        assert left == pytest.approx(self.replayed())
        assert 0.0 <= left <= budget.CAPACITY


BudgetMachine.TestCase.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=40
)
TestBudget = BudgetMachine.TestCase
