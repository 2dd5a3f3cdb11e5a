"""Latest start times and scheduling order of jobs.

During a burst, jobs with different aims share a queue. Jobs are ordered by
their latest start time, and jobs that are already late do not delay those
that can still be on time.
"""

from collections.abc import Mapping
from collections.abc import Sequence

from walnutport.stages import jobs
from walnutport.world import routes

__all__ = [
    'full_calls_s',
    'idle_chain_s',
    'latest_start',
    'latest_start_of_full_calls',
    'min_remaining_s',
    'min_stages_s',
    'scheduling_key',
]

# The remaining time is an estimate; a job counts as late only when its latest
# start has passed by this margin.
LATE_MARGIN_S = 0.1
# A late job goes first this long before its latest start by the deadline, as
# it may have to wait for the end of a full call of some 0.28 s.
DEADLINE_MARGIN_S = 0.4
# Jobs whose latest starts differ by less than this start in the order of their
# urgency. With 0.05 s and more, the least urgent jobs missed their aim.
URGENCY_STEP_S = 0.03

_Rules = dict[str, routes.BatchRules]


def idle_chain_s(
    stages: tuple[routes.StageSpec, ...],
    piece_counts: Sequence[int],
    rules_by_service: Mapping[str, routes.BatchRules],
) -> float:
    """Return how long the stages of a request take at idle targets.

    :param piece_counts: number of pieces of each stage; 0 omits a stage.
    """
    end_by_stage: dict[int, float] = {}
    for number in routes.topological_order(stages):
        stage = stages[number]
        # A request that names too few is refused later.
        count = piece_counts[number] if number < len(piece_counts) else 0
        start_s = max(
            (end_by_stage[before] for before in stage.after),
            default=0.0,
        )
        rules = rules_by_service.get(stage.service)
        call_s = 0.0
        if rules is not None and count > 0:
            pieces = min(count, rules.max_pieces)
            call_s = rules.call_s + pieces * rules.piece_s
        end_by_stage[number] = start_s + call_s
    return max(end_by_stage.values(), default=0.0)


def min_remaining_s(job: jobs.Job, rules_by_service: _Rules) -> float:
    """Return the minimum time that a job still needs, in seconds.

    The duration of the request itself varies, so only half of it is counted.
    """
    return min_stages_s(job, rules_by_service) + job.spec.final_s / 2


def min_stages_s(job: jobs.Job, rules_by_service: _Rules) -> float:
    """Return the minimum time that the unstarted stages of a job need."""
    return _longest_chain_s(job, rules_by_service, full_calls=False)


def latest_start(job: jobs.Job, rules_by_service: _Rules) -> float:
    """Return the time at which the next stage must start to meet the aim.

    Calls are assumed to be almost empty, which holds except during bursts.
    """
    chain_s = _longest_chain_s(job, rules_by_service, full_calls=False)
    return job.aim_at - chain_s - job.spec.final_s


def latest_start_of_full_calls(
    job: jobs.Job, rules_by_service: _Rules
) -> float:
    """Return the latest start if all calls are full, as during a burst."""
    chain_s = _longest_chain_s(job, rules_by_service, full_calls=True)
    return job.aim_at - chain_s - job.spec.final_s


def full_calls_s(job: jobs.Job, rules_by_service: _Rules) -> float:
    """Return the duration of the unfinished stages if all calls are full."""
    return _longest_chain_s(job, rules_by_service, full_calls=True)


def _longest_chain_s(
    job: jobs.Job, rules_by_service: _Rules, full_calls: bool
) -> float:
    """Return the duration of the longest chain of unfinished stages."""
    end_by_stage: dict[int, float] = {}
    for stage in job.stages:
        start_s = 0.0
        for number in job.predecessors(stage):
            start_s = max(start_s, end_by_stage[number])
        rules = rules_by_service.get(job.spec.stages[stage].service)
        call_s = 0.0
        if rules is not None and job.unstarted_pieces(stage) > 0:
            call_s = rules.call_s
            if full_calls:
                call_s += rules.max_pieces * rules.piece_s
        end_by_stage[stage] = start_s + call_s
    return max(end_by_stage.values(), default=0.0)


def scheduling_key(
    job: jobs.Job, rules_by_service: _Rules, now: float
) -> tuple[int, float]:
    """Return the sort key by which jobs are scheduled.

    Jobs that go first are ordered by their deadline. Of the others, jobs with
    the earliest latest start go first. Jobs that can no longer meet
    their aim go last, until their deadline requires them to start, unless they
    were admitted before: newer jobs stay behind them.
    """
    if job.goes_first:
        return -1, job.deadline_at
    latest_start_at = latest_start(job, rules_by_service)
    is_timely = now <= latest_start_at + LATE_MARGIN_S
    if not job.late and (is_timely or job.spec.was_admitted):
        urgency = job.spec.urgency + job.spec.kind_urgency
        urgency_s = urgency * URGENCY_STEP_S
        return 0, latest_start_at + urgency_s - job.head_start_s
    due_at = job.deadline_at - (job.aim_at - latest_start_at)
    return int(now < due_at - DEADLINE_MARGIN_S), due_at
