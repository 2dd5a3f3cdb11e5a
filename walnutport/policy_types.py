"""Values that policies take and return."""

import dataclasses
import enum

from walnutport import world

__all__ = [
    'AttemptResult',
    'AttemptStatus',
    'Decision',
    'DecisionKind',
    'RetryDecision',
    'RouteQuery',
    'SuspicionState',
    'Ticket',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks a queue for leave to go on.

    :param cost: slots that the request takes.
    :param deadline: monotonic time in seconds.
    :param stages_passed: finished stages; such work goes before new work.
    """

    ticket_id: str
    entry_id: str
    member_id: str
    class_id: str
    deadline: float
    cost: int = 1
    stages_completed: int = 0


class DecisionKind(enum.StrEnum):
    """What a queue decided about a ticket."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision of a queue about one ticket."""

    ticket_id: str
    kind: DecisionKind
    reason: str = ''
    retry_after_s: float = 0.0


class AttemptStatus(enum.StrEnum):
    """How an attempt on a target ended."""

    OK = 'ok'
    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    FAILED = 'failed'
    LOST = 'lost'
    TIMED_OUT = 'timed_out'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """End of an attempt.

    :param latency_s: time from the start of the attempt in seconds.
    :param target_died: whether the connection was lost and the target then
        refused a connection or came back with another incarnation.
    """

    attempt_id: str
    target_id: str
    service: str
    status: AttemptStatus
    latency_s: float
    tokens: int = 0
    load: world.LoadReport | None = None
    target_died: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RouteQuery:
    """What a router needs to know of an attempt.

    :param prefix_digests: digests of growing prompt prefixes, shortest
        first, for prefix-cache affinity.
    :param excluded: targets that this request has tried already.
    :param isolated: whether the attempt must be the only suspect there.
    :param content: digest of the request's content; equal contents prefer
        the same target, so that copies of a crashing request meet there.
    """

    service: str
    deadline: float
    model: str = ''
    prefix_digests: tuple[bytes, ...] = ()
    excluded: frozenset[str] = frozenset()
    isolated: bool = False
    content_digest: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether and when to try again.

    :param delay_s: time to wait before the next attempt in seconds.
    """

    retry: bool
    delay_s: float = 0.0
    reason: str = ''


class SuspicionState(enum.StrEnum):
    """Standing of a content digest."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'
