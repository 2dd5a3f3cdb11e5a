"""Health of the targets of one pool, from outcomes and latency.

==========  ============================================================
State       Meaning
==========  ============================================================
healthy     full weight
ejected     slow or failing; gets single probes, and work that no healthy
            target has a free slot for
down        refused a connection or died; gets nothing until it responds
returning   healthy again, with a weight that increases over some seconds
==========  ============================================================
"""

from collections.abc import Iterable
import dataclasses
import enum
import statistics

__all__ = ['HealthState', 'PoolHealth', 'TargetHealth']

SMOOTHING = 0.2
# A single response that is 10 times slower raises the mean to 2.8 times the
# median, so at least two slow responses are needed to eject a target.
SLOW_RATIO = 3.0
# Smaller differences come from the scheduling of processes.
SLOW_MARGIN_S = 0.03
OVERDUE_RATIO = 4.0
OVERDUE_MARGIN_S = 0.05
FAILING_SHARE = 0.5
MIN_SAMPLES = 3
# In a larger pool, one target hardly affects the median. A single median then
# serves for all targets and is recomputed after a number of observations.
EXACT_MEDIAN_SIZE = 8
MEDIAN_REFRESH_SAMPLES = 16
MIN_PROBE_INTERVAL_S = 1.0
MAX_PROBE_INTERVAL_S = 16.0
PROBES_TO_RETURN = 2
INITIAL_WEIGHT = 0.1
RAMP_S = 5.0
RESTART_WEIGHT = 0.5
RESTART_RAMP_S = 1.0


class HealthState(enum.StrEnum):
    """State of a target."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    DOWN = 'down'
    RETURNING = 'returning'


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Health of one target.

    :param latency_s: moving mean of the latency of attempts.
    :param failure_share: moving mean of the share of failed attempts.
    :param initial_weight: weight at the time ``returned_at``, which increases
        to 1 within ``ramp_s``.
    """

    state: HealthState = HealthState.HEALTHY
    latency_s: float = 0.0
    failure_share: float = 0.0
    samples: int = 0
    good_probes: int = 0
    probe_at: float = 0.0
    probe_interval_s: float = MIN_PROBE_INTERVAL_S
    returned_at: float = 0.0
    initial_weight: float = 1.0
    ramp_s: float = RAMP_S

    def is_measured(self) -> bool:
        """Return whether its statistics are comparable with others."""
        return (
            self.samples >= MIN_SAMPLES and self.state is not HealthState.DOWN
        )

    def weight(self, now: float) -> float:
        """Return the fraction of its slots that count as available."""
        if self.state is HealthState.HEALTHY:
            return 1.0
        elapsed = max(0.0, now - self.returned_at) / self.ramp_s
        return min(
            1.0, self.initial_weight + elapsed * (1 - self.initial_weight)
        )


