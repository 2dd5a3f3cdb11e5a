"""Forecast of when the stages of a job would be done.

Load pattern: a burst of several times the usual traffic, in which a queue
that takes everything makes every answer late. The forecast lets a job in only
while its answer can still be of full value.
"""

from collections.abc import Callable
import dataclasses

from walnutport.stages import jobs
from walnutport.world import routes

__all__ = ['ServiceLoad', 'Forecast', 'forecast_job']


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Work that is committed to a stage service.

    :param targets: targets that take calls.
    :param backlog_s: seconds of work of one target ahead of the job.
    :param slowness: measured over expected time of a call.
    """

    rules: routes.BatchRules
    targets: int
    backlog_s: float
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """When a job would be done and how much of that is waiting.

    :param total_s: seconds until the results are there.
    :param wait_s: seconds of it spent behind other work.
    """

    total_s: float
    wait_s: float


def forecast_job(
    job: jobs.Job, load_of: Callable[[str], ServiceLoad | None]
) -> Forecast | None:
    """Follow the stages of a job through the committed work.

    Work that is ahead of a job at a later stage is done while the job is in
    its earlier stages, so backlogs do not add up along the graph.

    :returns: None when a service has no target.
    """
    end_by_stage: dict[int, float] = {}
    free_by_stage: dict[int, float] = {}
    for stage in job.stages:
        load = load_of(job.spec.stages[stage].service)
        if load is None or load.targets == 0:
            return None
        ready = max(
            (end_by_stage[before] for before in job.predecessors(stage)), default=0.0
        )
        ready_if_free = max(
            (free_by_stage[before] for before in job.predecessors(stage)),
            default=0.0,
        )
        rules = load.rules
        wait_s = load.backlog_s / load.targets
        count = job.piece_count(stage)
        calls = -(-count // rules.batch)
        rounds = -(-calls // load.targets)
        own = min(count, rules.batch)
        # Behind other work a call leaves full, and all of its results come
        # at its end.
        filled = rules.batch if wait_s > ready else own
        run_s = rounds * (rules.call_s + filled * rules.piece_s)
        free_s = rounds * (rules.call_s + own * rules.piece_s)
        end_by_stage[stage] = max(ready, wait_s) + run_s * load.slowness
        free_by_stage[stage] = ready_if_free + free_s * load.slowness
    total = max(end_by_stage.values(), default=0.0)
    unloaded = max(free_by_stage.values(), default=0.0)
    return Forecast(total, total - unloaded)
