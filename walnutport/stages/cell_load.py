"""Admitted work of a cell relative to the capacity of its targets."""

import collections
from collections.abc import Iterable
import dataclasses

from walnutport.stages import admission
from walnutport.stages import backlog
from walnutport.stages import cell_targets
from walnutport.stages import continued_work
from walnutport.stages import forecast
from walnutport.stages import jobs
from walnutport.stages import pieces
from walnutport.stages import returns
from walnutport.stages import team_shares
from walnutport.stages import timing

__all__ = ['CellLoad', 'StageLoad']

# The capacity of a service is computed anew after this time, and after each
# call that starts or ends. It needs a pass over all targets of the cell.
CAPACITY_AGE_S = 0.01
# A return counts as early if it comes more than this before its time.
EARLY_TOLERANCE_S = 0.02
# Ratio of the weights of a kind and of the next less urgent one. The least of
# three ranks thus keeps at least a seventh of a contended service.
URGENCY_WEIGHT = 2.0
# Time by which a job of a kind under its share goes before others with the
# same latest start, which assumes empty calls: each of three full calls takes
# 0.13 s more. With 0.5 s, less urgent kinds were late 1.8 times as often.
HEAD_START_S = 0.2

#: Capacity of a service, None without targets, and the time of running calls.
_Known = tuple[cell_targets.ServiceCapacity | None, float]


@dataclasses.dataclass(frozen=True, slots=True)
class StageLoad:
    """Load of a stage service, as reported to operators.

    :param backlog_s: admitted work that is not finished, in seconds of one
        target.
    :param batch_fill: pieces of all calls divided by the capacity of these
        calls.
    :param late_s: part of the backlog that is served after its aim.
    :param reserved_s: work for whose return a place is held.
    """

    backlog_s: float
    batch_fill: float
    late_s: float = 0.0
    reserved_s: float = 0.0


