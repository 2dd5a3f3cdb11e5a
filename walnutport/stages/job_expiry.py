"""Decides which admitted jobs are given up.

Covers jobs that wait for targets which are slower than expected until it is
too late, jobs of a burst that can no longer meet their aim, and an operator
that evacuates all targets of a service while jobs wait for them.
"""

from collections.abc import Set

from walnutport.stages import jobs
from walnutport.stages import timing
from walnutport.world import routes

__all__ = ['AIM_MISSED', 'expiry_reason']

# The time before the deadline at which the checks begin.
EXPIRE_HORIZON_S = 3.0
#: Reason of a job that has not started and can no longer meet its aim.
AIM_MISSED = 'aim_missed'


def expiry_reason(
    job: jobs.Job,
    rules_by_service: dict[str, routes.BatchRules],
    evacuated_services: Set[str],
    now: float,
) -> str:
    """Return why a job is given up; empty if it goes on.

    :param evacuated_services: services that evacuations have left without a
        target.
    """
    if job.finished:
        return ''
    if evacuated_services & job.backlog_s_by_service.keys():
        return 'evacuated'
    if job.latest_start_at < now and not job.started and not job.late:
        return AIM_MISSED
    if now + EXPIRE_HORIZON_S < job.deadline_at:
        return ''
    needed_s = timing.min_remaining_s(job, rules_by_service)
    return 'deadline' if now + needed_s > job.deadline_at else ''