class PoolHealth:
    """Ejects, probes and restores the targets of one pool.

    :param max_ejected_share: largest share of the pool that may be ejected;
        one target may always be ejected in a pool of two or more.
    """

    def __init__(self, max_ejected_share: float) -> None:
        self._max_ejected_share = max_ejected_share
        self.targets_by_id: dict[str, TargetHealth] = {}
        self.ejections = 0
        self._median_s = 0.0
        self._median_samples_left = 0

    def set_targets(self, target_ids: Iterable[str]) -> None:
        """Set the targets of the pool and keep the health of known ones."""
        known_health = self.targets_by_id
        self.targets_by_id = {
            target_id: known_health.get(target_id) or TargetHealth()
            for target_id in target_ids
        }

    def observe(
        self, target_id: str, latency_s: float, ok: bool, now: float
    ) -> None:
        """Record the end of an attempt, or an overdue attempt."""
        health = self.targets_by_id.get(target_id)
        if health is None or health.state is HealthState.DOWN:
            return
        if health.samples == 0:
            health.latency_s = latency_s
        health.samples += 1
        self._median_samples_left -= 1
        health.latency_s += SMOOTHING * (latency_s - health.latency_s)
        health.failure_share += SMOOTHING * ((not ok) - health.failure_share)
        median_s = self.median_of_others(target_id)
        if health.state is HealthState.EJECTED:
            self._evaluate_probe(health, latency_s, ok, median_s, now)
        elif self._should_eject(target_id, health, median_s):
            self._eject(health, now)
        elif health.weight(now) >= 1.0:
            health.state = HealthState.HEALTHY

    def mark_down(self, target_id: str) -> None:
        """Record that a target refused a connection or died."""
        health = self.targets_by_id.get(target_id)
        if health is not None:
            health.state = HealthState.DOWN

    def mark_reachable(self, target_id: str, now: float) -> None:
        """Record that a target responded; one that was down returns."""
        health = self.targets_by_id.get(target_id)
        if health is None or health.state is not HealthState.DOWN:
            return
        self._start_return(health, now)
        health.initial_weight = RESTART_WEIGHT
        health.ramp_s = RESTART_RAMP_S

    def take_probe(self, now: float) -> str | None:
        """Return an ejected target that is due for a probe, or None.

        The next probe of the target is scheduled.
        """
        for target_id, health in self.targets_by_id.items():
            if health.state is HealthState.EJECTED and now >= health.probe_at:
                health.probe_at = now + health.probe_interval_s
                return target_id
        return None

    def median_of_others(self, target_id: str) -> float:
        """Return the median latency of the other targets, 0 if unknown.

        In a pool of two, a median over both would include the slow target.
        """
        if len(self.targets_by_id) <= EXACT_MEDIAN_SIZE:
            return self._median_without(target_id)
        if self._median_samples_left <= 0:
            self._median_samples_left = MEDIAN_REFRESH_SAMPLES
            self._median_s = self._median_without('')
        return self._median_s

    def _median_without(self, target_id: str) -> float:
        latencies = [
            health.latency_s
            for other, health in self.targets_by_id.items()
            if other != target_id and health.is_measured()
        ]
        return statistics.median_low(latencies) if latencies else 0.0

    def overdue_s(self, target_id: str) -> float:
        """Return the age in seconds at which an open attempt is overdue."""
        median_s = self.median_of_others(target_id)
        if median_s <= 0:
            return float('inf')
        return median_s * OVERDUE_RATIO + OVERDUE_MARGIN_S

    def _should_eject(
        self, target_id: str, health: TargetHealth, median_s: float
    ) -> bool:
        if health.samples < MIN_SAMPLES:
            return False
        if median_s > 0 and health.latency_s > _slow_limit_s(median_s):
            return True
        failure_shares = [
            other.failure_share
            for other_id, other in self.targets_by_id.items()
            if other_id != target_id and other.is_measured()
        ]
        # If all targets of the pool fail, the cause is not a single target.
        return (
            health.failure_share > FAILING_SHARE
            and bool(failure_shares)
            and statistics.median_low(failure_shares) < FAILING_SHARE / 2
        )

    def _eject(self, health: TargetHealth, now: float) -> None:
        unusable_count = sum(
            other.state in (HealthState.EJECTED, HealthState.DOWN)
            for other in self.targets_by_id.values()
        )
        size = len(self.targets_by_id)
        max_unusable = max(
            int(self._max_ejected_share * size), 1 if size >= 2 else 0
        )
        if unusable_count >= max_unusable:
            return
        self.ejections += 1
        health.state = HealthState.EJECTED
        health.good_probes = 0
        health.probe_interval_s = MIN_PROBE_INTERVAL_S
        health.probe_at = now + MIN_PROBE_INTERVAL_S

    def _evaluate_probe(
        self,
        health: TargetHealth,
        latency_s: float,
        ok: bool,
        median_s: float,
        now: float,
    ) -> None:
        if not ok or (median_s > 0 and latency_s > _slow_limit_s(median_s)):
            health.good_probes = 0
            health.probe_interval_s = min(
                MAX_PROBE_INTERVAL_S, health.probe_interval_s * 2
            )
            return
        health.good_probes += 1
        health.probe_interval_s = MIN_PROBE_INTERVAL_S
        health.probe_at = min(health.probe_at, now + MIN_PROBE_INTERVAL_S)
        if health.good_probes >= PROBES_TO_RETURN:
            self._start_return(health, now)
            health.initial_weight = INITIAL_WEIGHT
            health.ramp_s = RAMP_S

    def _start_return(self, health: TargetHealth, now: float) -> None:
        health.state = HealthState.RETURNING
        health.returned_at = now
        health.samples = 0
        health.failure_share = 0.0


def _slow_limit_s(median_s: float) -> float:
    return max(SLOW_RATIO * median_s, median_s + SLOW_MARGIN_S)
