"""Tests of the load of a cell."""

from tests.stages import builders
from walnutport.stages import cell_load
from walnutport.stages import cell_targets
from walnutport.stages import jobs


def loaded() -> cell_load.CellLoad:
    """Return the load of a cell with one target."""
    targets = cell_targets.CellTargets()
    targets.update(builders.RULES, [builders.target('t1')])
    return cell_load.CellLoad(targets)


def test_operators_see_backlog_and_fill():
    """Guards against figures that do not tell a full service from an idle.

    Two pieces of a service whose full call has 6 and takes 0.27 s.
    """
    load = loaded()
    job = jobs.Job(builders.order('1'), 0.0)
    assert load.judge(job, 0.0) is None
    load.track(job)
    load.call_started('encode', 3)
    found = load.by_service(0.0)['encode']
    assert found.batch_fill == 0.5
    assert 0.08 < found.backlog_s < 0.2
    job.finished = True
    load.track(job)
    assert load.by_service(0.0)['encode'].backlog_s == 0.0


def test_queue_of_taken_jobs_ends_in_refusals():
    """Replays jobs that come faster than one target works.

    Guards against a cell that takes jobs without end.
    """
    load = loaded()
    taken = 0
    for number in range(100):
        job = jobs.Job(builders.order(str(number)), 0.0)
        if load.judge(job, 0.0) is None:
            taken += 1
            load.track(job)
    assert 3 <= taken <= 30
