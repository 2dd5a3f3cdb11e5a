"""Runs one stage of one request: queue, route, attempt, retry."""

from collections.abc import Callable
import dataclasses

from twisted.internet import task

from walnutport.adapters import stage as stage_adapter
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.service import attempt
from walnutport.service import calls
from walnutport.service import policies as host_policies
from walnutport.service import waiting
from walnutport import world

__all__ = ['StageRunner', 'StageSuccess']

_NO_TARGET_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StageSuccess:
    """Output of a stage."""

    output_json: bytes


class StageRunner:
    """Runs stages on targets under the host's policies."""

    def __init__(
        self,
        policies: host_policies.Policies,
        client: stage_adapter.StageClient,
        cost: interfaces.CostSink,
        clock: interfaces.Clock,
        reactor,
    ) -> None:
        self._policies = policies
        self._client = client
        self._clock = clock
        self._reactor = reactor
        self._runner = attempt.AttemptRunner(policies, cost, clock, reactor)
        self._waiters_by_service: dict[str, waiting.QueueWaiter] = {}

    def waiter(self, service: str) -> waiting.QueueWaiter:
        """Return the queue in front of a pool."""
        found = self._waiters_by_service.get(service)
        if found is None:
            queue = self._policies.admission.pool_queue(service)
            found = waiting.QueueWaiter(queue, self._clock)
            self._waiters_by_service[service] = found
        return found

    def advance(self) -> None:
        """Deliver decisions that follow from the passing of time."""
        for waiter in self._waiters_by_service.values():
            waiter.advance()

    async def run(
        self,
        call: calls.Call,
        stage: world.Stage,
        input_json: bytes,
        on_sent: Callable[[], None],
    ) -> StageSuccess | attempt.StageFailure:
        """Run a stage to its output or to a final failure.

        :param on_sent: called before bytes of an attempt are sent.
        """
        ticket = interfaces.Ticket(
            f'{call.run_id}/{stage.name}',
            call.contract.entry_id,
            call.member.member_id,
            call.class_id,
            call.deadline,
            stages_passed=call.pipeline.stages.index(stage),
        )
        waiter = self.waiter(stage.service)
        offered_at = self._clock.monotonic()
        decision = await waiter.acquire(ticket)
        if decision.kind is interfaces.DecisionKind.REFUSED:
            return attempt.StageFailure(
                answers.Reason(decision.reason),
                f'pool {stage.service}',
                retry_after_s=decision.retry_after_s,
            )
        granted_at = self._clock.monotonic()
        try:
            outcome = await self._attempts(call, stage, input_json, on_sent)
            if _tells_latency(outcome):
                now = self._clock.monotonic()
                self._policies.admission.stage_held(
                    call.contract.entry_id,
                    stage.name,
                    granted_at - offered_at,
                    now - granted_at,
                    now,
                )
            return outcome
        finally:
            waiter.release(ticket.ticket_id)

    async def _attempts(
        self,
        call: calls.Call,
        stage: world.Stage,
        input_json: bytes,
        on_sent: Callable[[], None],
    ) -> StageSuccess | attempt.StageFailure:
        self._policies.retries.request_started(
            stage.service, self._clock.monotonic()
        )
        excluded: frozenset[str] = frozenset()
        tries = 0
        while True:
            job = self._next_job(call, stage, input_json, excluded)
            if isinstance(job, attempt.StageFailure):
                return job
            tries += 1
            ended = await self._runner.run(job, self._client.run, on_sent)
            if ended.reply is not None:
                return StageSuccess(ended.reply.output_json)
            excluded |= {job.target.target_id}
            decision = self._decide_retry(call, stage, ended.result, tries)
            if not decision.retry:
                return ended.failure
            if decision.delay_s > 0:
                await task.deferLater(self._reactor, decision.delay_s)

    def _next_job(
        self,
        call: calls.Call,
        stage: world.Stage,
        input_json: bytes,
        excluded: frozenset[str],
    ) -> attempt.AttemptJob | attempt.StageFailure:
        now = self._clock.monotonic()
        if now >= call.deadline:
            return attempt.StageFailure(
                answers.Reason.DEADLINE_EXCEEDED, stage.name
            )
        query = interfaces.RouteQuery(
            stage.service,
            call.deadline,
            model=stage.model,
            excluded=excluded,
        )
        target = self._policies.router.route(query, now)
        if target is None:
            return attempt.StageFailure(
                answers.Reason.NO_TARGET,
                stage.service,
                retry_after_s=_NO_TARGET_RETRY_S,
            )
        return attempt.AttemptJob(call, stage, target, query, input_json)

    def _decide_retry(
        self,
        call: calls.Call,
        stage: world.Stage,
        result: interfaces.AttemptResult,
        tries: int,
    ) -> interfaces.RetryDecision:
        not_sent = result.status is interfaces.AttemptStatus.NOT_SENT
        return self._policies.retries.after_failure(
            result,
            attempts=tries,
            repeatable=stage.repeatable or not_sent,
            suspect=False,
            deadline=call.deadline,
            now=self._clock.monotonic(),
        )


def _tells_latency(outcome: StageSuccess | attempt.StageFailure) -> bool:
    """Return whether a stage ran to its end or to the deadline."""
    return (
        isinstance(outcome, StageSuccess)
        or outcome.reason is answers.Reason.DEADLINE_EXCEEDED
    )
