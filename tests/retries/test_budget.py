"""Model-based test of the retry budget against a replay of all events."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from walnutport.retries import budget


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Requests and retries while the clock moves forward and back."""

    share = 0.1

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.budget = budget.RetryBudget(self.share, self.now)
        self.events: list[tuple[float, float]] = []

    def expected_balance(self) -> float:
        """Return the expected balance, computed from all events."""
        tokens, last = budget.INITIAL_TOKENS, 100.0
        for at, change in [*self.events, (self.now, 0.0)]:
            earned = max(0.0, at - last) * budget.REFILL_TOKENS_PER_S
            last = max(last, at)
            if change < 0:
                tokens = min(budget.MAX_TOKENS, tokens + earned) + change
            else:
                tokens = min(budget.MAX_TOKENS, tokens + earned + change)
        return tokens

    @stateful.rule(count=st.integers(1, 40))
    def start_requests(self, count: int) -> None:
        for _ in range(count):
            self.budget.record_request(self.now)
            self.events.append((self.now, self.share))

    @stateful.rule()
    def acquire(self) -> None:
        """A retry is allowed if and only if a token is available."""
        balance = self.expected_balance()
        if abs(balance - 1.0) < 1e-6:
            return
        acquired = self.budget.try_acquire(self.now)
        assert acquired == (balance >= 1.0)
        if acquired:
            self.events.append((self.now, -1.0))

    @stateful.rule(step=st.floats(-1.0, 8.0))
    def advance_clock(self, step: float) -> None:
        """Move the clock; a step back must not add tokens."""
        self.now += step
        self.events.append((self.now, 0.0))
        self.budget.record_request(self.now)
        self.events.append((self.now, self.share))

    @stateful.invariant()
    def balance_equals_the_replay(self) -> None:
        """Tokens are neither lost nor created."""
        balance = self.budget.available(self.now)
        assert balance == pytest.approx(self.expected_balance())
        assert 0.0 <= balance <= budget.MAX_TOKENS


BudgetMachine.TestCase.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=40
)
TestBudget = BudgetMachine.TestCase
