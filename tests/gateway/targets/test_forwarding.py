"""Tests of which targets a request may be sent to, and how often."""

import dataclasses
import time
import types

import pytest

from tests.gateway import call_builders
from tests.gateway import fake_host
from walnutport.gateway.entry import calls
from walnutport.gateway.targets import attempts
from walnutport.gateway.targets import forwarding


@pytest.fixture
def host():
    """Return a host with three engines."""
    return fake_host.FakeHost()


def staged_call(max_targets: int) -> calls.CallerCall:
    """Return a call with inputs whose route allows so many targets."""
    return call_builders.caller_call(
        call_builders.stream_route(max_targets=max_targets)
    )


def new_inputs(
    host: fake_host.FakeHost, call: calls.CallerCall, engine_id: str
) -> bool:
    """Let the engine of a call find its inputs gone.

    :param engine_id: recommended for the request with new inputs.
    :returns: whether the request may be sent with new ones.
    """
    result = host.send(call, 409)
    assert result.status is attempts.AttemptStatus.INPUTS_GONE
    call.engine_id = engine_id
    return host.forwarder.try_acquire_new_inputs(call, result)


def test_new_inputs_allow_no_target_beyond_the_limit(host):
    """Guards against a second target where the route allows one.

    Question 3 of docs/platform.md: the limit counts the targets that a request
    is sent to, also those that did not run it.
    """
    call = staged_call(max_targets=1)
    call.engine_id = 'llm-1'
    assert new_inputs(host, call, engine_id='llm-2')
    host.send(call, 503)
    assert set(call.targets) == {'llm-1'}


def test_target_that_lacked_the_inputs_counts_against_the_limit(host):
    """Guards against three targets where the route allows two."""
    call = staged_call(max_targets=2)
    assert new_inputs(host, call, engine_id='')
    first = call.targets[0]
    while True:
        result = host.send(call, 503)
        if result is None or not host.forwarder.try_acquire_retry(
            call, result
        ):
            break
    assert first in call.targets
    assert len(set(call.targets)) <= 2
    assert len(call.targets) <= 3


def test_target_gets_a_request_with_new_inputs_once_more_only(host):
    """Guards against a target that is sent one request again and again."""
    call = staged_call(max_targets=1)
    assert new_inputs(host, call, engine_id='')
    result = host.send(call, 503)
    assert not host.forwarder.try_acquire_retry(call, result)
    assert host.send(call, 503) is None


def test_attempts_of_a_request_have_ids_of_their_own(host):
    """Guards against an attempt that ends as another of the same request.

    Crashes are held against the attempts in flight, by their ids.
    """
    call = staged_call(max_targets=3)
    assert new_inputs(host, call, engine_id='')
    host.send(call, 503)
    placed = host.log.fields_of('placed')
    assert [fields['attempt'] for fields in placed] == [1, 2]


def implicate(
    host: fake_host.FakeHost, call: calls.CallerCall, *target_ids: str
) -> None:
    """Let targets die one after the other while they run a request."""
    for target_id in target_ids:
        now = time.monotonic()
        table = host.forwarder._suspects
        table.attempt_started(call.digest, target_id, target_id, now)
        table.target_died(target_id, now)
        table.attempt_finished(target_id, False, now)


def test_stream_under_two_crashes_is_taken_up(host):
    """Guards against streams of crashed targets that all hosts refuse."""
    call = staged_call(max_targets=3)
    implicate(host, call, 'llm-1', 'llm-2')
    assert host.forwarder.admit(call)


def test_refused_content_tells_when_it_is_probed(host, monkeypatch):
    """Guards against a content that is refused for good."""
    call = staged_call(max_targets=3)
    implicate(host, call, 'llm-1', 'llm-2', 'llm-3')
    assert not host.forwarder.admit(call)
    delay_s = host.forwarder.content_delay_s(call)
    assert 0 < delay_s < 1
    later = types.SimpleNamespace(monotonic=lambda: time.monotonic() + delay_s)
    monkeypatch.setattr(forwarding, 'time', later)
    assert host.forwarder.admit(call)
    other = staged_call(max_targets=3)
    other.fields = dataclasses.replace(other.fields, request_id='id-2')
    assert not host.forwarder.admit(other)
    host.forwarder.end_probe(call)
    assert host.forwarder.admit(other)
