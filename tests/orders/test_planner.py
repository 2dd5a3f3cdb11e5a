"""Tests of model placement and of the rate limit of orders."""

import hypothesis
from hypothesis import strategies as st

from walnutport.orders import planner
from walnutport.orders import reconcile

_MODELS = ('a', 'b', 'c')
_HOLD_S = 10.0


def _engines(places: list[int]) -> list[planner.EngineCapacity]:
    return [
        planner.EngineCapacity(f'e{index}', count, frozenset())
        for index, count in enumerate(places)
    ]


@hypothesis.settings(max_examples=400)
@hypothesis.given(
    places=st.lists(st.integers(1, 3), min_size=3, max_size=6),
    demands=st.lists(
        st.fixed_dictionaries({m: st.integers(0, 50) for m in _MODELS}),
        min_size=1,
        max_size=4,
    ),
)
def test_every_model_is_placed_and_the_plan_converges(
    places: list[int], demands: list[dict[str, int]]
) -> None:
    """Guards against unplaced models, overfull engines and endless moves."""
    model_planner = planner.Planner(planner.PlannerSettings(0.25, _HOLD_S))
    engines = _engines(places)
    now = 0.0
    placed: dict[str, tuple[str, ...]] = {}
    for demand in demands:
        changes = 0
        for _ in range(60):
            now += _HOLD_S
            before, placed = (
                placed,
                model_planner.plan(engines, _MODELS, demand, now),
            )
            changes += placed != before
            assert {m for names in placed.values() for m in names} == set(
                _MODELS
            )
            for engine in engines:
                assert len(placed[engine.engine_id]) <= engine.places
        # Each change fills a place or gives one to a model below its share.
        assert changes <= 2 * sum(places) + 1
        assert placed == before


def test_a_short_burst_moves_no_model() -> None:
    """Guards against loading weights for every change of demand."""
    model_planner = planner.Planner(planner.PlannerSettings(0.25, _HOLD_S))
    engines = _engines([1, 1, 1, 1])
    even = {'a': 10, 'b': 10}
    for now in range(0, 60, 5):
        start = model_planner.plan(engines, ['a', 'b'], even, float(now))
    burst = {'a': 100, 'b': 1}
    assert model_planner.plan(engines, ['a', 'b'], burst, 60.0) == start
    assert model_planner.plan(engines, ['a', 'b'], even, 66.0) == start
    assert model_planner.plan(engines, ['a', 'b'], burst, 71.0) == start
    moved = model_planner.plan(engines, ['a', 'b'], burst, 81.0)
    assert sum('a' in names for names in moved.values()) == 3


def test_loads_stay_within_the_rate_of_the_weight_store() -> None:
    """Guards against ordering all engines to load at the same time."""
    limiter = reconcile.LoadRateLimiter(100.0)
    reconciler = reconcile.EngineReconciler('h', limiter, 5.0)
    desired = {
        f'e{index}': reconcile.DesiredEngineState(
            'mixed', (reconcile.ModelState('a'),)
        )
        for index in range(4)
    }
    reports = {
        name: reconcile.EngineReport(name, 'i', 'mixed', 1) for name in desired
    }
    sent = []
    for now in range(0, 40):
        orders = reconciler.next_orders(desired, reports, {'a': 1_000}, 7, now)
        sent += [(order.engine_id, now) for order in orders]
        for order in orders:
            models = (reconcile.ModelState('a', loading=True),)
            reports[order.engine_id] = reconcile.EngineReport(
                order.engine_id, 'i', 'mixed', 1, models
            )
    assert [now for _, now in sent] == [0, 10, 20, 30]


def test_an_engine_that_restarted_gets_its_order_at_once() -> None:
    """Guards against waiting for the resend delay after a restart."""
    reconciler = reconcile.EngineReconciler(
        'h', reconcile.LoadRateLimiter(1e9), 60.0
    )
    desired = {
        'e': reconcile.DesiredEngineState(
            'mixed', (reconcile.ModelState('a'),)
        )
    }
    old = {'e': reconcile.EngineReport('e', 'i1', 'mixed', 1, fencing=7)}
    new = {'e': reconcile.EngineReport('e', 'i2', 'mixed', 1)}
    assert reconciler.next_orders(desired, old, {}, 6, 0.0) == []
    assert len(reconciler.next_orders(desired, old, {}, 7, 0.0)) == 1
    assert reconciler.next_orders(desired, old, {}, 7, 1.0) == []
    assert len(reconciler.next_orders(desired, new, {}, 7, 1.0)) == 1
    assert len(reconciler.next_orders(desired, new, {}, 7, 62.0)) == 1
