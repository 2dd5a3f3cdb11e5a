"""Until when targets are cold, for the services whose cold targets are slow.

Covers targets that have just started, or have become cold again, while a wave
of requests arrives: they sustain a fraction of their usual rate and crash well
above it. What is known of a target is its entry, which is read up to a second
or so after it was written, and what it states in its responses. Both give the
remaining time, so that an estimate is never too early.

Covers as well the restart of a crashed target, whose callers wait for it to
listen again: it is cold by then, and its entry is not read yet. A target that
refuses connections has no process, and counts as cold for the cold time of its
service after the last refusal.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['ColdChange', 'ColdRules', 'ColdTargets', 'differs_from_known']

# A remaining time that differs by less from what was known is the same: the
# same entry is read sooner or later after it was written.
SAME_COLD_S = 1.0


def differs_from_known(
    until: float | None, warmup_s: float | None, now: float
) -> bool:
    """Return whether an entry changes what is known of the cold time.

    :param until: end of the cold time as other hosts were told; None if they
        were told that the target is not cold.
    :param warmup_s: remaining time by the entry, which was just read.
    """
    if not warmup_s:
        return until is not None
    return until is None or abs(now + warmup_s - until) > SAME_COLD_S


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRules:
    """What the cold targets of a service sustain.

    :param cold_s: time for which a target is cold after a start.
    :param per_s: requests a second that a cold target sustains.
    :param bound_per_s: requests that it may receive in any second, from all
        hosts together.
    """

    cold_s: float
    per_s: float
    bound_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdChange:
    """Begin or end of the cold time of a target.

    :param left_s: remaining time; 0 if the target is warm.
    :param source: ``entry``, ``header``, ``start``, ``connection`` or
        ``time``.
    """

    target: registrations.RegisteredTarget
    left_s: float
    source: str


@dataclasses.dataclass(slots=True)
class _ColdTime:
    """Cold time of one lifetime of a target."""

    target: registrations.RegisteredTarget
    until: float
    source: str


class ColdTargets:
    """Cold times of targets. Times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._rules_by_service: dict[str, ColdRules] = {}
        self._cold_by_id: dict[str, _ColdTime] = {}
        # Latest entry of each target that was evaluated.
        self._entry_by_id: dict[str, registrations.RegisteredTarget] = {}
        self._reported_lifetimes: set[tuple] = set()

    @property
    def is_active(self) -> bool:
        """Whether any service has targets that are limited while cold."""
        return bool(self._rules_by_service)

    @property
    def limited_services(self) -> frozenset[str]:
        """Names of the services whose targets are limited while cold."""
        return frozenset(self._rules_by_service)

    @property
    def count(self) -> int:
        """Number of targets that are cold."""
        return len(self._cold_by_id)

    def set_services(
        self,
        services: Iterable[routes.Service],
        ratio: float,
        slack: float,
    ) -> None:
        """Replace the rules of all services.

        :param ratio: part of the sustained requests that a target may receive.
        :param slack: additional requests that it may receive in a second.
        """
        self._rules_by_service = {
            service.name: ColdRules(
                service.cold_s,
                service.cold_per_s,
                service.cold_per_s * ratio + slack,
            )
            for service in services
            if service.cold_per_s > 0
        }
        if not self._rules_by_service:
            self._cold_by_id.clear()
            self._entry_by_id.clear()

    def rules(self, service: str) -> ColdRules | None:
        """Return the rules of a service, None if it has no limit."""
        return self._rules_by_service.get(service)

    def update_entries(
        self,
        target_by_id: Mapping[str, registrations.RegisteredTarget],
        now: float,
    ) -> list[ColdChange]:
        """Evaluate the entries that are new; forget removed targets.

        A target without a stated time has just started if it was not known
        before, or with another lifetime, and this host knew other targets.
        """
        changes: list[ColdChange] = []
        if not self.is_active:
            return changes
        is_first = not self._entry_by_id
        if self._reported_lifetimes:
            self._reported_lifetimes = {
                key
                for key in self._reported_lifetimes
                if key[0] in target_by_id
            }
        for target_id in self._entry_by_id.keys() - target_by_id.keys():
            del self._entry_by_id[target_id]
            self._cold_by_id.pop(target_id, None)
        for target_id, target in target_by_id.items():
            before = self._entry_by_id.get(target_id)
            if before is target or target.service not in (
                self._rules_by_service
            ):
                continue
            self._entry_by_id[target_id] = target
            is_start = not is_first and (
                before is None
                or before.incarnation_key != target.incarnation_key
            )
            self._entry_read(target, is_start, now, changes)
        return changes

    def header_received(
        self,
        target: registrations.RegisteredTarget,
        cold_s: float,
        now: float,
    ) -> list[ColdChange]:
        """Record the remaining time that a target states in a response."""
        changes: list[ColdChange] = []
        if target.service in self._rules_by_service:
            self._set(target, cold_s, 'header', now, changes)
        return changes

    def connection_refused(
        self, target: registrations.RegisteredTarget, now: float
    ) -> list[ColdChange]:
        """Record that a target has no process that listens."""
        changes: list[ColdChange] = []
        rules = self._rules_by_service.get(target.service)
        if rules is not None:
            known = self._cold_by_id.get(target.target_id)
            left_s = 0.0 if known is None else known.until - now
            if rules.cold_s > left_s:
                self._set(target, rules.cold_s, 'connection', now, changes)
        return changes

    def path_restored(self) -> None:
        """Forget refused connections, as they were failures of the path."""
        for target_id, cold in list(self._cold_by_id.items()):
            if cold.source == 'connection':
                del self._cold_by_id[target_id]

    def is_cold(
        self, target: registrations.RegisteredTarget, now: float
    ) -> bool:
        """Return whether a target is cold."""
        cold = self._cold_by_id.get(target.target_id)
        return cold is not None and cold.until > now

    def left_s(
        self, target: registrations.RegisteredTarget, now: float
    ) -> float:
        """Return how long a target stays cold, 0 if it is not."""
        cold = self._cold_by_id.get(target.target_id)
        return 0.0 if cold is None else max(0.0, cold.until - now)

    def take_ended(self, now: float) -> list[ColdChange]:
        """Return the targets whose cold time has ended since the last call."""
        ended = [
            cold for cold in self._cold_by_id.values() if cold.until <= now
        ]
        for cold in ended:
            del self._cold_by_id[cold.target.target_id]
        return [ColdChange(cold.target, 0.0, 'time') for cold in ended]

    def is_first_problem(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether no invalid time of this lifetime was reported yet."""
        if target.incarnation_key in self._reported_lifetimes:
            return False
        self._reported_lifetimes.add(target.incarnation_key)
        return True

    def _entry_read(
        self,
        target: registrations.RegisteredTarget,
        is_start: bool,
        now: float,
        changes: list[ColdChange],
    ) -> None:
        rules = self._rules_by_service[target.service]
        if target.warmup_s is not None:
            self._set(target, target.warmup_s, 'entry', now, changes)
        elif is_start:
            self._set(target, rules.cold_s, 'start', now, changes)

    def _set(
        self,
        target: registrations.RegisteredTarget,
        cold_s: float,
        source: str,
        now: float,
        changes: list[ColdChange],
    ) -> None:
        known = self._cold_by_id.get(target.target_id)
        if (
            source == 'entry'
            and known is not None
            and known.source in ('connection', 'header')
            and known.target.incarnation_key == target.incarnation_key
            and now + cold_s <= known.until
        ):
            # The entry was written before that.
            return
        if cold_s <= 0:
            if known is not None:
                del self._cold_by_id[target.target_id]
                changes.append(ColdChange(target, 0.0, source))
            return
        self._cold_by_id[target.target_id] = _ColdTime(
            target, now + cold_s, source
        )
        if known is None or (
            known.target.incarnation_key != target.incarnation_key
            or abs(known.until - now - cold_s) > SAME_COLD_S
            and source != 'connection'
        ):
            changes.append(ColdChange(target, cold_s, source))
