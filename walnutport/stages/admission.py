"""Admission of jobs to a cell.

The aim of a job is the time within which its answer has full value. During a
burst of several times the usual traffic, jobs queue for busy stage targets.
Then a job is admitted only if its answer is forecast to meet its aim; all
others are refused immediately, with the time after which the caller may retry.
"""

from collections.abc import Callable

from walnutport.stages import forecast
from walnutport.stages import jobs
from walnutport.stages import pieces
from walnutport.stages import team_shares

__all__ = ['check_job', 'check_started_job', 'retry_after_s']

# Queueing time that is always accepted: it is as long as a short call and does
# not indicate overload.
TOLERATED_WAIT_S = 0.1
# Fraction of the time left to the aim that a forecast must leave unused under
# load. A shorter queue serves as many jobs and makes fewer of them late.
AIM_MARGIN_RATIO = 0.12
# The same fraction for a request that was refused before, as a second refusal
# would leave no time for a third attempt, and for a team that demands less
# than its share.
PREFERRED_MARGIN_RATIO = 0.02
# The same fraction for a kind or team that used more than its share, which
# keeps a part of the queue free for the others. With 0.3, the replays of five
# loads left targets without full calls and gave all kinds less value.
OVER_SHARE_MARGIN_RATIO = 0.16
# Bounds of the time after which a refused caller may retry.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 4.0


def check_job(
    job: jobs.Job,
    load_of: Callable[[str], forecast.ServiceLoad | None],
    standing: team_shares.Standing = team_shares.Standing.FAIR,
    is_return: bool | None = None,
    kind_standing: team_shares.Standing = team_shares.Standing.FAIR,
) -> pieces.Refusal | None:
    """Return the refusal of a job, or None if it is admitted.

    The forecast is stored in the job.

    :param load_of: returns the work ahead of the job at a service, or None
        if the service has no target.
    :param standing: demand of the job's team relative to its share.
    """
    spec = job.spec
    estimate = _forecast(job, load_of)
    if isinstance(estimate, pieces.Refusal):
        return estimate
    total_s = job.forecast_s
    if is_return is None:
        is_return = spec.returned
    margin = _margin_ratio(is_return, standing, kind_standing)
    excess_s = total_s + margin * spec.aim_s - spec.aim_s
    if excess_s > 0 and estimate.wait_s > TOLERATED_WAIT_S:
        return pieces.Refusal(
            'overload',
            retry_after_s(excess_s),
            total_s,
            standing.value,
            kind_standing=kind_standing.value,
        )
    return None


def check_started_job(
    job: jobs.Job, load_of: Callable[[str], forecast.ServiceLoad | None]
) -> pieces.Refusal | None:
    """Return the refusal of a job that goes on, or None.

    Its caller holds a part of a stream, or was admitted before, and is served
    after its aim as well.

    :param load_of: as in ``check_job``, with the work that goes before it.
    """
    estimate = _forecast(job, load_of)
    return estimate if isinstance(estimate, pieces.Refusal) else None


def _forecast(
    job: jobs.Job, load_of: Callable[[str], forecast.ServiceLoad | None]
) -> forecast.Forecast | pieces.Refusal:
    """Return the forecast of the stages, or the refusal without any use.

    The forecast of the answer is stored in the job.
    """
    estimate = forecast.forecast_job(job, load_of)
    if estimate is None:
        return pieces.Refusal('no_target', MIN_RETRY_AFTER_S, 0.0)
    total_s = estimate.total_s + job.spec.final_s
    job.forecast_s = total_s
    if total_s > job.spec.deadline_s:
        return pieces.Refusal(
            'deadline', retry_after_s(estimate.wait_s), total_s
        )
    return estimate


def _margin_ratio(
    is_return: bool,
    standing: team_shares.Standing,
    kind_standing: team_shares.Standing,
) -> float:
    """Return the fraction of the time left to the aim that stays unused."""
    standings = (standing, kind_standing)
    if team_shares.Standing.OVER in standings:
        return AIM_MARGIN_RATIO if is_return else OVER_SHARE_MARGIN_RATIO
    if is_return or team_shares.Standing.UNDER in standings:
        return PREFERRED_MARGIN_RATIO
    return AIM_MARGIN_RATIO


def retry_after_s(wait_s: float) -> float:
    """Return the retry time for a caller, clamped to its bounds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
