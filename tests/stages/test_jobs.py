"""Tests of the stage graph of one job."""

from tests.stages import builders
from walnutport.stages import jobs
from walnutport.world import routes

GRAPH = (
    routes.StageSpec('encode', (), 10),
    routes.StageSpec('rank', (0,), 10),
    routes.StageSpec('audit', (1,), 10),
)


def place(job: jobs.Job, stage: int, piece: int, target: str = 't') -> None:
    """Give a piece its result."""
    job.start((stage, piece))
    job.running[stage].discard(piece)
    job.results[stage][piece] = jobs.Placed(
        f'{target}/{stage}.{piece}', target, 'a', 10
    )


def test_stages_wait_for_all_pieces_before_them():
    """Guards against a piece that gets only some of its inputs."""
    job = jobs.Job(builders.order('1', GRAPH, (2, 1, 1)), 0.0)
    assert job.waiting == {0: {0, 1}}
    place(job, 0, 0)
    job.refresh()
    assert job.waiting == {0: {1}}
    place(job, 0, 1)
    job.refresh()
    assert job.waiting == {1: {0}}
    assert [found.handle for found in job.inputs(1)] == ['t/0.0', 't/0.1']


def test_omitted_stage_passes_its_inputs_on():
    """Guards against a graph that stops at a stage without pieces."""
    job = jobs.Job(builders.order('1', GRAPH, (1, 0, 1)), 0.0)
    assert job.after(2) == (0,)
    place(job, 0, 0)
    job.refresh()
    assert job.waiting == {2: {0}}
    place(job, 2, 0)
    assert [found.handle for found in job.final_results()] == ['t/2.0']


def test_every_final_stage_gives_inputs():
    """Guards against a request that lacks the results of one branch."""
    stages = (
        routes.StageSpec('encode', (), 10),
        routes.StageSpec('encode', (), 10),
        routes.StageSpec('rank', (1,), 10),
    )
    job = jobs.Job(builders.order('1', stages, (1, 1, 1)), 0.0)
    for piece_id in ((0, 0), (1, 0), (2, 0)):
        job.refresh()
        place(job, *piece_id)
    handles = [found.handle for found in job.final_results()]
    assert handles == ['t/0.0', 't/2.0']


def test_used_results_are_given_up_once():
    """Guards against results that fill the memory of their target."""
    job = jobs.Job(builders.order('1', GRAPH, (1, 1, 1)), 0.0)
    place(job, 0, 0)
    job.refresh()
    assert job.take_used() == []
    place(job, 1, 0)
    assert [found.handle for found in job.take_used()] == ['t/0.0']
    assert job.take_used() == []
    job.refresh()
    assert job.waiting == {2: {0}}


def test_lost_inputs_are_made_again():
    """Guards against a job that waits for ever for a lost result."""
    job = jobs.Job(builders.order('1', GRAPH, (1, 1, 1)), 0.0)
    place(job, 0, 0)
    job.refresh()
    place(job, 1, 0)
    job.take_used()
    job.refresh()
    dropped = job.drop_inputs(2)
    assert [found.handle for found in dropped] == ['t/1.0']
    job.refresh()
    assert job.waiting == {0: {0}}
