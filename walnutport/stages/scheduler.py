"""Scheduling of the jobs and calls of one cell.

The owner of a cell asks the scheduler which calls to start and reports their
outcomes. The policies are separate: ``job_gate`` decides with ``cell_load``,
``admission`` and ``forecast`` which jobs are admitted, ``timing`` defines
their order, ``batching`` the contents of calls, and ``cell_targets`` the
capacity of targets.
"""

from collections.abc import Callable
from collections.abc import Iterable
import itertools

from walnutport.lifecycle import host_end
from walnutport.routing import eligibility
from walnutport.stages import batching
from walnutport.stages import begin_rules
from walnutport.stages import cell_load
from walnutport.stages import cell_targets
from walnutport.stages import held_results
from walnutport.stages import job_expiry
from walnutport.stages import job_gate
from walnutport.stages import job_handover
from walnutport.stages import jobs
from walnutport.stages import pieces
from walnutport.stages import stage_targets
from walnutport.stages import timing
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['StageScheduler']

# A job with more piece failures than this fails.
MAX_JOB_FAILURES = 6
# Interval at which jobs are checked that may have to be given up.
EXPIRE_INTERVAL_S = 0.1
#: Id of a job and index of a stage.
_StageKey = tuple[str, int]


class StageScheduler:
    """Schedules the jobs of one cell on its targets.

    Times are seconds of a monotonic clock, passed in as ``now``.

    :param target_eligibility: decides which targets may get new work.
    """

    def __init__(
        self, target_eligibility: eligibility.Eligibility | None = None
    ) -> None:
        self._targets = cell_targets.CellTargets(target_eligibility)
        self.record_load = self._targets.record_load
        self.begin_rules = begin_rules.BeginRules(self._targets)
        self._results = held_results.HeldResults(self._targets)
        self.cell_load = cell_load.CellLoad(self._targets)
        self.gate = job_gate.JobGate(self.cell_load)
        self._job_by_id: dict[str, jobs.Job] = {}
        self._call_by_id: dict[int, stage_targets.RunningCall] = {}
        # Jobs with waiting pieces, by service.
        self._ready_by_service: dict[str, dict[_StageKey, jobs.Job]] = {}
        self._next_expiry_at = 0.0
        self._call_ids = itertools.count(1)
        self._outcomes: list[pieces.JobResult | pieces.JobFailure] = []

    @property
    def job_count(self) -> int:
        """Number of jobs that are not released yet."""
        return len(self._job_by_id)

    @property
    def call_count(self) -> int:
        """Number of running calls."""
        return len(self._call_by_id)

    def update_targets(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        targets: Iterable[registrations.RegisteredTarget],
        now: float,
    ) -> None:
        """Replace the set of targets that may be called."""
        for replaced in self._targets.update(rules_by_service, targets):
            self._discard_lifetime(replaced, now)
        self.cell_load.retain_services()
        self.cell_load.targets_changed()
        self._targets.remove_unused(
            {
                placed.target_id
                for job in self._job_by_id.values()
                for placed in job.all_results()
            }
        )

    def set_target_statement(
        self,
        target: registrations.RegisteredTarget,
        min_interval_s: float,
        held_until: float,
        leaving: bool,
    ) -> None:
        """Record what a target states in its responses.

        :param min_interval_s: time between calls that keeps its limit; 0
            without a limit.
        :param held_until: end of the time for which it wants no calls.
        :param leaving: whether it is shutting down.
        """
        self._targets.set_statement(
            target, min_interval_s, held_until, leaving
        )
        self.cell_load.targets_changed()

    def is_evacuated(self, spec: pieces.JobSpec) -> bool:
        """Return whether evacuations leave no target for a stage of a job."""
        return self._targets.is_evacuated(spec)

    def submit(
        self, spec: pieces.JobSpec, now: float
    ) -> pieces.Refusal | None:
        """Admit a job.

        :returns: the refusal of the job, or None if it is admitted.
        """
        rules = self._targets.rules_by_service
        admitted = self.gate.admit(spec, rules, now)
        self._results.adopt(spec.held)
        if isinstance(admitted, pieces.Refusal):
            self._results.free_held(spec.held)
            return admitted
        self._job_by_id[spec.job_id] = admitted
        self._advance_job(admitted, now)
        return None

    def forecast_s(self, job_id: str) -> float:
        """Return the forecast time until the answer of a job.

        :returns: seconds from the admission; 0 for an unknown job.
        """
        job = self._job_by_id.get(job_id)
        return job.forecast_s if job is not None else 0.0

    def release(self, job_id: str) -> None:
        """Remove a job, finished or not, and release its results."""
        job = self._job_by_id.pop(job_id, None)
        if job is None:
            return
        job.finished = True
        for placed in job.all_results():
            self._results.free(placed)
        job.results = {stage: {} for stage in job.stages}
        job.waiting = {}
        self._update_job(job)

    def withdraw_jobs(
        self,
        end: host_end.HostEnd,
        may_withdraw: Callable[[pieces.JobSpec], bool],
        now: float,
    ) -> list[pieces.JobHandover]:
        """Remove and return the jobs that another owner has to finish.

        :param may_withdraw: whether a job can go on at another owner.
        """
        withdrawn = []
        for job, is_due in job_handover.find_leaving(
            [j for j in self._job_by_id.values() if may_withdraw(j.spec)],
            self._call_by_id.values(),
            self._targets.rules_by_service,
            end,
            now,
        ):
            job.is_leaving = True
            if is_due:
                del self._job_by_id[job.spec.job_id]
                withdrawn.append(job.withdraw())
                self._results.hand_over(withdrawn[-1].results)
                self.gate.handed_over(job)
            self._update_job(job)
        return withdrawn

    def take_outcomes(self) -> list[pieces.JobResult | pieces.JobFailure]:
        """Return the jobs that finished or failed since the previous call."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    @property
    def has_freed_handles(self) -> bool:
        """Whether handles of unneeded results wait to be freed."""
        return self._results.has_freed

    def take_freed_handles(
        self, now: float
    ) -> list[tuple[registrations.RegisteredTarget, list[str]]]:
        """Return and clear the handles to free now, by target."""
        return self._results.take_freed(now)

    def expire_jobs(self, now: float) -> None:
        """Fail the jobs that can no longer be done; see ``job_expiry``."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRE_INTERVAL_S
        evacuated = self._targets.evacuated_services()
        for job in list(self._job_by_id.values()):
            reason = job_expiry.expiry_reason(
                job, evacuated, self.begin_rules.can_finish, now
            )
            if reason == job_expiry.AIM_MISSED and self.gate.miss_aim(
                job, now
            ):
                self._update_job(job)
                continue
            if reason:
                self._fail_job(job, reason, now)

    def next_calls(self, now: float) -> list[pieces.BatchCall]:
        """Return the calls to start now."""
        calls: list[pieces.BatchCall] = []
        rules = self._targets.rules_by_service
        self.begin_rules.blocked_services.clear()
        for service, free in self._targets.free_by_service(now).items():
            ready = self._ready_by_service.get(service)
            if not ready:
                continue
            entries = [
                batching.WaitingPieces(job, stage, sorted(job.waiting[stage]))
                for (_, stage), job in ready.items()
            ]
            entries.sort(
                key=lambda entry: timing.scheduling_key(entry.job, rules, now)
            )
            builder = batching.CallBuilder(
                self._targets,
                self.begin_rules.select(entries, now),
                lambda job: timing.latest_start_of_full_calls(job, rules),
                now,
            )
            while free:
                chosen = builder.choose_target(free)
                if chosen is None:
                    break
                free.remove(chosen)
                call_pieces = builder.take_pieces(chosen)
                if call_pieces:
                    calls.append(self._start_call(chosen, call_pieces, now))
        for job in self.begin_rules.take_late():
            if not job.finished:
                self._fail_job(job, 'deadline', now)
        return calls

    def call_done(
        self,
        call_id: int,
        outcomes: list[str | pieces.PieceFailure],
        now: float,
    ) -> None:
        """Record the outcome of each piece of a call.

        :param outcomes: a result handle or a failure for each piece.
        """
        call = self._call_by_id.pop(call_id, None)
        if call is None:
            return
        call.target.calls.pop(call_id, None)
        call.target.record_answer(call, now)
        self.cell_load.targets_changed()
        for (job, piece_id), outcome in zip(call.pieces, outcomes):
            self._record_outcome(job, piece_id, call.target, outcome, now)
        for job in call.jobs():
            self._advance_job(job, now)

    def call_failed(
        self, call_id: int, failure: stage_targets.CallFailure, now: float
    ) -> None:
        """Record that a call failed as a whole."""
        call = self._call_by_id.pop(call_id, None)
        if call is None:
            return
        call.target.calls.pop(call_id, None)
        call.target.record_failure(failure, now)
        self.cell_load.targets_changed()
        for job, (stage, piece) in call.pieces:
            call.target.release_memory(job.spec.stages[stage].result_bytes)
            job.running[stage].discard(piece)
            if failure is not stage_targets.CallFailure.BUSY:
                job.failures += 1
        for job in call.jobs():
            self._advance_job(job, now)

    def _update_job(self, job: jobs.Job) -> None:
        """Update the list of ready jobs and the backlog for a job."""
        for stage in job.stages:
            service = job.spec.stages[stage].service
            ready = self._ready_by_service.setdefault(service, {})
            key = (job.spec.job_id, stage)
            if stage in job.waiting and not job.is_leaving:
                ready[key] = job
            else:
                ready.pop(key, None)
        self.cell_load.update_job(job)
        self.begin_rules.update_job(job)

    def _start_call(
        self,
        target: stage_targets.StageTarget,
        call_pieces: batching.CallPieces,
        now: float,
    ) -> pieces.BatchCall:
        slowness = target.slowness_at(now)
        expected_s = target.call_s(len(call_pieces)) * slowness
        call = stage_targets.RunningCall(
            target, call_pieces, now, expected_s, slowness
        )
        call_id = next(self._call_ids)
        self._call_by_id[call_id] = call
        target.calls[call_id] = call
        target.record_send(now)
        self.cell_load.call_started(target.info.service, len(call_pieces))
        for job, (stage, piece) in call_pieces:
            job.start_piece((stage, piece))
            target.held_bytes += job.spec.stages[stage].result_bytes
        for job in call.jobs():
            self._update_job(job)
        return pieces.BatchCall(
            call_id,
            target.info,
            batching.piece_requests(call_pieces, now),
            call.timeout_s,
        )

    def _record_outcome(
        self,
        job: jobs.Job,
        piece_id: jobs.PieceId,
        target: stage_targets.StageTarget,
        outcome: str | pieces.PieceFailure,
        now: float,
    ) -> None:
        stage, piece = piece_id
        job.running[stage].discard(piece)
        size = job.spec.stages[stage].result_bytes
        if isinstance(outcome, str):
            placed = jobs.PlacedResult(
                outcome, target.info.target_id, target.info.data_centre, size
            )
            if job.finished or piece in job.results[stage]:
                self._results.free(placed)
            else:
                job.results[stage][piece] = placed
            return
        target.release_memory(size)
        if outcome is pieces.PieceFailure.NO_ROOM:
            if size:
                target.record_no_room(size, now)
            else:
                target.paused_until = now + stage_targets.BUSY_PAUSE_S
            return
        job.failures += 1
        if outcome is pieces.PieceFailure.INPUT_GONE and not job.finished:
            for placed in job.drop_inputs(stage):
                self._results.free(placed)

    def _advance_job(self, job: jobs.Job, now: float) -> None:
        """Finish, fail or continue a job after a change of its state."""
        if job.finished:
            return
        if job.failures > MAX_JOB_FAILURES:
            self._fail_job(job, 'stage_failures', now)
            return
        for placed in job.take_consumed():
            self._results.free(placed)
        result = job.result()
        if result is None:
            job.update_waiting()
            self._update_job(job)
            return
        job.finished = True
        self._update_job(job)
        self.gate.served(job)
        self._outcomes.append(result)

    def _fail_job(self, job: jobs.Job, reason: str, now: float) -> None:
        failure = self.gate.give_up(job, reason, now)
        self.begin_rules.record_failed(job)
        self.release(job.spec.job_id)
        self._outcomes.append(failure)

    def _discard_lifetime(
        self, target: stage_targets.StageTarget, now: float
    ) -> None:
        """Fail the calls and drop the results of a target's old lifetime."""
        for call_id in list(target.calls):
            self.call_failed(call_id, stage_targets.CallFailure.LOST, now)
        target_id = target.info.target_id
        self._results.discard(target_id)
        for job in list(self._job_by_id.values()):
            if not job.finished and job.drop_results(target_id):
                self._update_job(job)
