"""Desired state of an installation: routes, services, teams and limits."""

import dataclasses
import enum
import functools
import graphlib

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
    'topological_order',
]


class RequestKind(enum.Enum):
    """Whether a request may be repeated, and whether its response streams."""

    #: May run more than once.
    REPEATABLE = 'repeatable'
    #: Runs at most once.
    AT_MOST_ONCE = 'once'
    #: Has a stream of events as its response.
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class StageSpec:
    """Stage that must be complete before a request can run.

    :param service: name of the service whose targets run it.
    :param after: indexes of the stages whose results it needs.
    :param result_bytes: approximate size of the result of one piece.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


@functools.lru_cache(maxsize=1024)
def topological_order(stages: tuple[StageSpec, ...]) -> tuple[int, ...]:
    """Return the indexes of stages, each behind those that it comes after.

    A stage may come after one with a higher index.

    :raises ValueError: if stages come after each other in a circle.

    >>> topological_order((StageSpec('a', (1,), 0), StageSpec('b', (), 0)))
    (1, 0)
    """
    sorter = graphlib.TopologicalSorter(
        {number: stage.after for number, stage in enumerate(stages)}
    )
    return tuple(sorter.static_order())


@dataclasses.dataclass(frozen=True)
class Route:
    """Maps a host name and path prefix to services.

    :param weight_by_service: share of the requests for each service.
    :param timeout_s: longest time that a caller waits for the response.
    :param latency_target_s: time within which a response has its full value.
    :param max_targets: maximum number of targets tried for one request.
    :param priority: priority of the requests; 0 is the most urgent.
    :param max_event_gap_s: longest acceptable pause between stream events.
    :param event_patience_s: time after which callers leave a stream that has
        no event.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    weight_by_service: dict[str, float]
    timeout_s: float
    latency_target_s: float
    max_targets: int
    priority: int
    anonymous: bool
    resumable: bool
    max_event_gap_s: float
    event_patience_s: float
    stages: tuple[StageSpec, ...]

    @property
    def repeatable(self) -> bool:
        """Whether a request may run on a second target."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.REPEATABLE

    @functools.cached_property
    def final_stages(self) -> tuple[int, ...]:
        """Indexes of the stages whose results no other stage needs."""
        needed = {number for spec in self.stages for number in spec.after}
        return tuple(
            number
            for number in range(len(self.stages))
            if number not in needed
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BatchRules:
    """Limits and run times of batched calls to one target of a stage service.

    :param slots: calls that can run at the same time.
    :param queue: calls that can wait at the target.
    :param batch: maximum number of pieces in a call.
    :param call_s: fixed time of a call in seconds.
    :param piece_s: approximate additional time of each piece in seconds.
    :param result_bytes: memory of the target for stored results.
    """

    slots: int
    queue_size: int
    max_pieces: int
    call_s: float
    piece_s: float
    memory_bytes: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRules:
    """Capacity of one model engine.

    :param slots: requests that can run at the same time.
    :param cache_tokens: tokens that fit in its key-value cache.
    """

    slots: int
    cache_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Service whose targets run requests or stages.

    :param cold_s: time for which a target is cold after a start.
    :param cold_per_s: requests a second that a cold target sustains; 0 if
        there is no such limit.
    """

    name: str
    max_channels: int
    batch: BatchRules | None = None
    engine: EngineRules | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Customer team that owns API keys."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the requests and channels of callers.

    :param header_bytes: maximum size of all headers.
    :param body_bytes: maximum size of the body.
    :param header_s: seconds within which the headers must arrive.
    :param idle_s: seconds for which a channel may stay idle.
    :param request_s: seconds within which a whole request must arrive. After
        the longest timeout of all routes, no response can be in time.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_s: float = 3.0
    idle_s: float = 15.0
    request_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class DesiredState:
    """One version of the state that the operator wants.

    :param team_by_key: team of each API key; None if no API keys are used.
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
