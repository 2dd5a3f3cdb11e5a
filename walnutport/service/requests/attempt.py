"""Runs one attempt on one target and records its outcome."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import secrets

from twisted.internet import defer

from walnutport.adapters import stage_client
from walnutport.adapters import target_control
from walnutport import exceptions
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.service.fleet import suspects
from walnutport.service import policies as host_policies
from walnutport.service.requests import calls
from walnutport.service.requests import streams
from walnutport import world

__all__ = [
    'AttemptOutcome',
    'AttemptJob',
    'AttemptRunner',
    'LoadListener',
    'PerformAttempt',
    'StageFailure',
]

PerformAttempt = Callable[
    [world.Target, stage_client.StageCall, Callable[[], None]],
    Awaitable[stage_client.StageReply],
]

# Called with a target id, its load report and the report's maximum age in
# seconds.
LoadListener = Callable[[str, world.LoadReport, float], None]

_ABANDONED_STATUSES = (
    interfaces.AttemptStatus.CANCELLED,
    interfaces.AttemptStatus.TIMED_OUT,
)


@dataclasses.dataclass(frozen=True, slots=True)
class StageFailure:
    """Why a stage has no output.

    :param definite: whether a target answered that the run failed.
    """

    reason: answers.Reason
    detail: str
    definite: bool = False
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptJob:
    """The stage, input and target of an attempt."""

    call: calls.Call
    stage: world.Stage
    target: world.Target
    query: interfaces.RouteQuery
    input_json: bytes
    stream: streams.StreamedStage | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Outcome of an attempt; ``reply`` is set if it succeeded."""

    result: interfaces.AttemptResult
    reply: stage_client.StageReply | None
    failure: StageFailure


class AttemptRunner:
    """Runs attempts and reports each to router, quarantine and cost ledger.

    An attempt that was abandoned before its request left the host costs
    nothing.

    :param crash_detector: checks whether a target crashed; None skips this.
    :param control: cancels abandoned attempts at their targets.
    :param load_listeners: called with each load report in a reply.
    """

    def __init__(
        self,
        policies: host_policies.Policies,
        cost: interfaces.CostSink,
        clock: interfaces.Clock,
        reactor,
        crash_detector: suspects.CrashDetector | None = None,
        control: target_control.TargetControl | None = None,
        load_listeners: Sequence[LoadListener] = (),
    ) -> None:
        self._load_listeners = load_listeners
        self._policies = policies
        self._cost = cost
        self._clock = clock
        self._reactor = reactor
        self._crash_detector = crash_detector
        self._control = control
        self._running_by_digest: dict[bytes, list[defer.Deferred]] = {}
        if crash_detector is not None:
            crash_detector.table.on_quarantined = self.cancel_attempts

    def cancel_attempts(self, digest: bytes) -> None:
        """Cancel the repeatable attempts with content that crashes targets.

        Copies that are still in flight could crash further targets.
        """
        for running in list(self._running_by_digest.pop(digest, ())):
            running.cancel()

    async def run(
        self,
        job: AttemptJob,
        perform: PerformAttempt,
        on_sent: Callable[[], None],
    ) -> AttemptOutcome:
        """Run an attempt until its end or the deadline of the call.

        :param perform: sends the call to the target and returns its reply.
        :param on_sent: called before the first byte is sent.
        """
        attempt_id = secrets.token_hex(8)
        started_at = self._clock.monotonic()
        incarnation = self._record_start(job, attempt_id, started_at)
        reply = None
        crashed = sent = written = False

        def mark_sent() -> None:
            nonlocal sent
            sent = True
            on_sent()

        def mark_written() -> None:
            nonlocal written
            written = True

        status = interfaces.AttemptStatus.CANCELLED
        failure = StageFailure(answers.Reason.CALLER_GONE, job.stage.name)
        try:
            running = defer.Deferred.fromCoroutine(
                perform(
                    job.target,
                    _stage_call(job, attempt_id, started_at, mark_written),
                    mark_sent,
                )
            )
            running.addTimeout(
                max(0.0, job.call.deadline - started_at), self._reactor
            )
            reply = await self._run_cancellable(job, running)
            status = interfaces.AttemptStatus.OK
        except (exceptions.TargetError, defer.TimeoutError) as error:
            status, failure = _classify_error(error, job)
            if (
                self._crash_detector
                and status is interfaces.AttemptStatus.LOST
            ):
                crashed = await self._crash_detector.confirm_crash(
                    job.target, incarnation
                )
        finally:
            if sent and status in _ABANDONED_STATUSES and self._control:
                defer.Deferred.fromCoroutine(
                    self._control.cancel(job.target, attempt_id)
                )
            result = self._record_end(
                job, attempt_id, started_at, status, reply, crashed
            )
            if written or status not in _ABANDONED_STATUSES:
                self._record_cost(job, result)
        return AttemptOutcome(result, reply, failure)

    async def _run_cancellable(
        self, job: AttemptJob, running: defer.Deferred
    ) -> stage_client.StageReply:
        """Wait for an attempt that ``cancel_attempts`` may cancel.

        :raises ContentQuarantined: if ``cancel_attempts`` cancelled it.
        """
        if not job.stage.repeatable:
            return await running
        digest = job.call.digest()
        tracked = self._running_by_digest.setdefault(digest, [])
        tracked.append(running)
        try:
            return await running
        except defer.CancelledError:
            if running not in self._running_by_digest.get(digest, ()):
                raise exceptions.ContentQuarantined(
                    job.target.target_id
                ) from None
            raise
        finally:
            if running in tracked:
                tracked.remove(running)
            if not tracked and self._running_by_digest.get(digest) is tracked:
                del self._running_by_digest[digest]

    def _record_start(
        self, job: AttemptJob, attempt_id: str, now: float
    ) -> str:
        """Record the start and return the target's known incarnation."""
        target_id = job.target.target_id
        self._policies.router.attempt_started(
            target_id, attempt_id, job.query, now
        )
        self._policies.quarantine.attempt_started(
            job.call.digest(), target_id, attempt_id, now
        )
        if self._crash_detector is None:
            return ''
        return self._crash_detector.table.incarnation_of(target_id)

    def _record_end(
        self,
        job: AttemptJob,
        attempt_id: str,
        started_at: float,
        status: interfaces.AttemptStatus,
        reply: stage_client.StageReply | None,
        crashed: bool,
    ) -> interfaces.AttemptResult:
        now = self._clock.monotonic()
        result = interfaces.AttemptResult(
            attempt_id,
            job.target.target_id,
            job.stage.service,
            status,
            now - started_at,
            tokens=_token_count(job, attempt_id, reply),
            load=reply.load if reply else None,
            target_died=crashed,
        )
        self._policies.router.attempt_finished(result, now)
        self._policies.retries.attempt_finished(result, now)
        if result.load is not None:
            # A stream carries the report in its response head, so it may
            # be as old as the attempt.
            age_s = now - started_at if job.stream is not None else 0.0
            for listener in self._load_listeners:
                listener(result.target_id, result.load, age_s)
        self._policies.quarantine.attempt_finished(
            attempt_id, status is interfaces.AttemptStatus.OK, now
        )
        return result

    def _record_cost(
        self, job: AttemptJob, result: interfaces.AttemptResult
    ) -> None:
        self._cost.record(
            member_id=job.call.member.member_id,
            owner=job.call.contract.owner,
            entry_id=job.call.contract.entry_id,
            stage=job.stage.name,
            result=result,
        )


