"""Runs one attempt on one target and books how it ended."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import secrets

from twisted.internet import defer

from walnutport.adapters import stage as stage_adapter
from walnutport import exceptions
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.service import calls
from walnutport.service import policies as host_policies
from walnutport import world

__all__ = [
    'AttemptEnd',
    'AttemptJob',
    'AttemptRunner',
    'Perform',
    'StageFailure',
]

Perform = Callable[
    [world.Target, stage_adapter.StageCall, Callable[[], None]],
    Awaitable[stage_adapter.StageReply],
]


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
    resume_from: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended; ``reply`` is set if it succeeded."""

    result: interfaces.AttemptResult
    reply: stage_adapter.StageReply | None
    failure: StageFailure


class AttemptRunner:
    """Runs attempts and tells router, quarantine and cost about each."""

    def __init__(
        self,
        policies: host_policies.Policies,
        cost: interfaces.CostSink,
        clock: interfaces.Clock,
        reactor,
    ) -> None:
        self._policies = policies
        self._cost = cost
        self._clock = clock
        self._reactor = reactor

    async def run(
        self, job: AttemptJob, perform: Perform, on_sent: Callable[[], None]
    ) -> AttemptEnd:
        """Run an attempt until its end or the deadline of the call.

        :param perform: sends the call to the target and returns its reply.
        :param on_sent: called before the first byte is sent.
        """
        attempt_id = secrets.token_hex(8)
        started = self._clock.monotonic()
        self._open(job, attempt_id, started)
        reply = None
        status = interfaces.AttemptStatus.CANCELLED
        failure = StageFailure(answers.Reason.CALLER_GONE, job.stage.name)
        try:
            running = defer.Deferred.fromCoroutine(
                perform(
                    job.target, _stage_call(job, attempt_id, started), on_sent
                )
            )
            running.addTimeout(
                max(0.0, job.call.deadline - started), self._reactor
            )
            reply = await running
            status = interfaces.AttemptStatus.OK
        except (exceptions.TargetError, defer.TimeoutError) as error:
            status, failure = _classify(error, job)
        finally:
            result = self._close(job, attempt_id, started, status, reply)
        return AttemptEnd(result, reply, failure)

    def _open(self, job: AttemptJob, attempt_id: str, now: float) -> None:
        target_id = job.target.target_id
        self._policies.router.attempt_started(
            target_id, attempt_id, job.query, now
        )
        self._policies.quarantine.attempt_started(
            job.call.digest(), target_id, attempt_id, now
        )

    def _close(
        self,
        job: AttemptJob,
        attempt_id: str,
        started: float,
        status: interfaces.AttemptStatus,
        reply: stage_adapter.StageReply | None,
    ) -> interfaces.AttemptResult:
        now = self._clock.monotonic()
        result = interfaces.AttemptResult(
            attempt_id,
            job.target.target_id,
            job.stage.service,
            status,
            now - started,
            tokens=reply.tokens if reply else 0,
            load=reply.load if reply else None,
        )
        self._policies.router.attempt_finished(result, now)
        if result.load is not None:
            self._policies.admission.load_reported(
                result.target_id, result.load, now
            )
        self._policies.quarantine.attempt_finished(
            attempt_id, status is interfaces.AttemptStatus.OK, now
        )
        self._cost.book(
            member_id=job.call.member.member_id,
            owner=job.call.contract.owner,
            entry_id=job.call.contract.entry_id,
            stage=job.stage.name,
            result=result,
        )
        return result


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
        model=job.stage.model,
        resume_from=job.resume_from,
    )


def _classify(
    error: Exception, job: AttemptJob
) -> tuple[interfaces.AttemptStatus, StageFailure]:
    target_id = job.target.target_id
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
