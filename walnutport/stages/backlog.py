"""Admitted work that has not started, in seconds of one target.

The cost of jobs of the same stage varies widely. Counting seconds instead of
jobs lets the forecast distinguish a queue of large jobs from one of small
ones.
"""

from walnutport.stages import jobs
from walnutport.stages import pieces
from walnutport.world import routes

__all__ = [
    'FIRST_RANK',
    'LATE_RANK',
    'Backlog',
    'admission_rank',
    'cost_by_service',
    'piece_cost_s',
]

#: Rank of jobs that go first, before every urgency.
FIRST_RANK = -1
#: Rank of jobs that are late for their aim, behind every urgency.
LATE_RANK = 1_000_000
# Jobs that were admitted before rank so much before new ones of their rank.
ADMITTED_RANK_STEP = 0.5


class Backlog:
    """Seconds of admitted work by service and rank."""

    def __init__(self) -> None:
        self._seconds: dict[str, dict[float, float]] = {}

    def update(
        self, job: jobs.Job, rules_by_service: dict[str, routes.BatchRules]
    ) -> None:
        """Replace the counted work of a job by its unstarted work."""
        remaining_s = cost_by_service(job, rules_by_service)
        for service in remaining_s.keys() | job.backlog_s_by_service.keys():
            by_rank = self._seconds.setdefault(service, {})
            rank = _rank(job)
            change = remaining_s.get(
                service, 0.0
            ) - job.backlog_s_by_service.get(service, 0.0)
            total = by_rank.get(rank, 0.0) + change
            by_rank[rank] = max(0.0, total)
        job.backlog_s_by_service = remaining_s

    def queued_s(self, service: str, rank: float | None = None) -> float:
        """Return the seconds of queued work of a service.

        :param rank: count only work of this rank and of more urgent ones.
        """
        return sum(
            seconds
            for found, seconds in self._seconds.get(service, {}).items()
            if rank is None or found <= rank
        )

    def late_s(self, service: str) -> float:
        """Return the seconds of queued work that is late for its aim."""
        return self._seconds.get(service, {}).get(LATE_RANK, 0.0)


def _rank(job: jobs.Job) -> float:
    if job.goes_first:
        return FIRST_RANK
    return LATE_RANK if job.late else admission_rank(job.spec)


def admission_rank(spec: pieces.JobSpec) -> float:
    """Return the rank of a job that is to be answered within its aim.

    New jobs count the work of those that were admitted before, and not the
    opposite.
    """
    if spec.was_admitted:
        return spec.rank - ADMITTED_RANK_STEP
    return spec.rank


def cost_by_service(
    job: jobs.Job, rules_by_service: dict[str, routes.BatchRules]
) -> dict[str, float]:
    """Return the seconds of unstarted work of a job, by service."""
    cost_s: dict[str, float] = {}
    if job.finished:
        return cost_s
    for stage in job.stages:
        service = job.spec.stages[stage].service
        rules = rules_by_service.get(service)
        count = job.unstarted_pieces(stage)
        if rules is not None and count:
            cost_s[service] = cost_s.get(service, 0.0) + (
                count * piece_cost_s(job, stage, rules)
            )
    return cost_s


def piece_cost_s(job: jobs.Job, stage: int, rules: routes.BatchRules) -> float:
    """Return the seconds of one target that a piece occupies under load.

    This is the larger of its share of the duration of a full call and its
    share of the result memory until the request has read the result.
    """
    time_s = rules.piece_s + rules.call_s / rules.max_pieces
    size = job.spec.stages[stage].result_bytes
    if not size or not rules.memory_bytes:
        return time_s
    held_s = rules.call_s + rules.max_pieces * rules.piece_s + job.spec.final_s
    return max(time_s, held_s * size / rules.memory_bytes)
