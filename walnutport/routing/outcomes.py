"""Statistics of targets from outcomes of requests, and choice of a target.

Covers a target that fails part of its requests while its health check passes,
one that is many times slower than its peers, and one that stopped responding.
In each case the outcomes of real requests decide, not health checks.
"""

from collections.abc import Iterable
import dataclasses
import random

from walnutport.world import registrations
from walnutport.world import requests

__all__ = ['TargetOutcomes', 'TargetStats']

# Weight of a new sample in the moving averages.
SMOOTHING = 0.2
# Consecutive failures after which a target is ejected, and the time for which
# it is; each further failure doubles the time.
EJECTION_FAILURES = 2
MIN_EJECTION_S = 0.7
MAX_EJECTION_S = 5.0
# Expected latency of a target without samples.
INITIAL_LATENCY_S = 0.1
# A failure share of 1 makes a target count as this many times slower.
FAILURE_WEIGHT = 8.0
# Reported load is ignored after this time.
REPORT_TTL_S = 1.5


@dataclasses.dataclass(slots=True)
class TargetStats:
    """Statistics of one lifetime of a target."""

    incarnation_key: tuple
    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    samples: int = 0
    failure_share: float = 0.0
    failures_in_row: int = 0
    ejected_until: float = 0.0
    # Whether no success has followed the end of the last ejection.
    awaits_success: bool = False
    load: requests.ResponseLoad | None = None
    load_at: float = 0.0

    def expected_load(self, now: float) -> float:
        """Return the count of requests expected at the target."""
        if self.load is None or now - self.load_at > REPORT_TTL_S:
            return float(self.in_flight)
        reported = self.load.running + self.load.queued
        return max(float(self.in_flight), float(reported))


class TargetOutcomes:
    """Statistics of each target, and the choice among them.

    :param rng: breaks ties, so that hosts make different choices.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._stats_by_id: dict[str, TargetStats] = {}

    def stats(self, target: registrations.RegisteredTarget) -> TargetStats:
        """Return the statistics of the current lifetime of a target."""
        stats = self._stats_by_id.get(target.target_id)
        if stats is None or stats.incarnation_key != target.incarnation_key:
            stats = TargetStats(target.incarnation_key)
            self._stats_by_id[target.target_id] = stats
        return stats

    def describe(
        self, target: registrations.RegisteredTarget, now: float
    ) -> dict[str, float]:
        """Return the statistics of a target as shown to operators."""
        stats = self.stats(target)
        return {
            'in_flight': stats.in_flight,
            'load': round(stats.expected_load(now), 1),
            'latency_s': round(stats.latency_s, 3),
            'failure_share': round(stats.failure_share, 2),
            'ejected_s': round(max(0.0, stats.ejected_until - now), 1),
        }

    def forget(self, target_id: str) -> None:
        """Drop the statistics of a removed target."""
        self._stats_by_id.pop(target_id, None)

    def end_ejections(self) -> None:
        """Restore all targets, as their failures were those of the path."""
        for stats in self._stats_by_id.values():
            stats.ejected_until = 0.0
            stats.failures_in_row = 0

    def attempt_started(self, target: registrations.RegisteredTarget) -> None:
        """Record the start of an attempt."""
        self.stats(target).in_flight += 1

    def attempt_finished(self, target: registrations.RegisteredTarget) -> None:
        """Record the end of an attempt, whatever its outcome."""
        stats = self.stats(target)
        stats.in_flight = max(0, stats.in_flight - 1)

    def record_success(
        self,
        target: registrations.RegisteredTarget,
        latency_s: float,
        load: requests.ResponseLoad | None,
        now: float,
    ) -> bool:
        """Record a success.

        :returns: whether it restores the target after an ejection.
        """
        stats = self.stats(target)
        if stats.samples == 0:
            stats.latency_s = latency_s
        stats.latency_s += SMOOTHING * (latency_s - stats.latency_s)
        stats.samples += 1
        stats.failure_share *= 1 - SMOOTHING
        stats.failures_in_row = 0
        self.update_load(target, load, now)
        is_restored = stats.awaits_success and now >= stats.ejected_until
        if is_restored:
            stats.awaits_success = False
        return is_restored

    def update_load(
        self,
        target: registrations.RegisteredTarget,
        load: requests.ResponseLoad | None,
        now: float,
    ) -> None:
        """Update the load that a target reports, if any."""
        if load is not None:
            stats = self.stats(target)
            stats.load = load
            stats.load_at = now

    def record_failure(
        self,
        target: registrations.RegisteredTarget,
        now: float,
        unreachable: bool,
    ) -> bool:
        """Record a failure.

        :param unreachable: whether no connection to the target was possible.
        :returns: whether the target is now ejected.
        """
        stats = self.stats(target)
        stats.failure_share += SMOOTHING * (1 - stats.failure_share)
        stats.failures_in_row += 1
        if stats.failures_in_row < EJECTION_FAILURES and not unreachable:
            return False
        stats.awaits_success = True
        doublings = max(0, stats.failures_in_row - EJECTION_FAILURES)
        stats.ejected_until = now + min(
            MAX_EJECTION_S, MIN_EJECTION_S * 2**doublings
        )
        return True

    def choose(
        self,
        targets: Iterable[registrations.RegisteredTarget],
        now: float,
        avoid: frozenset[str] | set[str] = frozenset(),
        own_data_centre: str = '',
    ) -> registrations.RegisteredTarget | None:
        """Return the target with the lowest expected time.

        The result is None if no untried target is left.

        :param avoid: ids of targets that were tried already.
        :param own_data_centre: data centre of this host, whose targets are
            preferred slightly.
        """
        candidates = [
            target for target in targets if target.target_id not in avoid
        ]
        candidates = self.exclude_ejected(candidates, now)
        if not candidates:
            return None

        def cost(target: registrations.RegisteredTarget) -> float:
            stats = self.stats(target)
            relative_load = stats.expected_load(now) / target.slots
            failure_factor = 1 + FAILURE_WEIGHT * stats.failure_share
            remote_penalty = (
                0.0 if target.data_centre == own_data_centre else 0.02
            )
            jitter = self._rng.random() * 0.2
            return (
                stats.latency_s
                * (1 + relative_load + remote_penalty + jitter)
                * failure_factor
            )

        return min(candidates, key=cost)

    def exclude_ejected(
        self, targets: list[registrations.RegisteredTarget], now: float
    ) -> list[registrations.RegisteredTarget]:
        """Return the targets that are not ejected, or all if none is left."""
        kept = [
            target
            for target in targets
            if self.stats(target).ejected_until <= now
        ]
        return kept or targets
