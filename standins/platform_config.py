"""Settings of the platform stand-in and its targets."""

import dataclasses

__all__ = ['STREAM_EVENTS', 'PlatformSettings', 'TargetPlan']

#: Default length of a complete stream.
STREAM_EVENTS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlan:
    """Settings of one target.

    :param kind: ``plain``, ``engine`` or ``stage``.
    :param announced_port: port in the record of the target, such as that of a
        proxy; 0 for the port that the target listens on.
    :param version: version of its software, in the record of the target.
    """

    target_id: str
    service: str
    kind: str
    port: int
    data_centre: str = 'a'
    slots: int = 4
    announced_port: int = 0
    version: str = 'v1'


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of the stand-in.

    :param desired: initial desired-state document.
    :param work_ms: duration of a request at a plain target.
    :param events: events of a complete stream.
    :param event_ms: time between two events of a stream.
    :param call_ms: duration of a call to a stage target.
    :param unregistered: ids of targets without a record at the start.
    :param first_sequence: sequence of the first record of a target, as of
        targets that have renewed their records so often.
    :param crash_s: time until an engine that has crashed listens again.
    :param more_ports: further ports at which the store is reached.
    """

    port: int
    desired: dict
    targets: tuple[TargetPlan, ...]
    ip: str = '127.0.0.1'
    work_ms: float = 20.0
    events: int = STREAM_EVENTS
    event_ms: float = 20.0
    call_ms: float = 40.0
    unregistered: tuple[str, ...] = ()
    first_sequence: int = 1
    crash_s: float = 3.0
    more_ports: tuple[int, ...] = ()
