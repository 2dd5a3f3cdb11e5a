"""Decodes what the operator writes, and the entries of targets."""

from collections.abc import Collection
import functools
import ipaddress
import re
from typing import Annotated, Any

import msgspec

from walnutport import exceptions
from walnutport import json_input
from walnutport.platform import wire
from walnutport.world import registrations
from walnutport.world import routes

__all__ = [
    'decode_desired_state',
    'decode_evacuation',
    'decode_target',
    'evacuated_data_centre',
]

_KIND_BY_NAME = {
    'idempotent': routes.RequestKind.REPEATABLE,
    'non_idempotent': routes.RequestKind.AT_MOST_ONCE,
    'streaming': routes.RequestKind.STREAM,
}
_DRAINING_BY_STATE = {'ready': False, 'draining': True}
_DEFAULT_EVENT_GAP_MS = 1000
# Characters of an invalid value that are quoted in the log.
MAX_QUOTED_CHARACTERS = 40
# The entry of a target has some 200 bytes. Larger ones are rejected, since
# entries are passed on to peers, many in one message.
MAX_ENTRY_BYTES = 16 << 10
# Hosts pass documents on in messages of at most this size.
MAX_DOCUMENT_BYTES = 4 << 20
# More slots are taken for a fault of the writer: shares of the requests and
# numbers of channels follow the slots.
MAX_SLOTS = 1_000_000
# Characters of the longest IPv6 address, in brackets, with a port.
MAX_ADDRESS_CHARACTERS = 53
# Addresses that are parsed once, as each target repeats its entry each second.
MAX_CACHED_ADDRESSES = 16_384
_PORT = re.compile(r'[0-9]{1,5}')
# Callers leave a stream after the longest of these times without an event.
_MIN_EVENT_PATIENCE_MS = 2000
_EVENT_PATIENCE_LATENCY_TARGETS = 4
_EVENT_PATIENCE_EVENT_GAPS = 8


class _Stage(msgspec.Struct):
    service: json_input.Text
    after: list[json_input.Integer] = []
    bytes: json_input.Amount = 0


class _Split(msgspec.Struct):
    service: json_input.Text
    weight: json_input.Amount


class _Route(msgspec.Struct, rename='camel'):
    name: json_input.Text
    host: str
    path_prefix: str
    kind: str
    timeout_ms: json_input.Amount
    latency_target_ms: json_input.Amount = 0
    service: json_input.Text = ''
    split: list[_Split] = []
    max_attempts: json_input.Integer = 1
    priority: json_input.Integer = 5
    anonymous: bool = False
    resumable: bool = False
    gap_aim_ms: json_input.Amount = _DEFAULT_EVENT_GAP_MS
    stages: list[_Stage] = []


class _Pieces(msgspec.Struct, rename='camel'):
    batch: json_input.Integer
    call_ms: json_input.Amount
    item_ms: json_input.Amount
    slots: json_input.Integer = 1
    queue: json_input.Integer = 0
    # Memory of a target for stored results.
    headroom_mb: json_input.Amount = 0


class _Engine(msgspec.Struct, rename='camel'):
    slots: json_input.Integer = 1
    kv_tokens: json_input.Amount = 0


class _Service(msgspec.Struct, rename='camel'):
    name: json_input.Text
    max_conns: json_input.Integer = 100
    pieces: _Pieces | None = None
    engine: _Engine | None = None
    cold_s: json_input.Amount = 0
    cold_per_s: json_input.Amount = 0


class _Limits(msgspec.Struct, rename='camel'):
    header_bytes: json_input.Integer = 16384
    body_bytes: json_input.Integer = 4 << 20
    header_ms: json_input.Amount = 3000
    idle_ms: json_input.Amount = 15000


class _Tenant(msgspec.Struct, rename='camel'):
    name: json_input.Text
    api_keys: list[str] = []
    priority: json_input.Integer | None = None


class _Config(msgspec.Struct):
    version: json_input.Position
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Target(msgspec.Struct, rename='camel'):
    service: json_input.Name
    address: Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_CHARACTERS)]
    zone: json_input.Name
    state: str
    slots: json_input.Integer = 1
    # Remaining time for which it is slow; missing if it does not say.
    cold_ms: Any = None
    # Start of the target process, in Unix milliseconds.
    born: Any = 0
    # Count of the entries that this run of the target has written.
    sequence: json_input.Integer = 0
    # Version of its software, not of the weights of its models.
    version: Any = ''


_CONFIG_DECODER = json_input.Decoder(_Config, MAX_DOCUMENT_BYTES)
_TARGET_DECODER = json_input.Decoder(_Target, MAX_ENTRY_BYTES)
# The contents have no meaning yet.
_EVACUATION_DECODER = json_input.Decoder(
    dict[str, msgspec.Raw], MAX_DOCUMENT_BYTES
)


def decode_desired_state(data: bytes) -> routes.DesiredState:
    """Decode the operator's desired state.

    :raises WireError: if the document is malformed.
    """
    try:
        config = _CONFIG_DECODER.decode(data)
    except exceptions.WireError as problem:
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


