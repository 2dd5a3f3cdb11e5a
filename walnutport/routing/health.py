"""Health of the targets of one pool from outcomes and latency.

==========  ============================================================
State       Meaning
==========  ============================================================
healthy     full weight
ejected     slow or failing; gets single probes, and work that no healthy
            target has a free slot for
down        refused a connection or died; gets nothing until it answers
returning   healthy again, with a weight that rises over some seconds
==========  ============================================================
"""

from collections.abc import Iterable
import dataclasses
import enum
import statistics

__all__ = ['HealthState', 'PoolHealth', 'TargetHealth']

SMOOTHING = 0.2
# A single answer that is 10 times slower raises the mean to 2.8 times the
# median, so at least two slow answers are needed to eject a target.
SLOW_RATIO = 3.0
# Differences below this come from the scheduling of processes.
SLOW_MARGIN_S = 0.03
OVERDUE_RATIO = 4.0
OVERDUE_MARGIN_S = 0.05
FAILING_SHARE = 0.5
MIN_SAMPLES = 3
# In a pool larger than this, one target hardly moves the median, so that one
# median serves for all of them for a count of observations.
EXACT_MEDIAN_SIZE = 8
MEDIAN_LIFE = 16
PROBE_FIRST_S = 1.0
PROBE_LONGEST_S = 16.0
PROBES_TO_RETURN = 2
FIRST_WEIGHT = 0.1
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
    """What is known of the health of one target.

    :param latency_s: moving mean of the latency of attempts.
    :param failures: moving mean of the share of failed attempts.
    """

    state: HealthState = HealthState.HEALTHY
    latency_s: float = 0.0
    failures: float = 0.0
    samples: int = 0
    good_probes: int = 0
    probe_at: float = 0.0
    probe_interval_s: float = PROBE_FIRST_S
    returned_at: float = 0.0
    first_weight: float = 1.0
    ramp_s: float = RAMP_S

    def is_measured(self) -> bool:
        """Return whether its latency may be compared with others."""
        return (
            self.samples >= MIN_SAMPLES and self.state is not HealthState.DOWN
        )

    def weight(self, now: float) -> float:
        """Return the share of its slots that may be counted on."""
        if self.state is HealthState.HEALTHY:
            return 1.0
        passed = max(0.0, now - self.returned_at) / self.ramp_s
        return min(1.0, self.first_weight + passed * (1 - self.first_weight))


