"""Tests of the release of results held by targets."""

from tests.stages import builders
from walnutport.stages import cell_targets
from walnutport.stages import held_results
from walnutport.stages import jobs
from walnutport.stages import stage_targets

PLACED = jobs.PlacedResult('h1', 't1', 'a', 3_000)


def test_freed_result_releases_memory_and_is_reported_once():
    """Guards against leaked result memory and handles freed twice."""
    targets = cell_targets.CellTargets()
    targets.update(builders.RULES, [builders.target('t1')])
    targets.by_id['t1'].held_bytes = 5_000.0
    held = held_results.HeldResults(targets)
    held.free(PLACED)
    assert targets.by_id['t1'].held_bytes == 2_000.0
    ((info, handles),) = held.take_freed(0.0)
    assert info.target_id == 't1' and handles == ['h1']
    assert held.take_freed(0.0) == []


def test_results_of_a_restarted_target_are_not_freed():
    """Guards against free requests to a target that lost the results."""
    targets = cell_targets.CellTargets()
    targets.update(builders.RULES, [builders.target('t1')])
    held = held_results.HeldResults(targets)
    held.free(PLACED)
    held.discard('t1')
    assert held.take_freed(0.0) == []
    targets.by_id.clear()
    held.free(PLACED)
    assert held.take_freed(0.0) == []


def test_results_of_a_limited_target_are_freed_at_intervals():
    """Guards against frees that exceed the limit of a target.

    Their memory counts as occupied until they are freed.
    """
    targets = cell_targets.CellTargets()
    targets.update(builders.RULES, [builders.target('t1')])
    target = targets.by_id['t1']
    target.held_bytes = 9_000.0
    target.min_interval_s = 0.5
    held = held_results.HeldResults(targets)
    held.free(PLACED)
    assert target.held_bytes == 9_000.0
    assert held.take_freed(0.0)
    assert target.held_bytes == 6_000.0
    assert not target.is_free(0.4) and target.is_free(0.5)
    held.free(PLACED)
    held.free(PLACED)
    assert held.take_freed(1.0) == [] and held.has_freed
    ((_, handles),) = held.take_freed(
        stage_targets.FREE_SPACING * target.min_interval_s
    )
    assert len(handles) == 2 and not held.has_freed


def test_results_of_a_leaving_target_are_not_freed():
    """Guards against requests to a target that is shutting down."""
    targets = cell_targets.CellTargets()
    targets.update(builders.RULES, [builders.target('t1')])
    held = held_results.HeldResults(targets)
    held.free(PLACED)
    targets.by_id['t1'].leaving = True
    assert held.take_freed(0.0) == [] and not held.has_freed
