"""Typed settings of a host and their JSON form."""

import dataclasses
import ipaddress
import json
import pathlib
from typing import Annotated, Any

import pydantic

from walnutport import exceptions

__all__ = [
    'CallerSettings',
    'ControlSettings',
    'HostSettings',
    'ListenAddress',
    'PlatformSettings',
    'OrderSettings',
    'PeerKeySettings',
    'PeerSettings',
    'PolicySettings',
    'default_settings',
    'dump_settings',
    'load_settings',
    'parse_settings',
]

_STRICT = pydantic.ConfigDict(extra='forbid')


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip)]
Port = Annotated[int, pydantic.Field(ge=0, le=65_535)]
PositiveInt = Annotated[int, pydantic.Field(gt=0)]
PositiveFloat = Annotated[float, pydantic.Field(gt=0)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]


@dataclasses.dataclass(frozen=True, slots=True)
class ListenAddress:
    """Address to listen on or connect to.

    A listener with port 0 uses a free port.
    """

    __pydantic_config__ = _STRICT
    ip: IpAddress = '127.0.0.1'
    port: Port = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """Listener for callers and limits for their requests."""

    __pydantic_config__ = _STRICT
    listen: ListenAddress = ListenAddress('127.0.0.1', 8080)
    max_connections: PositiveInt = 4_096
    max_body_bytes: PositiveInt = 1_048_576
    max_header_bytes: PositiveInt = 16_384
    max_deadline_ms: PositiveInt = 60_000
    default_deadline_ms: PositiveInt = 4_000
    stream_buffer_bytes: PositiveInt = 262_144
    answer_store_bytes: PositiveInt = 67_108_864
    drain_limit_s: PositiveFloat = 30.0
    drain_grace_s: Annotated[float, pydantic.Field(ge=0)] = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerKeySettings:
    """A shared key that authenticates messages between hosts.

    :param file: file that holds the key, at least 16 bytes.
    """

    __pydantic_config__ = _STRICT
    key_id: str = 'k1'
    file: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Listener for other hosts, keys and parameters of the mesh.

    The first key authenticates sent messages; received messages may be
    authenticated under any listed key.
    """

    __pydantic_config__ = _STRICT
    listen: ListenAddress = ListenAddress('127.0.0.1', 8081)
    seeds: tuple[ListenAddress, ...] = ()
    keys: tuple[PeerKeySettings, ...] = ()
    heartbeat_s: PositiveFloat = 1.0
    fanout: PositiveInt = 8
    target_poll_s: PositiveFloat = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Log service, host list and weight store of the platform."""

    __pydantic_config__ = _STRICT
    log: ListenAddress = ListenAddress('127.0.0.1', 9000)
    host_list: ListenAddress = ListenAddress('127.0.0.1', 9001)
    weight_store: ListenAddress = ListenAddress('127.0.0.1', 9002)
    retention_s: PositiveFloat = 3_600.0
    claim_memory_s: PositiveFloat = 600.0
    clock_skew_s: PositiveFloat = 30.0
    claim_timeout_s: PositiveFloat = 1.5
    poll_wait_s: PositiveFloat = 5.0
    timeout_s: PositiveFloat = 2.0
    max_appends_per_s: PositiveFloat = 20.0
    host_list_poll_s: PositiveFloat = 1.0
    cost_flush_s: PositiveFloat = 5.0
    cost_final_flush_s: PositiveFloat = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySettings:
    """Choice and parameters of the policies."""

    __pydantic_config__ = _STRICT
    policy: Annotated[str, pydantic.Field(pattern='^(standard|naive)$')] = (
        'standard'
    )
    random_seed: int = 0
    retry_budget_share: Share = 0.1
    max_ejected_share: Share = 0.3
    subset_size: PositiveInt = 64
    max_queued: PositiveInt = 2_000
    prefix_affinity: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class OrderSettings:
    """Orders to model engines.

    :param enabled: whether this host may hold the order lease.
    :param engine_service: service whose targets take orders.
    :param hold_s: time for which demand must deviate before a model moves, and
        for which an engine without a report stays in the plan.
    """

    __pydantic_config__ = _STRICT
    enabled: bool = False
    engine_service: str = 'engine'
    group: str = 'all'
    lease_s: PositiveFloat = 15.0
    tick_s: PositiveFloat = 1.0
    resend_s: PositiveFloat = 10.0
    hold_s: PositiveFloat = 30.0
    margin: Share = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Listener for operators, and logging."""

    __pydantic_config__ = _STRICT
    listen: ListenAddress = ListenAddress('127.0.0.1', 8082)
    log_format: Annotated[str, pydantic.Field(pattern='^(text|json)$')] = (
        'text'
    )
    log_level: Annotated[
        str, pydantic.Field(pattern='^(DEBUG|INFO|WARNING|ERROR)$')
    ] = 'INFO'


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """All settings of an entry host."""

    __pydantic_config__ = _STRICT
    host_id: Annotated[str, pydantic.Field(min_length=1, max_length=64)] = (
        'host-1'
    )
    data_centre: Annotated[
        str, pydantic.Field(min_length=1, max_length=64)
    ] = 'dc-1'
    callers: CallerSettings = CallerSettings()
    peers: PeerSettings = PeerSettings()
    platform: PlatformSettings = PlatformSettings()
    policies: PolicySettings = PolicySettings()
    orders: OrderSettings = OrderSettings()
    control: ControlSettings = ControlSettings()


_ADAPTER = pydantic.TypeAdapter(HostSettings)


def default_settings() -> HostSettings:
    """Return the default settings, as of an empty JSON object."""
    return HostSettings()


def parse_settings(data: bytes | str) -> HostSettings:
    """Parse and validate JSON settings.

    :param data: JSON text.
    :returns: the settings.
    :raises SettingsError: with the JSON path and reason of each error.

    >>> parse_settings('{"host_id": "a"}').host_id
    'a'
    """
    try:
        settings = _ADAPTER.validate_json(data)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsError(_format_errors(error)) from None
    _check_retention(settings.platform)
    return settings


def load_settings(path: str) -> HostSettings:
    """Load settings from a JSON file.

    :raises SettingsError: if the file cannot be read or is invalid.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise exceptions.SettingsError(f'{path}: {error.strerror}') from error
    return parse_settings(data)


def dump_settings(settings: HostSettings) -> str:
    """Return settings as JSON text that ``parse_settings`` accepts."""
    plain: Any = _ADAPTER.dump_python(settings, mode='json')
    return json.dumps(plain, indent=2)


def _check_retention(platform: PlatformSettings) -> None:
    """Check that the log retains a claim as long as its key is accepted.

    :raises SettingsError: if the log may drop the claim earlier.
    """
    min_retention_s = platform.claim_memory_s + 3 * platform.clock_skew_s
    if platform.retention_s < min_retention_s:
        raise exceptions.SettingsError(
            '$.platform.retention_s: must be at least claim_memory_s plus '
            f'3 times clock_skew_s, {min_retention_s:g} s'
        )


def _format_errors(error: pydantic.ValidationError) -> str:
    lines = []
    for item in error.errors():
        path = '.'.join(str(part) for part in item['loc'])
        lines.append(f'$.{path}: {item["msg"]}' if path else item['msg'])
    return '; '.join(lines)