class CellLoad:
    """Load of each service of a cell and demand of each team.

    Times are seconds of a monotonic clock, passed in as ``now``.
    """

    def __init__(self, targets: cell_targets.CellTargets) -> None:
        self._targets = targets
        self._backlog = backlog.Backlog()
        self._teams = team_shares.Shares()
        self._kinds = team_shares.Shares(min_claimants=2)
        self.returns = returns.ReturnPlaces()
        self._continued = continued_work.ContinuedWork()
        # Time until which a capacity and the work that runs are known.
        self._known: dict[str, tuple[float, _Known]] = {}
        self._calls_by_service: collections.Counter = collections.Counter()
        self._pieces_by_service: collections.Counter = collections.Counter()

    def retain_services(self) -> None:
        """Drop the demand for services that no longer exist."""
        for shares in (self._teams, self._kinds):
            shares.retain_services(self._targets.rules_by_service)
        self._continued.retain_services(self._targets.rules_by_service)

    def check_job(self, job: jobs.Job, now: float) -> pieces.Refusal | None:
        """Record the demand of a new job and check its admission.

        :returns: the refusal of the job, or None if it is admitted.
        """
        spec = job.spec
        cost_by_service = backlog.cost_by_service(
            job, self._targets.rules_by_service
        )
        slots_by_service = self._slots_by_service(cost_by_service, now)
        if spec.continues and self._may_go_first(
            job, cost_by_service, slots_by_service, now
        ):
            return self._check_continued(
                job, cost_by_service, slots_by_service, now
            )
        if spec.was_admitted:
            return self._check_admitted(job, now)
        kind = f'{spec.urgency}/{spec.route}'
        team = _team_claimant(spec, kind)
        if not spec.returned:
            weight = _kind_weight(spec)
            self._teams.record_demand(team, cost_by_service, now, weight)
            self._kinds.record_demand(kind, cost_by_service, now, weight)
        place = self.returns.find(spec.content, now)
        is_early = place is not None and now < place.due_at - EARLY_TOLERANCE_S
        team_standing = self._teams.standing(team, slots_by_service, now)
        is_bursting = (
            team_standing is team_shares.Standing.OVER
            and self._teams.is_bursting(team, slots_by_service, now)
        )
        kind_standing = self._kinds.standing(kind, slots_by_service, now)
        if kind_standing is team_shares.Standing.UNDER:
            job.head_start_s = HEAD_START_S
        refusal = admission.check_job(
            job,
            lambda service: self._service_load(service, spec.rank, now),
            team_standing,
            spec.returned and not is_early,
            kind_standing,
        )
        if refusal is not None:
            if refusal.reason == 'no_target':
                return refusal
            if place is not None and is_early:
                return dataclasses.replace(
                    refusal, retry_after_s=place.due_at - now, reserved=True
                )
            if not spec.returned or not self.may_be_late(
                job, now, place, is_bursting
            ):
                return self._refuse(
                    job,
                    refusal,
                    cost_by_service,
                    slots_by_service,
                    now,
                    is_bursting,
                )
            job.late = True
        self.returns.take(spec.content)
        if not job.late:
            self._teams.record_admitted(team, cost_by_service, now)
            self._kinds.record_admitted(kind, cost_by_service, now)
        return None

    def _may_go_first(
        self,
        job: jobs.Job,
        cost_by_service: dict[str, float],
        slots_by_service: dict[str, float],
        now: float,
    ) -> bool:
        """Return whether a continued job may go before new ones."""
        needed_s = (
            timing.full_calls_s(job, self._targets.rules_by_service)
            + job.spec.final_s
        )
        return self._continued.has_room(
            cost_by_service, slots_by_service, job.deadline_at - needed_s, now
        )

    def _check_continued(
        self,
        job: jobs.Job,
        cost_by_service: dict[str, float],
        slots_by_service: dict[str, float],
        now: float,
    ) -> pieces.Refusal | None:
        """Admit a job that goes before new ones.

        Its team has demanded the work when the stream began, so that it
        counts neither as demand nor as admitted work of the team.
        """
        refusal = admission.check_started_job(
            job,
            lambda service: self._service_load(
                service, backlog.FIRST_RANK, now
            ),
        )
        if refusal is None:
            job.goes_first = True
            self._continued.add(cost_by_service, slots_by_service, now)
            self.returns.take(job.spec.content)
        return refusal

    def _check_admitted(
        self, job: jobs.Job, now: float
    ) -> pieces.Refusal | None:
        """Admit a job again whose caller waits, also for a late answer.

        New work of its urgency counts as behind it. Its team has demanded the
        work when the job was admitted first.
        """
        rank = backlog.admission_rank(job.spec)
        refusal = admission.check_started_job(
            job, lambda service: self._service_load(service, rank, now)
        )
        if refusal is None:
            self.returns.take(job.spec.content)
        return refusal

    def _refuse(
        self,
        job: jobs.Job,
        refusal: pieces.Refusal,
        cost_by_service: dict[str, float],
        slots_by_service: dict[str, float],
        now: float,
        is_bursting: bool,
    ) -> pieces.Refusal:
        """Return a refusal with the time of a place, if there is one."""
        place = self._reserve(
            job, cost_by_service, slots_by_service, now, is_bursting
        )
        if place is None:
            return refusal
        return pieces.Refusal(
            refusal.reason,
            place.due_at - now,
            refusal.forecast_s,
            refusal.standing,
            reserved=True,
            kind_standing=refusal.kind_standing,
        )

    def may_be_late(
        self,
        job: jobs.Job,
        now: float,
        place: returns.Place | None = None,
        is_bursting: bool = False,
    ) -> bool:
        """Return whether a job can be served within its deadline.

        :param place: place that its return holds.
        :param is_bursting: whether its team causes the burst.
        """
        rules = self._targets.rules_by_service
        cost_by_service = backlog.cost_by_service(job, rules)
        needed_s = timing.full_calls_s(job, rules) + job.spec.final_s
        return self.returns.has_room(
            cost_by_service,
            self._slots_by_service(cost_by_service, now),
            self._late_by_service(cost_by_service),
            job.deadline_at - now - needed_s,
            place,
            is_bursting,
        )

    def _late_by_service(self, services: Iterable[str]) -> dict[str, float]:
        return {service: self._backlog.late_s(service) for service in services}

    def reserve_return(
        self, job: jobs.Job, now: float
    ) -> returns.Place | None:
        """Reserve a place for the return of a job that is given up."""
        cost_by_service = backlog.cost_by_service(
            job, self._targets.rules_by_service
        )
        slots_by_service = self._slots_by_service(cost_by_service, now)
        return self._reserve(job, cost_by_service, slots_by_service, now)

    def _reserve(
        self,
        job: jobs.Job,
        cost_by_service: dict[str, float],
        slots_by_service: dict[str, float],
        now: float,
        is_bursting: bool = False,
    ) -> returns.Place | None:
        rules = self._targets.rules_by_service
        return self.returns.reserve(
            job.spec.content,
            cost_by_service,
            slots_by_service,
            self._late_by_service(cost_by_service),
            timing.full_calls_s(job, rules) + job.spec.final_s,
            job.aim_at - now,
            job.deadline_at - now,
            now,
            is_bursting,
        )

    def update_job(self, job: jobs.Job) -> None:
        """Update the part of a job in the backlog."""
        self._backlog.update(job, self._targets.rules_by_service)

    def targets_changed(self) -> None:
        """Compute the capacity of all services anew."""
        self._known.clear()

    def call_started(self, service: str, piece_count: int) -> None:
        """Count a call and its pieces."""
        self._known.pop(service, None)
        self._calls_by_service[service] += 1
        self._pieces_by_service[service] += piece_count

    def load_by_service(self, now: float) -> dict[str, StageLoad]:
        """Return the load of each service."""
        load_by_service = {}
        for service, rules in self._targets.rules_by_service.items():
            capacity = self._calls_by_service[service] * rules.max_pieces
            load_by_service[service] = StageLoad(
                self._backlog.queued_s(service)
                + self._targets.running_s(service, now),
                self._pieces_by_service[service] / capacity
                if capacity
                else 0.0,
                self._backlog.late_s(service),
                self.returns.reserved_s(service),
            )
        return load_by_service

    def shares_by_kind(
        self, now: float
    ) -> dict[str, dict[str, tuple[float, float]]]:
        """Return demand and share of each kind at contended services.

        :returns: seconds of one target in the window of the shares, by
            service and kind.
        """
        found = {}
        for service in self._targets.rules_by_service:
            slots = self._slots_by_service((service,), now).get(service)
            if slots is None:
                continue
            shares = self._kinds.share_by_name(service, slots, now)
            if shares is not None:
                found[service] = shares
        return found

    def _capacity(self, service: str, now: float) -> _Known:
        """Return the capacity of a service and the work that runs there."""
        known = self._known.get(service)
        if known is None or not 0 <= now - known[0] < CAPACITY_AGE_S:
            known = (
                now,
                (
                    self._targets.capacity(service, now),
                    self._targets.running_s(service, now),
                ),
            )
            self._known[service] = known
        return known[1]

    def _slots_by_service(
        self, services: Iterable[str], now: float
    ) -> dict[str, float]:
        slots_by_service = {}
        for service in services:
            capacity, _ = self._capacity(service, now)
            if capacity is not None:
                slots_by_service[service] = capacity.slots / capacity.slowness
        return slots_by_service

    def _service_load(
        self, service: str, rank: float, now: float
    ) -> forecast.ServiceLoad | None:
        """Return the work ahead of a job of a rank at a service."""
        capacity, running_s = self._capacity(service, now)
        if capacity is None:
            return None
        # The expected time of running calls already includes the slowness.
        ahead_s = self._backlog.queued_s(service, rank) * capacity.slowness
        return forecast.ServiceLoad(
            capacity.rules,
            capacity.slots,
            ahead_s + running_s,
            capacity.slowness,
        )


def _team_claimant(spec: pieces.JobSpec, kind: str) -> str:
    """Return the claimant by which a team competes with the other teams.

    A team has a share for each kind of its requests. With one share for all,
    its requests of the most frequent kind would use up that of the others.
    """
    return f'{kind}/{spec.team}'


def _kind_weight(spec: pieces.JobSpec) -> float:
    """Return the weight of a kind of request in its fair share."""
    return URGENCY_WEIGHT ** -(spec.urgency + spec.kind_urgency)
