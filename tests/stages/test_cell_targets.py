"""Tests of the targets of a cell."""

from tests.stages import builders
from walnutport.stages import cell_targets
from walnutport.stages import stage_targets


def updated(*listed) -> cell_targets.CellTargets:
    """Return a cell with targets."""
    found = cell_targets.CellTargets()
    found.update(builders.RULES, listed)
    return found


def run(target: stage_targets.StageTarget, took_s: float) -> None:
    """Let a target answer one call that should take 0.2 s."""
    call = stage_targets.RunningCall(target, [], 0.0, 0.2 * target.slowness)
    target.answered(call, took_s)


def test_target_that_left_while_draining_is_forgotten():
    """Guards against targets that stay for ever after a planned stop."""
    cell = updated(builders.target('t1', draining=True))
    cell.forget_unused(set())
    assert set(cell.by_id) == {'t1'}
    cell.update(builders.RULES, [])
    cell.forget_unused({'t1'})
    assert set(cell.by_id) == {'t1'}, 'its results may still be read'
    cell.forget_unused(set())
    assert not cell.by_id


def test_new_lifetime_starts_empty():
    """Guards against memory and calls of a lifetime that crashed."""
    cell = updated(builders.target('t1'))
    old = cell.by_id['t1']
    old.held_bytes = 9_000.0
    (lost,) = cell.update(
        builders.RULES, [builders.target('t1', incarnation=2)]
    )
    assert lost is old
    assert cell.by_id['t1'].held_bytes == 0.0


def test_capacity_weighs_targets_by_their_speed():
    """Replays a service of which one target became four times slower."""
    cell = updated(builders.target('t1'), builders.target('t2'))
    for _ in range(40):
        run(cell.by_id['t2'], 0.8)
    capacity = cell.capacity('encode', 1.0)
    assert capacity.slots == 2
    # Speeds of 1 and 1/4 make 5/8 on average.
    assert abs(capacity.slowness - 1.6) < 0.01
    free = cell.free_by_service(1.0)['encode']
    assert [target.info.target_id for target in free] == ['t1', 't2']


def test_capacity_leaves_out_targets_that_cannot_be_called():
    """Guards against a forecast over targets that are paused or leaving."""
    cell = updated(
        builders.target('t1'),
        builders.target('t2', draining=True),
        builders.target('t3'),
    )
    cell.by_id['t3'].failed(stage_targets.CallFailure.TIMEOUT, 0.0)
    assert cell.capacity('encode', 0.0).slots == 1
    assert cell.capacity('rank', 0.0) is None
