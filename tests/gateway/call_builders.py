"""Builders of calls, targets and a selector for tests of the entry host."""

import random
import time
import types

from walnutport.gateway.entry import calls
from walnutport.gateway.targets import target_selector
from walnutport.platform import headers
from walnutport.routing import backpressure
from walnutport.routing import eligibility
from walnutport.routing import outcomes
from walnutport.world import registrations
from walnutport.world import routes

TIMEOUT_S = 4.0


def engine(target_id: str, **changes) -> registrations.RegisteredTarget:
    """Return an engine of the service ``llm``."""
    fields = {
        'target_id': target_id,
        'incarnation': 1,
        'service': 'llm',
        'address': ('10.0.0.1', 8000),
        'data_centre': 'a',
        'slots': 8,
        'draining': False,
        'warmup_s': 0.0,
        'software_version': 'v1',
    }
    return registrations.RegisteredTarget(**(fields | changes))


def stream_route(**changes) -> routes.Route:
    """Return a route of streams with one stage."""
    fields = {
        'name': 'review',
        'host': 'h.example',
        'path_prefix': '/review/',
        'kind': routes.RequestKind.STREAM,
        'weight_by_service': {'llm': 1.0},
        'timeout_s': TIMEOUT_S,
        'latency_target_s': 1.5,
        'max_targets': 2,
        'priority': 1,
        'anonymous': False,
        'resumable': True,
        'max_event_gap_s': 0.5,
        'event_patience_s': 2.0,
        'stages': (routes.StageSpec('encode', (), 8_000),),
    }
    return routes.Route(**(fields | changes))


class FakeLog:
    """Log that records its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def notable(self, event, **fields) -> None:
        self.lines.append((event, fields))

    routine = notable

    def fields_of(self, event: str) -> list[dict]:
        """Return the fields of the lines of one event."""
        return [fields for name, fields in self.lines if name == event]


class FakeRequest:
    """Request of a caller that records its response."""

    method = b'POST'
    target = b'/review/x'
    body = b'body'

    def __init__(self, **fields: str) -> None:
        self.headers = [
            (b'walnutport-request-attempt-id', b'id-1'),
            (b'walnutport-pieces', b'2'),
            (b'walnutport-piece-key', b'k'),
            *(
                (name.replace('_', '-').encode(), value.encode())
                for name, value in fields.items()
            ),
        ]
        self.started_at = time.monotonic()
        self.head_sent = False
        self.disconnected = False
        self.response_ended = False
        self.on_disconnect = None
        self.status = 0

    def respond(self, status, response_headers, body) -> None:
        """Record a complete response."""
        self.status = status
        self.response_ended = True

    def start(self, status, response_headers) -> None:
        """Record the head of a response."""
        self.status = status
        self.head_sent = True

    def write(self, data) -> None:
        """Take a part of the body."""

    def set_source(self, source) -> None:
        """Never pause the source of the body."""

    def clear_source(self, source) -> None:
        """Never resume the source of the body."""

    def finish(self) -> None:
        """Record that the response is complete."""
        self.response_ended = True

    def abort(self) -> None:
        """Record that the response was cut off."""
        self.response_ended = True


def caller_call(
    route: routes.Route | None = None, **fields: str
) -> calls.CallerCall:
    """Return a call of a stream.

    :param fields: additional headers, with underscores for hyphens.
    """
    request = FakeRequest(**fields)
    route = route or stream_route()
    now = request.started_at
    return calls.CallerCall(
        request=request,
        fields=headers.decode_request_headers(request.headers),
        route=route,
        service='llm',
        team='north',
        priority=route.priority,
        digest=b'd' * 16,
        arrived_at=now,
        deadline_at=now + route.timeout_s,
        aim_at=now + route.latency_target_s,
    )


def selector(
    targets: dict[str, registrations.RegisteredTarget],
) -> target_selector.TargetSelector:
    """Return a selector among targets without cold time.

    :param targets: targets by id; followed when they change.
    """
    registry = types.SimpleNamespace(targets=targets)
    return target_selector.TargetSelector(
        types.SimpleNamespace(registry=registry, desired=None),
        outcomes.TargetOutcomes(random.Random(1)),
        backpressure.TargetBackpressure('own', lambda: ['own']),
        eligibility.Eligibility(registry.targets.get),
        'a',
        types.SimpleNamespace(
            may_be_needed=False, is_needed=lambda target: False
        ),
    )
