"""Argument and result types of the policies."""

import dataclasses
import enum

from walnutport.quarantine.suspicion import SuspicionState
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
    """Request for admission by a queue.

    :param cost: number of slots that the request takes.
    :param deadline: monotonic time in seconds.
    :param stages_completed: number of completed stages; requests with
        completed stages are granted before new ones.
    """

    ticket_id: str
    entry_id: str
    member_id: str
    class_id: str
    deadline: float
    cost: int = 1
    stages_completed: int = 0


class DecisionKind(enum.StrEnum):
    """Kind of a decision of a queue about a ticket."""

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
    """Outcome of an attempt at a target."""

    OK = 'ok'
    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    FAILED = 'failed'
    LOST = 'lost'
    TIMED_OUT = 'timed_out'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt.

    :param latency_s: time from the start to the end of the attempt in seconds.
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
    """Properties of an attempt that a router needs.

    :param prefix_digests: digests of prompt prefixes of increasing length,
        shortest first, for prefix-cache affinity.
    :param excluded: targets that this request has already tried.
    :param isolated: whether the attempt must be the only suspect at its
        target.
    :param content_digest: digest of the request's content; requests with the
        same digest prefer the same target, so that copies of a crashing
        request reach the same target.
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
    """Whether and when to retry.

    :param delay_s: time to wait before the next attempt in seconds.
    """

    retry: bool
    delay_s: float = 0.0
    reason: str = ''
