"""Tests of the order of jobs."""

from tests.stages import builders
from walnutport.stages import jobs
from walnutport.stages import timing


def job(job_id: str, **changes) -> jobs.Job:
    """Return a job that came at 0."""
    return jobs.Job(builders.order(job_id, **changes), 0.0)


def ranked(now: float, *found: jobs.Job) -> list[str]:
    """Return the ids of jobs in their order."""
    return [
        entry.order.job_id
        for entry in sorted(
            found, key=lambda entry: timing.rank(entry, builders.RULES, now)
        )
    ]


def test_jobs_with_more_stages_left_start_earlier():
    """Guards against an order by aim alone, which makes chains late."""
    chain = job('chain', stages=builders.CHAIN, counts=(1, 1))
    single = job('single')
    assert ranked(0.0, single, chain) == ['chain', 'single']
    assert timing.least_s(chain, builders.RULES) > timing.least_s(
        single, builders.RULES
    )


def test_late_jobs_do_not_hold_up_the_others():
    """Replays a backlog in which the oldest jobs are late already."""
    late = job('late', aim_s=0.5)
    timely = job('timely', aim_s=1.5)
    assert ranked(0.0, timely, late) == ['late', 'timely']
    assert ranked(0.6, timely, late) == ['timely', 'late']
