"""Tests of requests at a host whose end is known."""

import time

import pytest
from twisted.internet import defer

from tests.gateway import call_builders
from tests.gateway import fake_host

# Too little for any request.
LEFT_S = 0.1


@pytest.fixture
def host():
    """Return a host with three engines."""
    return fake_host.FakeHost()


def end_soon(host: fake_host.FakeHost) -> None:
    """Let the end of a host be known and near."""
    host.host_end.set(time.monotonic() + LEFT_S)


def refusals(host: fake_host.FakeHost) -> list[str]:
    """Return the reasons of the refusals."""
    return [fields['reason'] for fields in host.log.fields_of('refused')]


@pytest.mark.parametrize('has_stages', [False, True])
def test_request_that_cannot_end_is_refused_at_its_arrival(host, has_stages):
    """Guards against requests that a host takes long after its stop signal.

    It passes them on to targets and cuts them off when its drain ends.
    """
    end_soon(host)
    changes = {} if has_stages else {'stages': ()}
    call = call_builders.caller_call(call_builders.stream_route(**changes))
    host.serve(call, 200)
    assert refusals(host) == ['stopping']
    assert call.request.status == 503
    assert host.stages.specs == [] and call.targets == []


def test_request_is_refused_after_stages_that_took_too_long(host):
    """Guards against a request that is passed on late after long stages.

    It came in time for the end, but its stages used up that time.
    """
    host.stages.on_run = lambda: end_soon(host)
    call = call_builders.caller_call()
    host.serve(call, 200)
    assert refusals(host) == ['stopping']
    assert call.targets == [] and host.stages.released == 1


def test_request_is_refused_after_its_wait_for_a_channel(host):
    """Guards against a request that is written after a wait used up its time.

    The check before the attempt found it in time.
    """
    host.on_channel = lambda: end_soon(host)
    call = call_builders.caller_call(call_builders.stream_route(stages=()))
    host.serve(call, 200)
    assert refusals(host) == ['stopping']
    assert call.targets == []


def test_stages_do_not_run_again_if_the_request_cannot_end(host):
    """Guards against a second run of stages of no use, as the host stops."""
    host.on_response = lambda: end_soon(host)
    call = call_builders.caller_call()
    host.serve(call, 409, 200)
    assert refusals(host) == ['stopping']
    assert len(host.stages.specs) == 1


def test_stages_end_when_the_request_cannot_end_any_more(host):
    """Guards against callers who wait for stages while the host ends."""
    host.stages.is_slow = True
    call = call_builders.caller_call()
    host.serve(call, 200)
    host.handler.tick()
    assert not call.request.response_ended
    end_soon(host)
    host.handler.tick()
    assert refusals(host) == ['stopping']
    assert host.stages.released == 1 and not host.handler.in_flight


def test_request_that_waits_for_a_permit_is_refused_at_the_next_tick(host):
    """Guards against a wait for a permit that cannot be used any more."""
    host.permits.is_needed = lambda target: True
    host.permits.acquire = lambda target, wait_s: defer.Deferred()
    call = call_builders.caller_call(call_builders.stream_route(stages=()))
    host.serve(call, 200)
    host.handler.tick()
    assert not call.request.response_ended
    end_soon(host)
    host.handler.tick()
    assert refusals(host) == ['stopping']
    assert call.targets == [] and not host.handler.in_flight


def test_request_that_may_have_run_is_not_said_not_to_have_run(host):
    """Guards against a broken promise, and a retry that is cut off."""
    host.on_response = lambda: end_soon(host)
    call = call_builders.caller_call(call_builders.stream_route(stages=()))
    host.serve(call, 0, 200)
    assert call.request.status == 502
    assert refusals(host) == [] and len(call.targets) == 1


def test_request_that_can_end_is_served_by_a_host_that_stops(host):
    """Guards against a host that refuses all from the stop signal on."""
    host.host_end.set(time.monotonic() + 60.0)
    call = call_builders.caller_call()
    host.serve(call, 200)
    assert call.outcome == 'streamed'


def test_stream_whose_first_event_comes_too_late_is_not_begun(host):
    """Guards against streams that begin late and are cut off.

    Its caller is answered while it may still repeat the request elsewhere.
    """
    host.on_response = lambda: end_soon(host)
    call = call_builders.caller_call(call_builders.stream_route(stages=()))
    host.serve(call, 200)
    assert call.request.status == 502 and not call.request.head_sent
    assert call.request.response_ended and len(call.targets) == 1
    (check,) = [
        fields
        for fields in host.log.fields_of('stop_checked')
        if fields['place'] == 'first_event'
    ]
    assert not check['fits']


def test_late_stream_that_may_not_be_repeated_goes_on(host):
    """Guards against the loss of a stream that may run once only."""
    host.on_response = lambda: end_soon(host)
    call = call_builders.caller_call(
        call_builders.stream_route(stages=(), resumable=False)
    )
    host.serve(call, 200)
    assert call.outcome == 'streamed'
