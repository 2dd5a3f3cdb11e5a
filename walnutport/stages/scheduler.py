"""Jobs and calls of one cell.

The owner of a cell asks the scheduler which calls to start and tells it what
came of them. The rules stand apart: ``cell_load`` decides with ``admission``
and ``forecast`` which jobs are taken, ``timing`` their order, ``batching``
what goes into a call, and ``cell_targets`` what a target can take.
"""

from collections.abc import Iterable
import itertools

from walnutport.stages import admission
from walnutport.stages import batching
from walnutport.stages import cell_load
from walnutport.stages import cell_targets
from walnutport.stages import held_results
from walnutport.stages import jobs
from walnutport.stages import pieces
from walnutport.stages import stage_targets
from walnutport.stages import timing
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['StageScheduler']

# A call that takes this many times its expected time, and the margin, is
# repeated at another target.
TIMEOUT_RATIO = 2.5
TIMEOUT_MARGIN_S = 0.3
# Failed pieces of one job before it is given up.
MAX_JOB_FAILURES = 6
# Time for the way to a target and back, and for the host's own work.
CALL_OVERHEAD_S = 0.01
# How often jobs are looked at that come close to their deadline, and how
# close that is.
EXPIRE_EVERY_S = 0.1
EXPIRE_HORIZON_S = 3.0
# A caller whose job is given up may come back after this part of what is left
# of its time, which leaves it another try.
RETRY_PART = 1 / 3

#: Id of a job and number of a stage.
_StageKey = tuple[str, int]


