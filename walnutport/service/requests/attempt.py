"""Runs one attempt on one target and books how it ended."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import secrets

from twisted.internet import defer

from walnutport.adapters import stage as stage_adapter
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
    'AttemptEnd',
    'AttemptJob',
    'AttemptRunner',
    'LoadListener',
    'Perform',
    'StageFailure',
]

Perform = Callable[
    [world.Target, stage_adapter.StageCall, Callable[[], None]],
    Awaitable[stage_adapter.StageReply],
]

# Target id, report, and its greatest age in seconds.
LoadListener = Callable[[str, world.LoadReport, float], None]

_ABANDONED = (
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
    """What an attempt is to run, and where."""

    call: calls.Call
    stage: world.Stage
    target: world.Target
    query: interfaces.RouteQuery
    input_json: bytes
    stream: streams.StreamedStage | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended; ``reply`` is set if it succeeded."""

    result: interfaces.AttemptResult
    reply: stage_adapter.StageReply | None
    failure: StageFailure


class AttemptRunner:
    """Runs attempts and tells router, quarantine and cost about each.

    :param watch: finds out whether a target died; None takes no interest.
    :param control: cancels abandoned attempts at their targets.
    :param load_listeners: called with each load report in an answer.
    """

    def __init__(
        self,
        policies: host_policies.Policies,
        cost: interfaces.CostSink,
        clock: interfaces.Clock,
        reactor,
        watch: suspects.CrashDetector | None = None,
        control: target_control.TargetControl | None = None,
        load_listeners: Sequence[LoadListener] = (),
    ) -> None:
        self._load_listeners = load_listeners
        self._policies = policies
        self._cost = cost
        self._clock = clock
        self._reactor = reactor
        self._watch = watch
        self._control = control
        self._running_by_digest: dict[bytes, list[defer.Deferred]] = {}
        if watch is not None:
            watch.table.on_quarantined = self.cancel_content

    def cancel_content(self, digest: bytes) -> None:
        """Cancel the repeatable attempts of a content that crashes targets.

        Copies that are still in flight would end further targets.
        """
        for running in list(self._running_by_digest.pop(digest, ())):
            running.cancel()

    async def run(
        self, job: AttemptJob, perform: Perform, on_sent: Callable[[], None]
    ) -> AttemptEnd:
        """Run an attempt until its end or the deadline of the call.

        :param perform: sends the call to the target and returns its reply.
        :param on_sent: called before the first byte is sent.
        """
        attempt_id = secrets.token_hex(8)
        started = self._clock.monotonic()
        incarnation = self._open(job, attempt_id, started)
        reply = None
        died = sent = False

        def note_sent() -> None:
            nonlocal sent
            sent = True
            on_sent()

        status = interfaces.AttemptStatus.CANCELLED
        failure = StageFailure(answers.Reason.CALLER_GONE, job.stage.name)
        try:
            running = defer.Deferred.fromCoroutine(
                perform(
                    job.target,
                    _stage_call(job, attempt_id, started),
                    note_sent,
                )
            )
            running.addTimeout(
                max(0.0, job.call.deadline - started), self._reactor
            )
            reply = await self._tracked(job, running)
            status = interfaces.AttemptStatus.OK
        except (exceptions.TargetError, defer.TimeoutError) as error:
            status, failure = _classify(error, job)
            if self._watch and status is interfaces.AttemptStatus.LOST:
                died = await self._watch.confirm_crash(job.target, incarnation)
        finally:
            if sent and status in _ABANDONED and self._control:
                defer.Deferred.fromCoroutine(
                    self._control.cancel(job.target, attempt_id)
                )
            result = self._close(job, attempt_id, started, status, reply, died)
        return AttemptEnd(result, reply, failure)

    async def _tracked(
        self, job: AttemptJob, running: defer.Deferred
    ) -> stage_adapter.StageReply:
        """Wait for an attempt that ``cancel_content`` may end.

        :raises ContentQuarantined: if it did.
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

    def _open(self, job: AttemptJob, attempt_id: str, now: float) -> str:
        """Return the incarnation of the target that is known now."""
        target_id = job.target.target_id
        self._policies.router.attempt_started(
            target_id, attempt_id, job.query, now
        )
        self._policies.quarantine.attempt_started(
            job.call.digest(), target_id, attempt_id, now
        )
        if self._watch is None:
            return ''
        return self._watch.table.incarnation_of(target_id)

    def _close(
        self,
        job: AttemptJob,
        attempt_id: str,
        started: float,
        status: interfaces.AttemptStatus,
        reply: stage_adapter.StageReply | None,
        died: bool,
    ) -> interfaces.AttemptResult:
        now = self._clock.monotonic()
        result = interfaces.AttemptResult(
            attempt_id,
            job.target.target_id,
            job.stage.service,
            status,
            now - started,
            tokens=_tokens(job, attempt_id, reply),
            load=reply.load if reply else None,
            target_died=died,
        )
        self._policies.router.attempt_finished(result, now)
        self._policies.retries.attempt_finished(result, now)
        if result.load is not None:
            # A stream carries the report in its head.
            age_s = now - started if job.stream is not None else 0.0
            for listener in self._load_listeners:
                listener(result.target_id, result.load, age_s)
        self._policies.quarantine.attempt_finished(
            attempt_id, status is interfaces.AttemptStatus.OK, now
        )
        self._cost.record(
            member_id=job.call.member.member_id,
            owner=job.call.contract.owner,
            entry_id=job.call.contract.entry_id,
            stage=job.stage.name,
            result=result,
        )
        return result


def _tokens(
    job: AttemptJob, attempt_id: str, reply: stage_adapter.StageReply | None
) -> int:
    if job.stream is not None:
        return job.stream.tokens_of(attempt_id)
    return reply.tokens if reply else 0


def _stage_call(
    job: AttemptJob, attempt_id: str, now: float
) -> stage_adapter.StageCall:
    return stage_adapter.StageCall(
        attempt_id=attempt_id,
        request_id=job.call.request_id,
        entry_id=job.call.contract.entry_id,
        stage=job.stage.name,
        remaining_s=job.call.deadline - now,
        input_json=job.input_json,
        repeatable=job.stage.repeatable,
        priority=job.call.priority,
        model=job.stage.model,
    )


def _classify(
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
