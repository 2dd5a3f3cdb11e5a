"""Tests of the scheduling order of jobs."""

from tests.stages import builders
from walnutport.stages import jobs
from walnutport.stages import timing
from walnutport.world import routes


def job(job_id: str, **changes) -> jobs.Job:
    """Return a job that was submitted at time 0."""
    return jobs.Job(builders.job_spec(job_id, **changes), 0.0)


def ranked_job_ids(now: float, *found: jobs.Job) -> list[str]:
    """Return the ids of jobs in scheduling order."""
    return [
        entry.spec.job_id
        for entry in sorted(
            found,
            key=lambda entry: timing.scheduling_key(
                entry, builders.RULES, now
            ),
        )
    ]


def test_jobs_with_more_stages_left_start_earlier():
    """Guards against ordering by aim alone, which delays multi-stage jobs."""
    chain = job('chain', stages=builders.CHAIN, counts=(1, 1))
    single = job('single')
    assert ranked_job_ids(0.0, single, chain) == ['chain', 'single']
    assert timing.min_remaining_s(
        chain, builders.RULES
    ) > timing.min_remaining_s(single, builders.RULES)


def test_late_jobs_are_scheduled_after_timely_ones():
    """Guards against late jobs that delay those that can still be on time."""
    late = job('late', aim_s=0.5)
    timely = job('timely', aim_s=1.5)
    assert ranked_job_ids(0.0, timely, late) == ['late', 'timely']
    assert ranked_job_ids(0.6, timely, late) == ['timely', 'late']


def test_chain_at_idle_targets_is_the_longest_one():
    """Guards against stages that run beside each other and are added up."""
    stages = (
        routes.StageSpec('a', (), 1),
        routes.StageSpec('b', (), 1),
        routes.StageSpec('c', (0, 1), 1),
    )
    rules = {
        'a': routes.BatchRules(1, 2, 4, 0.2, 0.1, 1.0),
        'b': routes.BatchRules(1, 2, 4, 0.5, 0.1, 1.0),
        'c': routes.BatchRules(1, 2, 4, 0.1, 0.0, 1.0),
    }
    chain_s = timing.idle_chain_s(stages, (9, 1, 1), rules)
    assert round(chain_s, 3) == 0.7
    assert round(timing.idle_chain_s(stages, (1, 0, 0), rules), 3) == 0.3
    assert timing.idle_chain_s(stages, (1, 1, 1), {}) == 0.0
