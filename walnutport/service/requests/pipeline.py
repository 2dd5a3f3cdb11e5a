"""Runs one request through admission, claim and every stage."""

import logging

from twisted.internet import defer

from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.lifecycle import state_machine
from walnutport.service import policies as host_policies
from walnutport.service.requests import attempt
from walnutport.service.requests import calls
from walnutport.service.requests import queue_waiter
from walnutport.service.requests import stage_runner

__all__ = ['PipelineRunner']

LOG = logging.getLogger(__name__)
PREFIX = 'pipeline:'


class PipelineRunner:
    """Runs requests and returns exactly one answer for each.

    :param claims: grants runs of requests that must run at most once; None
        runs them without a claim, as the naive policy does.

    ``claimed_runs`` counts the claimed runs in flight, which outlive their
    callers.
    """

    def __init__(
        self,
        policies: host_policies.Policies,
        stages: stage_runner.StageRunner,
        clock: interfaces.Clock,
        claims: interfaces.ClaimGate | None = None,
    ) -> None:
        self._policies = policies
        self._stages = stages
        self._clock = clock
        self._claims = claims
        self.claimed_runs = 0
        self._entry_waiter = queue_waiter.QueueWaiter(
            policies.admission.entry_queue, clock
        )

    def advance(self) -> None:
        """Deliver decisions that follow from the passing of time."""
        self._policies.admission.advance(self._clock.monotonic())
        self._entry_waiter.advance()
        self._stages.advance()

    async def run(self, call: calls.Call) -> answers.Answer:
        """Run a request and return its final answer."""
        if call.pipeline.first_unrepeatable() is None or not self._claims:
            return await self._run_permitted(call)
        try:
            return await self._run_claimed(call, self._claims)
        except defer.CancelledError:
            return answers.Answer(
                answers.Outcome.UNKNOWN, answers.Reason.CALLER_GONE
            )

    async def _run_claimed(
        self, call: calls.Call, claims: interfaces.ClaimGate
    ) -> answers.Answer:
        identity = interfaces.ClaimIdentity(
            call.member.member_id, call.contract.entry_id, call.key
        )
        claimed = await claims.claim(identity, call.digest(), call.deadline)
        if claimed.is_error():
            return claimed.error.answer
        # The run goes on if the caller leaves, as a repeat may want its
        # answer and a stage may have been sent that cannot be repeated.
        owned = defer.Deferred.fromCoroutine(
            self._run_owned(call, claims, claimed.ok.claim_id)
        )
        waiting: defer.Deferred[answers.Answer] = defer.Deferred()
        owned.addBoth(
            lambda result: waiting.called or waiting.callback(result)
        )
        return await waiting

    async def _run_owned(
        self, call: calls.Call, claims: interfaces.ClaimGate, claim_id: str
    ) -> answers.Answer:
        answer = answers.Answer(
            answers.Outcome.UNKNOWN, answers.Reason.INTERNAL
        )
        self.claimed_runs += 1
        try:
            answer = await self._run_permitted(call)
        except Exception:  # noqa: BLE001 - the claim must be finished
            LOG.exception('%s %s failed', PREFIX, call.request_id)
        finally:
            self.claimed_runs -= 1
            claims.finish_run(claim_id, answer)
        return answer

    async def _run_permitted(self, call: calls.Call) -> answers.Answer:
        life = state_machine.new_state_machine(call.request_id)
        try:
            return await self._run_checked(call, life)
        except defer.CancelledError:
            return life.give_up(answers.Reason.CALLER_GONE, '', 0.0)

    async def _run_checked(
        self, call: calls.Call, life: state_machine.RequestStateMachine
    ) -> answers.Answer:
        entered = await self._stages.guard.enter(call, wait=False)
        if isinstance(entered, attempt.StageFailure):
            return _close(life, entered)
        try:
            return await self._run_admitted(entered, life)
        finally:
            self._stages.guard.leave(entered, call)

    async def _run_admitted(
        self, call: calls.Call, life: state_machine.RequestStateMachine
    ) -> answers.Answer:
        ticket = interfaces.Ticket(
            call.run_id,
            call.contract.entry_id,
            call.member.member_id,
            call.class_id,
            call.deadline,
        )
        decision = await self._entry_waiter.acquire(ticket)
        if decision.kind is interfaces.DecisionKind.REFUSED:
            return life.give_up(
                answers.Reason(decision.reason), '', decision.retry_after_s
            )
        try:
            return await self._run_stages(call, life)
        finally:
            self._entry_waiter.release(ticket.ticket_id)

    async def _run_stages(
        self, call: calls.Call, life: state_machine.RequestStateMachine
    ) -> answers.Answer:
        data = call.body
        for index, stage in enumerate(call.pipeline.stages):
            outcome = await self._stages.run(
                call, stage, data, life.attempt_sent
            )
            if isinstance(outcome, attempt.StageFailure):
                return _close(life, outcome)
            data = outcome.output_json
            self._leave_pool(call, index)
        return life.complete(data)

    def _leave_pool(self, call: calls.Call, index: int) -> None:
        """Make room for new work once no later stage uses the pool."""
        service = call.pipeline.stages[index].service
        later = call.pipeline.stages[index + 1 :]
        if all(stage.service != service for stage in later):
            self._entry_waiter.deliver(
                self._policies.admission.release_window(
                    call.run_id, service, self._clock.monotonic()
                )
            )


def _close(
    life: state_machine.RequestStateMachine, failure: attempt.StageFailure
) -> answers.Answer:
    if failure.definite:
        return life.fail(failure.reason, failure.detail)
    return life.give_up(failure.reason, failure.detail, failure.retry_after_s)
