"""Stage targets of one cell and their available capacity."""

from collections.abc import Iterable
import dataclasses

from walnutport.routing import eligibility
from walnutport.stages import pieces
from walnutport.stages import stage_targets
from walnutport.world import registrations
from walnutport.world import requests
from walnutport.world import routes

__all__ = ['CellTargets', 'ServiceCapacity']

# Slowness of a service without targets, for which no job is given up.
MAX_ASSUMED_SLOWNESS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Capacity of the targets of a service that accept calls now or soon.

    :param slots: number of calls that can run concurrently.
    :param slowness: measured duration of a call divided by the expected one.
    """

    rules: routes.BatchRules
    slots: int
    slowness: float


class CellTargets:
    """Targets by id, each with its latest known lifetime.

    :param target_eligibility: decides which targets may get new work.
    """

    def __init__(
        self, target_eligibility: eligibility.Eligibility | None = None
    ) -> None:
        self._eligibility = target_eligibility or eligibility.Eligibility()
        self.by_id: dict[str, stage_targets.StageTarget] = {}
        self.rules_by_service: dict[str, routes.BatchRules] = {}
        self._listed_ids: set[str] = set()

    def update(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        listed: Iterable[registrations.RegisteredTarget],
    ) -> list[stage_targets.StageTarget]:
        """Replace the set of targets that may be called.

        A target that is no longer listed keeps its results until a call to it
        fails or a new lifetime replaces it.

        :returns: lifetimes that were replaced by a new one.
        """
        self.rules_by_service = rules_by_service
        replaced = []
        self._listed_ids = set()
        for info in listed:
            rules = rules_by_service.get(info.service)
            if rules is None:
                continue
            self._listed_ids.add(info.target_id)
            known = self.by_id.get(info.target_id)
            if (
                known is not None
                and known.info.incarnation_key == info.incarnation_key
            ):
                known.info = info
                known.rules = rules
                known.usable = True
                self._check_eligibility(known)
                continue
            if known is not None:
                replaced.append(known)
            added = stage_targets.StageTarget(info, rules)
            self._check_eligibility(added)
            self.by_id[info.target_id] = added
        for target_id in self.by_id.keys() - self._listed_ids:
            self.by_id[target_id].usable = False
        return replaced

    def set_statement(
        self,
        info: registrations.RegisteredTarget,
        min_interval_s: float,
        held_until: float,
        leaving: bool,
    ) -> None:
        """Record what a target states; see ``StageScheduler``."""
        known = self._known(info)
        if known is not None:
            known.min_interval_s = min_interval_s
            known.held_until = held_until
            known.leaving = leaving
            self._check_eligibility(known)

    def record_load(
        self,
        info: registrations.RegisteredTarget,
        load: requests.ResponseLoad,
        now: float,
    ) -> None:
        """Record how long work takes at a target by its own report."""
        known = self._known(info)
        if known is not None:
            known.speed.report(load.slowness, now)

    def _known(
        self, info: registrations.RegisteredTarget
    ) -> stage_targets.StageTarget | None:
        """Return the present lifetime of a target, None if it is another."""
        known = self.by_id.get(info.target_id)
        if known is None or known.info.incarnation_key != info.incarnation_key:
            return None
        return known

    def remove_unused(self, holding_ids: set[str]) -> None:
        """Remove unlisted targets without running calls or held results.

        :param holding_ids: ids of targets that hold results.
        """
        for target_id in self.by_id.keys() - self._listed_ids - holding_ids:
            if not self.by_id[target_id].calls:
                del self.by_id[target_id]

    def free_by_service(
        self, now: float
    ) -> dict[str, list[stage_targets.StageTarget]]:
        """Return the available targets by service, the fastest first."""
        targets_by_service: dict[str, list[stage_targets.StageTarget]] = {}
        for target in self.by_id.values():
            if target.is_free(now):
                targets_by_service.setdefault(target.info.service, []).append(
                    target
                )
        for free in targets_by_service.values():
            free.sort(key=lambda target: target.slowness_at(now))
        return targets_by_service

    def capacity(self, service: str, now: float) -> ServiceCapacity | None:
        """Return the capacity of a service, or None if it has no target."""
        rules = self.rules_by_service.get(service)
        if rules is None:
            return None
        usable = [
            target
            for target in self.by_id.values()
            if target.info.service == service
            and target.accepts_work
            and max(target.paused_until, target.held_until)
            <= now + stage_targets.BUSY_PAUSE_S
        ]
        if not usable:
            return None
        # Faster targets run more calls, so the mean is taken over the speeds.
        total_speed = sum(
            1 / target.effective_slowness(now) for target in usable
        )
        return ServiceCapacity(
            rules, len(usable) * rules.slots, len(usable) / total_speed
        )

    def evacuated_services(self) -> set[str]:
        """Return the services that evacuations have left without a target."""
        return {
            service
            for service in self.rules_by_service
            if self._eligibility.all_evacuated(
                target.info
                for target in self.by_id.values()
                if target.info.service == service and target.usable
            )
        }

    def is_evacuated(self, spec: pieces.JobSpec) -> bool:
        """Return whether evacuations leave no target for a stage of a job."""
        evacuated = self.evacuated_services()
        return any(
            count and stage.service in evacuated
            for stage, count in zip(spec.stages, spec.piece_counts)
        )

    def min_slowness(self, service: str, now: float) -> tuple[float, bool]:
        """Return the slowness of the fastest target of a service, 1 or more.

        :returns: the slowness, and whether no target is free.
        """
        lowest = MAX_ASSUMED_SLOWNESS
        is_busy = True
        for target in self.by_id.values():
            if target.info.service == service and target.accepts_work:
                lowest = min(lowest, target.slowness_at(now))
                is_busy = is_busy and not target.is_free(now)
        return max(1.0, lowest), is_busy

    def running_s(self, service: str, now: float) -> float:
        """Return the remaining time of all running calls of a service."""
        return sum(
            max(0.0, call.started_at + call.expected_s - now)
            for target in self.by_id.values()
            if target.info.service == service
            for call in target.calls.values()
        )

    def earliest_free_s(
        self, service: str, data_centres: set[str], now: float
    ) -> float | None:
        """Return the expected time until a target in a data centre is free.

        :returns: seconds from now, or None if there is no such target.
        """
        return min(
            (
                target.free_in_s(now)
                for target in self.by_id.values()
                if target.info.service == service
                and target.accepts_work
                and target.info.data_centre in data_centres
            ),
            default=None,
        )

    def _check_eligibility(self, target: stage_targets.StageTarget) -> None:
        """Record whether a target may get new work, after a change."""
        target.ineligible = self._eligibility.reason(target.info)
