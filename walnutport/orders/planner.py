"""Decides which engine loads which models.

Each known model gets a place; the other places follow demand. A place changes
hands only if the demand share is off by more than a margin for a hold time.
Only one such change is made at a time, as each costs a load of weights.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

__all__ = ['EngineCapacity', 'Planner', 'PlannerSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCapacity:
    """What the planner knows of an engine.

    :param places: models that fit into the engine.
    :param models: models that the engine reports.
    """

    engine_id: str
    places: int
    models: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Hysteresis of the planner.

    :param margin: distance from a whole place, beyond one half, that a
        demand share must have before a place changes hands.
    :param hold_s: time for which it must have it.
    """

    margin: float = 0.25
    hold_s: float = 30.0


class Planner:
    """Placement of models, kept between calls.

    >>> planner = Planner(PlannerSettings())
    >>> engine = EngineCapacity('e1', 2, frozenset())
    >>> planner.plan([engine], ['a'], {}, 0.0)
    {'e1': ('a',)}
    """

    def __init__(self, settings: PlannerSettings) -> None:
        self._settings = settings
        self._models_by_engine: dict[str, set[str]] = {}
        self._short_since: dict[str, float] = {}

    def reset(self) -> None:
        """Forget the placement; the next plan starts from the reports."""
        self._models_by_engine.clear()
        self._short_since.clear()

    def plan(
        self,
        engines: Sequence[EngineCapacity],
        models: Sequence[str],
        demand_by_model: Mapping[str, float],
        now: float,
    ) -> dict[str, tuple[str, ...]]:
        """Return the wanted models of each engine.

        :param models: every model that must be loaded somewhere.
        :param demand_by_model: requests that run or wait.
        """
        known = set(models)
        self._follow_engines(engines, known)
        places_by_engine = {item.engine_id: item.places for item in engines}
        for model in sorted(known):
            if self._count(model) == 0:
                self._place_missing(model, places_by_engine)
        shares = self._shares(known, demand_by_model, places_by_engine)
        self._move_one(shares, places_by_engine, now)
        return {
            engine_id: tuple(sorted(wanted))
            for engine_id, wanted in self._models_by_engine.items()
        }

    def _follow_engines(
        self, engines: Sequence[EngineCapacity], known: set[str]
    ) -> None:
        """Add new engines with what they report and drop lost ones."""
        previous = self._models_by_engine
        self._models_by_engine = {}
        for engine in sorted(engines, key=lambda item: item.engine_id):
            wanted = previous.get(engine.engine_id, engine.models) & known
            kept = sorted(wanted)[: engine.places]
            self._models_by_engine[engine.engine_id] = set(kept)

    def _count(self, model: str) -> int:
        return sum(
            model in wanted for wanted in self._models_by_engine.values()
        )

    def _place_missing(
        self, model: str, places_by_engine: Mapping[str, int]
    ) -> None:
        """Place a model that no engine has, in place of a second copy."""
        if self._place_free(model, places_by_engine):
            return
        copies = [
            (-self._count(other), engine_id, other)
            for engine_id, wanted in self._models_by_engine.items()
            for other in wanted
            if self._count(other) > 1
        ]
        if copies:
            _, engine_id, other = min(copies)
            self._models_by_engine[engine_id].remove(other)
            self._models_by_engine[engine_id].add(model)

    def _place_free(
        self, model: str, places_by_engine: Mapping[str, int]
    ) -> bool:
        free = [
            (len(wanted), engine_id)
            for engine_id, wanted in self._models_by_engine.items()
            if len(wanted) < places_by_engine[engine_id]
            and model not in wanted
        ]
        if not free:
            return False
        self._models_by_engine[min(free)[1]].add(model)
        return True

    def _shares(
        self,
        known: set[str],
        demand_by_model: Mapping[str, float],
        places_by_engine: Mapping[str, int],
    ) -> dict[str, float]:
        """Return the places that each model deserves by its demand."""
        places = sum(places_by_engine.values())
        demands = {
            model: max(0.0, demand_by_model.get(model, 0.0)) for model in known
        }
        total = sum(demands.values())
        if total <= 0:
            return {}
        return {
            model: places * demand / total for model, demand in demands.items()
        }

    def _move_one(
        self,
        shares: Mapping[str, float],
        places_by_engine: Mapping[str, int],
        now: float,
    ) -> None:
        margin = 0.5 + self._settings.margin
        most = len(places_by_engine)
        gaps = {
            model: share - self._count(model)
            for model, share in shares.items()
        }
        short = {
            model
            for model, gap in gaps.items()
            if gap > margin and 0 < self._count(model) < most
        }
        self._short_since = {
            model: self._short_since.get(model, now) for model in short
        }
        due = sorted(
            (-gaps[model], model)
            for model, since in self._short_since.items()
            if now - since >= self._settings.hold_s
        )
        for _, model in due:
            if self._place_free(model, places_by_engine) or self._replace(
                model, gaps, margin
            ):
                # Every hold time starts anew with the new placement.
                self._short_since.clear()
                return

    def _replace(
        self, model: str, gaps: Mapping[str, float], margin: float
    ) -> bool:
        """Replace a copy of the model with the largest surplus."""
        surplus = [
            (gaps[other], other, engine_id)
            for engine_id, wanted in self._models_by_engine.items()
            for other in wanted
            if model not in wanted
            and gaps[other] < -margin
            and self._count(other) > 1
        ]
        if not surplus:
            return False
        _, other, engine_id = min(surplus)
        self._models_by_engine[engine_id].remove(other)
        self._models_by_engine[engine_id].add(model)
        return True
