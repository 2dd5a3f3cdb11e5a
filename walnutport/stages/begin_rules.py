"""Decides which jobs may have their first call.

Covers bursts in which the memory for results is scarce. Without room at the
next stage, the results of the first stages wait in the memory of other
targets until the deadline of the job, and are then thrown away. The same
happens to jobs that are begun too late. A job therefore begins only if all its
results find room and it can finish in time; what has not begun can be refused
truthfully.
"""

from collections.abc import Iterable

from walnutport.stages import batching
from walnutport.stages import cell_targets
from walnutport.stages import jobs
from walnutport.stages import timing

__all__ = ['BeginRules']


# Jobs are not checked as long as they have more time than this until their
# deadline; it is a multiple of the time that stages need.
CHECK_HORIZON_S = 3.0
# Room that is given away, relative to the memory: results are freed while the
# first stage of a job runs. Without overbooking, a tenth fewer jobs finish
# where memory is scarce; each call still checks the memory of its target.
OVERBOOKING = 4 / 3


class BeginRules:
    """Room for results that the begun jobs of a cell will need.

    :ivar blocked_services: services at which a job waited for room at the
        last decision.
    :ivar not_begun_count: jobs that came too late to begin.
    :ivar discarded_s: work in the results of failed jobs, in seconds of one
        target with full calls.
    """

    def __init__(self, targets: cell_targets.CellTargets) -> None:
        self._targets = targets
        self._reserved_by_service: dict[str, float] = {}
        self._reserved_by_job: dict[str, dict[str, float]] = {}
        self.blocked_services: set[str] = set()
        self._late_jobs: list[jobs.Job] = []
        self.not_begun_count = 0
        self.discarded_s = 0.0

    def update_job(self, job: jobs.Job) -> None:
        """Update the room that a job has reserved.

        This is the room for the results of its pieces that have not started,
        once one has; running ones occupy the memory of their target.
        """
        needed = _needed_bytes(job) if job.started and not job.finished else {}
        job_id = job.spec.job_id
        reserved = self._reserved_by_job.pop(job_id, {})
        for service in needed.keys() | reserved.keys():
            self._reserved_by_service[service] = max(
                0.0,
                self._reserved_by_service.get(service, 0.0)
                + needed.get(service, 0.0)
                - reserved.get(service, 0.0),
            )
        if needed:
            self._reserved_by_job[job_id] = needed

    def record_failed(self, job: jobs.Job) -> None:
        """Count the results of a failed job, which are thrown away."""
        for stage, results in job.results.items():
            rules = self._targets.rules_by_service.get(
                job.spec.stages[stage].service
            )
            if rules is not None:
                piece_s = rules.piece_s + rules.call_s / rules.max_pieces
                self.discarded_s += len(results) * piece_s

    def reserved_bytes(self, service: str) -> float:
        """Return the room that begun jobs have reserved at a service."""
        return self._reserved_by_service.get(service, 0.0)

    def can_finish(self, job: jobs.Job, now: float) -> bool:
        """Return whether a job can meet its deadline.

        One that has begun is given up only when it cannot at all; one that
        has not begun must leave time for the calls ahead of it.
        """
        if now + CHECK_HORIZON_S < job.deadline_at:
            return True
        if job.started:
            needed_s = timing.min_remaining_s(
                job, self._targets.rules_by_service
            )
        else:
            needed_s = self._expected_s(job, now)
        return now + needed_s <= job.deadline_at

    def _expected_s(self, job: jobs.Job, now: float) -> float:
        """Return the time that a job needs if it begins now.

        At a later service without a free target, or for which other jobs are
        on their way, its call waits for a full one and is full itself.
        """
        end_by_stage: dict[int, float] = {}
        for stage in job.stages:
            ready_s = max(
                (end_by_stage[number] for number in job.predecessors(stage)),
                default=0.0,
            )
            service = job.spec.stages[stage].service
            rules = self._targets.rules_by_service.get(service)
            if rules is not None:
                count = min(job.piece_count(stage), rules.max_pieces)
                call_s = rules.call_s + count * rules.piece_s
                slowness, is_busy = self._targets.min_slowness(service, now)
                is_busy = is_busy or self.reserved_bytes(service) > 0
                if is_busy and job.predecessors(stage):
                    call_s = 2 * (
                        rules.call_s + rules.max_pieces * rules.piece_s
                    )
                ready_s += call_s * slowness
            end_by_stage[stage] = ready_s
        return max(end_by_stage.values(), default=0.0) + job.spec.final_s

    def take_late(self) -> list[jobs.Job]:
        """Return and clear the jobs that came too late to begin."""
        late, self._late_jobs = self._late_jobs, []
        return late

    def select(
        self, entries: Iterable[batching.WaitingPieces], now: float
    ) -> list[batching.WaitingPieces]:
        """Return the entries of one service that may go into calls now.

        Jobs that have not begun and can no longer finish are kept for
        ``take_late``. A job that lacks room keeps its place: a less urgent
        one that needs the same room does not begin before it.

        :param entries: waiting pieces, the most urgent first.
        """
        selected = []
        claimed_by_service: dict[str, float] = {}
        asked: dict[str, bool] = {}
        for entry in entries:
            job = entry.job
            job_id = job.spec.job_id
            if not job.started and job_id not in asked:
                if not self.can_finish(job, now):
                    asked[job_id] = False
                    self._late_jobs.append(job)
                    self.not_begun_count += 1
                    continue
                asked[job_id] = self._claim_room(job, claimed_by_service)
            if asked.get(job_id, True):
                selected.append(entry)
        return selected

    def _claim_room(
        self, job: jobs.Job, claimed_by_service: dict[str, float]
    ) -> bool:
        """Return whether all results of a job have room, and claim it."""
        has_room = True
        for service, size in _needed_bytes(job).items():
            total, held = self._memory(service)
            taken = (
                held
                + self.reserved_bytes(service)
                + claimed_by_service.get(service, 0.0)
            )
            # A job that exceeds the memory may begin alone; its pieces run
            # one after the other.
            if taken > 0 and taken + size > OVERBOOKING * total:
                has_room = False
                self.blocked_services.add(service)
            claimed_by_service[service] = (
                claimed_by_service.get(service, 0.0) + size
            )
        return has_room

    def _memory(self, service: str) -> tuple[float, float]:
        """Return the memory of the targets of a service and its used part."""
        total = 0.0
        held = 0.0
        for target in self._targets.by_id.values():
            if target.info.service == service and target.accepts_work:
                total += target.rules.memory_bytes
                held += target.held_bytes
        return total, held


def _needed_bytes(job: jobs.Job) -> dict[str, float]:
    """Return the size of the results of the pieces that have not started."""
    needed: dict[str, float] = {}
    for stage in job.stages:
        spec = job.spec.stages[stage]
        size = job.unstarted_pieces(stage) * spec.result_bytes
        if size:
            needed[spec.service] = needed.get(spec.service, 0.0) + size
    return needed
