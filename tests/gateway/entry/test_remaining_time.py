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


def test_routes_of_one_service_are_measured_apart(remaining):
    """Guards against long requests that count as the short ones beside them.

    Shortly before its end, a host would take each of them and cut it off.
    """
    short, long = (
        call_builders.caller_call(
            call_builders.stream_route(
                name=name,
                kind=routes.RequestKind.REPEATABLE,
                stages=(),
                timeout_s=60.0,
            )
        )
        for name in ('short', 'long')
    )
    for number in range(200):
        if number % 20:
            remaining.answered(short, 0.3)
        else:
            remaining.answered(long, 5.0)
    assert remaining.expected_s(long, long.arrived_at) >= 5.0
    assert remaining.expected_s(short, short.arrived_at) < 1.0


def test_streams_of_one_service_are_measured_apart(remaining):
    """Guards against streams that go on much longer than others beside them.

    They would be cut off at the end of the host.
    """
    short, long = (
        call_builders.caller_call(
            call_builders.stream_route(name=name, stages=()),
            **{'walnutport-token-counts': '100,50'},
        )
        for name in ('short', 'long')
    )
    for call in (short, long):
        call.first_event_at = call.arrived_at
    for number in range(200):
        if number % 20:
            remaining.stream_ended(short, short.arrived_at + 0.5)
        else:
            remaining.stream_ended(long, long.arrived_at + 4.0)
    assert remaining.events_s(long) >= 4.0 - 1e-9
    assert remaining.events_s(short) < 1.0


def test_new_route_has_the_time_of_its_service(remaining):
    """Guards against the initial values for a route that was just added."""
    old, new = (
        call_builders.caller_call(
            call_builders.stream_route(
                name=name,
                kind=routes.RequestKind.REPEATABLE,
                stages=(),
                timeout_s=60.0,
            )
        )
        for name in ('old', 'new')
    )
    remaining.answered(old, 5.0)
    assert remaining.expected_s(new, new.arrived_at) >= 5.0


def test_stream_that_was_broken_off_shows_how_long_it_takes(remaining):
    """Guards against a forecast by the streams that ended in time only."""
    call = call_builders.caller_call(call_builders.stream_route(stages=()))
    call.first_event_at = call.arrived_at
    for _ in range(50):
        remaining.stream_ended(call, call.arrived_at + 0.5)
    remaining.stream_broken_off(call, call.arrived_at + 0.2)
    assert remaining.events_s(call) < 1.0
    remaining.stream_broken_off(call, call.arrived_at + 3.0)
    assert remaining.events_s(call) > 3.0
