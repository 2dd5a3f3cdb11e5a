"""When the stages of a job must start for its answer to be in time.

Load pattern: a burst that leaves jobs of many aims in one queue. Jobs that
must start first go first, and jobs that are late already do not hold up those
that can still be in time.
"""

from walnutport.stages import jobs
from walnutport.world import routes

__all__ = ['latest_start', 'least_s', 'rank', 'unhurried_start']

# The time still needed is an estimate; a job counts as late only beyond this.
LATE_MARGIN_S = 0.1

_Rules = dict[str, routes.BatchRules]


def least_s(job: jobs.Job, rules_by_service: _Rules) -> float:
    """Return the least time that a job still needs, in seconds."""
    least: dict[int, float] = {}
    for stage in job.stages:
        before = max(
            (least[number] for number in job.after(stage)), default=0.0
        )
        rules = rules_by_service.get(job.order.stages[stage].service)
        left = job.open_pieces(stage) > 0
        least[stage] = before + (rules.call_s if rules and left else 0.0)
    return max(least.values(), default=0.0) + job.order.final_s / 2


def unhurried_start(job: jobs.Job, rules_by_service: _Rules) -> float:
    """Return until when the next stage may start without haste.

    All calls that are left may be full then.
    """
    full_s: dict[int, float] = {}
    for stage in job.stages:
        before = max(
            (full_s[number] for number in job.after(stage)), default=0.0
        )
        rules = rules_by_service.get(job.order.stages[stage].service)
        left = job.open_pieces(stage) > 0
        call_s = rules.call_s + rules.batch * rules.piece_s if rules else 0.0
        full_s[stage] = before + (call_s if left else 0.0)
    left_s = max(full_s.values(), default=0.0) + job.order.final_s
    return job.aim_at - left_s


def latest_start(job: jobs.Job, rules_by_service: _Rules) -> float:
    """Return when the next stage must start for the aim to be met."""
    return job.aim_at - least_s(job, rules_by_service) - job.order.final_s / 2


def rank(
    job: jobs.Job, rules_by_service: _Rules, now: float
) -> tuple[bool, float]:
    """Return the order in which jobs are served.

    Jobs that must start first to meet their aim go first; urgency has decided
    which jobs are taken at all. Jobs that cannot meet it any more go behind
    those that can.
    """
    latest = latest_start(job, rules_by_service)
    return (now > latest + LATE_MARGIN_S, latest)
