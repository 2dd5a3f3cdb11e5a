"""Tests of the rule that takes or refuses jobs."""

import dataclasses

from tests.stages import builders
from walnutport.stages import admission
from walnutport.stages import forecast
from walnutport.stages import jobs


def judged(backlog_s: float, **changes):
    """Judge a job behind some work of two targets."""
    order = dataclasses.replace(builders.order('1'), **changes)
    load = forecast.ServiceLoad(builders.ENCODE, 2, backlog_s, 1.0)
    return admission.judge(jobs.Job(order, 0.0), lambda service: load)


def test_queue_is_cut_before_answers_become_late():
    """Replays a queue that grows under a burst."""
    taken = [judged(step * 0.1) is None for step in range(40)]
    assert taken[0] and not taken[-1]
    assert taken == sorted(taken, reverse=True)
    refusal = judged(3.9)
    assert refusal.reason == 'overload'
    assert refusal.retry_after_s >= admission.LEAST_RETRY_AFTER_S


def test_caller_who_came_back_goes_before_new_ones():
    """Guards against a second refusal, after which there is no third try."""
    limits = [
        max(
            step
            for step in range(400)
            if judged(step * 0.01, returned=flag) is None
        )
        for flag in (False, True)
    ]
    assert limits[0] < limits[1]


def test_what_cannot_meet_its_deadline_is_refused_at_once():
    """Guards against holding a request until its deadline passes."""
    refusal = judged(0.0, deadline_s=0.1)
    assert refusal.reason == 'deadline'


def test_long_job_on_idle_targets_is_taken_though_late():
    """Guards against refusing what no other load delays."""
    assert judged(0.0, aim_s=0.1) is None
