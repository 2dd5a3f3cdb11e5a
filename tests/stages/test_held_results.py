"""Tests of the release of results held by targets."""

from tests.stages import builders
from walnutport.stages import cell_targets
from walnutport.stages import held_results
from walnutport.stages import jobs

PLACED = jobs.PlacedResult('h1', 't1', 'a', 3_000)


def test_freed_result_releases_memory_and_is_reported_once():
    """Guards against leaked result memory and handles freed twice."""
    targets = cell_targets.CellTargets()
    targets.update(builders.RULES, [builders.target('t1')])
    targets.by_id['t1'].held_bytes = 5_000.0
    held = held_results.HeldResults(targets)
    held.free(PLACED)
    assert targets.by_id['t1'].held_bytes == 2_000.0
    ((info, handles),) = held.take_freed()
    assert info.target_id == 't1' and handles == ['h1']
    assert held.take_freed() == []


def test_results_of_a_restarted_target_are_not_freed():
    """Guards against free requests to a target that lost the results."""
    targets = cell_targets.CellTargets()
    targets.update(builders.RULES, [builders.target('t1')])
    held = held_results.HeldResults(targets)
    held.free(PLACED)
    held.discard('t1')
    assert held.take_freed() == []
    targets.by_id.clear()
    held.free(PLACED)
    assert held.take_freed() == []
