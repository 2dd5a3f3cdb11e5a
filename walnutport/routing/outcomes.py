"""What the answers of targets say about them.

Load patterns: a target that fails part of its requests while its health check
passes, one that answers many times slower than its peers, and one that went
silent. In each case the outcomes of real requests decide, not health checks.
"""

from collections.abc import Iterable
import dataclasses
import random

from walnutport.world import registrations
from walnutport.world import requests

__all__ = ['TargetOutcomes', 'TargetStats']

# Share of a new sample in the moving averages.
GAIN = 0.2
# Failures in a row after which a target is left out, and for how long; each
# further failure doubles the time.
EJECT_AFTER = 2
FIRST_EJECTION_S = 0.7
LONGEST_EJECTION_S = 5.0
# Latency expected of a target that was not measured yet.
FIRST_LATENCY_S = 0.1
# A failure share of 1 makes a target look this many times slower.
FAILURE_WEIGHT = 8.0
# Reported load is not used any more after this long.
REPORT_LIFE_S = 1.5


@dataclasses.dataclass(slots=True)
class TargetStats:
    """Measurements of one lifetime of a target."""

    lifetime: tuple
    in_flight: int = 0
    latency_s: float = FIRST_LATENCY_S
    samples: int = 0
    failure_share: float = 0.0
    failures_in_row: int = 0
    ejected_until: float = 0.0
    # Whether no good answer came since the last ejection.
    is_suspect: bool = False
    load: requests.ReportedLoad | None = None
    load_at: float = 0.0

    def expected_load(self, now: float) -> float:
        """Return the requests that a new one would find at the target."""
        if self.load is None or now - self.load_at > REPORT_LIFE_S:
            return float(self.in_flight)
        reported = self.load.running + self.load.waiting
        return max(float(self.in_flight), float(reported))


class TargetOutcomes:
    """Standing of each target, and the choice among them.

    :param rng: breaks ties, so that hosts do not all choose alike.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._standing_by_id: dict[str, TargetStats] = {}

    def stats(self, target: registrations.RegisteredTarget) -> TargetStats:
        """Return the standing of this lifetime of a target."""
        found = self._standing_by_id.get(target.target_id)
        if found is None or found.lifetime != target.lifetime:
            found = TargetStats(target.lifetime)
            self._standing_by_id[target.target_id] = found
        return found

    def describe(
        self, target: registrations.RegisteredTarget, now: float
    ) -> dict[str, float]:
        """Return the measurements of a target for operators."""
        found = self.stats(target)
        return {
            'in_flight': found.in_flight,
            'load': round(found.expected_load(now), 1),
            'latency_s': round(found.latency_s, 3),
            'failure_share': round(found.failure_share, 2),
            'ejected_s': round(max(0.0, found.ejected_until - now), 1),
        }

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone."""
        self._standing_by_id.pop(target_id, None)

    def started(self, target: registrations.RegisteredTarget) -> None:
        """Take note of an attempt."""
        self.stats(target).in_flight += 1

    def ended(self, target: registrations.RegisteredTarget) -> None:
        """Take note that an attempt is over, whatever its outcome."""
        found = self.stats(target)
        found.in_flight = max(0, found.in_flight - 1)

    def succeeded(
        self,
        target: registrations.RegisteredTarget,
        latency_s: float,
        load: requests.ReportedLoad | None,
        now: float,
    ) -> bool:
        """Count a good answer.

        :returns: whether the target is taken back after an ejection.
        """
        found = self.stats(target)
        if found.samples == 0:
            found.latency_s = latency_s
        found.latency_s += GAIN * (latency_s - found.latency_s)
        found.samples += 1
        found.failure_share *= 1 - GAIN
        found.failures_in_row = 0
        self.reported(target, load, now)
        taken_back = found.is_suspect and now >= found.ejected_until
        if taken_back:
            found.is_suspect = False
        return taken_back

    def reported(
        self,
        target: registrations.RegisteredTarget,
        load: requests.ReportedLoad | None,
        now: float,
    ) -> None:
        """Take over what a target says of its load."""
        if load is not None:
            found = self.stats(target)
            found.load = load
            found.load_at = now

    def failed(
        self,
        target: registrations.RegisteredTarget,
        now: float,
        unreachable: bool,
    ) -> bool:
        """Count a failure.

        :param unreachable: whether the target could not even be connected.
        :returns: whether the target is left out from now on.
        """
        found = self.stats(target)
        found.failure_share += GAIN * (1 - found.failure_share)
        found.failures_in_row += 1
        if found.failures_in_row < EJECT_AFTER and not unreachable:
            return False
        found.is_suspect = True
        doublings = max(0, found.failures_in_row - EJECT_AFTER)
        found.ejected_until = now + min(
            LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**doublings
        )
        return True

    def choose(
        self,
        targets: Iterable[registrations.RegisteredTarget],
        now: float,
        avoid: frozenset[str] | set[str] = frozenset(),
        home: str = '',
    ) -> registrations.RegisteredTarget | None:
        """Return the target with the least expected time.

        :param avoid: ids of targets that were tried already.
        :param home: data centre of this host, which wins ties.
        """
        candidates = [
            target for target in targets if target.target_id not in avoid
        ]
        candidates = self.in_service(candidates, now)
        if not candidates:
            return None

        def cost(target: registrations.RegisteredTarget) -> float:
            found = self.stats(target)
            ahead = found.expected_load(now) / target.slots
            slowed = 1 + FAILURE_WEIGHT * found.failure_share
            away = 0.0 if target.data_centre == home else 0.02
            spread = self._rng.random() * 0.2
            return found.latency_s * (1 + ahead + away + spread) * slowed

        return min(candidates, key=cost)

    def in_service(
        self, targets: list[registrations.RegisteredTarget], now: float
    ) -> list[registrations.RegisteredTarget]:
        """Leave out ejected targets, unless that leaves none."""
        kept = [
            target
            for target in targets
            if self.stats(target).ejected_until <= now
        ]
        return kept or targets
