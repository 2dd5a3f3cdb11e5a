"""Decodes the documents of the operator, the targets and the hosts."""

from typing import Any

import msgspec

from walnutport import exceptions
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['decode_desired_state', 'decode_target']

_KINDS = {
    'idempotent': routes.RequestKind.REPEATABLE,
    'non_idempotent': routes.RequestKind.ONCE,
    'streaming': routes.RequestKind.STREAM,
}
_TARGET_STATES = {'ready': False, 'draining': True}
_DEFAULT_GAP_MS = 1000


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
    gap_aim_ms: float = _DEFAULT_GAP_MS
    stages: list[_Stage] = []


class _Pieces(msgspec.Struct, rename='camel'):
    batch: int
    call_ms: float
    item_ms: float
    slots: int = 1
    queue: int = 0
    # Memory of a target for the results that it keeps.
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
    # Unix milliseconds of the target's start.
    born: Any = 0


_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_TARGET_DECODER = msgspec.json.Decoder(_Target)


def decode_desired_state(data: bytes) -> routes.DesiredState:
    """Decode the operator's document.

    :raises WireError: when it cannot be used.
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
        routes=tuple(_route(route) for route in config.routes),
        service_by_name={
            service.name: _service(service) for service in config.services
        },
        limits=routes.RequestLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms / 1000,
            limits.idle_ms / 1000,
        ),
        team_by_key=team_by_key,
    )


def decode_target(key: str, data: bytes) -> registrations.RegisteredTarget:
    """Decode what a target says of itself.

    :raises WireError: when the entry names no target that can be used.
    """
    try:
        found = _TARGET_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise exceptions.WireError(f'target {key}: {problem}') from problem
    if found.state not in _TARGET_STATES:
        raise exceptions.WireError(f'target {key}: state {found.state!r}')
    host, _, port = found.address.rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise exceptions.WireError(f'target {key}: {found.address!r}')
    if isinstance(found.born, bool) or not isinstance(found.born, int):
        raise exceptions.WireError(f'target {key}: start {found.born!r}')
    if found.slots < 1:
        raise exceptions.WireError(f'target {key}: slots {found.slots}')
    return registrations.RegisteredTarget(
        target_id=key,
        incarnation=found.born,
        service=found.service,
        address=(host, int(port)),
        data_centre=found.zone,
        slots=found.slots,
        draining=_TARGET_STATES[found.state],
        warmup_s=found.cold_ms / 1000,
    )


def _route(route: _Route) -> routes.Route:
    weights = {part.service: part.weight for part in route.split}
    return routes.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        # A kind that is not known gets the strictest treatment.
        kind=_KINDS.get(route.kind, routes.RequestKind.ONCE),
        weight_by_service=weights or {route.service: 1.0},
        timeout_s=route.timeout_ms / 1000,
        aim_s=(route.latency_target_ms or route.timeout_ms) / 1000,
        max_targets=max(1, route.max_attempts),
        priority=route.priority,
        anonymous=route.anonymous,
        resumable=route.resumable,
        longest_gap_s=route.gap_aim_ms / 1000,
        stages=tuple(
            routes.StageSpec(
                stage.service, tuple(stage.after), int(stage.bytes)
            )
            for stage in route.stages
        ),
    )


def _service(service: _Service) -> routes.Service:
    batch = None
    if service.pieces is not None:
        pieces = service.pieces
        batch = routes.BatchRules(
            slots=pieces.slots,
            queue=pieces.queue,
            batch=max(1, pieces.batch),
            call_s=pieces.call_ms / 1000,
            piece_s=pieces.item_ms / 1000,
            result_bytes=pieces.headroom_mb * 1_000_000,
        )
    engine = None
    if service.engine is not None:
        engine = routes.EngineRules(
            service.engine.slots, service.engine.kv_tokens
        )
    return routes.Service(service.name, service.max_conns, batch, engine)