class PoolHealth:
    """Ejects, probes and returns the targets of one pool.

    :param max_ejected_share: largest share of the pool that may be ejected;
        one target may always be ejected in a pool of two or more.
    """

    def __init__(self, max_ejected_share: float) -> None:
        self._share = max_ejected_share
        self.targets_by_id: dict[str, TargetHealth] = {}
        self.ejections = 0
        self._median_s = 0.0
        self._median_left = 0

    def replace(self, target_ids: Iterable[str]) -> None:
        """Set the targets of the pool and keep what is known of them."""
        known = self.targets_by_id
        self.targets_by_id = {
            target_id: known.get(target_id) or TargetHealth()
            for target_id in target_ids
        }

    def observe(
        self, target_id: str, latency_s: float, ok: bool, now: float
    ) -> None:
        """Take note of the end of an attempt, or of an overdue attempt."""
        health = self.targets_by_id.get(target_id)
        if health is None or health.state is HealthState.DOWN:
            return
        if health.samples == 0:
            health.latency_s = latency_s
        health.samples += 1
        self._median_left -= 1
        health.latency_s += SMOOTHING * (latency_s - health.latency_s)
        health.failures += SMOOTHING * ((not ok) - health.failures)
        median_s = self.median_of_others(target_id)
        if health.state is HealthState.EJECTED:
            self._judge_probe(health, latency_s, ok, median_s, now)
        elif self._is_bad(target_id, health, median_s):
            self._eject(health, now)
        elif health.weight(now) >= 1.0:
            health.state = HealthState.HEALTHY

    def went_down(self, target_id: str) -> None:
        """Take note that a target refused a connection or died."""
        health = self.targets_by_id.get(target_id)
        if health is not None:
            health.state = HealthState.DOWN

    def connected(self, target_id: str, now: float) -> None:
        """Take note that a target answered; one that was down returns."""
        health = self.targets_by_id.get(target_id)
        if health is None or health.state is not HealthState.DOWN:
            return
        self._return(health, now)
        health.first_weight = RESTART_WEIGHT
        health.ramp_s = RESTART_RAMP_S

    def take_probe(self, now: float) -> str | None:
        """Return an ejected target whose next probe is due."""
        for target_id, health in self.targets_by_id.items():
            if health.state is HealthState.EJECTED and now >= health.probe_at:
                health.probe_at = now + health.probe_interval_s
                return target_id
        return None

    def median_of_others(self, target_id: str) -> float:
        """Return the median latency of the other targets, 0 if unknown.

        In a pool of two, a median over both would contain the slow target.
        """
        if len(self.targets_by_id) <= EXACT_MEDIAN_SIZE:
            return self._median_without(target_id)
        if self._median_left <= 0:
            self._median_left = MEDIAN_LIFE
            self._median_s = self._median_without('')
        return self._median_s

    def _median_without(self, target_id: str) -> float:
        known = [
            health.latency_s
            for other, health in self.targets_by_id.items()
            if other != target_id and health.is_measured()
        ]
        return statistics.median_low(known) if known else 0.0

    def overdue_s(self, target_id: str) -> float:
        """Return the age at which an open attempt counts as slow."""
        median_s = self.median_of_others(target_id)
        if median_s <= 0:
            return float('inf')
        return median_s * OVERDUE_RATIO + OVERDUE_MARGIN_S

    def _is_bad(
        self, target_id: str, health: TargetHealth, median_s: float
    ) -> bool:
        if health.samples < MIN_SAMPLES:
            return False
        if median_s > 0 and health.latency_s > _slow_limit(median_s):
            return True
        others = [
            other.failures
            for other_id, other in self.targets_by_id.items()
            if other_id != target_id and other.is_measured()
        ]
        # A pool in which every target fails has another cause.
        return (
            health.failures > FAILING_SHARE
            and bool(others)
            and statistics.median_low(others) < FAILING_SHARE / 2
        )

    def _eject(self, health: TargetHealth, now: float) -> None:
        unusable = sum(
            other.state in (HealthState.EJECTED, HealthState.DOWN)
            for other in self.targets_by_id.values()
        )
        size = len(self.targets_by_id)
        allowed = max(int(self._share * size), 1 if size >= 2 else 0)
        if unusable >= allowed:
            return
        self.ejections += 1
        health.state = HealthState.EJECTED
        health.good_probes = 0
        health.probe_interval_s = PROBE_FIRST_S
        health.probe_at = now + PROBE_FIRST_S

    def _judge_probe(
        self,
        health: TargetHealth,
        latency_s: float,
        ok: bool,
        median_s: float,
        now: float,
    ) -> None:
        if not ok or (median_s > 0 and latency_s > _slow_limit(median_s)):
            health.good_probes = 0
            health.probe_interval_s = min(
                PROBE_LONGEST_S, health.probe_interval_s * 2
            )
            return
        health.good_probes += 1
        health.probe_interval_s = PROBE_FIRST_S
        health.probe_at = min(health.probe_at, now + PROBE_FIRST_S)
        if health.good_probes >= PROBES_TO_RETURN:
            self._return(health, now)
            health.first_weight = FIRST_WEIGHT
            health.ramp_s = RAMP_S

    def _return(self, health: TargetHealth, now: float) -> None:
        health.state = HealthState.RETURNING
        health.returned_at = now
        health.samples = 0
        health.failures = 0.0


def _slow_limit(median_s: float) -> float:
    return max(SLOW_RATIO * median_s, median_s + SLOW_MARGIN_S)
