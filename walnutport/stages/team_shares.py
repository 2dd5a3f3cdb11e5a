"""How the demand of each team compares with its fair share of a service.

Load pattern: one team sends several times its usual traffic to stage targets
that all teams share. Refusing by arrival would refuse the others as often as
the team that bursts. Shares are max-min fair: what a team does not ask for
goes to those that ask for more, so nothing is left idle.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum
import math

__all__ = ['Standing', 'TeamShares', 'fair_level']

# Time constant over which demand counts. Bursts on record last some 3 to 9 s;
# a window much shorter than that would forget who began, a longer one would
# hold a burst against a team after its end.
WINDOW_S = 2.0
# A service is contended when it refused this part of what it does in a
# window. A single refusal of a large request says nothing about load.
CONTENDED_RATIO = 0.05
# Demand of a team below this says nothing any more, in seconds of a target.
MIN_DEMAND_S = 1e-3


class Standing(enum.Enum):
    """Demand of a team against its share."""

    #: All that it asks for fits into its share of a contended service.
    UNDER = 'under'
    #: No service that it needs is contended, or it took no more than its
    #: share so far.
    FAIR = 'fair'
    #: It took more than its share of a contended service.
    OVER = 'over'


@dataclasses.dataclass(slots=True)
class _DecayingSum:
    """Sum in which each part loses weight with time."""

    value: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        return self.value * math.exp((self.at - now) / WINDOW_S)

    def add(self, part: float, now: float) -> None:
        self.value = self.read(now) + part
        self.at = now


def fair_level(demands: Iterable[float], capacity: float) -> float:
    """Return the most that a team may have of a capacity.

    :returns: infinite when all demands fit.
    """
    left = capacity
    ascending = sorted(demands)
    for number, demand in enumerate(ascending):
        level = left / (len(ascending) - number)
        if demand > level:
            return level
        left -= demand
    return math.inf


class TeamShares:
    """Demand and use of each team by service, in seconds of one target.

    Times are seconds of a steady clock, passed in as ``now``.
    """

    def __init__(self) -> None:
        self._demand: dict[str, dict[str, _DecayingSum]] = {}
        self._admitted: dict[str, dict[str, _DecayingSum]] = {}

    def record_demand(
        self, team: str, cost_by_service: dict[str, float], now: float
    ) -> None:
        """Count the work of a request that a team sends."""
        _add_cost(self._demand, team, cost_by_service, now)

    def record_admitted(
        self, team: str, cost_by_service: dict[str, float], now: float
    ) -> None:
        """Count the work of a request that was taken."""
        _add_cost(self._admitted, team, cost_by_service, now)

    def retain_services(self, services: Collection[str]) -> None:
        """Forget the demand for services that are gone."""
        for totals in (self._demand, self._admitted):
            for service in totals.keys() - set(services):
                del totals[service]

    def standing(
        self, team: str, slots_by_service: dict[str, float], now: float
    ) -> Standing:
        """Return the standing of a team over the services of a request.

        :param slots_by_service: seconds of work that each service does in a
            second.
        """
        contended = False
        under = True
        for service, slots in slots_by_service.items():
            demand_by_team = _read_by_team(self._demand, service, now)
            taken_by_team = _read_by_team(self._admitted, service, now)
            taken = sum(taken_by_team.values())
            refused = sum(demand_by_team.values()) - taken
            capacity = slots * WINDOW_S
            if refused < CONTENDED_RATIO * capacity:
                continue
            # At the start of a burst less was taken than a window holds.
            level = fair_level(demand_by_team.values(), min(capacity, taken))
            contended = True
            if demand_by_team.get(team, 0.0) <= level:
                continue
            under = False
            if taken_by_team.get(team, 0.0) > level:
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
