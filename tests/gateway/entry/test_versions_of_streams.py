"""Streams beside targets that start again with another version."""

import dataclasses

import pytest

from tests.gateway import call_builders
from tests.gateway import fake_host
from walnutport.routing import stream_origins


@pytest.fixture
def host():
    """Return a host with three engines of version ``v1``."""
    return fake_host.FakeHost()


def test_stream_does_not_go_on_at_a_target_that_has_started_again(host):
    """Guards against a version by a registration that is out of date.

    A target starts again under its id with another software version; what is
    registered is read some time later.
    """
    call = call_builders.caller_call(
        call_builders.stream_route(stages=(), max_targets=3),
        **{'last-event-id': '0', 'resumes': 'x'},
    )
    host.origins.origin = stream_origins.StreamOrigin('llm', 'v1')
    host.is_current = lambda target: target.target_id == 'llm-3'
    host.serve(call, *[200] * 3)
    assert call.targets == ['llm-3']
    assert call.outcome == 'streamed'


def test_stream_begins_at_the_version_that_is_registered_by_then(host):
    """Guards against an origin by a registration that is out of date.

    The target had started again before it was sent the request.
    """
    call = call_builders.caller_call(call_builders.stream_route(stages=()))
    host.on_response = lambda: host.targets.update(
        {
            target_id: dataclasses.replace(
                target, incarnation=2, software_version='v2'
            )
            for target_id, target in host.targets.items()
        }
    )
    host.serve(call, 200)
    assert call.origin == stream_origins.StreamOrigin('llm', 'v2')
