"""Tests of the decisions which requests a stopping host can serve."""

import math
import time
import types

import pytest

from tests.gateway import call_builders
from tests.gateway import fake_host
from walnutport import exceptions
from walnutport.gateway.entry import responses
from walnutport.gateway.entry import stop_decisions
from walnutport.gateway.peers import peer_state
from walnutport.world import routes

PROMPT = {'walnutport-token-counts': '100,50'}


@pytest.fixture
def host():
    """Return a host with three engines."""
    return fake_host.FakeHost()


def stopped_host(host: fake_host.FakeHost, left_s: float) -> None:
    """Let a host have a known end."""
    host.host_end.set(time.monotonic() + left_s)


def stream(**changes):
    """Return a call of a stream without stages."""
    route = call_builders.stream_route(**({'stages': ()} | changes))
    return call_builders.caller_call(route, **PROMPT)


def refusal(host: fake_host.FakeHost) -> dict:
    """Return the fields of the only refusal."""
    (fields,) = host.log.fields_of('refused')
    return fields


def test_rest_of_the_stream_counts(host):
    """Guards against a stream that is taken as its first event fits."""
    first = stream()
    first.first_event_at = time.monotonic()
    for _ in range(20):
        host.remaining.stream_ended(first, first.first_event_at + 3.0)
    stopped_host(host, 2.5)
    call = stream()
    host.serve(call, 200)
    assert refusal(host)['reason'] == 'stopping'
    assert refusal(host)['expected_s'] > refusal(host)['host_left_s'] > 2.0


def test_deadline_of_the_request_bounds_its_expected_end(host):
    """Guards against the refusal of a request that ends before the host.

    Its caller leaves before, however long the stream may be.
    """
    first = stream()
    first.first_event_at = time.monotonic()
    host.remaining.stream_ended(first, first.first_event_at + 9.0)
    stopped_host(host, 2.5)
    call = stream()
    call.deadline_at = time.monotonic() + 1.0
    host.serve(call, 200)
    assert call.outcome == 'streamed'


def test_refused_caller_is_at_another_host_within_milliseconds(host):
    """Guards against callers who wait although other hosts take them."""
    stopped_host(host, 0.1)
    host.serve(stream(), 200)
    assert refusal(host)['retry_after_s'] < 0.05


def test_refused_caller_waits_if_no_host_takes_callers(host):
    """Guards against retries that are used up before a host is back."""
    host.has_other_host = False
    stopped_host(host, 0.6)
    call = stream()
    host.serve(call, 200)
    left_s = refusal(host)['host_left_s']
    assert left_s <= refusal(host)['retry_after_s']
    limit_s = call_builders.TIMEOUT_S * responses.MAX_RETRY_AFTER_SHARE
    assert refusal(host)['retry_after_s'] <= limit_s


def test_stages_get_the_time_by_which_they_are_of_use(host):
    """Guards against stages whose request would be cut off."""
    call = call_builders.caller_call(**PROMPT)
    stopped_host(host, 3.5)
    host.serve(call, 200)
    (spec,) = host.stages.specs
    events_s = host.remaining.events_s(call)
    assert 0.0 < spec.deadline_s < 3.5 - events_s


def test_stages_given_up_for_the_end_of_the_host_are_refused_as_that(host):
    """Guards against a caller who is told to wait for an overload."""

    def give_up() -> None:
        raise exceptions.StagesRefused('deadline', 0.9)

    stopped_host(host, 3.5)
    host.stages.on_run = give_up
    call = call_builders.caller_call(**PROMPT)
    host.serve(call, 200)
    assert refusal(host)['reason'] == 'stopping'


def test_stages_given_up_for_the_deadline_keep_their_reason(host):
    """Guards against an overload that is taken for the end of the host."""

    def give_up() -> None:
        raise exceptions.StagesRefused('deadline', 0.9)

    stopped_host(host, 60.0)
    host.stages.on_run = give_up
    host.serve(call_builders.caller_call(**PROMPT), 200)
    assert refusal(host)['reason'] == 'deadline'


def test_limit_of_the_first_event_needs_a_stop_signal(host):
    """Guards against stages with less time at a host that does not stop."""
    assert host.stop.first_event_limit_s(stream()) == math.inf


def test_stream_that_has_begun_goes_on(host):
    """Guards against a stream that is broken off before the end."""
    stopped_host(host, 0.0)
    call = stream()
    call.request.head_sent = True
    assert host.stop.can_end(call, stop_decisions.Place.ATTEMPT)
    assert host.stop.first_event_limit_s(call) == math.inf


def test_calls_at_a_target_are_left_alone_by_the_tick(host):
    """Guards against a response that is dropped as it may come too late."""
    # Streams that may be repeated are asked for again at their first event.
    call = stream(resumable=False)
    host.on_response = lambda: (stopped_host(host, 0.1), host.handler.tick())
    host.serve(call, 200)
    assert call.outcome == 'streamed'


def test_unfinished_calls_get_a_truthful_answer_at_the_end(host):
    """Guards against connections that close without an answer."""
    host.stages.is_slow = True
    waiting = call_builders.caller_call()
    host.serve(waiting)
    sent = call_builders.caller_call()
    host.serve(sent)
    sent.possible_runs = 1
    host.handler.cut_off()
    assert waiting.request.status == 503
    assert sent.request.status == 502 and sent.outcome == 'cut_at_stop'
    assert not host.handler.in_flight


def test_decisions_are_logged(host):
    """Guards against a refusal whose inputs nobody knows."""
    stopped_host(host, 60.0)
    host.serve(stream(), 200)
    lines = host.log.fields_of('stop_checked')
    assert [line['place'] for line in lines] == [
        'arrival',
        'attempt',
        'send',
        'first_event',
    ]
    assert all(line['fits'] and line['host_left_s'] > 50 for line in lines)


def peer(
    draining: bool, failing: bool = False, has_link: bool = True
) -> peer_state.PeerState:
    """Return a peer as the mesh knows it."""
    state = peer_state.PeerState(record=None)
    if has_link:
        state.heartbeat = types.SimpleNamespace(draining=draining)
    state.failing_since = 1.0 if failing else None
    return state


@pytest.mark.parametrize(
    'peers, expected',
    [
        ([], False),
        ([peer(draining=True), peer(draining=True)], False),
        ([peer(draining=True), peer(draining=False)], True),
        ([peer(draining=False, failing=True, has_link=False)], False),
        # In a large installation, a host has links with some peers only.
        ([peer(draining=True), peer(draining=False, has_link=False)], True),
    ],
)
def test_hosts_that_take_callers(peers, expected):
    """Guards against callers who are sent to hosts that stop as well."""
    assert stop_decisions.has_host_for_callers(peers) is expected


@pytest.mark.parametrize('left_s, status', [(3.5, 503), (4.5, 200)])
def test_request_that_may_run_once_has_to_fit_with_all_its_time(
    host, left_s, status
):
    """Guards against such requests cut off late in a planned stop.

    All requests before were short; the target of this one has turned slow.
    """
    route = call_builders.stream_route(
        kind=routes.RequestKind.AT_MOST_ONCE, stages=()
    )
    earlier = call_builders.caller_call(route)
    for _ in range(100):
        host.remaining.answered(earlier, 0.1)
    stopped_host(host, left_s)
    call = call_builders.caller_call(route)
    host.serve(call, 200)
    assert call.request.status == status
    assert bool(call.targets) is (status == 200)
