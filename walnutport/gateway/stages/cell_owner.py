"""Schedules the stage targets of one cell for all hosts.

A cell is a share of the targets of every stage service. One host owns it and
batches the pieces of all hosts into calls to these targets.
"""

from collections.abc import Callable
import dataclasses
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.gateway.stages import stage_replies
from walnutport.gateway.targets import target_reports
from walnutport.http1 import channel_pool
from walnutport.http1 import messages
from walnutport.lifecycle import host_end
from walnutport.platform import headers
from walnutport.platform import stage_calls
from walnutport.routing import eligibility
from walnutport.routing import engines
from walnutport.stages import pieces
from walnutport.stages import scheduler
from walnutport.stages import stage_targets
from walnutport.world import registrations
from walnutport.world import requests
from walnutport.world import routes

__all__ = ['CellOwner']

# The results of a lost host's jobs are kept this long, as a target may still
# be reading them for one of its requests.
ORPHAN_RETENTION_S = 3.0
# Results of one target that are released within this time are freed in one
# call.
FREE_DELAY_S = 0.05
FREE_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class _AcceptedJob:
    """A job of the cell and where it came from.

    :param peer: host that submitted it, empty for this one.
    :param reply: called with the result or the failure.
    """

    peer: str
    reply: Callable[[stage_replies.Reply], None]
    spec: pieces.JobSpec


