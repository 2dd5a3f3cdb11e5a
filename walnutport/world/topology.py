"""Hosts, targets, data centres and the links between them."""

import dataclasses
import enum

__all__ = [
    'Address',
    'DataCentre',
    'Host',
    'Link',
    'LoadReport',
    'Target',
    'TargetState',
]


class TargetState(enum.StrEnum):
    """State of a target, from its list entry or its own load report."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre and its region."""

    data_centre_id: str
    region: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """Connection between two data centres.

    :param one_way_s: expected one-way delay in seconds.
    """

    from_data_centre: str
    to_data_centre: str
    one_way_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """An entry host.

    :param incarnation: number chosen at each start of the process.
    """

    host_id: str
    data_centre: str
    peer_address: Address
    incarnation: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A process that runs stages: a model engine or another service.

    :param service: name of the pool that the target belongs to.
    :param slots: requests that the target can run at the same time.
    """

    target_id: str
    service: str
    data_centre: str
    address: Address
    slots: int = 1
    state: TargetState = TargetState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a target reports.

    :param running: requests that occupy a slot.
    :param queued: requests that wait in the target's queue.
    :param incarnation: changes when the target process restarts.
    """

    running: int
    queued: int
    slots: int
    incarnation: str = ''
    state: TargetState = TargetState.LIVE
