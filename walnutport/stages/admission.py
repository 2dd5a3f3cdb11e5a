"""Whether a cell takes a job.

Load pattern: a burst of several times the usual traffic on stage targets that
are busy already. A job is taken only while its answer can be of full value;
the callers of the others learn at once when to come back.
"""

from collections.abc import Callable

from walnutport.stages import forecast
from walnutport.stages import jobs
from walnutport.stages import pieces
from walnutport.stages import team_shares

__all__ = ['check_job', 'retry_after_s']

# Waiting behind others that is always accepted: it is as long as a short call
# and says nothing about overload.
TOLERATED_WAIT_S = 0.1
# Part of the time left for the aim that a forecast must leave free under
# load: a shorter queue serves as many and makes fewer of them late.
AIM_MARGIN_RATIO = 0.12
# The same for a request that was refused before, as a second refusal would
# leave it without time for a third try, and for a team that asks for less
# than its share.
PREFERRED_MARGIN_RATIO = 0.02
# The same for a team that took more than its share. Twice the usual margin
# and more keeps room in the queue for the requests of the others.
OVER_SHARE_MARGIN_RATIO = 0.3
# Bounds of the time after which a refused caller may come back.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 4.0


def check_job(
    job: jobs.Job,
    load_of: Callable[[str], forecast.ServiceLoad | None],
    standing: team_shares.Standing = team_shares.Standing.FAIR,
) -> pieces.Refusal | None:
    """Return why a job is not taken, or None if it is.

    The forecast stays with the job.

    :param load_of: returns the work that goes ahead of the job at a service.
    :param standing: demand of the job's team against its share.
    """
    order = job.spec
    found = forecast.forecast_job(job, load_of)
    if found is None:
        return pieces.Refusal('no_target', MIN_RETRY_AFTER_S, 0.0)
    total_s = found.total_s + order.final_s
    job.forecast_s = total_s
    if total_s > order.deadline_s:
        return pieces.Refusal('deadline', retry_after_s(found.wait_s), total_s)
    margin = _margin_ratio(order.returned, standing)
    over_s = total_s + margin * order.aim_s - order.aim_s
    if over_s > 0 and found.wait_s > TOLERATED_WAIT_S:
        return pieces.Refusal(
            'overload', retry_after_s(over_s), total_s, standing.value
        )
    return None


def _margin_ratio(returned: bool, standing: team_shares.Standing) -> float:
    """Return the part of the time left for the aim that stays free."""
    if standing is team_shares.Standing.OVER:
        return AIM_MARGIN_RATIO if returned else OVER_SHARE_MARGIN_RATIO
    if returned or standing is team_shares.Standing.UNDER:
        return PREFERRED_MARGIN_RATIO
    return AIM_MARGIN_RATIO


def retry_after_s(wait_s: float) -> float:
    """Return the wait that a caller is told, from the expected one."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