class StageScheduler:
    """Jobs, targets and calls of one cell.

    Times are seconds of a steady clock, passed in as ``now``.
    """

    def __init__(self) -> None:
        self._targets = cell_targets.CellTargets()
        self._results = held_results.HeldResults(self._targets)
        self.load = cell_load.CellLoad(self._targets)
        self._job_by_id: dict[str, jobs.Job] = {}
        self._call_by_id: dict[int, stage_targets.RunningCall] = {}
        # Jobs with pieces that wait, by service.
        self._ready: dict[str, dict[_StageKey, jobs.Job]] = {}
        self._expire_at = 0.0
        self._call_ids = itertools.count(1)
        self._outcomes: list[pieces.JobResult | pieces.JobFailure] = []

    @property
    def job_count(self) -> int:
        """Jobs whose results are not used yet."""
        return len(self._job_by_id)

    @property
    def call_count(self) -> int:
        """Calls under way."""
        return len(self._call_by_id)

    def update_targets(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        targets: Iterable[registrations.RegisteredTarget],
        now: float,
    ) -> None:
        """Take over the targets that may be called."""
        for lost in self._targets.update(rules_by_service, targets):
            self._forget_lifetime(lost, now)
        self.load.keep_services()
        self._targets.forget_unused(
            {
                placed.target_id
                for job in self._job_by_id.values()
                for placed in job.all_results()
            }
        )

    def submit(
        self, order: pieces.JobSpec, now: float
    ) -> pieces.Refusal | None:
        """Take a job or say why not."""
        job = jobs.Job(order, now)
        refusal = self.load.judge(job, now)
        if refusal is not None:
            return refusal
        self._job_by_id[order.job_id] = job
        self._settle(job, now)
        return None

    def forecast_s(self, job_id: str) -> float:
        """Return when the answer of a job was expected as it was taken.

        :returns: seconds from then; 0 for a job that is gone.
        """
        job = self._job_by_id.get(job_id)
        return job.forecast_s if job is not None else 0.0

    def release(self, job_id: str) -> None:
        """Give up a job, whether it is done or not, and its results."""
        job = self._job_by_id.pop(job_id, None)
        if job is None:
            return
        job.finished = True
        for placed in job.all_results():
            self._results.free(placed)
        job.results = {stage: {} for stage in job.stages}
        job.waiting = {}
        self._track(job)

    def take_outcomes(self) -> list[pieces.JobResult | pieces.JobFailure]:
        """Return the jobs that were done or given up since the last call."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def take_freed_handles(
        self,
    ) -> list[tuple[registrations.RegisteredTarget, list[str]]]:
        """Return results that are no longer needed, by target."""
        return self._results.take_freed()

    def expire_jobs(self, now: float) -> None:
        """Give up the jobs that cannot be answered in time any more."""
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_EVERY_S
        for job in list(self._job_by_id.values()):
            if job.finished or now + EXPIRE_HORIZON_S < job.deadline_at:
                continue
            least_s = timing.least_s(job, self._targets.rules_by_service)
            if now + least_s > job.deadline_at:
                self._fail(job, 'deadline', now)

    def next_calls(self, now: float) -> list[pieces.StageCall]:
        """Return the calls to start now."""
        calls: list[pieces.StageCall] = []
        rules = self._targets.rules_by_service
        for service, free in self._targets.free_by_service(now).items():
            ready = self._ready.get(service)
            if not ready:
                continue
            entries = [
                batching.WaitingPieces(job, stage, sorted(job.waiting[stage]))
                for (_, stage), job in ready.items()
            ]
            entries.sort(key=lambda entry: timing.rank(entry.job, rules, now))
            builder = batching.CallBuilder(
                self._targets,
                entries,
                lambda job: timing.latest_start_of_full_calls(job, rules),
                now,
            )
            while free:
                chosen = builder.choose_target(free)
                if chosen is None:
                    break
                free.remove(chosen)
                work = builder.fill(chosen)
                if work:
                    calls.append(self._start(chosen, work, now))
        return calls

    def call_done(
        self,
        call_id: int,
        outcomes: list[str | pieces.PieceFailure],
        now: float,
    ) -> None:
        """Take the outcome of each piece of a call."""
        call = self._call_by_id.pop(call_id, None)
        if call is None:
            return
        call.target.calls.pop(call_id, None)
        call.target.answered(call, now)
        for (job, piece_id), outcome in zip(call.work, outcomes):
            self._piece_done(job, piece_id, call.target, outcome, now)
        for job in call.jobs():
            self._settle(job, now)

    def call_failed(
        self, call_id: int, failure: stage_targets.CallFailure, now: float
    ) -> None:
        """Take note that a call had no usable answer."""
        call = self._call_by_id.pop(call_id, None)
        if call is None:
            return
        call.target.calls.pop(call_id, None)
        call.target.failed(failure, now)
        for job, (stage, piece) in call.work:
            call.target.give_room(job.order.stages[stage].result_bytes)
            job.running[stage].discard(piece)
            if failure is not stage_targets.CallFailure.BUSY:
                job.failures += 1
        for job in call.jobs():
            self._settle(job, now)

    def _track(self, job: jobs.Job) -> None:
        """Bring what is counted of a job up to date."""
        for stage in job.stages:
            service = job.order.stages[stage].service
            ready = self._ready.setdefault(service, {})
            key = (job.order.job_id, stage)
            if stage in job.waiting:
                ready[key] = job
            else:
                ready.pop(key, None)
        self.load.track(job)

    def _start(
        self,
        target: stage_targets.StageTarget,
        work: batching.Work,
        now: float,
    ) -> pieces.StageCall:
        rules = target.rules
        expected_s = rules.call_s + len(work) * rules.piece_s + CALL_OVERHEAD_S
        call = stage_targets.RunningCall(
            target, work, now, expected_s * target.slowness
        )
        call_id = next(self._call_ids)
        self._call_by_id[call_id] = call
        target.calls[call_id] = call
        self.load.call_started(target.info.service, len(work))
        items = []
        handles_by_stage: dict[_StageKey, tuple[str, ...]] = {}
        for job, piece_id in work:
            stage, piece = piece_id
            job.start(piece_id)
            target.held_bytes += job.order.stages[stage].result_bytes
            inputs = handles_by_stage.get((job.order.job_id, stage))
            if inputs is None:
                inputs = tuple(found.handle for found in job.inputs(stage))
                handles_by_stage[(job.order.job_id, stage)] = inputs
            items.append(
                pieces.PieceWork(
                    job.order.request_id,
                    stage,
                    piece,
                    job.deadline_at - now,
                    job.order.piece_key,
                    inputs or None,
                )
            )
        for job in call.jobs():
            self._track(job)
        return pieces.StageCall(
            call_id,
            target.info.target_id,
            target.info.address,
            tuple(items),
            call.expected_s * TIMEOUT_RATIO + TIMEOUT_MARGIN_S,
        )

    def _piece_done(
        self,
        job: jobs.Job,
        piece_id: jobs.PieceId,
        target: stage_targets.StageTarget,
        outcome: str | pieces.PieceFailure,
        now: float,
    ) -> None:
        stage, piece = piece_id
        job.running[stage].discard(piece)
        size = job.order.stages[stage].result_bytes
        if isinstance(outcome, str):
            placed = jobs.Placed(
                outcome, target.info.target_id, target.info.data_centre, size
            )
            if job.finished or piece in job.results[stage]:
                self._results.free(placed)
            else:
                job.results[stage][piece] = placed
            return
        target.give_room(size)
        if outcome is pieces.PieceFailure.NO_ROOM:
            target.paused_until = now + stage_targets.BUSY_PAUSE_S
            return
        job.failures += 1
        if outcome is pieces.PieceFailure.INPUT_GONE and not job.finished:
            for placed in job.drop_inputs(stage):
                self._results.free(placed)

    def _settle(self, job: jobs.Job, now: float) -> None:
        """Find out what follows a change of a job."""
        if job.finished:
            return
        if job.failures > MAX_JOB_FAILURES:
            self._fail(job, 'stage_failures', now)
            return
        for placed in job.take_used():
            self._results.free(placed)
        final = job.final_results()
        if final is None:
            job.refresh()
            self._track(job)
            return
        job.finished = True
        self._track(job)
        self._outcomes.append(
            pieces.JobResult(
                job.order.job_id,
                tuple(
                    pieces.StageResult(
                        placed.handle, placed.data_centre, placed.size
                    )
                    for placed in final
                ),
            )
        )

    def _fail(self, job: jobs.Job, reason: str, now: float) -> None:
        job_id = job.order.job_id
        self.release(job_id)
        left_s = max(0.0, job.deadline_at - now)
        wait_s = admission.retry_after_s(left_s * RETRY_PART)
        self._outcomes.append(pieces.JobFailure(job_id, reason, wait_s))

    def _forget_lifetime(
        self, target: stage_targets.StageTarget, now: float
    ) -> None:
        """Drop what a lost lifetime of a target held and ran."""
        for call_id in list(target.calls):
            self.call_failed(call_id, stage_targets.CallFailure.LOST, now)
        target_id = target.info.target_id
        self._results.forget(target_id)
        for job in list(self._job_by_id.values()):
            if not job.finished and job.drop_results(target_id):
                self._track(job)
