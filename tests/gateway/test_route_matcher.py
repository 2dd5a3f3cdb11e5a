"""Tests of matching requests to routes and teams."""

import types

from walnutport.gateway import metrics
from walnutport.gateway import route_matcher


class FakeLog:
    """Log that records its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def notable(self, event, **fields) -> None:
        self.lines.append((event, fields))


class FakeRequest:
    """Request that records its response."""

    def __init__(self) -> None:
        self.headers = [
            (b'host', b'h.example'),
            (b'walnutport-request-attempt-id', b'id-1'),
        ]
        self.response: tuple = ()

    def respond(self, status, headers, body) -> None:
        self.response = (status, dict(headers))


def test_refusal_without_desired_state_logs_the_request_id():
    """Guards against a refused request that no log line mentions.

    A host that starts has no desired state yet and refuses every request.
    """
    log = FakeLog()
    follower = types.SimpleNamespace(desired=None)
    matcher = route_matcher.RouteMatcher(
        log, follower, metrics.EntryMetrics(), None
    )
    request = FakeRequest()
    assert matcher.match(request) is None
    status, headers = request.response
    assert status == 503
    assert {name.lower() for name in headers} >= {b'retry-after'}
    ((event, fields),) = log.lines
    assert event == 'refused'
    assert fields['id'] == 'id-1' and fields['reason'] == 'no_desired_state'
