"""Demand of kinds of requests and of teams relative to their fair shares.

When one team or one kind sends several times its usual traffic to shared stage
targets, refusing requests by arrival order would refuse the others as often as
the one that causes the burst, and long jobs more often than short ones. Shares
are weighted max-min fair: capacity that a claimant does not demand goes to
those that demand more, so none is left idle, and each claimant is guaranteed
the part of its weight.
"""

from collections.abc import Collection
import enum
import math

__all__ = ['Shares', 'Standing', 'fair_level']

# Time constant of the decay of demand. Recorded bursts last about 3 to 9 s. A
# much shorter window would forget who caused the burst; a longer one would
# penalise a claimant after its burst has ended.
WINDOW_S = 2.0
# A service is contended if the refused work exceeds this fraction of its
# capacity per window. A single refusal of a large request does not indicate
# overload.
CONTENDED_RATIO = 0.05
# A claimant that demands more than this multiple of its share of a contended
# service is the cause of the burst; by chance, equal teams reach 1.5.
BURST_RATIO = 2.0
# Decayed demand below this many seconds of a target is dropped.
MIN_DEMAND_S = 1e-3
# The level of a service is computed anew after this time; it needs all
# claimants, and changes little within it.
LEVEL_AGE_S = 0.01
# The sums of a service are rescaled after this many windows, so that the
# factor that they share stays within the range of floats.
RESCALE_WINDOWS = 50.0


class Standing(enum.Enum):
    """Demand of a claimant relative to its share."""

    #: Its whole demand fits into its share of every contended service.
    UNDER = 'under'
    #: No service that it needs is contended, or its admitted work does not
    #: exceed its share so far.
    FAIR = 'fair'
    #: Its admitted work exceeds its share of a contended service.
    OVER = 'over'


def fair_level(
    demands: Collection[float],
    capacity: float,
    weights: Collection[float] | None = None,
) -> float:
    """Return the max-min fair upper bound on the share of a claimant.

    :param weights: the bound is for a weight of 1 and is multiplied by the
        weight of a claimant; all 1 if omitted.
    :returns: infinite if the capacity covers all demands.
    """
    if sum(demands) <= capacity:
        return math.inf
    pairs = sorted(
        (demand / weight, weight)
        for demand, weight in zip(demands, weights or [1.0] * len(demands))
    )
    remaining = capacity
    remaining_weight = sum(weight for _, weight in pairs)
    for relative, weight in pairs:
        level = remaining / remaining_weight
        if relative > level:
            return level
        remaining -= relative * weight
        remaining_weight -= weight
    return math.inf


class _DecayingSums:
    """Sums by claimant whose terms decay exponentially with time.

    All sums share one factor, so that reading them needs one exponential.
    """

    def __init__(self) -> None:
        self._scaled: dict[str, float] = {}
        self._scaled_total = 0.0
        self._started_at = 0.0

    def add(self, name: str, amount: float, now: float) -> None:
        if now - self._started_at > RESCALE_WINDOWS * WINDOW_S:
            self._scaled = {
                known: seconds
                for known, seconds in self.read(now).items()
                if seconds >= MIN_DEMAND_S
            }
            self._started_at = now
            self._scaled_total = sum(self._scaled.values())
        scaled = amount * math.exp((now - self._started_at) / WINDOW_S)
        self._scaled[name] = self._scaled.get(name, 0.0) + scaled
        self._scaled_total += scaled

    def total(self, now: float) -> float:
        return self._scaled_total * self._factor(now)

    def value(self, name: str, now: float) -> float:
        return self._scaled.get(name, 0.0) * self._factor(now)

    def read(self, now: float) -> dict[str, float]:
        factor = self._factor(now)
        return {name: scaled * factor for name, scaled in self._scaled.items()}

    def _factor(self, now: float) -> float:
        return math.exp((self._started_at - now) / WINDOW_S)


