"""Runs one stage of one request: queue, route, attempt, retry."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from twisted.internet import task

from walnutport.adapters import engine
from walnutport.adapters import stage as stage_adapter
from walnutport.adapters import target_control
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.routing import prefixes
from walnutport.service.fleet import suspects
from walnutport.service import policies as host_policies
from walnutport.service.requests import attempt
from walnutport.service.requests import calls
from walnutport.service.requests import hedging
from walnutport.service.requests import queue_waiter
from walnutport.service.requests import streams
from walnutport.service.requests import suspect_runs
from walnutport.service.targets import target_watch
from walnutport import world

__all__ = ['StageRunner', 'StageSuccess']

_NO_TARGET_RETRY_S = 1.0
# Share of its time that a request waits for a target: a suspect for one that
# runs no other suspect, any other request while all targets are down.
_SUSPECT_WAIT_SHARE = 0.75
_WAIT_SHARE = 0.25
_TURN_S = 0.01


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
        engines: engine.EngineClient,
        cost: interfaces.CostSink,
        clock: interfaces.Clock,
        reactor,
        *,
        watch: suspects.CrashDetector | None = None,
        permits: interfaces.PermitGate | None = None,
        control: target_control.TargetControl | None = None,
        load_listeners: Sequence[attempt.LoadListener] = (),
        targets: target_watch.TargetWatch | None = None,
    ) -> None:
        self._targets = targets
        self._policies = policies
        self._client = client
        self._engines = engines
        self._clock = clock
        self._reactor = reactor
        self._runner = attempt.AttemptRunner(
            policies, cost, clock, reactor, watch, control, load_listeners
        )
        self._watch = watch
        self.hedged_runner = hedging.HedgedRunner(
            self._runner, policies, clock, reactor, targets
        )
        self.guard = suspect_runs.SuspectGuard(
            policies, permits, clock, reactor
        )
        self._waiters_by_service: dict[str, queue_waiter.QueueWaiter] = {}

    def waiter(self, service: str) -> queue_waiter.QueueWaiter:
        """Return the queue in front of a pool."""
        found = self._waiters_by_service.get(service)
        if found is None:
            queue = self._policies.admission.pool_queue(service)
            found = queue_waiter.QueueWaiter(queue, self._clock)
            self._waiters_by_service[service] = found
        return found

    def advance(self) -> None:
        """Deliver decisions that follow from the passing of time."""
        for waiter in self._waiters_by_service.values():
            waiter.advance()
        if self._watch is not None:
            self._watch.advance()

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
            stages_completed=call.pipeline.stages.index(stage),
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
            outcome = await self._attempts(
                call, stage, input_json, on_sent, ticket
            )
            if _tells_latency(outcome):
                now = self._clock.monotonic()
                self._policies.admission.record_stage_time(
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
        ticket: interfaces.Ticket,
    ) -> StageSuccess | attempt.StageFailure:
        self._policies.retries.request_started(
            stage.service, self._clock.monotonic()
        )
        stream = streams.open_stream(self._engines, call, stage)
        perform = stream.perform if stream else self._client.run
        digests = (
            prefixes.prefix_digests(stage.model, input_json)
            if stage.model
            else ()
        )
        held = call
        excluded: frozenset[str] = frozenset()
        tries = 0
        reruns = 0
        failure: attempt.StageFailure | None = None
        try:
            while True:
                entered = await self.guard.begin(held, stage.name)
                if isinstance(entered, attempt.StageFailure):
                    return entered
                held = entered
                ok = False
                try:
                    job = await self._wait_job(
                        held, stage, input_json, excluded, digests
                    )
                    if isinstance(job, attempt.StageFailure):
                        return _final_failure(failure or job, stream)
                    # A resumed stream has a part of its work behind it.
                    resumed = stream is not None and stream.session.started
                    if not resumed and self._is_hopeless(ticket):
                        return _final_failure(
                            failure or _infeasible(stage), stream
                        )
                    job = dataclasses.replace(job, stream=stream)
                    race = await self.hedged_runner.run(job, perform, on_sent)
                    ended = race.ended
                    ok = ended.reply is not None
                finally:
                    self.guard.end(held, stage.name, ok)
                tries += 1
                if ended.reply is not None:
                    return StageSuccess(ended.reply.output_json)
                excluded |= race.tried
                failure = ended.failure
                if ended.result.target_died and stage.repeatable:
                    # The one re-run of a suspect needs no retry budget: the
                    # guard above lets it run only under a permit.
                    reruns += 1
                    if reruns > 1:
                        return _final_failure(failure, stream)
                    continue
                decision = self._decide_retry(held, stage, ended.result, tries)
                if not decision.retry:
                    return _final_failure(failure, stream)
                if decision.delay_s > 0:
                    await task.deferLater(self._reactor, decision.delay_s)
        finally:
            self.guard.leave(held, call)

    def _is_hopeless(self, ticket: interfaces.Ticket) -> bool:
        """Return whether not even a fast run ends before the deadline.

        The queue checks this too, but retries, permits and questions to
        targets take time after it.
        """
        left_s = ticket.deadline - self._clock.monotonic()
        return left_s <= self._policies.admission.min_remaining_s(ticket)

    async def _wait_job(
        self,
        call: calls.Call,
        stage: world.Stage,
        input_json: bytes,
        excluded: frozenset[str],
        digests: tuple[bytes, ...],
    ) -> attempt.AttemptJob | attempt.StageFailure:
        """Return the next job, after a wait if no target is free for it."""
        now = self._clock.monotonic()
        share = _SUSPECT_WAIT_SHARE if call.permit_id else _WAIT_SHARE
        until = now + share * (call.deadline - now)
        asked = 0
        while True:
            job = self._next_job(call, stage, input_json, excluded, digests)
            if isinstance(job, attempt.AttemptJob):
                if self._targets is None or self._targets.is_fresh(job.target):
                    return job
                if not await self._targets.confirm(job.target):
                    excluded |= {job.target.target_id}
                    continue
                # Attempts that waited for the same report are spread again
                # by load, but only once, to bound the wait.
                asked += 1
                if asked > 1:
                    return job
                continue
            if self._clock.monotonic() >= until:
                return job
            await task.deferLater(self._reactor, _TURN_S)

    def _next_job(
        self,
        call: calls.Call,
        stage: world.Stage,
        input_json: bytes,
        excluded: frozenset[str],
        digests: tuple[bytes, ...],
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
            prefix_digests=digests,
            excluded=excluded,
            isolated=bool(call.permit_id),
            content_digest=call.digest(),
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
        if self._policies.at_most_once and not (stage.repeatable or not_sent):
            return interfaces.RetryDecision(False)
        return self._policies.retries.after_failure(
            result,
            attempts=tries,
            repeatable=stage.repeatable or not_sent,
            suspect=bool(call.permit_id),
            deadline=call.deadline,
            now=self._clock.monotonic(),
        )


def _infeasible(stage: world.Stage) -> attempt.StageFailure:
    return attempt.StageFailure(answers.Reason.DEADLINE_INFEASIBLE, stage.name)


def _final_failure(
    failure: attempt.StageFailure, stream: streams.StreamedStage | None
) -> attempt.StageFailure:
    if stream is None:
        return failure
    return dataclasses.replace(failure, reason=stream.reason(failure.reason))


def _tells_latency(outcome: StageSuccess | attempt.StageFailure) -> bool:
    """Return whether a stage ran to its end or to the deadline."""
    return (
        isinstance(outcome, StageSuccess)
        or outcome.reason is answers.Reason.DEADLINE_EXCEEDED
    )
