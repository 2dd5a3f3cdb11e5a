"""Tests of the rule that admits or refuses jobs."""

import dataclasses

from tests.stages import builders
from walnutport.stages import admission
from walnutport.stages import forecast
from walnutport.stages import jobs


def check_job_behind(backlog_s: float, **changes):
    """Return the refusal of a job behind a backlog of two targets."""
    spec = dataclasses.replace(builders.job_spec('1'), **changes)
    load = forecast.ServiceLoad(builders.ENCODE, 2, backlog_s, 1.0)
    return admission.check_job(jobs.Job(spec, 0.0), lambda service: load)


def test_jobs_are_refused_once_backlog_exceeds_aim():
    """Admits jobs while the backlog is short and none once it is long.

    Guards against a queue that keeps growing during a burst.
    """
    admitted = [check_job_behind(step * 0.1) is None for step in range(40)]
    assert admitted[0] and not admitted[-1]
    assert admitted == sorted(admitted, reverse=True)
    refusal = check_job_behind(3.9)
    assert refusal.reason == 'overload'
    assert refusal.retry_after_s >= admission.MIN_RETRY_AFTER_S


def test_retried_request_is_admitted_behind_longer_backlog():
    """Guards against a second refusal, which leaves no time for a retry."""
    longest_backlogs = [
        max(
            step
            for step in range(400)
            if check_job_behind(step * 0.01, spent_s=spent_s) is None
        )
        for spent_s in (0.0, 0.5)
    ]
    assert longest_backlogs[0] < longest_backlogs[1]


def test_job_that_cannot_meet_deadline_is_refused_immediately():
    """Guards against queueing a request until its deadline passes."""
    refusal = check_job_behind(0.0, deadline_s=0.1)
    assert refusal.reason == 'deadline'


def test_long_job_on_idle_targets_is_admitted():
    """Guards against refusing a job that misses its aim without any queue."""
    assert check_job_behind(0.0, aim_s=0.1) is None
