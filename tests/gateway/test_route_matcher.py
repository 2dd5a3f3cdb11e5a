"""Tests of finding the route of a request."""

import types

from walnutport.gateway import metrics
from walnutport.gateway import route_matcher


class FakeLog:
    """Log that keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def notable(self, event, **inputs) -> None:
        self.lines.append((event, inputs))


class FakeRequest:
    """Request that keeps its answer."""

    def __init__(self) -> None:
        self.headers = [
            (b'host', b'h.example'),
            (b'walnutport-request-attempt-id', b'id-1'),
        ]
        self.answer: tuple = ()

    def respond(self, status, headers, body) -> None:
        self.answer = (status, dict(headers))


def test_refusal_of_a_starting_host_names_the_request():
    """Guards against a refused request that no log line can explain."""
    log = FakeLog()
    follower = types.SimpleNamespace(desired=None)
    taker = route_matcher.RouteMatcher(
        log, follower, metrics.EntryMetrics(), None
    )
    request = FakeRequest()
    assert taker.admit(request) is None
    status, headers = request.answer
    assert status == 503
    assert {name.lower() for name in headers} >= {b'retry-after'}
    ((event, inputs),) = log.lines
    assert event == 'refused'
    assert inputs['id'] == 'id-1' and inputs['reason'] == 'no_desired_state'
