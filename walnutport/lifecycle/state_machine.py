"""State machine of one request: which outcomes are still truthful.

An answer of ``not_run`` exists only in the states before any byte of an
attempt was handed to a target connection. The machine has no transition from
the later states to such an answer, so a false refusal cannot be built.

============  =========================================================
State         Meaning
============  =========================================================
accepted      validated; nothing was sent to a target
sent          bytes of at least one attempt were handed to a connection
closed        the final answer was given
============  =========================================================
"""

import dataclasses
from typing import Protocol

import automat

from walnutport import exceptions
from walnutport.lifecycle import answers

__all__ = ['RequestStateMachine', 'RequestLifecycle', 'new_state_machine']


class RequestStateMachine(Protocol):
    """Inputs of the state machine of a request."""

    def attempt_sent(self) -> None:
        """Record that bytes of an attempt went to a target connection."""

    def complete(self, output: bytes) -> answers.Answer:
        """Close with the whole result."""

    def give_up(
        self, reason: answers.Reason, detail: str, retry_after_s: float
    ) -> answers.Answer:
        """Close without a result; the state decides the outcome."""

    def fail(self, reason: answers.Reason, detail: str) -> answers.Answer:
        """Close with the definite error of a target that ran."""


@dataclasses.dataclass(slots=True)
class RequestLifecycle:
    """Data that belongs to one state machine."""

    request_id: str
    attempts_sent: int = 0


def _give_up_with(outcome: answers.Outcome):
    """Return the transition that gives a request up with an outcome."""

    def give_up(
        machine: RequestStateMachine,
        core: RequestLifecycle,
        reason: answers.Reason,
        detail: str,
        retry_after_s: float,
    ) -> answers.Answer:
        return answers.Answer(
            outcome, reason, detail=detail, retry_after_s=retry_after_s
        )

    return give_up


def _build() -> automat.TypeMachineBuilder:
    builder = automat.TypeMachineBuilder(RequestStateMachine, RequestLifecycle)
    accepted = builder.state('accepted')
    sent = builder.state('sent')
    closed = builder.state('closed')

    @accepted.upon(RequestStateMachine.attempt_sent).to(sent)
    def first_sent(
        machine: RequestStateMachine, core: RequestLifecycle
    ) -> None:
        core.attempts_sent += 1

    @sent.upon(RequestStateMachine.attempt_sent).loop()
    def sent_again(
        machine: RequestStateMachine, core: RequestLifecycle
    ) -> None:
        core.attempts_sent += 1

    @sent.upon(RequestStateMachine.complete).to(closed)
    def completed(
        machine: RequestStateMachine, core: RequestLifecycle, output: bytes
    ) -> answers.Answer:
        return answers.Answer(
            answers.Outcome.COMPLETE, answers.Reason.OK, output
        )

    accepted.upon(RequestStateMachine.give_up).to(closed)(
        _give_up_with(answers.Outcome.NOT_RUN)
    )
    sent.upon(RequestStateMachine.give_up).to(closed)(
        _give_up_with(answers.Outcome.UNKNOWN)
    )

    @sent.upon(RequestStateMachine.fail).to(closed)
    def failed(
        machine: RequestStateMachine,
        core: RequestLifecycle,
        reason: answers.Reason,
        detail: str,
    ) -> answers.Answer:
        return answers.Answer(answers.Outcome.FAILED, reason, detail=detail)

    return builder


_MACHINE = _build().build()


def new_state_machine(request_id: str) -> RequestStateMachine:
    """Return the state machine of a new request.

    >>> machine = new_state_machine('r1')
    >>> machine.give_up(answers.Reason.OVERLOAD, '', 1.0).outcome.value
    'not_run'
    """
    return _MACHINE(RequestLifecycle(request_id))


def require_reason(code: str) -> answers.Reason:
    """Return the reason with a code.

    :raises CodecError: if the code is unknown.
    """
    try:
        return answers.Reason(code)
    except ValueError:
        raise exceptions.CodecError(f'unknown reason {code!r}') from None
