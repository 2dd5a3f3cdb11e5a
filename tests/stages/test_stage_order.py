"""Routes whose stages come after stages with a higher index."""

import itertools

import pytest

from tests.stages import builders
from walnutport.stages import begin_rules
from walnutport.stages import cell_targets
from walnutport.stages import forecast
from walnutport.stages import jobs
from walnutport.stages import timing
from walnutport.world import routes

# A chain of three stages, and their results, in each order of the indexes.
SERVICES = ('encode', 'rank', 'encode')


def chain(order: tuple[int, ...]) -> tuple[routes.StageSpec, ...]:
    """Return the chain; the stage at place N has the index ``order[N]``."""
    stages = {
        index: routes.StageSpec(
            SERVICES[place], (order[place - 1],) if place else (), 8_000
        )
        for place, index in enumerate(order)
    }
    return tuple(stages[index] for index in range(len(order)))


def load(service: str) -> forecast.ServiceLoad:
    """Return the load of an idle service."""
    return forecast.ServiceLoad(builders.RULES[service], 2, 0.0, 1.0)


@pytest.mark.parametrize('order', list(itertools.permutations(range(3))))
def test_order_of_the_indexes_does_not_matter(order):
    """Guards against a route that all hosts refuse with an error."""
    counts = (2, 2, 2)
    found, expected = (
        jobs.Job(builders.job_spec('j', chain(item), counts), 0.0)
        for item in (order, (0, 1, 2))
    )
    assert found.stages == list(order)
    assert found.final_stages == (order[-1],)
    assert forecast.forecast_job(found, load) == forecast.forecast_job(
        expected, load
    )
    assert timing.full_calls_s(found, builders.RULES) == pytest.approx(
        timing.full_calls_s(expected, builders.RULES)
    )
    assert timing.idle_chain_s(
        chain(order), counts, builders.RULES
    ) == pytest.approx(3 * (0.15 + 2 * 0.02))
    targets = cell_targets.CellTargets()
    targets.update(builders.RULES, [])
    rules = begin_rules.BeginRules(targets)
    assert rules.can_finish(found, found.deadline_at - 2.0)


def test_stages_in_a_circle_have_no_order():
    """Guards against stages that wait for each other for ever."""
    stages = (
        routes.StageSpec('encode', (1,), 0),
        routes.StageSpec('rank', (0,), 0),
    )
    with pytest.raises(ValueError):
        routes.topological_order(stages)