class CellOwner:
    """Runs the scheduler of one cell and makes its calls.

    :param cell: number of the cell.
    :param host_name: name of this host.
    :param choose_engine: returns the id of the engine that should run a
        request after its stages.
    :param reports: evaluates what targets state in their responses.
    :param target_eligibility: decides which targets may get new work.
    :param end: end of this host.
    :param takes_handover: returns whether a peer submits a job again that it
        is handed.
    """

    def __init__(
        self,
        cell: int,
        host_name: str,
        reactor,
        log,
        pool: channel_pool.ChannelPool,
        choose_engine: Callable[
            [pieces.JobSpec, pieces.JobResult, engines.PrefillTracker, str],
            str,
        ],
        reports: target_reports.TargetReports,
        target_eligibility: eligibility.Eligibility,
        end: host_end.HostEnd,
        takes_handover: Callable[[str], bool],
    ) -> None:
        self._eligibility = target_eligibility
        self._end = end
        self._takes_handover = takes_handover
        self.cell = cell
        self._host_name = host_name
        self._reports = reports
        self._reactor = reactor
        self._log = log
        self._pool = pool
        self._choose_engine = choose_engine
        self._prefills = engines.PrefillTracker()
        self.scheduler = scheduler.StageScheduler(target_eligibility)
        self._job_by_id: dict[str, _AcceptedJob] = {}
        self._free_timer = None
        self.total_calls = 0
        self.total_pieces = 0

    def update_targets(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        targets: list[registrations.RegisteredTarget],
    ) -> None:
        """Replace the batch rules and the targets of the cell."""
        self.scheduler.update_targets(
            rules_by_service, targets, time.monotonic()
        )
        for target in targets:
            self.target_changed(target)
        self._advance_jobs()

    def target_changed(self, target: registrations.RegisteredTarget) -> None:
        """Follow what a target states now, if it belongs to the cell."""
        self.scheduler.set_target_statement(
            target,
            self._reports.min_interval_s(target),
            self._reports.held_until(target),
            self._reports.is_leaving(target),
        )

    def tick(self) -> None:
        """Fail jobs that will miss their deadline, and start due calls."""
        if (
            self.scheduler.job_count
            or self.scheduler.call_count
            or self.scheduler.has_freed_handles
        ):
            self.scheduler.expire_jobs(time.monotonic())
            self._advance_jobs()
            self.hand_over_jobs()

    def submit_job(
        self,
        spec: pieces.JobSpec,
        peer: str,
        reply: Callable[[stage_replies.Reply], None],
    ) -> None:
        """Submit a job.

        :param peer: host that sent it, empty for this one.
        :param reply: called with the refusal, the result or the failure.
        """
        now = time.monotonic()
        refusal = self.scheduler.submit(spec, now)
        if refusal is not None:
            if self.scheduler.is_evacuated(spec):
                refusal = dataclasses.replace(refusal, reason='evacuated')
            reply(refusal)
            return
        self._job_by_id[spec.job_id] = _AcceptedJob(peer, reply, spec)
        if self._hand_over_new(spec, now):
            return
        self._log.routine(
            'stages_taken',
            id=spec.request_id,
            cell=self.cell,
            peer=peer,
            pieces=spec.piece_counts,
            forecast_s=round(self.scheduler.forecast_s(spec.job_id), 3),
            aim_s=round(spec.aim_s, 3),
            continues=spec.continues,
        )
        self._advance_jobs()

    def release_job(self, job_id: str) -> None:
        """Cancel a job and free its results."""
        self._job_by_id.pop(job_id, None)
        self._prefills.remove(job_id)
        self.scheduler.release(job_id)
        self._advance_jobs()

    def peer_lost(self, peer: str) -> None:
        """Release the jobs of a lost host after a delay."""
        for job_id, job in list(self._job_by_id.items()):
            if job.peer == peer:
                self._reactor.callLater(
                    ORPHAN_RETENTION_S, self.release_job, job_id
                )

    def hand_over_jobs(self) -> None:
        """Hand over the jobs that end after this host.

        Their hosts submit them to the next owner at once, with the results so
        far. They would be lost with this host otherwise.
        """
        if not self._end.is_set:
            return
        now = time.monotonic()
        for handover in self.scheduler.withdraw_jobs(
            self._end, self._may_withdraw, now
        ):
            self._hand_over(handover, now)

    def _hand_over_new(self, spec: pieces.JobSpec, now: float) -> bool:
        """Return whether a job that was just submitted was handed over."""
        if not self._end.is_set:
            return False
        for handover in self.scheduler.withdraw_jobs(
            self._end,
            lambda found: (
                found.job_id == spec.job_id and self._may_withdraw(spec)
            ),
            now,
        ):
            # The next owner decides whether to admit a job that has not
            # waited here.
            self._hand_over(
                dataclasses.replace(handover, was_admitted=spec.was_admitted),
                now,
            )
            return True
        return False

    def _may_withdraw(self, spec: pieces.JobSpec) -> bool:
        job = self._job_by_id.get(spec.job_id)
        return job is not None and (
            not job.peer or self._takes_handover(job.peer)
        )

    def _hand_over(self, handover: pieces.JobHandover, now: float) -> None:
        job = self._job_by_id.pop(handover.job_id)
        self._log.notable(
            'stages_handed_over',
            id=job.spec.request_id,
            cell=self.cell,
            peer=job.peer,
            results=len(handover.results),
            admitted=handover.was_admitted,
            left_s=round(self._end.left_s(now), 3),
        )
        job.reply(handover)

    def _advance_jobs(self) -> None:
        now = time.monotonic()
        for call in self.scheduler.next_calls(now):
            self.total_calls += 1
            self.total_pieces += len(call.pieces)
            defer.Deferred.fromCoroutine(self._call(call))
        for outcome in self.scheduler.take_outcomes():
            job = self._job_by_id.get(outcome.job_id)
            if isinstance(outcome, pieces.JobFailure):
                self._job_by_id.pop(outcome.job_id, None)
            if job is None:
                continue
            if isinstance(outcome, pieces.JobResult):
                outcome = dataclasses.replace(
                    outcome,
                    target_id=self._choose_engine(
                        job.spec,
                        outcome,
                        self._prefills,
                        job.peer or self._host_name,
                    ),
                )
            job.reply(outcome)
        if self._free_timer is None:
            self._free_timer = self._reactor.callLater(
                FREE_DELAY_S, self._free_results
            )

    async def _call(self, call: pieces.BatchCall) -> None:
        started_at = time.monotonic()
        failure: stage_targets.CallFailure | None = None
        outcomes: list[str | pieces.PieceFailure] = []
        try:
            response = await channel_pool.fetch(
                self._reactor,
                self._pool,
                call.target.address,
                stage_calls.encode_run(
                    call.target.address,
                    call.target.target_id,
                    list(call.pieces),
                ),
                call.timeout_s,
                lambda: self._eligibility.accepts(call.target),
            )
            fields = headers.decode_response_headers(response.head)
            self._record_response(call.target, fields, response.status)
            failure, outcomes = _decode_response(
                response, fields, len(call.pieces)
            )
        except exceptions.ChannelError as problem:
            if problem.refused:
                self._reports.connection_refused(call.target)
            if problem.timed_out:
                failure = stage_targets.CallFailure.TIMEOUT
            elif problem.written or self._eligibility.accepts(call.target):
                failure = stage_targets.CallFailure.LOST
            else:
                # Nothing was sent, which counts against no job.
                failure = stage_targets.CallFailure.BUSY
        now = time.monotonic()
        if failure is not None:
            self._log.notable(
                'stage_call_failed',
                target=call.target.target_id,
                pieces=len(call.pieces),
                failure=failure.value,
                took_s=round(now - started_at, 3),
                ids=[item.request_id for item in call.pieces[:4]],
            )
            self.scheduler.call_failed(call.call_id, failure, now)
        else:
            self._log.routine(
                'stage_call',
                target=call.target.target_id,
                pieces=len(call.pieces),
                took_s=round(now - started_at, 3),
                ids=sorted({item.request_id for item in call.pieces}),
            )
            self.scheduler.call_done(call.call_id, outcomes, now)
        self._advance_jobs()

    def _record_response(
        self,
        target: registrations.RegisteredTarget,
        fields: requests.ResponseFields,
        status: int,
    ) -> None:
        self._reports.response_received(target, fields, status)
        if fields.load is not None and status != 421:
            self.scheduler.record_load(target, fields.load, time.monotonic())

    def _free_results(self) -> None:
        self._free_timer = None
        for target, handles in self.scheduler.take_freed_handles(
            time.monotonic()
        ):
            defer.Deferred.fromCoroutine(
                self._free_results_at(target, handles)
            )

    async def _free_results_at(
        self, target: registrations.RegisteredTarget, handles: list[str]
    ) -> None:
        try:
            response = await channel_pool.fetch(
                self._reactor,
                self._pool,
                target.address,
                stage_calls.encode_free(
                    target.address, target.target_id, handles
                ),
                FREE_TIMEOUT_S,
            )
            self._record_response(
                target,
                headers.decode_response_headers(response.head),
                response.status,
            )
        except exceptions.ChannelError as problem:
            # The target frees the results itself after a while.
            self._log.notable(
                'stage_free_failed',
                target=target.target_id,
                handles=len(handles),
                problem=str(problem),
            )


def _decode_response(
    response: messages.Response, fields: requests.ResponseFields, expected: int
) -> tuple[stage_targets.CallFailure | None, list[str | pieces.PieceFailure]]:
    if response.status == 421:
        return stage_targets.CallFailure.WRONG_TARGET, []
    if response.status == 503 and fields.not_run:
        return stage_targets.CallFailure.BUSY, []
    if response.status != 200:
        return stage_targets.CallFailure.ERROR, []
    try:
        return None, stage_calls.decode_outcomes(response.body, expected)
    except exceptions.WireError:
        return stage_targets.CallFailure.ERROR, []
