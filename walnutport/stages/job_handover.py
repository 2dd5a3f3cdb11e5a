"""Decides which jobs another owner has to finish.

Covers an owner of a cell whose host stops. Jobs that end after the host would
be lost with it, and their stages would run again from the start once the other
hosts notice. Calls that end in time are awaited, so that the next owner goes
on with their results.
"""

from collections.abc import Iterable

from walnutport.lifecycle import host_end
from walnutport.stages import jobs
from walnutport.stages import stage_targets
from walnutport.stages import timing
from walnutport.world import routes

__all__ = ['expected_s', 'find_leaving']


def find_leaving(
    candidates: Iterable[jobs.Job],
    running_calls: Iterable[stage_targets.RunningCall],
    rules_by_service: dict[str, routes.BatchRules],
    end: host_end.HostEnd,
    now: float,
) -> list[tuple[jobs.Job, bool]]:
    """Return the jobs that cannot end here.

    :param now: present time of the monotonic clock, in seconds.
    :returns: the jobs, each with whether it is due now; otherwise it has
        running calls that end in time.
    """
    calls_end_at: dict[str, float] = {}
    for call in running_calls:
        end_at = max(now, call.started_at + call.expected_s)
        for job in call.jobs():
            job_id = job.spec.job_id
            calls_end_at[job_id] = max(end_at, calls_end_at.get(job_id, now))
    found = []
    for job in candidates:
        if job.finished or (
            not job.is_leaving
            and end.fits(expected_s(job, rules_by_service, now), now)
        ):
            continue
        job_id = job.spec.job_id
        has_time = job_id in calls_end_at and end.fits(
            calls_end_at[job_id] - now, now
        )
        found.append((job, not has_time))
    return found


def expected_s(
    job: jobs.Job, rules_by_service: dict[str, routes.BatchRules], now: float
) -> float:
    """Return the expected time until the stages of a job are complete.

    This is the forecast of its admission, or the least time that the stages
    need if the forecast has proved too low.

    :returns: seconds from now.
    """
    submitted_at = job.deadline_at - job.spec.deadline_s
    forecast_at = submitted_at + job.forecast_s - job.spec.final_s
    return max(forecast_at - now, timing.min_stages_s(job, rules_by_service))
