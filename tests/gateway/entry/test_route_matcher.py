"""Tests of matching requests to routes and teams."""

import types

from walnutport.gateway.entry import route_matcher
from walnutport.gateway.operations import metrics


class FakeLog:
    """Log that records its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def notable(self, event, **fields) -> None:
        self.lines.append((event, fields))


class FakeRequest:
    """Request that records its response."""

    def __init__(self) -> None:
        self.target = b'/a/b'
        self.headers = [
            (b'host', b'h.example'),
            (b'walnutport-request-attempt-id', b'id-1'),
        ]
        self.response: tuple = ()

    def header(self, name) -> bytes | None:
        return dict(self.headers).get(name)

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


def test_rejection_logs_how_recent_the_desired_state_is():
    """Guards against a wrong 404 or 401 whose cause no log line shows.

    A host that rejects by an old desired state has either not heard from the
    store for long, or heard of an older copy.
    """
    log = FakeLog()
    follower = types.SimpleNamespace(
        desired=types.SimpleNamespace(version=4, route_for=lambda *_: None),
        desired_at=0.0,
        desired_read_age_s=lambda: 1.25,
        era=3,
    )
    matcher = route_matcher.RouteMatcher(
        log, follower, metrics.EntryMetrics(), None
    )
    assert matcher.match(FakeRequest()) is None
    ((event, fields),) = log.lines
    assert event == 'rejected'
    assert fields['version'] == 4
    assert fields['read_age_s'] == 1.25 and fields['era'] == 3
