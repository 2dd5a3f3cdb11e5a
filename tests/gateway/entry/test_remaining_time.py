"""Tests of the forecast of the time until a response is complete."""

import pytest

from tests.gateway import call_builders
from walnutport.gateway.entry import remaining_time
from walnutport.world import routes

RULES = {'encode': routes.BatchRules(1, 2, 6, 0.4, 0.05, 1e6)}


@pytest.fixture
def remaining():
    """Return a forecast without measurements."""
    return remaining_time.RemainingTime(lambda: RULES)


def test_stages_count_until_they_have_ended(remaining):
    """Guards against stages that are forgotten, or counted twice."""
    call = call_builders.caller_call()
    now = call.arrived_at
    before_s = remaining.expected_s(call, now)
    call.stages_begun_at = now
    assert remaining.expected_s(call, now) == pytest.approx(before_s)
    halfway_s = remaining.expected_s(call, now + 0.3)
    assert halfway_s == pytest.approx(before_s - 0.3)
    call.stages_begun_at = 0.0
    call.inputs = ('h',)
    after_s = remaining.expected_s(call, now)
    # Both pieces go into one call.
    assert before_s - after_s >= 0.5 - 1e-9


def test_measured_stages_count_if_they_take_longer(remaining):
    """Guards against the time of idle targets for stages that wait."""
    call = call_builders.caller_call()
    before_s = remaining.expected_s(call, call.arrived_at)
    remaining.stages_ended(call, 1.5)
    assert remaining.expected_s(call, call.arrived_at) > before_s + 0.9


def test_continued_streams_are_not_measured(remaining):
    """Guards against the few events of such a stream for a whole one."""
    call = call_builders.caller_call(**{'last-event-id': '90'})
    call.first_event_at = call.arrived_at
    expected_s = remaining.events_s(call)
    remaining.stream_ended(call, call.arrived_at + 0.01)
    assert remaining.events_s(call) == expected_s


def test_plain_requests_take_the_measured_time(remaining):
    """Guards against a long request that counts as a short one."""
    route = call_builders.stream_route(
        kind=routes.RequestKind.REPEATABLE, stages=()
    )
    call = call_builders.caller_call(route)
    assert remaining.expected_s(call, call.arrived_at) < 0.5
    remaining.answered(call, 2.0)
    assert remaining.expected_s(call, call.arrived_at) >= 2.0
