"""Follows until when targets are cold, and logs it."""

from collections.abc import Callable
from collections.abc import Mapping
import time

from walnutport.config import entry_settings
from walnutport.routing import cold_targets
from walnutport.routing import send_permits
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['ColdWatch']

# Calls to a stage target that may come at once: the owner of its cell keeps
# one unused turn.
STAGE_BURST = 2


class ColdWatch:
    """Cold times of targets as this host knows them.

    :ivar on_change: called with a target that has become cold or warm.
    :ivar invalid_count: invalid cold times of targets.
    """

    def __init__(self, log) -> None:
        self._log = log
        self._cold = cold_targets.ColdTargets()
        self.on_change: Callable[[registrations.RegisteredTarget], None] = (
            lambda target: None
        )
        self.invalid_count = 0

    @property
    def is_active(self) -> bool:
        """Whether any service has targets that are limited while cold."""
        return self._cold.is_active

    @property
    def count(self) -> int:
        """Number of targets that are cold."""
        return self._cold.count

    @property
    def limited_services(self) -> frozenset[str]:
        """Names of the services whose targets are limited while cold."""
        return self._cold.limited_services

    def state_changed(
        self,
        desired: routes.DesiredState,
        target_by_id: Mapping[str, registrations.RegisteredTarget],
        bounds: entry_settings.EntryBounds,
    ) -> None:
        """Evaluate the desired state and the entries of the targets."""
        self._cold.set_services(
            desired.service_by_name.values(),
            bounds.cold_ratio,
            bounds.cold_slack,
        )
        if not self.is_active:
            return
        self._record(self._cold.update_entries(target_by_id, time.monotonic()))
        for target in target_by_id.values():
            if target.warmup_problem:
                self._record_problem(target, target.warmup_problem, 'entry')

    def response_received(
        self,
        target: registrations.RegisteredTarget,
        cold_s: float,
        problem: str,
    ) -> None:
        """Evaluate the cold time that a target states in a response."""
        if not self.is_active:
            return
        if problem:
            self._record_problem(target, problem, 'header')
        self._record(
            self._cold.header_received(target, cold_s, time.monotonic())
        )

    def connection_refused(
        self, target: registrations.RegisteredTarget
    ) -> None:
        """Record that a target has refused a connection."""
        if self.is_active:
            self._record(
                self._cold.connection_refused(target, time.monotonic())
            )

    def path_restored(self) -> None:
        """Forget refused connections, as they were failures of the path."""
        self._cold.path_restored()

    def tick(self) -> None:
        """Note which cold times have ended."""
        if self._cold.count:
            self._record(self._cold.take_ended(time.monotonic()))

    def is_cold(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether sending to a target needs a permit."""
        return self._cold.count > 0 and self._cold.is_cold(
            target, time.monotonic()
        )

    def left_s(self, target: registrations.RegisteredTarget) -> float:
        """Return how long a target stays cold, 0 if it is not."""
        return self._cold.left_s(target, time.monotonic())

    def permit_rate(self, service: str) -> float:
        """Return the permits a second for a cold target of a service."""
        rules = self._cold.rules(service)
        if rules is None:
            return 0.0
        return send_permits.permit_rate(rules.per_s, rules.bound_per_s)

    def stage_interval_s(
        self, target: registrations.RegisteredTarget
    ) -> float:
        """Return the time between the calls of the owner of a cell.

        :returns: 0 for a target that is not cold.
        """
        rules = self._cold.rules(target.service)
        if rules is None or not self.is_cold(target):
            return 0.0
        rate = send_permits.permit_rate(
            rules.per_s, rules.bound_per_s, STAGE_BURST
        )
        return 1 / rate if rate > 0 else rules.cold_s

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {'targets_cold': self._cold.count}

    def _record(self, changes: list[cold_targets.ColdChange]) -> None:
        for change in changes:
            if change.left_s:
                self._log.notable(
                    'target_cold',
                    target=change.target.target_id,
                    left_s=round(change.left_s, 3),
                    source=change.source,
                )
            else:
                self._log.notable(
                    'target_warm',
                    target=change.target.target_id,
                    source=change.source,
                )
            self.on_change(change.target)

    def _record_problem(
        self,
        target: registrations.RegisteredTarget,
        problem: str,
        source: str,
    ) -> None:
        if self._cold.is_first_problem(target):
            self.invalid_count += 1
            self._log.notable(
                'target_cold_invalid',
                target=target.target_id,
                problem=problem,
                source=source,
            )
