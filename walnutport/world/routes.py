"""Desired state of an installation: routes, services, teams and limits."""

import dataclasses
import enum
import functools

__all__ = [
    'BatchRules',
    'DesiredState',
    'EngineRules',
    'RequestKind',
    'RequestLimits',
    'Route',
    'Service',
    'StageSpec',
    'Team',
]


class RequestKind(enum.Enum):
    """What a caller's request allows."""

    #: May run more than once.
    REPEATABLE = 'repeatable'
    #: Runs at most once.
    AT_MOST_ONCE = 'once'
    #: Answered by a series of events.
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class StageSpec:
    """Stage that must be done before a request can run.

    :param service: name of the service whose targets run it.
    :param after: numbers of the stages whose results it needs.
    :param result_bytes: approximate size of the result of one piece.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


@dataclasses.dataclass(frozen=True)
class Route:
    """Maps a host name and path prefix to services.

    :param weight_by_service: share of the requests for each service.
    :param timeout_s: longest time that a request is kept waiting.
    :param aim_s: time within which an answer has its full value.
    :param max_targets: targets that one request may be sent to.
    :param priority: rank of the requests; 0 is the most urgent.
    :param max_event_gap_s: longest pause between events of a good stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    weight_by_service: dict[str, float]
    timeout_s: float
    aim_s: float
    max_targets: int
    priority: int
    anonymous: bool
    resumable: bool
    max_event_gap_s: float
    stages: tuple[StageSpec, ...]

    @property
    def repeatable(self) -> bool:
        """Whether a request may run on a second target."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.REPEATABLE

    @functools.cached_property
    def final_stages(self) -> tuple[int, ...]:
        """Return the stages that no other stage follows."""
        followed = {number for spec in self.stages for number in spec.after}
        return tuple(
            number
            for number in range(len(self.stages))
            if number not in followed
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BatchRules:
    """How one target of a stage service takes calls.

    :param slots: calls that run at the same time.
    :param queue: calls that may wait.
    :param batch: most pieces of a call.
    :param call_s: fixed time of a call in seconds.
    :param piece_s: approximate time of a piece in seconds.
    :param result_bytes: memory for results.
    """

    slots: int
    queue: int
    batch: int
    call_s: float
    piece_s: float
    result_bytes: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRules:
    """Capacity of one model engine.

    :param slots: requests that run at the same time.
    :param cache_tokens: tokens that fit in its memory.
    """

    slots: int
    cache_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Service whose targets run requests or stages."""

    name: str
    max_channels: int
    batch: BatchRules | None = None
    engine: EngineRules | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Customer that owns API keys."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds of what a caller may send.

    :param header_bytes: size of all headers.
    :param body_bytes: size of the body.
    :param header_s: seconds for sending the headers.
    :param idle_s: seconds that a channel may stay idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class DesiredState:
    """One version of what the operator wants.

    :param team_by_key: team of each API key; None means that keys are not
        used.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    limits: RequestLimits
    team_by_key: dict[str, Team] | None

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        return found

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        :param host: host name without a port, in lower case.
        :param path: path without the query.
        """
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
