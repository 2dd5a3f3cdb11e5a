"""Work that a cell has taken and not started, in seconds of one target.

Load pattern: jobs of one stage that weigh very differently. Counting seconds
instead of jobs lets the forecast tell a queue of large jobs from one of small
ones.
"""

from walnutport.stages import jobs
from walnutport.world import routes

__all__ = ['Backlog', 'cost_by_service', 'piece_cost_s']


class Backlog:
    """Committed work by service and urgency."""

    def __init__(self) -> None:
        self._seconds: dict[str, dict[int, float]] = {}

    def update(
        self, job: jobs.Job, rules_by_service: dict[str, routes.BatchRules]
    ) -> None:
        """Bring what is counted of a job up to date."""
        order = job.spec
        left = cost_by_service(job, rules_by_service)
        for service in left.keys() | job.committed_s.keys():
            by_rank = self._seconds.setdefault(service, {})
            change = left.get(service, 0.0) - job.committed_s.get(service, 0.0)
            total = by_rank.get(order.urgency, 0.0) + change
            by_rank[order.urgency] = max(0.0, total)
        job.committed_s = left

    def ahead_s(self, service: str, urgency: int | None = None) -> float:
        """Return the seconds of work of a service.

        :param urgency: count only work that goes ahead of this rank.
        """
        return sum(
            seconds
            for rank, seconds in self._seconds.get(service, {}).items()
            if urgency is None or rank <= urgency
        )


def cost_by_service(
    job: jobs.Job, rules_by_service: dict[str, routes.BatchRules]
) -> dict[str, float]:
    """Return the seconds of work that a job still has to start."""
    found: dict[str, float] = {}
    if job.finished:
        return found
    for stage in job.stages:
        service = job.spec.stages[stage].service
        rules = rules_by_service.get(service)
        count = job.unstarted_pieces(stage)
        if rules is not None and count:
            found[service] = found.get(service, 0.0) + (
                count * piece_cost_s(job, stage, rules)
            )
    return found


def piece_cost_s(job: jobs.Job, stage: int, rules: routes.BatchRules) -> float:
    """Return the seconds of one target that a piece takes under load.

    A piece takes its share of the time of a full call, or its share of the
    memory for results until the request has read them, whichever is more.
    """
    time_s = rules.piece_s + rules.call_s / rules.batch
    size = job.spec.stages[stage].result_bytes
    if not size or not rules.result_bytes:
        return time_s
    held_s = rules.call_s + rules.batch * rules.piece_s + job.spec.final_s
    return max(time_s, held_s * size / rules.result_bytes)
