"""When the stages of a job must start for its answer to be in time.

Load pattern: a burst that leaves jobs of many aims in one queue. Jobs that
must start first go first, and jobs that are late already do not hold up those
that can still be in time.
"""

from walnutport.stages import jobs
from walnutport.world import routes

__all__ = ['latest_start', 'latest_start_of_full_calls', 'min_remaining_s', 'scheduling_key']

# The time still needed is an estimate; a job counts as late only beyond this.
LATE_MARGIN_S = 0.1

_Rules = dict[str, routes.BatchRules]


def min_remaining_s(job: jobs.Job, rules_by_service: _Rules) -> float:
    """Return the least time that a job still needs, in seconds.

    Half of the time of the request itself is counted, as it varies.
    """
    chain_s = _longest_chain_s(job, rules_by_service, full_calls=False)
    return chain_s + job.spec.final_s / 2


def latest_start(job: jobs.Job, rules_by_service: _Rules) -> float:
    """Return when the next stage must start for the aim to be met.

    Calls are taken to carry little else, which holds but for bursts.
    """
    chain_s = _longest_chain_s(job, rules_by_service, full_calls=False)
    return job.aim_at - chain_s - job.spec.final_s


def latest_start_of_full_calls(
    job: jobs.Job, rules_by_service: _Rules
) -> float:
    """Return the same for calls that leave full, as in a burst."""
    chain_s = _longest_chain_s(job, rules_by_service, full_calls=True)
    return job.aim_at - chain_s - job.spec.final_s


def _longest_chain_s(
    job: jobs.Job, rules_by_service: _Rules, full_calls: bool
) -> float:
    """Return the time of the longest chain of stages that are left."""
    end_by_stage: dict[int, float] = {}
    for stage in job.stages:
        before = max(
            (end_by_stage[number] for number in job.predecessors(stage)), default=0.0
        )
        rules = rules_by_service.get(job.spec.stages[stage].service)
        call_s = 0.0
        if rules is not None and job.unstarted_pieces(stage) > 0:
            call_s = rules.call_s
            if full_calls:
                call_s += rules.batch * rules.piece_s
        end_by_stage[stage] = before + call_s
    return max(end_by_stage.values(), default=0.0)


def scheduling_key(
    job: jobs.Job, rules_by_service: _Rules, now: float
) -> tuple[bool, float]:
    """Return the order in which jobs are served.

    Jobs that must start first to meet their aim go first; urgency has decided
    which jobs are taken at all. Jobs that cannot meet it any more go behind
    those that can.
    """
    latest = latest_start(job, rules_by_service)
    return (now > latest + LATE_MARGIN_S, latest)
