"""Tests of the load accounting of a cell."""

from tests.stages import builders
from walnutport.stages import cell_load
from walnutport.stages import cell_targets
from walnutport.stages import jobs


def make_cell_load() -> cell_load.CellLoad:
    """Return the load accounting of a cell with one target."""
    targets = cell_targets.CellTargets()
    targets.update(builders.RULES, [builders.target('t1')])
    return cell_load.CellLoad(targets)


def test_load_report_has_backlog_and_batch_fill():
    """Guards against load figures that are equal for busy and idle services.

    The job has two pieces; a full call of the service has 6 and takes 0.27 s.
    """
    load = make_cell_load()
    job = jobs.Job(builders.job_spec('1'), 0.0)
    assert load.check_job(job, 0.0) is None
    load.update_job(job)
    load.call_started('encode', 3)
    found = load.load_by_service(0.0)['encode']
    assert found.batch_fill == 0.5
    assert 0.08 < found.backlog_s < 0.2
    job.finished = True
    load.update_job(job)
    assert load.load_by_service(0.0)['encode'].backlog_s == 0.0


def test_jobs_are_refused_when_backlog_grows():
    """Guards against a cell that admits jobs without bound.

    100 jobs arrive at once at a cell with a single target.
    """
    load = make_cell_load()
    admitted = 0
    for number in range(100):
        job = jobs.Job(builders.job_spec(str(number)), 0.0)
        if load.check_job(job, 0.0) is None:
            admitted += 1
            load.update_job(job)
    assert 3 <= admitted <= 30
