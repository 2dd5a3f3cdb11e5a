"""Decodes the operator's desired state and the entries of targets."""

from typing import Any

import msgspec

from walnutport import exceptions
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['decode_desired_state', 'decode_target']

_KIND_BY_NAME = {
    'idempotent': routes.RequestKind.REPEATABLE,
    'non_idempotent': routes.RequestKind.AT_MOST_ONCE,
    'streaming': routes.RequestKind.STREAM,
}
_DRAINING_BY_STATE = {'ready': False, 'draining': True}
_DEFAULT_EVENT_GAP_MS = 1000
# Callers leave a stream after the longest of these times without an event.
_MIN_EVENT_PATIENCE_MS = 2000
_EVENT_PATIENCE_LATENCY_TARGETS = 4
_EVENT_PATIENCE_EVENT_GAPS = 8


class _Stage(msgspec.Struct):
    service: str
    after: list[int] = []
    bytes: float = 0


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    latency_target_ms: float = 0
    service: str = ''
    split: list[_Split] = []
    max_attempts: int = 1
    priority: int = 5
    anonymous: bool = False
    resumable: bool = False
    gap_aim_ms: float = _DEFAULT_EVENT_GAP_MS
    stages: list[_Stage] = []


class _Pieces(msgspec.Struct, rename='camel'):
    batch: int
    call_ms: float
    item_ms: float
    slots: int = 1
    queue: int = 0
    # Memory of a target for stored results.
    headroom_mb: float = 0


class _Engine(msgspec.Struct, rename='camel'):
    slots: int = 1
    kv_tokens: float = 0


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_conns: int = 100
    pieces: _Pieces | None = None
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename='camel'):
    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_ms: float = 3000
    idle_ms: float = 15000


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Target(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    cold_ms: float = 0
    # Start of the target process, in Unix milliseconds.
    born: Any = 0
    # Count of the entries that this run of the target has written.
    sequence: int = 0
    # Version of its software, not of the weights of its models.
    version: Any = ''


_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_TARGET_DECODER = msgspec.json.Decoder(_Target)


def decode_desired_state(data: bytes) -> routes.DesiredState:
    """Decode the operator's desired state.

    :raises WireError: if the document is malformed.
    """
    try:
        config = _CONFIG_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise exceptions.WireError(f'desired state: {problem}') from problem
    team_by_key = None
    if config.tenants is not None:
        team_by_key = {
            key: routes.Team(tenant.name, tenant.priority)
            for tenant in config.tenants
            for key in tenant.api_keys
        }
    limits = config.limits
    return routes.DesiredState(
        version=config.version,
        routes=tuple(_build_route(route) for route in config.routes),
        service_by_name={
            service.name: _build_service(service)
            for service in config.services
        },
        limits=routes.RequestLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms / 1000,
            limits.idle_ms / 1000,
            max(
                (route.timeout_ms / 1000 for route in config.routes),
                default=routes.RequestLimits().request_s,
            ),
        ),
        team_by_key=team_by_key,
    )


def decode_target(key: str, data: bytes) -> registrations.RegisteredTarget:
    """Decode the entry that a target publishes about itself.

    :raises WireError: if the entry is malformed or holds an invalid value.
    """
    try:
        entry = _TARGET_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise exceptions.WireError(f'target {key}: {problem}') from problem
    if entry.state not in _DRAINING_BY_STATE:
        raise exceptions.WireError(
            f'target {key}: unknown state {entry.state!r}; expected '
            '"ready" or "draining"'
        )
    host, _, port = entry.address.rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise exceptions.WireError(
            f'target {key}: invalid address {entry.address!r}; expected '
            'IP:PORT'
        )
    if isinstance(entry.born, bool) or not isinstance(entry.born, int):
        raise exceptions.WireError(
            f'target {key}: invalid start time {entry.born!r}; expected whole '
            'Unix milliseconds'
        )
    if entry.slots < 1:
        raise exceptions.WireError(
            f'target {key}: invalid number of slots {entry.slots}; '
            'expected at least 1'
        )
    return registrations.RegisteredTarget(
        target_id=key,
        incarnation=entry.born,
        service=entry.service,
        address=(host, int(port)),
        data_centre=entry.zone,
        slots=entry.slots,
        draining=_DRAINING_BY_STATE[entry.state],
        warmup_s=entry.cold_ms / 1000,
        sequence=entry.sequence,
        software_version=_decode_version(key, entry),
    )


def _decode_version(key: str, entry: _Target) -> str:
    """Return the software version of a target.

    A version that is no text may stand for anything, so that it is that of
    this run of the target alone.
    """
    if isinstance(entry.version, str):
        return entry.version
    return f'invalid/{key}/{entry.born}'


def _build_route(route: _Route) -> routes.Route:
    weights = {part.service: part.weight for part in route.split}
    event_patience_ms = max(
        _MIN_EVENT_PATIENCE_MS,
        _EVENT_PATIENCE_LATENCY_TARGETS * route.latency_target_ms,
        _EVENT_PATIENCE_EVENT_GAPS * route.gap_aim_ms,
    )
    return routes.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        # A request of an unknown kind is never repeated.
        kind=_KIND_BY_NAME.get(route.kind, routes.RequestKind.AT_MOST_ONCE),
        weight_by_service=weights or {route.service: 1.0},
        timeout_s=route.timeout_ms / 1000,
        latency_target_s=(route.latency_target_ms or route.timeout_ms) / 1000,
        max_targets=max(1, route.max_attempts),
        priority=route.priority,
        anonymous=route.anonymous,
        resumable=route.resumable,
        max_event_gap_s=route.gap_aim_ms / 1000,
        event_patience_s=event_patience_ms / 1000,
        stages=tuple(
            routes.StageSpec(
                stage.service, tuple(stage.after), int(stage.bytes)
            )
            for stage in route.stages
        ),
    )


def _build_service(service: _Service) -> routes.Service:
    batch = None
    if service.pieces is not None:
        pieces = service.pieces
        batch = routes.BatchRules(
            slots=pieces.slots,
            queue_size=pieces.queue,
            max_pieces=max(1, pieces.batch),
            call_s=pieces.call_ms / 1000,
            piece_s=pieces.item_ms / 1000,
            memory_bytes=pieces.headroom_mb * 1_000_000,
        )
    engine = None
    if service.engine is not None:
        engine = routes.EngineRules(
            service.engine.slots, service.engine.kv_tokens
        )
    return routes.Service(service.name, service.max_conns, batch, engine)