def evacuated_data_centre(key: str) -> str | None:
    """Return the data centre that the key of an evacuation names.

    :returns: None if the key is not that of an evacuation.
    """
    if not key.startswith(wire.EVACUATE_PREFIX):
        return None
    return key.removeprefix(wire.EVACUATE_PREFIX)


def decode_evacuation(
    name: str, data: bytes | None, data_centres: Collection[str]
) -> bool:
    """Return whether a record evacuates a data centre or withdraws that.

    :param name: data centre that its key names.
    :param data: None if the record has no value.
    :param data_centres: names of the data centres of the installation.
    :raises WireError: if the record is unusable.
    """
    if name not in data_centres:
        raise exceptions.WireError(
            f'evacuation of {name!r}: unknown data centre; expected one of '
            f'{", ".join(sorted(data_centres)) or "none"}'
        )
    if data is None:
        return False
    try:
        _EVACUATION_DECODER.decode(data)
    except exceptions.WireError as problem:
        raise exceptions.WireError(
            f'evacuation of {name!r}: {problem}; expected a JSON object'
        ) from problem
    return True


def decode_target(key: str, data: bytes) -> registrations.RegisteredTarget:
    """Decode the entry that a target publishes about itself.

    Every field fits into a message to a peer and into a header, whoever wrote
    the entry.

    :raises WireError: if the entry is malformed or holds an invalid value.
    """
    if not json_input.is_name(key):
        raise exceptions.WireError(
            f'target {_quote(key)}: the key cannot be sent as an id'
        )
    try:
        return _build_target(key, _TARGET_DECODER.decode(data))
    except exceptions.WireError as problem:
        raise exceptions.WireError(f'target {key}: {problem}') from problem


def _build_target(key: str, entry: _Target) -> registrations.RegisteredTarget:
    if entry.state not in _DRAINING_BY_STATE:
        raise exceptions.WireError(
            f'unknown state {_quote(entry.state)}; expected "ready" or '
            '"draining"'
        )
    if (
        isinstance(entry.born, bool)
        or not isinstance(entry.born, int)
        or not json_input.MIN_INTEGER <= entry.born <= json_input.MAX_INTEGER
    ):
        raise exceptions.WireError(
            f'invalid start time {_quote(entry.born)}; expected whole Unix '
            'milliseconds'
        )
    if not 1 <= entry.slots <= MAX_SLOTS:
        raise exceptions.WireError(
            f'invalid number of slots {entry.slots}; expected 1 to {MAX_SLOTS}'
        )
    cold_s, cold_problem = _decode_cold_s(entry.cold_ms)
    return registrations.RegisteredTarget(
        target_id=key,
        incarnation=entry.born,
        service=entry.service,
        address=_decode_address(entry.address),
        data_centre=entry.zone,
        slots=entry.slots,
        draining=_DRAINING_BY_STATE[entry.state],
        warmup_s=cold_s,
        sequence=entry.sequence,
        software_version=_decode_version(key, entry),
        warmup_problem=cold_problem,
    )


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _decode_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of a target.

    :raises WireError: if they are invalid. The scope of an IPv6 address may
        be any text, so that none is accepted.
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        host = ''
    if (
        not host
        or '%' in host
        or not _PORT.fullmatch(port)
        or not 0 < int(port) < 65536
    ):
        raise exceptions.WireError(
            f'invalid address {_quote(text)}; expected IP:PORT'
        )
    return host, int(port)


def _quote(value: Any) -> str:
    """Return the beginning of an invalid value, for the log."""
    return repr(str(value)[:MAX_QUOTED_CHARACTERS])


def _decode_cold_s(value: Any) -> tuple[float | None, str]:
    """Return the remaining cold time, and a problem with it.

    An invalid value counts as not cold: the target serves all the same.
    """
    if value is None:
        return None, ''
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0 <= value <= wire.MAX_COLD_MS:
        return value / 1000, ''
    return 0.0, f'coldMs: {_quote(value)}'


def _decode_version(key: str, entry: _Target) -> str:
    """Return the software version of a target.

    A version that is no text, or a long one, may stand for anything, so that
    it is that of this run of the target alone. So is the text that stands for
    a version that is not known.
    """
    if (
        isinstance(entry.version, str)
        and len(entry.version) <= json_input.MAX_NAME_CHARACTERS
        and entry.version != registrations.UNKNOWN_VERSION
    ):
        return entry.version
    return f'invalid/{key}/{entry.born}'


def _build_route(route: _Route) -> routes.Route:
    for index, stage in enumerate(route.stages):
        others = set(range(len(route.stages))) - {index}
        if not others.issuperset(stage.after):
            raise exceptions.WireError(
                f'desired state: stage {index} of a route comes after stages '
                'that it does not have'
            )
    stages = tuple(
        routes.StageSpec(stage.service, tuple(stage.after), int(stage.bytes))
        for stage in route.stages
    )
    try:
        routes.topological_order(stages)
    except ValueError as problem:
        raise exceptions.WireError(
            'desired state: stages of a route come after each other in a '
            'circle'
        ) from problem
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
        stages=stages,
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
    return routes.Service(
        service.name,
        service.max_conns,
        batch,
        engine,
        max(0.0, service.cold_s),
        max(0.0, service.cold_per_s),
    )
