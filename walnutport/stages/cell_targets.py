"""The stage targets of one cell and what they can take."""

from collections.abc import Iterable
import dataclasses

from walnutport.stages import stage_targets
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['CellTargets', 'ServiceCapacity']


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Targets of a service that take calls now or soon.

    :param slots: calls that run at the same time.
    :param slowness: measured over expected time of a call.
    """

    rules: routes.BatchRules
    slots: int
    slowness: float


class CellTargets:
    """Targets by id, each with the lifetime that is known last."""

    def __init__(self) -> None:
        self.by_id: dict[str, stage_targets.StageTarget] = {}
        self.rules_by_service: dict[str, routes.BatchRules] = {}
        self._listed_ids: set[str] = set()

    def update(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        listed: Iterable[registrations.RegisteredTarget],
    ) -> list[stage_targets.StageTarget]:
        """Take over the targets that may be called.

        A target that is no longer listed keeps its results until its call
        fails or a new lifetime replaces it.

        :returns: lifetimes that were replaced.
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
            if known is not None and known.info.lifetime == info.lifetime:
                known.info = info
                known.rules = rules
                known.usable = not info.draining
                continue
            if known is not None:
                replaced.append(known)
            self.by_id[info.target_id] = stage_targets.StageTarget(
                info, rules, usable=not info.draining
            )
        for target_id in self.by_id.keys() - self._listed_ids:
            self.by_id[target_id].usable = False
        return replaced

    def forget_unused(self, holding: set[str]) -> None:
        """Drop targets that are not listed and of no more use.

        :param holding: ids of targets that hold results.
        """
        for target_id in self.by_id.keys() - self._listed_ids - holding:
            if not self.by_id[target_id].calls:
                del self.by_id[target_id]

    def free_by_service(
        self, now: float
    ) -> dict[str, list[stage_targets.StageTarget]]:
        """Return the targets that can take a call, the fastest first."""
        found: dict[str, list[stage_targets.StageTarget]] = {}
        for target in self.by_id.values():
            if target.is_free(now):
                found.setdefault(target.info.service, []).append(target)
        for free in found.values():
            free.sort(key=lambda target: target.slowness)
        return found

    def capacity(self, service: str, now: float) -> ServiceCapacity | None:
        """Return what a service can take, or None if it has no target."""
        rules = self.rules_by_service.get(service)
        if rules is None:
            return None
        usable = [
            target
            for target in self.by_id.values()
            if target.info.service == service
            and target.usable
            and target.paused_until <= now + stage_targets.BUSY_PAUSE_S
        ]
        if not usable:
            return None
        # Fast targets take more calls, so speeds add up, not times.
        speed = sum(1 / target.slowness for target in usable)
        return ServiceCapacity(
            rules, len(usable) * rules.slots, len(usable) / speed
        )

    def running_s(self, service: str, now: float) -> float:
        """Return the time that the running calls of a service still take."""
        return sum(
            max(0.0, call.started_at + call.expected_s - now)
            for target in self.by_id.values()
            if target.info.service == service
            for call in target.calls.values()
        )

    def free_near_s(
        self, service: str, data_centres: set[str], now: float
    ) -> float | None:
        """Return when a target in some data centres can take a call.

        :returns: seconds from now, None if there is no such target.
        """
        return min(
            (
                target.free_in_s(now)
                for target in self.by_id.values()
                if target.info.service == service
                and target.usable
                and target.info.data_centre in data_centres
            ),
            default=None,
        )
