"""Forecast of the completion time of the stages of a job.

During a burst of several times the usual traffic, a queue that admits every
job makes every answer late. With the forecast, a job is admitted only while
its answer can still meet its aim.
"""

from collections.abc import Callable
import dataclasses

from walnutport.stages import jobs
from walnutport.world import routes

__all__ = ['ServiceLoad', 'Forecast', 'forecast_job']


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Work ahead of a job at a stage service, and the capacity for it.

    :param slots: number of calls that the targets run concurrently.
    :param backlog_s: work ahead of the job, in seconds of one target.
    :param slowness: measured duration of a call divided by the expected one.
    """

    rules: routes.BatchRules
    slots: int
    backlog_s: float
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Forecast completion time of a job and the part spent waiting.

    :param total_s: seconds until the results are available.
    :param wait_s: part of ``total_s`` that is spent waiting for other work.
    """

    total_s: float
    wait_s: float


def forecast_job(
    job: jobs.Job, load_of: Callable[[str], ServiceLoad | None]
) -> Forecast | None:
    """Forecast the completion time of the stages of a job.

    Work ahead of a job at a later stage is done while the job is in its
    earlier stages, so backlogs do not add up along the graph.

    :returns: None if a service has no target.
    """
    end_by_stage: dict[int, float] = {}
    unloaded_end_by_stage: dict[int, float] = {}
    for stage in job.stages:
        load = load_of(job.spec.stages[stage].service)
        if load is None or load.slots == 0:
            return None
        ready_s = ready_unloaded_s = 0.0
        for predecessor in job.predecessors(stage):
            ready_s = max(ready_s, end_by_stage[predecessor])
            ready_unloaded_s = max(
                ready_unloaded_s, unloaded_end_by_stage[predecessor]
            )
        count = job.unstarted_pieces(stage)
        if not count:
            end_by_stage[stage] = ready_s
            unloaded_end_by_stage[stage] = ready_unloaded_s
            continue
        rules = load.rules
        wait_s = load.backlog_s / load.slots
        calls = -(-count // rules.max_pieces)
        rounds = -(-calls // load.slots)
        own_pieces = min(count, rules.max_pieces)
        # Calls that start behind other work are full, and the results of a
        # call become available only at its end.
        call_pieces = rules.max_pieces if wait_s > ready_s else own_pieces
        run_s = rounds * (rules.call_s + call_pieces * rules.piece_s)
        unloaded_run_s = rounds * (rules.call_s + own_pieces * rules.piece_s)
        end_by_stage[stage] = max(ready_s, wait_s) + run_s * load.slowness
        unloaded_end_by_stage[stage] = (
            ready_unloaded_s + unloaded_run_s * load.slowness
        )
    total_s = max(end_by_stage.values(), default=0.0)
    unloaded_s = max(unloaded_end_by_stage.values(), default=0.0)
    return Forecast(total_s, total_s - unloaded_s)
