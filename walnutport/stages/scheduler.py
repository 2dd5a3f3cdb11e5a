"""Assembles the calls to the stage targets of one cell.

Load pattern: stage targets that take one call at a time with a large fixed
cost. Calls that carry the pieces of many requests keep up with several times
the traffic of calls that carry one request each, so a cell holds all pieces
that wait for its targets in one place.
"""

from collections.abc import Iterable
import dataclasses
import itertools

from walnutport.stages import forecast
from walnutport.stages import jobs
from walnutport.stages import pieces
from walnutport.stages import stage_targets
from walnutport.world import routes
from walnutport.world import workers

__all__ = ['StageScheduler']

# A call that takes this many times its expected time, and the margin, is
# repeated at another target.
TIMEOUT_RATIO = 2.5
TIMEOUT_MARGIN_S = 0.3
# Failed pieces of one job before it is given up.
MAX_JOB_FAILURES = 6
# Time for the way to a target and back, and for the host's own work.
CALL_OVERHEAD_S = 0.01
# Waiting behind others that is always accepted: it is as long as a short call
# and says nothing about overload.
FREE_WAIT_S = 0.1
# Part of the time left for the aim that a forecast must leave free under
# load: a shorter queue serves as many and makes fewer of them late.
AIM_MARGIN = 0.12
# The same for a request that was refused before. It goes first, as a second
# refusal would leave it without time for a third try.
RETURN_MARGIN = 0.02
# Inputs of a stage of one request that weigh less may cross data centres.
BINDING_BYTES = 500_000
# A near target may be free a little later than expected.
NEAR_MARGIN_S = 0.05
# The time still needed is an estimate; a job counts as late only beyond this.
LATE_MARGIN_S = 0.1
# How often jobs are looked at that come close to their deadline, and how
# close that is.
EXPIRE_EVERY_S = 0.1
EXPIRE_HORIZON_S = 3.0
# Bounds of the time after which a refused caller may come back.
LEAST_RETRY_AFTER_S = 0.2
MOST_RETRY_AFTER_S = 4.0


#: Id of a job and number of a stage.
_EntryKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Entry:
    """Pieces of one stage of a job that wait.

    :param places: data centres of inputs that are too large to move.
    """

    job: jobs.Job
    stage: int
    waiting: list[int]
    places: set[str] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        inputs = self.job.inputs(self.stage)
        # Every piece fetches all inputs of its stage.
        moved = self.job.count(self.stage) * sum(
            placed.size for placed in inputs
        )
        self.places = (
            {placed.data_centre for placed in inputs}
            if moved >= BINDING_BYTES
            else set()
        )


