"""Tests of the target table of a cell."""

from tests.stages import builders
from walnutport.stages import cell_targets
from walnutport.stages import stage_targets


def make_cell_targets(*listed) -> cell_targets.CellTargets:
    """Return the target table of a cell with the listed targets."""
    found = cell_targets.CellTargets()
    found.update(builders.RULES, listed)
    return found


def answer_call(target: stage_targets.StageTarget, took_s: float) -> None:
    """Record an answer to a call with an expected time of 0.2 s."""
    call = stage_targets.RunningCall(target, [], 0.0, 0.2 * target.slowness)
    target.record_answer(call, took_s)


def test_drained_target_is_removed():
    """Guards against targets that stay in the table after a planned stop."""
    cell = make_cell_targets(builders.target('t1', draining=True))
    cell.remove_unused(set())
    assert set(cell.by_id) == {'t1'}
    cell.update(builders.RULES, [])
    cell.remove_unused({'t1'})
    assert set(cell.by_id) == {'t1'}, 'its results may still be read'
    cell.remove_unused(set())
    assert not cell.by_id


def test_restarted_target_starts_with_empty_state():
    """Guards against carrying over memory and calls from before a crash."""
    cell = make_cell_targets(builders.target('t1'))
    old = cell.by_id['t1']
    old.held_bytes = 9_000.0
    (lost,) = cell.update(
        builders.RULES, [builders.target('t1', incarnation=2)]
    )
    assert lost is old
    assert cell.by_id['t1'].held_bytes == 0.0


def test_capacity_weights_targets_by_speed():
    """Checks a service with one of two targets four times slower."""
    cell = make_cell_targets(builders.target('t1'), builders.target('t2'))
    for _ in range(40):
        answer_call(cell.by_id['t2'], 0.8)
    capacity = cell.capacity('encode', 1.0)
    assert capacity.slots == 2
    # The mean of the speeds 1 and 1/4 is 5/8.
    assert abs(capacity.slowness - 1.6) < 0.01
    free = cell.free_by_service(1.0)['encode']
    assert [target.info.target_id for target in free] == ['t1', 't2']


def test_capacity_excludes_unavailable_targets():
    """Guards against forecasts that count paused or draining targets."""
    cell = make_cell_targets(
        builders.target('t1'),
        builders.target('t2', draining=True),
        builders.target('t3'),
    )
    cell.by_id['t3'].record_failure(stage_targets.CallFailure.TIMEOUT, 0.0)
    assert cell.capacity('encode', 0.0).slots == 1
    assert cell.capacity('rank', 0.0) is None


def test_reported_slowness_orders_free_targets():
    """Guards against a call to a target in a slow spell beside a fast one."""
    cell = make_cell_targets(builders.target('t1'), builders.target('t2'))
    cell.by_id['t1'].speed.report(2.5, 1.0)
    free = cell.free_by_service(1.0)['encode']
    assert [target.info.target_id for target in free] == ['t2', 't1']
    assert cell.by_id['t1'].slowness_at(1.0) == 2.5
    assert cell.by_id['t1'].slowness_at(3.0) == 1.0
