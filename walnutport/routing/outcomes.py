"""Statistics of targets from outcomes of requests, and choice of a target.

Covers a target that fails part of its requests while its health check passes,
one that is many times slower than its peers, and one that stopped responding.
In each case the outcomes of real requests decide, not health checks.
"""

from collections.abc import Iterable
import dataclasses
import math
import random

from walnutport.routing import target_speed
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
REPORT_TTL_S = target_speed.REPORT_TTL_S
# Additional relative load that a target of another data centre counts as, and
# the upper bound of the random one that breaks ties.
REMOTE_LOAD = 0.02
MAX_RANDOM_LOAD = 0.2
# After all hosts lost power, none knows any load. Without a difference between
# them, the first requests of all hosts would go to the same engine. It is
# smaller than the reading of a short part of a prompt.
MAX_TIE_BREAKER_S = 0.0002
# Changes of the reported load below this share of the slots are small.
SMALL_LOAD_CHANGE = 0.125
# All costs are computed again after this time, as reports age and ejections
# end. In between, only those of targets with news are, so that a choice among
# 100 targets takes less than 40 us.
COST_TTL_S = 0.05


@dataclasses.dataclass(slots=True)
class TargetStats:
    """Statistics of one lifetime of a target."""

    incarnation_key: tuple
    in_flight: int = 0
    speed: target_speed.TargetSpeed = dataclasses.field(
        default_factory=lambda: target_speed.TargetSpeed(
            INITIAL_LATENCY_S, SMOOTHING
        )
    )
    samples: int = 0
    failure_share: float = 0.0
    failures_in_row: int = 0
    ejected_until: float = 0.0
    # Whether no success has followed the end of the last ejection.
    awaits_success: bool = False
    load: requests.ResponseLoad | None = None
    load_at: float = 0.0
    # Cost of the target, in seconds: the part that is certain, which is
    # -inf after a change, and that per random load.
    certain_cost: float = -math.inf
    cost_per_load: float = 0.0
    # Cost of a prompt that the target has read already, as an engine, which
    # is -inf after a change, and that per token to read; both in seconds.
    engine_cost: float = -math.inf
    token_cost: float = 0.0
    # Part of that cost which differs between hosts, for engines that are
    # otherwise equal.
    tie_breaker: float = 0.0

    def expected_load(self, now: float) -> float:
        """Return the count of requests expected at the target."""
        if self.load is None or now - self.load_at > REPORT_TTL_S:
            return float(self.in_flight)
        reported = self.load.running + self.load.queued
        return max(float(self.in_flight), float(reported))

    def update_cost(
        self,
        target: registrations.RegisteredTarget,
        now: float,
        own_data_centre: str,
    ) -> None:
        """Compute the cost of the target, in seconds."""
        relative_load = self.expected_load(now) / target.slots
        latency_s = self.speed.expected(now)
        if self.speed.is_reported(now):
            latency_s *= target_speed.crowding_factor(relative_load)
        self.cost_per_load = latency_s * (
            1 + FAILURE_WEIGHT * self.failure_share
        )
        remote_load = (
            0.0 if target.data_centre == own_data_centre else REMOTE_LOAD
        )
        self.certain_cost = self.cost_per_load * (
            1 + relative_load + remote_load
        )
        if self.ejected_until > now:
            self.certain_cost = math.inf

    def changed(self) -> None:
        """Have the cost computed again at the next choice."""
        self.certain_cost = -math.inf
        self.engine_cost = -math.inf


