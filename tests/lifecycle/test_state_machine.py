"""Tests of the request state machine."""

import automat
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from walnutport.lifecycle import answers
from walnutport.lifecycle import state_machine


class LifecycleMachine(stateful.RuleBasedStateMachine):
    """Guards against ``not_run`` after bytes were sent, and second answers."""

    def __init__(self) -> None:
        super().__init__()
        self.machine = state_machine.new_state_machine('r1')
        self.sent = False
        self.answer: answers.Answer | None = None

    @stateful.precondition(lambda self: self.answer is None)
    @stateful.rule()
    def send(self) -> None:
        self.machine.attempt_sent()
        self.sent = True

    @stateful.precondition(lambda self: self.answer is None)
    @stateful.rule(reason=st.sampled_from(answers.Reason))
    def give_up(self, reason: answers.Reason) -> None:
        self.answer = self.machine.give_up(reason, '', 0.0)

    @stateful.precondition(lambda self: self.answer is None and self.sent)
    @stateful.rule(definite=st.booleans())
    def finish(self, definite: bool) -> None:
        if definite:
            self.answer = self.machine.fail(answers.Reason.TARGET_FAILED, '')
        else:
            self.answer = self.machine.complete(b'{}')

    @stateful.precondition(lambda self: self.answer is not None)
    @stateful.rule()
    def second_answer_is_impossible(self) -> None:
        with pytest.raises(automat.NoTransition):
            self.machine.give_up(answers.Reason.OVERLOAD, '', 0.0)

    @stateful.invariant()
    def not_run_means_nothing_was_sent(self) -> None:
        if self.answer is not None:
            not_run = self.answer.outcome is answers.Outcome.NOT_RUN
            assert not_run == (not self.sent)


TestLifecycle = LifecycleMachine.TestCase


def test_complete_without_a_send_is_impossible() -> None:
    """Guards against a result that no target has returned."""
    with pytest.raises(automat.NoTransition):
        state_machine.new_state_machine('r1').complete(b'{}')
