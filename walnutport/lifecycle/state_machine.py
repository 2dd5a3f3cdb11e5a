"""State machine of a request, which allows only truthful outcomes.

An answer of ``not_run`` is possible only in the state before any byte of an
attempt was written to a target connection. There is no transition from the
later states to such an answer, so a false ``not_run`` cannot be constructed.

============  =========================================================
State         Meaning
============  =========================================================
accepted      validated; nothing was sent to a target
sent          bytes of at least one attempt were written to a connection
closed        the final answer was given
============  =========================================================
"""

import dataclasses
from typing import Protocol

import automat

from walnutport import exceptions
from walnutport.lifecycle import answers

__all__ = ['RequestStateMachine', 'RequestData', 'new_state_machine']


class RequestStateMachine(Protocol):
    """Inputs of the state machine of a request."""

    def attempt_sent(self) -> None:
        """Record that bytes of an attempt were written to a connection."""

    def complete(self, output: bytes) -> answers.Answer:
        """Close with the complete result."""

    def give_up(
        self, reason: answers.Reason, detail: str, retry_after_s: float
    ) -> answers.Answer:
        """Close without a result; the state decides the outcome."""

    def fail(self, reason: answers.Reason, detail: str) -> answers.Answer:
        """Close with the definite error of a target that ran the request."""


@dataclasses.dataclass(slots=True)
class RequestData:
    """Data of one state machine."""

    request_id: str
    attempts_sent: int = 0


def _give_up_transition(outcome: answers.Outcome):
    """Return the transition that gives up a request with an outcome."""

    def give_up(
        machine: RequestStateMachine,
        core: RequestData,
        reason: answers.Reason,
        detail: str,
        retry_after_s: float,
    ) -> answers.Answer:
        return answers.Answer(
            outcome, reason, detail=detail, retry_after_s=retry_after_s
        )

    return give_up


def _create_builder() -> automat.TypeMachineBuilder:
    builder = automat.TypeMachineBuilder(RequestStateMachine, RequestData)
    accepted = builder.state('accepted')
    sent = builder.state('sent')
    closed = builder.state('closed')

    @accepted.upon(RequestStateMachine.attempt_sent).to(sent)
    def first_sent(machine: RequestStateMachine, core: RequestData) -> None:
        core.attempts_sent += 1

    @sent.upon(RequestStateMachine.attempt_sent).loop()
    def sent_again(machine: RequestStateMachine, core: RequestData) -> None:
        core.attempts_sent += 1

    @sent.upon(RequestStateMachine.complete).to(closed)
    def completed(
        machine: RequestStateMachine, core: RequestData, output: bytes
    ) -> answers.Answer:
        return answers.Answer(
            answers.Outcome.COMPLETE, answers.Reason.OK, output
        )

    accepted.upon(RequestStateMachine.give_up).to(closed)(
        _give_up_transition(answers.Outcome.NOT_RUN)
    )
    sent.upon(RequestStateMachine.give_up).to(closed)(
        _give_up_transition(answers.Outcome.UNKNOWN)
    )

    @sent.upon(RequestStateMachine.fail).to(closed)
    def failed(
        machine: RequestStateMachine,
        core: RequestData,
        reason: answers.Reason,
        detail: str,
    ) -> answers.Answer:
        return answers.Answer(answers.Outcome.FAILED, reason, detail=detail)

    return builder


_MACHINE = _create_builder().build()


def new_state_machine(request_id: str) -> RequestStateMachine:
    """Return the state machine of a new request.

    >>> machine = new_state_machine('r1')
    >>> machine.give_up(answers.Reason.OVERLOAD, '', 1.0).outcome.value
    'not_run'
    """
    return _MACHINE(RequestData(request_id))


def parse_reason(code: str) -> answers.Reason:
    """Return the reason with the given code.

    :raises CodecError: if the code is unknown.
    """
    try:
        return answers.Reason(code)
    except ValueError:
        raise exceptions.CodecError(f'unknown reason {code!r}') from None
