"""Decides which engine loads which models.

An engine has a number of places, each for one model. Each known model gets one
place; the other places are assigned in proportion to demand. A place is
reassigned only if a model's share of the places differs from its share of the
demand by more than a margin for a hold time. Only one place is reassigned at a
time, as each change loads weights.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

__all__ = ['EngineCapacity', 'Planner', 'PlannerSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Places of an engine and the models that it reports.

    :param places: number of models that fit into the engine.
    """

    engine_id: str
    places: int
    models: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Hysteresis of the planner.

    :param margin: places by which a model's deficit must exceed one half
        before a place is reassigned to it.
    :param hold_s: time in seconds for which the deficit must persist.
    """

    margin: float = 0.25
    hold_s: float = 30.0


class Planner:
    """Places models on engines and keeps the placement between calls.

    >>> planner = Planner(PlannerSettings())
    >>> engine = EngineCapacity('e1', 2, frozenset())
    >>> planner.plan([engine], ['a'], {}, 0.0)
    {'e1': ('a',)}
    """

    def __init__(self, settings: PlannerSettings) -> None:
        self._settings = settings
        self._models_by_engine: dict[str, set[str]] = {}
        self._deficit_since: dict[str, float] = {}

    def reset(self) -> None:
        """Clear the placement; the next plan starts from the reports."""
        self._models_by_engine.clear()
        self._deficit_since.clear()

    def plan(
        self,
        engines: Sequence[EngineCapacity],
        models: Sequence[str],
        demand_by_model: Mapping[str, float],
        now: float,
    ) -> dict[str, tuple[str, ...]]:
        """Return the models that each engine is to load.

        :param models: every model that must be loaded on some engine.
        :param demand_by_model: number of requests that run or wait.
        """
        known_models = set(models)
        self._update_engines(engines, known_models)
        places_by_engine = {item.engine_id: item.places for item in engines}
        for model in sorted(known_models):
            if self._copies(model) == 0:
                self._place_missing(model, places_by_engine)
        shares = self._shares(known_models, demand_by_model, places_by_engine)
        self._reassign_one(shares, places_by_engine, now)
        return {
            engine_id: tuple(sorted(placed))
            for engine_id, placed in self._models_by_engine.items()
        }

    def _update_engines(
        self, engines: Sequence[EngineCapacity], known_models: set[str]
    ) -> None:
        """Add new engines with their reported models and drop missing ones."""
        previous = self._models_by_engine
        self._models_by_engine = {}
        for engine in sorted(engines, key=lambda item: item.engine_id):
            placed = (
                previous.get(engine.engine_id, engine.models) & known_models
            )
            kept = sorted(placed)[: engine.places]
            self._models_by_engine[engine.engine_id] = set(kept)

    def _copies(self, model: str) -> int:
        return sum(
            model in placed for placed in self._models_by_engine.values()
        )

    def _place_missing(
        self, model: str, places_by_engine: Mapping[str, int]
    ) -> None:
        """Place a model that no engine has.

        Without a free place it replaces a copy of the model with most copies.
        """
        if self._use_free_place(model, places_by_engine):
            return
        candidates = [
            (-self._copies(other), engine_id, other)
            for engine_id, placed in self._models_by_engine.items()
            for other in placed
            if self._copies(other) > 1
        ]
        if candidates:
            _, engine_id, other = min(candidates)
            self._models_by_engine[engine_id].remove(other)
            self._models_by_engine[engine_id].add(model)

    def _use_free_place(
        self, model: str, places_by_engine: Mapping[str, int]
    ) -> bool:
        free = [
            (len(placed), engine_id)
            for engine_id, placed in self._models_by_engine.items()
            if len(placed) < places_by_engine[engine_id]
            and model not in placed
        ]
        if not free:
            return False
        self._models_by_engine[min(free)[1]].add(model)
        return True

    def _shares(
        self,
        known_models: set[str],
        demand_by_model: Mapping[str, float],
        places_by_engine: Mapping[str, int],
    ) -> dict[str, float]:
        """Return each model's share of the places in proportion to demand."""
        places = sum(places_by_engine.values())
        demands = {
            model: max(0.0, demand_by_model.get(model, 0.0))
            for model in known_models
        }
        total = sum(demands.values())
        if total <= 0:
            return {}
        return {
            model: places * demand / total for model, demand in demands.items()
        }

    def _reassign_one(
        self,
        shares: Mapping[str, float],
        places_by_engine: Mapping[str, int],
        now: float,
    ) -> None:
        margin = 0.5 + self._settings.margin
        max_copies = len(places_by_engine)
        deficits = {
            model: share - self._copies(model)
            for model, share in shares.items()
        }
        underserved = {
            model
            for model, deficit in deficits.items()
            if deficit > margin and 0 < self._copies(model) < max_copies
        }
        self._deficit_since = {
            model: self._deficit_since.get(model, now) for model in underserved
        }
        overdue = sorted(
            (-deficits[model], model)
            for model, since in self._deficit_since.items()
            if now - since >= self._settings.hold_s
        )
        for _, model in overdue:
            if self._use_free_place(
                model, places_by_engine
            ) or self._replace_surplus(model, deficits, margin):
                # Every hold time starts again with the new placement.
                self._deficit_since.clear()
                return

    def _replace_surplus(
        self, model: str, deficits: Mapping[str, float], margin: float
    ) -> bool:
        """Replace a copy of the model with the largest surplus."""
        candidates = [
            (deficits[other], other, engine_id)
            for engine_id, placed in self._models_by_engine.items()
            for other in placed
            if model not in placed
            and deficits[other] < -margin
            and self._copies(other) > 1
        ]
        if not candidates:
            return False
        _, other, engine_id = min(candidates)
        self._models_by_engine[engine_id].remove(other)
        self._models_by_engine[engine_id].add(model)
        return True
