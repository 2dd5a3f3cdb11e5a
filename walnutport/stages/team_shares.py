"""Demand of each team relative to its fair share of a service.

When one team sends several times its usual traffic to shared stage targets,
refusing requests by arrival order would refuse the other teams as often as
the one that causes the burst. Shares are max-min fair: capacity that a team
does not demand goes to teams that demand more, so none is left idle.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum
import math

__all__ = ['Standing', 'TeamShares', 'fair_level']

# Time constant of the decay of demand. Recorded bursts last about 3 to 9 s. A
# much shorter window would forget which team caused the burst; a longer one
# would penalise a team after its burst has ended.
WINDOW_S = 2.0
# A service is contended if the refused work exceeds this fraction of its
# capacity per window. A single refusal of a large request does not indicate
# overload.
CONTENDED_RATIO = 0.05
# Decayed demand below this many seconds of a target is dropped.
MIN_DEMAND_S = 1e-3


class Standing(enum.Enum):
    """Demand of a team relative to its share."""

    #: Its whole demand fits into its share of every contended service.
    UNDER = 'under'
    #: No service that it needs is contended, or its admitted work does not
    #: exceed its share so far.
    FAIR = 'fair'
    #: Its admitted work exceeds its share of a contended service.
    OVER = 'over'


@dataclasses.dataclass(slots=True)
class _DecayingSum:
    """Sum whose terms decay exponentially with time."""

    value: float = 0.0
    updated_at: float = 0.0

    def read(self, now: float) -> float:
        return self.value * math.exp((self.updated_at - now) / WINDOW_S)

    def add(self, amount: float, now: float) -> None:
        self.value = self.read(now) + amount
        self.updated_at = now


def fair_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair upper bound on the share of a team.

    :returns: infinite if the capacity covers all demands.
    """
    remaining = capacity
    ascending = sorted(demands)
    for number, demand in enumerate(ascending):
        level = remaining / (len(ascending) - number)
        if demand > level:
            return level
        remaining -= demand
    return math.inf


class TeamShares:
    """Demanded and admitted work of each team by service.

    Work is in seconds of one target. Times are seconds of a monotonic clock,
    passed in as ``now``.
    """

    def __init__(self) -> None:
        self._demand: dict[str, dict[str, _DecayingSum]] = {}
        self._admitted: dict[str, dict[str, _DecayingSum]] = {}

    def record_demand(
        self, team: str, cost_by_service: dict[str, float], now: float
    ) -> None:
        """Count the work of a request that a team submits."""
        _add_cost(self._demand, team, cost_by_service, now)

    def record_admitted(
        self, team: str, cost_by_service: dict[str, float], now: float
    ) -> None:
        """Count the work of a request that was admitted."""
        _add_cost(self._admitted, team, cost_by_service, now)

    def retain_services(self, services: Collection[str]) -> None:
        """Drop the demand for services that no longer exist."""
        for totals in (self._demand, self._admitted):
            for service in totals.keys() - set(services):
                del totals[service]

    def standing(
        self, team: str, slots_by_service: dict[str, float], now: float
    ) -> Standing:
        """Return the standing of a team over the services of a request.

        :param slots_by_service: seconds of work that each service completes
            per second.
        """
        contended = False
        under = True
        for service, slots in slots_by_service.items():
            demand_by_team = _read_by_team(self._demand, service, now)
            admitted_by_team = _read_by_team(self._admitted, service, now)
            admitted = sum(admitted_by_team.values())
            refused = sum(demand_by_team.values()) - admitted
            capacity = slots * WINDOW_S
            if refused < CONTENDED_RATIO * capacity:
                continue
            # At the start of a burst the admitted work is still below the
            # capacity of a window.
            level = fair_level(
                demand_by_team.values(), min(capacity, admitted)
            )
            contended = True
            if demand_by_team.get(team, 0.0) <= level:
                continue
            under = False
            if admitted_by_team.get(team, 0.0) > level:
                return Standing.OVER
        return Standing.UNDER if contended and under else Standing.FAIR


def _read_by_team(
    totals: dict[str, dict[str, _DecayingSum]], service: str, now: float
) -> dict[str, float]:
    return {
        team: total.read(now)
        for team, total in totals.get(service, {}).items()
    }


def _add_cost(
    totals: dict[str, dict[str, _DecayingSum]],
    team: str,
    cost_by_service: dict[str, float],
    now: float,
) -> None:
    for service, cost_s in cost_by_service.items():
        by_team = totals.setdefault(service, {})
        for name, total in list(by_team.items()):
            if total.read(now) < MIN_DEMAND_S:
                del by_team[name]
        by_team.setdefault(team, _DecayingSum()).add(cost_s, now)
