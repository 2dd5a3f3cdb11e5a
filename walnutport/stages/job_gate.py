"""Entry of jobs into a cell, and the end of those that are given up.

During a burst, callers are refused and return, to this owner, as a request is
assigned to a cell by its content. The gate recognizes them, so that their aim
counts from their first attempt, and says when a refused caller may return.
"""

import dataclasses

from walnutport.admission import caller_retries
from walnutport.stages import admission
from walnutport.stages import admission_counts
from walnutport.stages import cell_load
from walnutport.stages import jobs
from walnutport.stages import pieces
from walnutport.stages import timing
from walnutport.world import routes

__all__ = ['JobGate']

# A caller whose job failed may retry after this fraction of the time left to
# its deadline, which leaves time for another attempt.
RETRY_AFTER_RATIO = 1 / 3

JobEvent = admission_counts.JobEvent


class JobGate:
    """Admits jobs and gives them up.

    Times are seconds of a monotonic clock, passed in as ``now``.
    """

    def __init__(self, load: cell_load.CellLoad) -> None:
        self._load = load
        self._refused = caller_retries.RefusedRequests()
        self.counts = admission_counts.AdmissionCounts()

    def admit(
        self,
        spec: pieces.JobSpec,
        rules_by_service: dict[str, routes.BatchRules],
        now: float,
    ) -> jobs.Job | pieces.Refusal:
        """Return the job if it is admitted, or its refusal."""
        spent_s = self._refused.spent_s(spec.content, now)
        if spent_s > spec.spent_s:
            spec = dataclasses.replace(
                spec,
                aim_s=spec.aim_s + spec.spent_s - spent_s,
                spent_s=spent_s,
            )
        job = jobs.Job(spec, now)
        refusal = self._load.check_job(job, now)
        if spec.returned:
            self._count(job, JobEvent.RETURNED)
        if refusal is not None:
            self._count_refusal(job)
            self._refused.record(spec.content, now)
            if not spec.returned:
                return refusal
            return dataclasses.replace(refusal, spent_s=spec.spent_s)
        if job.goes_first:
            self._count(job, JobEvent.ADMITTED_FIRST)
            return job
        job.latest_start_at = timing.latest_start(job, rules_by_service)
        self._count(
            job, JobEvent.ADMITTED_LATE if job.late else JobEvent.ADMITTED
        )
        return job

    def served(self, job: jobs.Job) -> None:
        """Count a job whose stages are complete."""
        self._count(job, JobEvent.SERVED)

    def handed_over(self, job: jobs.Job) -> None:
        """Count a job with which another owner goes on."""
        self._count(job, JobEvent.HANDED_OVER)

    def miss_aim(self, job: jobs.Job, now: float) -> bool:
        """Release the place of an unstarted job that cannot meet its aim.

        :returns: whether it can be served within its deadline instead.
        """
        job.late = self._load.may_be_late(job, now)
        return job.late

    def give_up(
        self, job: jobs.Job, reason: str, now: float
    ) -> pieces.JobFailure:
        """Return the failure of a job that was admitted."""
        self._refused.record(job.spec.content, now)
        place = None
        if not job.started:
            self._count_refusal(job)
            place = self._load.reserve_return(job, now)
        if place is not None:
            return pieces.JobFailure(
                job.spec.job_id, reason, place.due_at - now, reserved=True
            )
        remaining_s = max(0.0, job.deadline_at - now)
        return pieces.JobFailure(
            job.spec.job_id,
            reason,
            admission.retry_after_s(remaining_s * RETRY_AFTER_RATIO),
        )

    def _count(self, job: jobs.Job, event: JobEvent) -> None:
        self.counts.add(job.spec.route, job.spec.team, event)

    def _count_refusal(self, job: jobs.Job) -> None:
        self._count(job, JobEvent.REFUSED)
        if job.spec.returned:
            self._count(job, JobEvent.REFUSED_AGAIN)
