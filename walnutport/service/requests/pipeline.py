"""Runs one request through claim, permit, admission and all its stages."""

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

    ``claimed_runs`` counts the claimed runs in flight, which go on when
    their callers disconnect.

    :param claims: grants claims for requests that must run at most once;
        None runs them without a claim, as the naive policy does.
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
        """Deliver the queue decisions that are due by now."""
        self._policies.admission.advance(self._clock.monotonic())
        self._entry_waiter.advance()
        self._stages.advance()

    async def run(self, call: calls.Call) -> answers.Answer:
        """Run a request and return its final answer."""
        if (
            call.pipeline.first_non_repeatable_index() is None
            or not self._claims
        ):
            return await self._run_to_answer(call)
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
        # The run goes on if the caller disconnects: a retry by the caller
        # may ask for its answer, and a stage that cannot be repeated may
        # have been sent.
        claimed_run = defer.Deferred.fromCoroutine(
            self._run_and_finish_claim(call, claims, claimed.ok.claim_id)
        )
        answered: defer.Deferred[answers.Answer] = defer.Deferred()
        claimed_run.addBoth(
            lambda result: answered.called or answered.callback(result)
        )
        return await answered

    async def _run_and_finish_claim(
        self, call: calls.Call, claims: interfaces.ClaimGate, claim_id: str
    ) -> answers.Answer:
        answer = answers.Answer(
            answers.Outcome.UNKNOWN, answers.Reason.INTERNAL
        )
        self.claimed_runs += 1
        try:
            answer = await self._run_to_answer(call)
        except Exception:  # noqa: BLE001 - the claim must be finished
            LOG.exception('%s request %s failed', PREFIX, call.request_id)
        finally:
            self.claimed_runs -= 1
            claims.finish_run(claim_id, answer)
        return answer

    async def _run_to_answer(self, call: calls.Call) -> answers.Answer:
        state = state_machine.new_state_machine(call.request_id)
        try:
            return await self._run_with_permit(call, state)
        except defer.CancelledError:
            return state.give_up(answers.Reason.CALLER_GONE, '', 0.0)

    async def _run_with_permit(
        self, call: calls.Call, state: state_machine.RequestStateMachine
    ) -> answers.Answer:
        permitted = await self._stages.guard.acquire_permit(call, wait=False)
        if isinstance(permitted, attempt.StageFailure):
            return _answer_failure(state, permitted)
        try:
            return await self._run_with_ticket(permitted, state)
        finally:
            self._stages.guard.release_permit(permitted, call)

    async def _run_with_ticket(
        self, call: calls.Call, state: state_machine.RequestStateMachine
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
            return state.give_up(
                answers.Reason(decision.reason), '', decision.retry_after_s
            )
        try:
            return await self._run_stages(call, state)
        finally:
            self._entry_waiter.release(ticket.ticket_id)

    async def _run_stages(
        self, call: calls.Call, state: state_machine.RequestStateMachine
    ) -> answers.Answer:
        stage_input = call.body
        for index, stage in enumerate(call.pipeline.stages):
            outcome = await self._stages.run(
                call, stage, stage_input, state.attempt_sent
            )
            if isinstance(outcome, attempt.StageFailure):
                return _answer_failure(state, outcome)
            stage_input = outcome.output_json
            self._release_unused_pool(call, index)
        return state.complete(stage_input)

    def _release_unused_pool(self, call: calls.Call, index: int) -> None:
        """Release the pool of a finished stage if no later stage uses it."""
        service = call.pipeline.stages[index].service
        later_stages = call.pipeline.stages[index + 1 :]
        if all(stage.service != service for stage in later_stages):
            self._entry_waiter.deliver(
                self._policies.admission.release_window(
                    call.run_id, service, self._clock.monotonic()
                )
            )


def _answer_failure(
    state: state_machine.RequestStateMachine, failure: attempt.StageFailure
) -> answers.Answer:
    if failure.definite:
        return state.fail(failure.reason, failure.detail)
    return state.give_up(failure.reason, failure.detail, failure.retry_after_s)
