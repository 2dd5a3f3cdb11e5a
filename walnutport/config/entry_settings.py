"""Settings of an entry host on an installation's platform."""

import dataclasses

__all__ = ['EntryBounds', 'EntrySettings']

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryBounds:
    """Time limits and retry budget that the installation prescribes.

    :param drain_s: time after which a leaving target gets no new work.
    :param grace_s: time between the signal to stop and the kill.
    :param retry_ratio: retries allowed per request to a service.
    :param retry_slack: additional retries allowed, over all hosts together.
    :param retry_window_s: sliding window over which retries are counted.
    :param cold_ratio: part of the requests that a cold target sustains in a
        second which it may receive, from all hosts together.
    :param cold_slack: additional requests that it may receive in a second.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    cold_ratio: float = 1.5
    cold_slack: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry host process.

    :param caller_address: listen address for callers.
    :param readiness_address: listen address for readiness checks of the load
        balancer.
    :param peer_ports: first and last port usable for traffic between hosts.
    :param cpu_share: processor cores that the host may use.
    :param link_mbps: bandwidth of the host's link.
    :param heartbeat_s: interval at which targets renew their registration.
    :param is_first_start: whether the whole installation starts for the first
        time.
    """

    name: str
    ip: str
    data_centre: str
    data_centres: tuple[str, ...]
    caller_address: Address
    readiness_address: Address
    peer_ports: tuple[int, int]
    store_address: Address
    cpu_share: float
    memory_bytes: int
    link_mbps: float
    heartbeat_s: float
    bounds: EntryBounds
    is_first_start: bool = False