class Shares:
    """Demanded and admitted work of each claimant by service.

    Work is in seconds of one target. Times are seconds of a monotonic clock,
    passed in as ``now``.

    :param min_claimants: with fewer claimants, no share is computed.
    """

    def __init__(self, min_claimants: int = 1) -> None:
        self._min_claimants = min_claimants
        self._demand: dict[str, _DecayingSums] = {}
        self._admitted: dict[str, _DecayingSums] = {}
        self._weight_by_service: dict[str, dict[str, float]] = {}
        self._level_by_service: dict[str, tuple[float, float | None]] = {}

    def record_demand(
        self,
        name: str,
        cost_by_service: dict[str, float],
        now: float,
        weight: float = 1.0,
    ) -> None:
        """Count the work of a request that a claimant submits.

        :param weight: weight of the claimant; latest value counts.
        """
        for service, cost_s in cost_by_service.items():
            sums = self._demand.get(service)
            if sums is None:
                sums = self._demand[service] = _DecayingSums()
            sums.add(name, cost_s, now)
            self._weight_by_service.setdefault(service, {})[name] = weight

    def record_admitted(
        self, name: str, cost_by_service: dict[str, float], now: float
    ) -> None:
        """Count the work of a request that was admitted."""
        for service, cost_s in cost_by_service.items():
            sums = self._admitted.get(service)
            if sums is None:
                sums = self._admitted[service] = _DecayingSums()
            sums.add(name, cost_s, now)

    def retain_services(self, services: Collection[str]) -> None:
        """Drop the demand for services that no longer exist."""
        tables: tuple[dict, ...] = (
            self._demand,
            self._admitted,
            self._weight_by_service,
            self._level_by_service,
        )
        for table in tables:
            for service in table.keys() - set(services):
                del table[service]

    def share_by_name(
        self, service: str, slots: float, now: float
    ) -> dict[str, tuple[float, float]] | None:
        """Return demand and share of each claimant if a service is contended.

        :param slots: seconds of work that the service completes per second.
        :returns: seconds in the window; None if the service is not contended.
        """
        level = self._level(service, slots, now)
        if level is None:
            return None
        weight_by_name = self._weight_by_service[service]
        return {
            name: (seconds, level * weight_by_name[name])
            for name, seconds in self._demand[service].read(now).items()
        }

    def standing(
        self, name: str, slots_by_service: dict[str, float], now: float
    ) -> Standing:
        """Return the standing of a claimant over the services of a request.

        :param slots_by_service: seconds of work that each service completes
            per second.
        """
        contended = False
        under = True
        for service, slots in slots_by_service.items():
            level = self._level(service, slots, now)
            if level is None:
                continue
            contended = True
            share_s = level * self._weight_by_service[service].get(name, 1.0)
            if self._demand[service].value(name, now) <= share_s:
                continue
            under = False
            admitted = self._admitted.get(service)
            if admitted is not None and admitted.value(name, now) > share_s:
                return Standing.OVER
        return Standing.UNDER if contended and under else Standing.FAIR

    def is_bursting(
        self, name: str, slots_by_service: dict[str, float], now: float
    ) -> bool:
        """Return whether a claimant demands a multiple of its share."""
        for service, slots in slots_by_service.items():
            level = self._level(service, slots, now)
            if level is None:
                continue
            share_s = level * self._weight_by_service[service].get(name, 1.0)
            demand_s = self._demand[service].value(name, now)
            if demand_s > BURST_RATIO * share_s:
                return True
        return False

    def _level(self, service: str, slots: float, now: float) -> float | None:
        """Return the share of a weight of 1, or None without contention."""
        known = self._level_by_service.get(service)
        if known is not None and 0 <= now - known[0] < LEVEL_AGE_S:
            return known[1]
        level = self._compute_level(service, slots, now)
        self._level_by_service[service] = (now, level)
        return level

    def _compute_level(
        self, service: str, slots: float, now: float
    ) -> float | None:
        demand = self._demand.get(service)
        if demand is None:
            return None
        admitted = self._admitted.get(service)
        admitted_s = admitted.total(now) if admitted is not None else 0.0
        capacity = slots * WINDOW_S
        if demand.total(now) - admitted_s < CONTENDED_RATIO * capacity:
            return None
        demand_by_name = demand.read(now)
        if len(demand_by_name) < self._min_claimants:
            return None
        weight_by_name = self._weight_by_service[service]
        # At the start of a burst the admitted work is still below the
        # capacity of a window.
        return fair_level(
            demand_by_name.values(),
            min(capacity, admitted_s),
            [weight_by_name[name] for name in demand_by_name],
        )
