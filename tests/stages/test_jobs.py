"""Tests of the stage graph of one job."""

from tests.stages import builders
from walnutport.stages import jobs
from walnutport.world import routes

GRAPH = (
    routes.StageSpec('encode', (), 10),
    routes.StageSpec('rank', (0,), 10),
    routes.StageSpec('audit', (1,), 10),
)


def add_result(
    job: jobs.Job, stage: int, piece: int, target: str = 't'
) -> None:
    """Start a piece and record its result."""
    job.start_piece((stage, piece))
    job.running[stage].discard(piece)
    job.results[stage][piece] = jobs.PlacedResult(
        f'{target}/{stage}.{piece}', target, 'a', 10
    )


def test_stage_waits_for_all_pieces_of_its_inputs():
    """Guards against a piece that starts with only some of its inputs."""
    job = jobs.Job(builders.job_spec('1', GRAPH, (2, 1, 1)), 0.0)
    assert job.waiting == {0: {0, 1}}
    add_result(job, 0, 0)
    job.update_waiting()
    assert job.waiting == {0: {1}}
    add_result(job, 0, 1)
    job.update_waiting()
    assert job.waiting == {1: {0}}
    assert [found.handle for found in job.inputs(1)] == ['t/0.0', 't/0.1']


def test_empty_stage_is_bypassed():
    """Guards against a graph that stalls at a stage without pieces."""
    job = jobs.Job(builders.job_spec('1', GRAPH, (1, 0, 1)), 0.0)
    assert job.predecessors(2) == (0,)
    add_result(job, 0, 0)
    job.update_waiting()
    assert job.waiting == {2: {0}}
    add_result(job, 2, 0)
    assert [found.handle for found in job.final_results()] == ['t/2.0']


def test_results_of_every_final_stage_are_returned():
    """Guards against a request that misses the results of one branch."""
    stages = (
        routes.StageSpec('encode', (), 10),
        routes.StageSpec('encode', (), 10),
        routes.StageSpec('rank', (1,), 10),
    )
    job = jobs.Job(builders.job_spec('1', stages, (1, 1, 1)), 0.0)
    for piece_id in ((0, 0), (1, 0), (2, 0)):
        job.update_waiting()
        add_result(job, *piece_id)
    handles = [found.handle for found in job.final_results()]
    assert handles == ['t/0.0', 't/2.0']


def test_consumed_results_are_released_once():
    """Guards against results that are never released by their target."""
    job = jobs.Job(builders.job_spec('1', GRAPH, (1, 1, 1)), 0.0)
    add_result(job, 0, 0)
    job.update_waiting()
    assert job.take_consumed() == []
    add_result(job, 1, 0)
    assert [found.handle for found in job.take_consumed()] == ['t/0.0']
    assert job.take_consumed() == []
    job.update_waiting()
    assert job.waiting == {2: {0}}


def test_lost_inputs_are_recomputed():
    """Guards against a job that waits indefinitely for a lost result."""
    job = jobs.Job(builders.job_spec('1', GRAPH, (1, 1, 1)), 0.0)
    add_result(job, 0, 0)
    job.update_waiting()
    add_result(job, 1, 0)
    job.take_consumed()
    job.update_waiting()
    dropped = job.drop_inputs(2)
    assert [found.handle for found in dropped] == ['t/1.0']
    job.update_waiting()
    assert job.waiting == {0: {0}}
