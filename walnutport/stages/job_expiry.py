"""Decides which admitted jobs are given up.

Covers jobs that wait for targets which are slower than expected until it is
too late, jobs of a burst that can no longer meet their aim, and an operator
that evacuates all targets of a service while jobs wait for them.
"""

from collections.abc import Callable
from collections.abc import Set

from walnutport.stages import jobs

__all__ = ['AIM_MISSED', 'expiry_reason']

#: Reason of a job that has not started and can no longer meet its aim.
AIM_MISSED = 'aim_missed'


def expiry_reason(
    job: jobs.Job,
    evacuated_services: Set[str],
    can_finish: Callable[[jobs.Job, float], bool],
    now: float,
) -> str:
    """Return why a job is given up; empty if it goes on.

    :param evacuated_services: services that evacuations have left without a
        target.
    :param can_finish: returns whether a job can meet its deadline.
    """
    if job.finished:
        return ''
    if evacuated_services & job.backlog_s_by_service.keys():
        return 'evacuated'
    may_be_late = job.started or job.late or job.spec.was_admitted
    if job.latest_start_at < now and not may_be_late:
        return AIM_MISSED
    return '' if can_finish(job, now) else 'deadline'