class StageScheduler:
    """Jobs, targets and calls of one cell.

    Times are seconds of a steady clock, passed in as ``now``.
    """

    def __init__(self) -> None:
        self._job_by_id: dict[str, jobs.Job] = {}
        self._target_by_id: dict[str, stage_targets.StageTarget] = {}
        self._rules_by_service: dict[str, routes.BatchRules] = {}
        self._call_by_id: dict[int, stage_targets.RunningCall] = {}
        # Jobs with pieces that wait, by service.
        self._ready: dict[str, dict[_EntryKey, jobs.Job]] = {}
        # Seconds of work not started yet, by service and urgency.
        self._committed_s: dict[str, dict[int, float]] = {}
        self._expire_at = 0.0
        self._call_ids = itertools.count(1)
        self._outcomes: list[pieces.JobResult | pieces.JobFailure] = []
        self._freed_by_target: dict[str, list[str]] = {}

    @property
    def job_count(self) -> int:
        """Jobs whose results are not used yet."""
        return len(self._job_by_id)

    @property
    def call_count(self) -> int:
        """Calls under way."""
        return len(self._call_by_id)

    def update_targets(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        targets: Iterable[workers.RegisteredTarget],
        now: float,
    ) -> None:
        """Take over the targets that may be called.

        A target that is no longer listed keeps its results until its call
        fails or a new lifetime replaces it.
        """
        self._rules_by_service = rules_by_service
        listed = {
            target.target_id: target
            for target in targets
            if target.service in rules_by_service
        }
        for target_id, target in listed.items():
            rules = rules_by_service[target.service]
            known = self._target_by_id.get(target_id)
            if known is None or known.info.lifetime != target.lifetime:
                if known is not None:
                    self._forget_target(target_id, now)
                self._target_by_id[target_id] = stage_targets.StageTarget(
                    target, rules, usable=not target.draining
                )
            else:
                known.info = target
                known.rules = rules
                known.usable = not target.draining
        for target_id, known in list(self._target_by_id.items()):
            if target_id not in listed:
                known.usable = False
                if not known.calls and not self._holds_results(target_id):
                    del self._target_by_id[target_id]

    def submit(
        self, order: pieces.JobOrder, now: float
    ) -> pieces.Refusal | None:
        """Take a job or say why not."""
        job = jobs.Job(order, now)
        refusal = self._judge(job, now)
        if refusal is not None:
            return refusal
        self._job_by_id[order.job_id] = job
        self._settle(job, now)
        return None

    def release(self, job_id: str) -> None:
        """Give up a job, whether it is done or not, and its results."""
        job = self._job_by_id.pop(job_id, None)
        if job is None:
            return
        job.finished = True
        for placed in job.all_results():
            self._free(placed)
        job.results = {stage: {} for stage in job.stages}
        job.waiting = {}
        self._track(job)

    def take_outcomes(self) -> list[pieces.JobResult | pieces.JobFailure]:
        """Return the jobs that were done or given up since the last call."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def take_freed(
        self,
    ) -> list[tuple[workers.RegisteredTarget, list[str]]]:
        """Return results that are no longer needed, by target."""
        freed, self._freed_by_target = self._freed_by_target, {}
        return [
            (self._target_by_id[target_id].info, handles)
            for target_id, handles in freed.items()
            if target_id in self._target_by_id
        ]

    def expire(self, now: float) -> None:
        """Give up the jobs that cannot be answered in time any more."""
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_EVERY_S
        for job in list(self._job_by_id.values()):
            if job.finished or now + EXPIRE_HORIZON_S < job.deadline_at:
                continue
            if now + self._least_s(job) > job.deadline_at:
                self._fail(job, 'deadline', now)

    def next_calls(self, now: float) -> list[pieces.StageCall]:
        """Return the calls to start now."""
        calls: list[pieces.StageCall] = []
        free_by_service: dict[str, list[stage_targets.StageTarget]] = {}
        for target in self._target_by_id.values():
            if self._ready.get(target.info.service) and target.is_free(now):
                free_by_service.setdefault(target.info.service, []).append(
                    target
                )
        for service, free in free_by_service.items():
            entries = [
                _Entry(job, stage, sorted(job.waiting[stage]))
                for (_, stage), job in self._ready[service].items()
            ]
            entries.sort(key=lambda entry: self._rank(entry.job, now))
            free.sort(key=lambda target: target.slowness)
            while free:
                chosen = self._choose_target(free, entries, now)
                if chosen is None:
                    break
                free.remove(chosen)
                call = self._fill(chosen, entries, now)
                if call is not None:
                    calls.append(call)
        return calls

    def call_done(
        self,
        call_id: int,
        outcomes: list[str | pieces.PieceFailure],
        now: float,
    ) -> None:
        """Take the outcome of each piece of a call."""
        call = self._call_by_id.pop(call_id, None)
        if call is None:
            return
        target = self._target_by_id.get(call.target_id)
        if target is not None:
            target.calls.pop(call_id, None)
            target.answered(call, now)
        for (job, piece_id), outcome in zip(call.work, outcomes):
            self._piece_done(job, piece_id, target, outcome, now)
        for job in {id(job): job for job, _ in call.work}.values():
            self._settle(job, now)

    def call_failed(
        self, call_id: int, failure: stage_targets.CallFailure, now: float
    ) -> None:
        """Take note that a call had no usable answer."""
        call = self._call_by_id.pop(call_id, None)
        if call is None:
            return
        target = self._target_by_id.get(call.target_id)
        if target is not None:
            target.calls.pop(call_id, None)
            target.failed(failure, now)
            for job, piece_id in call.work:
                self._unreserve(job, piece_id, target)
        for job, piece_id in call.work:
            job.running[piece_id[0]].discard(piece_id[1])
            if failure is not stage_targets.CallFailure.BUSY:
                job.failures += 1
        for job in {id(job): job for job, _ in call.work}.values():
            self._settle(job, now)

    def work_of(self, call_id: int) -> int:
        """Return how many pieces of a call are still wanted."""
        call = self._call_by_id.get(call_id)
        if call is None:
            return 0
        return sum(not job.finished for job, _ in call.work)

    def backlog(self, now: float) -> dict[str, float]:
        """Return the seconds of committed work by service."""
        return {
            service: self._backlog_s(service, None, now)
            for service in self._rules_by_service
        }

    def _judge(self, job: jobs.Job, now: float) -> pieces.Refusal | None:
        order = job.order

        def load_of(service: str) -> forecast.ServiceLoad | None:
            return self._load(service, order.urgency, now)

        found = forecast.forecast_job(job, load_of)
        if found is None:
            return pieces.Refusal('no_target', LEAST_RETRY_AFTER_S, 0.0)
        total_s = found.total_s + order.final_s
        if total_s > order.deadline_s:
            return pieces.Refusal(
                'deadline', _retry_after(found.wait_s), total_s
            )
        margin = RETURN_MARGIN if order.returned else AIM_MARGIN
        margin_s = margin * order.aim_s
        if total_s + margin_s > order.aim_s and found.wait_s > FREE_WAIT_S:
            return pieces.Refusal(
                'overload',
                _retry_after(total_s + margin_s - order.aim_s),
                total_s,
            )
        return None

    def _load(
        self, service: str, urgency: int, now: float
    ) -> forecast.ServiceLoad | None:
        rules = self._rules_by_service.get(service)
        if rules is None:
            return None
        usable = [
            target
            for target in self._target_by_id.values()
            if target.info.service == service
            and target.usable
            and target.paused_until <= now + stage_targets.BUSY_PAUSE_S
        ]
        if not usable:
            return None
        # Fast targets take more calls, so speeds add up, not times.
        speed = sum(1 / target.slowness for target in usable)
        slowness = len(usable) / speed
        return forecast.ServiceLoad(
            rules,
            len(usable) * rules.slots,
            self._backlog_s(service, urgency, now) * slowness,
            slowness,
        )

    def _backlog_s(
        self, service: str, urgency: int | None, now: float
    ) -> float:
        """Return the work committed to a service, in seconds of one target.

        :param urgency: count only work that goes ahead of this rank.
        """
        found = sum(
            seconds
            for rank, seconds in self._committed_s.get(service, {}).items()
            if urgency is None or rank <= urgency
        )
        for call in self._call_by_id.values():
            if call.service == service:
                found += max(0.0, call.started_at + call.expected_s - now)
        return found

    def _track(self, job: jobs.Job) -> None:
        """Bring what is counted of a job up to date."""
        order = job.order
        left: dict[str, float] = {}
        for stage in job.stages:
            service = order.stages[stage].service
            ready = self._ready.setdefault(service, {})
            key = (order.job_id, stage)
            if stage in job.waiting:
                ready[key] = job
            else:
                ready.pop(key, None)
            rules = self._rules_by_service.get(service)
            if job.finished or rules is None:
                continue
            count = job.open_pieces(stage)
            if count:
                left[service] = left.get(service, 0.0) + (
                    count * _piece_cost_s(job, stage, rules)
                )
        for service in left.keys() | job.committed_s.keys():
            by_rank = self._committed_s.setdefault(service, {})
            change = left.get(service, 0.0) - job.committed_s.get(service, 0.0)
            total = by_rank.get(order.urgency, 0.0) + change
            by_rank[order.urgency] = max(0.0, total)
        job.committed_s = left

    def _choose_target(
        self,
        free: list[stage_targets.StageTarget],
        entries: 'list[_Entry]',
        now: float,
    ) -> stage_targets.StageTarget | None:
        """Return the target for the most urgent entry that can start."""
        for entry in entries:
            places = entry.places
            if not places:
                return free[0]
            for target in free:
                if target.info.data_centre in places:
                    return target
            if not self._can_wait(entry, now):
                return free[0]
        return None

    def _can_wait(self, entry: '_Entry', now: float) -> bool:
        """Whether a job meets its aim if it waits for a near target.

        Every piece of a stage fetches all its inputs, so large inputs that
        cross data centres cost more than a short wait.
        """
        service = entry.job.order.stages[entry.stage].service
        near_s = min(
            (
                target.free_in_s(now)
                for target in self._target_by_id.values()
                if target.info.service == service
                and target.usable
                and target.info.data_centre in entry.places
            ),
            default=None,
        )
        if near_s is None:
            return False
        latest = self._latest_start(entry.job)
        return now + near_s + NEAR_MARGIN_S < latest

    def _fill(
        self,
        target: stage_targets.StageTarget,
        entries: 'list[_Entry]',
        now: float,
    ) -> pieces.StageCall | None:
        """Assemble one call and take its pieces out of the entries."""
        rules = target.rules
        room = rules.result_bytes - target.held_bytes
        work: list[tuple[jobs.Job, jobs.PieceId]] = []
        left: list[_Entry] = []
        for number, entry in enumerate(entries):
            space = rules.batch - len(work)
            if space <= 0:
                left += entries[number:]
                break
            if (
                entry.places
                and target.info.data_centre not in entry.places
                and self._can_wait(entry, now)
            ):
                left.append(entry)
                continue
            size = entry.job.order.stages[entry.stage].result_bytes
            fitting = int(room // size) if size else space
            wanted = len(entry.waiting)
            count = min(wanted, space, max(0, fitting))
            # The pieces of one stage stay together where they can, so that
            # their reader finds them in one place.
            if count < wanted <= rules.batch and work:
                count = 0
            for piece in entry.waiting[:count]:
                work.append((entry.job, (entry.stage, piece)))
            room -= size * count
            if count < wanted:
                entry.waiting = entry.waiting[count:]
                left.append(entry)
        entries[:] = left
        if not work:
            return None
        return self._start(target, work, now)

    def _start(
        self,
        target: stage_targets.StageTarget,
        work: list[tuple[jobs.Job, jobs.PieceId]],
        now: float,
    ) -> pieces.StageCall:
        rules = target.rules
        expected_s = rules.call_s + len(work) * rules.piece_s + CALL_OVERHEAD_S
        call = stage_targets.RunningCall(
            target.info.service,
            target.info.target_id,
            work,
            now,
            expected_s * target.slowness,
        )
        call_id = next(self._call_ids)
        self._call_by_id[call_id] = call
        target.calls[call_id] = call
        items = []
        handles_by_stage: dict[_EntryKey, tuple[str, ...]] = {}
        for job, piece_id in work:
            stage, piece = piece_id
            job.start(piece_id)
            target.held_bytes += job.order.stages[stage].result_bytes
            inputs = handles_by_stage.get((job.order.job_id, stage))
            if inputs is None:
                inputs = tuple(found.handle for found in job.inputs(stage))
                handles_by_stage[(job.order.job_id, stage)] = inputs
            items.append(
                pieces.PieceWork(
                    job.order.request_id,
                    stage,
                    piece,
                    job.deadline_at - now,
                    job.order.piece_key,
                    inputs or None,
                )
            )
        for job in {id(job): job for job, _ in work}.values():
            self._track(job)
        return pieces.StageCall(
            call_id,
            target.info.target_id,
            target.info.address,
            tuple(items),
            call.expected_s * TIMEOUT_RATIO + TIMEOUT_MARGIN_S,
        )

    def _piece_done(
        self,
        job: jobs.Job,
        piece_id: jobs.PieceId,
        target: stage_targets.StageTarget | None,
        outcome: str | pieces.PieceFailure,
        now: float,
    ) -> None:
        stage, piece = piece_id
        job.running[stage].discard(piece)
        size = job.order.stages[stage].result_bytes
        if isinstance(outcome, str):
            if target is None:
                return
            placed = jobs.Placed(
                outcome, target.info.target_id, target.info.data_centre, size
            )
            if job.finished or piece in job.results[stage]:
                self._free(placed)
            else:
                job.results[stage][piece] = placed
            return
        if target is not None:
            self._unreserve(job, piece_id, target)
        if outcome is pieces.PieceFailure.NO_ROOM:
            if target is not None:
                target.paused_until = now + stage_targets.BUSY_PAUSE_S
            return
        job.failures += 1
        if outcome is pieces.PieceFailure.INPUT_GONE and not job.finished:
            for placed in job.drop_inputs(stage):
                self._free(placed)

    def _settle(self, job: jobs.Job, now: float) -> None:
        """Find out what follows a change of a job."""
        if job.finished:
            return
        if job.failures > MAX_JOB_FAILURES:
            self._fail(job, 'stage_failures', now)
            return
        for placed in job.take_used():
            self._free(placed)
        final = job.final_results()
        if final is None:
            job.refresh()
            self._track(job)
            return
        job.finished = True
        self._track(job)
        self._outcomes.append(
            pieces.JobResult(
                job.order.job_id,
                tuple(
                    pieces.StageResult(
                        placed.handle, placed.data_centre, placed.size
                    )
                    for placed in final
                ),
            )
        )

    def _fail(self, job: jobs.Job, reason: str, now: float) -> None:
        job_id = job.order.job_id
        self.release(job_id)
        left_s = max(0.0, job.deadline_at - now)
        self._outcomes.append(
            pieces.JobFailure(job_id, reason, _retry_after(left_s / 3))
        )

    def _rank(self, job: jobs.Job, now: float) -> tuple[bool, float]:
        """Return the order in which jobs are served.

        Jobs that must start first to meet their aim go first; urgency has
        decided which jobs are taken at all. Jobs that cannot meet it any more
        go behind those that can.
        """
        latest = self._latest_start(job)
        return (now > latest + LATE_MARGIN_S, latest)

    def _latest_start(self, job: jobs.Job) -> float:
        """Return when the next stage must start for the aim to be met."""
        return job.aim_at - self._least_s(job) - job.order.final_s / 2

    def _least_s(self, job: jobs.Job) -> float:
        """Return the least time that a job still needs."""
        least: dict[int, float] = {}
        for stage in job.stages:
            before = max(
                (least[number] for number in job.after(stage)), default=0.0
            )
            rules = self._rules_by_service.get(job.order.stages[stage].service)
            left = job.open_pieces(stage) > 0
            least[stage] = before + (rules.call_s if rules and left else 0.0)
        return max(least.values(), default=0.0) + job.order.final_s / 2

    def _unreserve(
        self,
        job: jobs.Job,
        piece_id: jobs.PieceId,
        target: stage_targets.StageTarget,
    ) -> None:
        size = job.order.stages[piece_id[0]].result_bytes
        target.give_room(size)

    def _free(self, placed: jobs.Placed) -> None:
        target = self._target_by_id.get(placed.target_id)
        if target is None:
            return
        target.give_room(placed.size)
        self._freed_by_target.setdefault(placed.target_id, []).append(
            placed.handle
        )

    def _holds_results(self, target_id: str) -> bool:
        return any(
            placed.target_id == target_id
            for job in self._job_by_id.values()
            for placed in job.all_results()
        )

    def _forget_target(self, target_id: str, now: float) -> None:
        """Drop what a lost lifetime of a target held and ran."""
        target = self._target_by_id.pop(target_id)
        for call_id in list(target.calls):
            self.call_failed(call_id, stage_targets.CallFailure.LOST, now)
        for job in list(self._job_by_id.values()):
            if not job.finished and job.drop_results(target_id):
                self._track(job)


def _piece_cost_s(
    job: jobs.Job, stage: int, rules: routes.BatchRules
) -> float:
    """Return the seconds of one target that a piece takes under load.

    A piece takes its share of the time of a full call, or its share of the
    memory for results until the request has read them, whichever is more.
    """
    time_s = rules.piece_s + rules.call_s / rules.batch
    size = job.order.stages[stage].result_bytes
    if not size or not rules.result_bytes:
        return time_s
    held_s = rules.call_s + rules.batch * rules.piece_s + job.order.final_s
    return max(time_s, held_s * size / rules.result_bytes)


def _retry_after(wait_s: float) -> float:
    return min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait_s))