def _token_count(
    job: AttemptJob, attempt_id: str, reply: stage_client.StageReply | None
) -> int:
    if job.stream is not None:
        return job.stream.event_count(attempt_id)
    return reply.tokens if reply else 0


def _stage_call(
    job: AttemptJob,
    attempt_id: str,
    now: float,
    on_written: Callable[[], None],
) -> stage_client.StageCall:
    return stage_client.StageCall(
        attempt_id=attempt_id,
        request_id=job.call.request_id,
        entry_id=job.call.contract.entry_id,
        stage=job.stage.name,
        remaining_s=job.call.deadline - now,
        input_json=job.input_json,
        repeatable=job.stage.repeatable,
        priority=job.call.priority,
        model=job.stage.model,
        on_written=on_written,
    )


def _classify_error(
    error: Exception, job: AttemptJob
) -> tuple[interfaces.AttemptStatus, StageFailure]:
    target_id = job.target.target_id
    if isinstance(error, exceptions.ContentQuarantined):
        return interfaces.AttemptStatus.CANCELLED, StageFailure(
            answers.Reason.QUARANTINED, target_id
        )
    if isinstance(error, exceptions.NotSent):
        return interfaces.AttemptStatus.NOT_SENT, StageFailure(
            answers.Reason.NO_TARGET, f'{target_id}: {error}'
        )
    if isinstance(error, exceptions.TargetRefused):
        return interfaces.AttemptStatus.FAILED, StageFailure(
            answers.Reason.TARGET_FAILED,
            f'{target_id}: status {error.status}',
            definite=True,
        )
    if isinstance(error, defer.TimeoutError):
        return interfaces.AttemptStatus.TIMED_OUT, StageFailure(
            answers.Reason.DEADLINE_EXCEEDED, job.stage.name
        )
    return interfaces.AttemptStatus.LOST, StageFailure(
        answers.Reason.TARGET_LOST, f'{target_id}: {error}'
    )
