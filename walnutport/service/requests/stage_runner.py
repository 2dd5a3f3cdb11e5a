"""Runs one stage of one request: queue, route, attempt, retry."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from twisted.internet import task

from walnutport.adapters import engine_client
from walnutport.adapters import stage_client
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
# Largest share of its remaining time that a request waits for a target. A
# crash suspect waits for a target that runs no other suspect; any other
# request waits only while all targets are down.
_SUSPECT_ROUTE_WAIT_SHARE = 0.75
_ROUTE_WAIT_SHARE = 0.25
_ROUTE_RETRY_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class StageSuccess:
    """Output of a stage."""

    output_json: bytes


class StageRunner:
    """Runs stages on targets according to the host's policies.

    :param crash_detector: checks whether a target crashed; None skips this.
    :param watch: polls a silent target before an attempt; None skips this.
    """

    def __init__(
        self,
        policies: host_policies.Policies,
        client: stage_client.StageClient,
        engines: engine_client.EngineClient,
        cost: interfaces.CostSink,
        clock: interfaces.Clock,
        reactor,
        *,
        crash_detector: suspects.CrashDetector | None = None,
        permits: interfaces.PermitGate | None = None,
        control: target_control.TargetControl | None = None,
        load_listeners: Sequence[attempt.LoadListener] = (),
        watch: target_watch.TargetWatch | None = None,
    ) -> None:
        self._watch = watch
        self._policies = policies
        self._client = client
        self._engines = engines
        self._clock = clock
        self._reactor = reactor
        self._runner = attempt.AttemptRunner(
            policies,
            cost,
            clock,
            reactor,
            crash_detector,
            control,
            load_listeners,
        )
        self._crash_detector = crash_detector
        self.hedged_runner = hedging.HedgedRunner(
            self._runner, policies, clock, reactor, watch
        )
        self.guard = suspect_runs.SuspectGuard(
            policies, permits, clock, reactor
        )
        self._waiters_by_service: dict[str, queue_waiter.QueueWaiter] = {}

    def pool_waiter(self, service: str) -> queue_waiter.QueueWaiter:
        """Return the waiter of the admission queue of a pool."""
        waiter = self._waiters_by_service.get(service)
        if waiter is None:
            queue = self._policies.admission.pool_queue(service)
            waiter = queue_waiter.QueueWaiter(queue, self._clock)
            self._waiters_by_service[service] = waiter
        return waiter

    def advance(self) -> None:
        """Deliver the queue decisions that are due by now."""
        for waiter in self._waiters_by_service.values():
            waiter.advance()
        if self._crash_detector is not None:
            self._crash_detector.advance()

    async def run(
        self,
        call: calls.Call,
        stage: world.Stage,
        input_json: bytes,
        on_sent: Callable[[], None],
    ) -> StageSuccess | attempt.StageFailure:
        """Run a stage, with retries, to its output or a final failure.

        :param on_sent: called before the first byte of each attempt is sent.
        """
        ticket = interfaces.Ticket(
            f'{call.run_id}/{stage.name}',
            call.contract.entry_id,
            call.member.member_id,
            call.class_id,
            call.deadline,
            stages_completed=call.pipeline.stages.index(stage),
        )
        waiter = self.pool_waiter(stage.service)
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
            outcome = await self._run_attempts(
                call, stage, input_json, on_sent, ticket
            )
            if _has_run_time(outcome):
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

    async def _run_attempts(
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
        permitted_call = call
        excluded: frozenset[str] = frozenset()
        attempt_count = 0
        crash_reruns = 0
        failure: attempt.StageFailure | None = None
        try:
            while True:
                permitted = await self.guard.begin_attempt(
                    permitted_call, stage.name
                )
                if isinstance(permitted, attempt.StageFailure):
                    return permitted
                permitted_call = permitted
                ok = False
                try:
                    job = await self._wait_for_job(
                        permitted_call, stage, input_json, excluded, digests
                    )
                    if isinstance(job, attempt.StageFailure):
                        return _final_failure(failure or job, stream)
                    # The minimum run time covers a whole stage; a resumed
                    # stream needs less.
                    resumed = stream is not None and stream.session.started
                    if not resumed and self._cannot_meet_deadline(ticket):
                        return _final_failure(
                            failure or _deadline_infeasible(stage), stream
                        )
                    job = dataclasses.replace(job, stream=stream)
                    race_outcome = await self.hedged_runner.run(
                        job, perform, on_sent
                    )
                    attempt_outcome = race_outcome.outcome
                    ok = attempt_outcome.reply is not None
                finally:
                    self.guard.end_attempt(permitted_call, stage.name, ok)
                attempt_count += 1
                if attempt_outcome.reply is not None:
                    return StageSuccess(attempt_outcome.reply.output_json)
                excluded |= race_outcome.tried_ids
                failure = attempt_outcome.failure
                if attempt_outcome.result.target_died and stage.repeatable:
                    # A suspect is run again only once. That run needs no
                    # retry budget, as the guard requires a permit for it.
                    crash_reruns += 1
                    if crash_reruns > 1:
                        return _final_failure(failure, stream)
                    continue
                decision = self._decide_retry(
                    permitted_call,
                    stage,
                    attempt_outcome.result,
                    attempt_count,
                )
                if not decision.retry:
                    return _final_failure(failure, stream)
                if decision.delay_s > 0:
                    await task.deferLater(self._reactor, decision.delay_s)
        finally:
            self.guard.release_permit(permitted_call, call)

    def _cannot_meet_deadline(self, ticket: interfaces.Ticket) -> bool:
        """Return whether even a fast run would miss the deadline.

        The queue checks this too, but retries, permits and polls of targets
        take further time after that check.
        """
        left_s = ticket.deadline - self._clock.monotonic()
        return left_s <= self._policies.admission.min_remaining_s(ticket)

    async def _wait_for_job(
        self,
        call: calls.Call,
        stage: world.Stage,
        input_json: bytes,
        excluded: frozenset[str],
        digests: tuple[bytes, ...],
    ) -> attempt.AttemptJob | attempt.StageFailure:
        """Return the next job, waiting a while if no target can take it."""
        now = self._clock.monotonic()
        share = (
            _SUSPECT_ROUTE_WAIT_SHARE if call.permit_id else _ROUTE_WAIT_SHARE
        )
        give_up_at = now + share * (call.deadline - now)
        confirmations = 0
        while True:
            job = self._next_job(call, stage, input_json, excluded, digests)
            if isinstance(job, attempt.AttemptJob):
                if self._watch is None or self._watch.is_fresh(job.target):
                    return job
                if not await self._watch.confirm(job.target):
                    excluded |= {job.target.target_id}
                    continue
                # Attempts that waited for the same report are routed again
                # by the new load, but only once, to bound the wait.
                confirmations += 1
                if confirmations > 1:
                    return job
                continue
            if self._clock.monotonic() >= give_up_at:
                return job
            await task.deferLater(self._reactor, _ROUTE_RETRY_S)

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
        attempt_count: int,
    ) -> interfaces.RetryDecision:
        not_sent = result.status is interfaces.AttemptStatus.NOT_SENT
        if self._policies.at_most_once and not (stage.repeatable or not_sent):
            return interfaces.RetryDecision(False)
        return self._policies.retries.after_failure(
            result,
            attempts=attempt_count,
            repeatable=stage.repeatable or not_sent,
            suspect=bool(call.permit_id),
            deadline=call.deadline,
            now=self._clock.monotonic(),
        )


def _deadline_infeasible(stage: world.Stage) -> attempt.StageFailure:
    return attempt.StageFailure(answers.Reason.DEADLINE_INFEASIBLE, stage.name)


def _final_failure(
    failure: attempt.StageFailure, stream: streams.StreamedStage | None
) -> attempt.StageFailure:
    if stream is None:
        return failure
    return dataclasses.replace(
        failure, reason=stream.failure_reason(failure.reason)
    )


def _has_run_time(outcome: StageSuccess | attempt.StageFailure) -> bool:
    """Return whether a stage ran to its end or until the deadline."""
    return (
        isinstance(outcome, StageSuccess)
        or outcome.reason is answers.Reason.DEADLINE_EXCEEDED
    )
