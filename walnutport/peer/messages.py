"""Typed messages between hosts.

Every message travels in an ``Envelope``; the codec signs and bounds it.
"""

import dataclasses
import enum

__all__ = [
    'AnswerReply',
    'AnswerRequest',
    'AnswerState',
    'Envelope',
    'Heartbeat',
    'LeavingTarget',
    'LimitDemand',
    'LimitLoan',
    'MessageKind',
    'PeerMessage',
    'PeerOrigin',
    'PermitReply',
    'PermitRequest',
    'PermitRelease',
    'StateReply',
    'StateRequest',
    'SuspectReport',
]


class MessageKind(enum.StrEnum):
    """Kind of a message between hosts."""

    HEARTBEAT = 'heartbeat'
    SUSPECT = 'suspect'
    PERMIT_REQUEST = 'permit_request'
    PERMIT_REPLY = 'permit_reply'
    PERMIT_RELEASE = 'permit_release'
    ANSWER_REQUEST = 'answer_request'
    ANSWER_REPLY = 'answer_reply'
    STATE_REQUEST = 'state_request'
    STATE_REPLY = 'state_reply'


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOrigin:
    """Host and incarnation that a message comes from."""

    host_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """Frame of every message.

    :param sequence: grows by one with each message of an incarnation.
    :param body: msgpack of the message that ``kind`` names.
    """

    version: int
    sender: str
    incarnation: int
    sequence: int
    kind: MessageKind
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LimitLoan:
    """Units of its own share that the sender lends to one host.

    :param echo_ms: ``tick_ms`` of the borrower's demand that the loan
        answers; the borrower counts the lease from it on its own clock.
    """

    host_id: str
    units: int
    echo_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LimitDemand:
    """Demand of one host for one fleet limit.

    :param in_use: units granted and not yet released.
    :param waiting: units asked for and not granted.
    :param tick_ms: monotonic clock of the sender in milliseconds.
    :param loans: complete list of what the sender lends.
    """

    limit_key: str
    in_use: int
    waiting: int
    tick_ms: int = 0
    loans: tuple[LimitLoan, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingTarget:
    """A target that the sender saw leaving.

    :param incarnation: incarnation of the target process, if known.
    """

    target_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life of a host with the state that its peers need.

    :param catalogue_offset: offset up to which the catalogue is folded.
    :param full: whether the address and all known leaving targets are in.
    :param demands: demands and loans for limits that have any.
    :param address: ``ip:port`` of the sender's peer listener in a full
        heartbeat, for peers whose list does not show the sender yet.
    """

    data_centre: str
    ready: bool
    leaving: bool
    catalogue_offset: int
    full: bool
    demands: tuple[LimitDemand, ...] = ()
    leaving_targets: tuple[LeavingTarget, ...] = ()
    address: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """Deaths of targets that a content digest was in flight at.

    :param deaths: identifiers (target id and incarnation) of the deaths.
    :param cleared: whether the content has since completed.
    """

    digest: bytes
    deaths: tuple[str, ...]
    cleared: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request for the sole run of a suspect content.

    :param lease_s: longest time the run may take in seconds.
    """

    permit_id: str
    digest: bytes
    lease_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """Answer to a permit request."""

    permit_id: str
    granted: bool
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRelease:
    """End of a run under a permit."""

    permit_id: str
    digest: bytes


class AnswerState(enum.StrEnum):
    """What a host knows of a request that it claimed."""

    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRequest:
    """Request for the answer of a claimed request."""

    query_id: str
    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerReply:
    """State of a claimed request and, once finished, its answer."""

    query_id: str
    state: AnswerState
    outcome: str = ''
    reason: str = ''
    output: bytes = b''
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest:
    """Request for the catalogue of a peer."""

    query_id: str
    part: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StateReply:
    """One part of a catalogue snapshot and the offset it stands for.

    :param parts: count of parts; each part fits into one envelope.
    """

    query_id: str
    offset: int
    part: int
    parts: int
    snapshot: bytes


PeerMessage = (
    Heartbeat
    | SuspectReport
    | PermitRequest
    | PermitReply
    | PermitRelease
    | AnswerRequest
    | AnswerReply
    | StateRequest
    | StateReply
)