class TargetOutcomes:
    """Statistics of each target, and the choice among them.

    :param rng: breaks ties, so that hosts make different choices.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # Those of earlier lifetimes are replaced by ``stats``.
        self.stats_by_id: dict[str, TargetStats] = {}
        self._index_by_service: dict[
            str,
            tuple[
                list[registrations.RegisteredTarget],
                dict[str, registrations.RegisteredTarget],
            ],
        ] = {}
        # Data centre for which the costs were computed, and when all were.
        self._cost_data_centre = ''
        self._costs_at = -math.inf
        # Lowest cost per token of all engines since then.
        self.min_token_cost = math.inf

    def stats(self, target: registrations.RegisteredTarget) -> TargetStats:
        """Return the statistics of the current lifetime of a target."""
        stats = self.stats_by_id.get(target.target_id)
        if stats is None or stats.incarnation_key != target.incarnation_key:
            stats = TargetStats(
                target.incarnation_key,
                tie_breaker=MAX_TIE_BREAKER_S * self._rng.random(),
            )
            self.stats_by_id[target.target_id] = stats
        return stats

    def index(
        self, targets: list[registrations.RegisteredTarget]
    ) -> dict[str, registrations.RegisteredTarget]:
        """Return the targets of a service by id; do not change the result.

        It is kept for the next call with the same targets, as building it
        takes longer than the rest of a choice.
        """
        if not targets:
            return {}
        known = self._index_by_service.get(targets[0].service)
        if known is not None and known[0] == targets:
            return known[1]
        target_by_id = {target.target_id: target for target in targets}
        self._index_by_service[targets[0].service] = (targets, target_by_id)
        return target_by_id

    def describe(
        self, target: registrations.RegisteredTarget, now: float
    ) -> dict[str, float]:
        """Return the statistics of a target as shown to operators."""
        stats = self.stats(target)
        return {
            'in_flight': stats.in_flight,
            'load': round(stats.expected_load(now), 1),
            'latency_s': round(stats.speed.expected(now), 3),
            'slowness': round(stats.speed.slowness(now), 2),
            'failure_share': round(stats.failure_share, 2),
            'ejected_s': round(max(0.0, stats.ejected_until - now), 1),
        }

    def forget(self, target_id: str) -> None:
        """Drop the statistics of a removed target."""
        self.stats_by_id.pop(target_id, None)

    def end_ejections(self) -> None:
        """Restore all targets, as their failures were those of the path."""
        for stats in self.stats_by_id.values():
            stats.ejected_until = 0.0
            stats.failures_in_row = 0
            stats.changed()

    def attempt_started(self, target: registrations.RegisteredTarget) -> None:
        """Record the start of an attempt."""
        stats = self.stats(target)
        stats.in_flight += 1
        stats.changed()

    def attempt_finished(self, target: registrations.RegisteredTarget) -> None:
        """Record the end of an attempt, whatever its outcome."""
        stats = self.stats(target)
        stats.in_flight = max(0, stats.in_flight - 1)
        stats.changed()

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
        self.update_load(target, load, now)
        stats = self.stats(target)
        if stats.samples == 0:
            stats.speed.replace(latency_s, now)
        else:
            stats.speed.measure(latency_s, now)
        stats.samples += 1
        stats.failure_share *= 1 - SMOOTHING
        stats.failures_in_row = 0
        stats.changed()
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
        """Update the load that a target reports, if any.

        A stream that ends does not renew the load that its head reported.
        """
        stats = self.stats(target)
        if load is not None and load is not stats.load:
            before = stats.load
            stats.load = load
            stats.load_at = now
            stats.speed.report(load.slowness, now)
            if before is None or _differs_much(before, load):
                stats.changed()
            else:
                # The cost as an engine waits for ``expire_costs``, as engines
                # report often.
                stats.certain_cost = -math.inf

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
        stats.changed()
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
        if own_data_centre != self._cost_data_centre:
            self._cost_data_centre = own_data_centre
            self._costs_at = -math.inf
        self.expire_costs(now)
        candidates = list(targets)
        if avoid:
            candidates = [
                target
                for target in candidates
                if target.target_id not in avoid
            ]
        chosen = self._choose_cheapest(candidates, now)
        while chosen is not None and self._has_restarted(chosen):
            # The cost was that of an earlier lifetime.
            self.stats(chosen)
            chosen = self._choose_cheapest(candidates, now)
        if chosen is None and candidates:
            # All are ejected, so that ejections say nothing.
            return min(
                candidates, key=lambda target: self._cost_if_ejected(target)
            )
        return chosen

    def expire_costs(self, now: float) -> bool:
        """Have old costs computed again.

        :returns: whether they were old.
        """
        if 0 <= now - self._costs_at < COST_TTL_S:
            return False
        self._costs_at = now
        self.min_token_cost = math.inf
        for stats in self.stats_by_id.values():
            stats.changed()
        return True

    def _choose_cheapest(
        self, candidates: list[registrations.RegisteredTarget], now: float
    ) -> registrations.RegisteredTarget | None:
        """Return the target with the lowest cost, if one is not ejected."""
        chosen = None
        lowest_cost = math.inf
        stats_by_id = self.stats_by_id
        next_random = self._rng.random
        for target in candidates:
            stats = stats_by_id.get(target.target_id)
            if stats is None:
                stats = self.stats(target)
            if stats.certain_cost >= lowest_cost:
                continue
            if stats.certain_cost == -math.inf:
                stats = self.stats(target)
                stats.update_cost(target, now, self._cost_data_centre)
            cost = (
                stats.certain_cost
                + stats.cost_per_load * MAX_RANDOM_LOAD * next_random()
            )
            if cost < lowest_cost:
                lowest_cost = cost
                chosen = target
        return chosen

    def _has_restarted(self, target: registrations.RegisteredTarget) -> bool:
        stats = self.stats_by_id[target.target_id]
        return stats.incarnation_key != target.incarnation_key

    def _cost_if_ejected(
        self, target: registrations.RegisteredTarget
    ) -> float:
        stats = self.stats(target)
        relative_load = stats.in_flight / target.slots
        return stats.cost_per_load * (
            1 + relative_load + MAX_RANDOM_LOAD * self._rng.random()
        )

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


def _differs_much(
    before: requests.ResponseLoad, load: requests.ResponseLoad
) -> bool:
    """Return whether an engine can no longer be chosen by its earlier load."""
    return (
        bool(before.queued) != bool(load.queued)
        or abs(before.running - load.running) > SMALL_LOAD_CHANGE * load.slots
        or (before.slowness is None) != (load.slowness is None)
    )
