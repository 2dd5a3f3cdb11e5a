"""Typed messages between hosts.

Every message is sent in an ``Envelope``; the codec signs it and limits its
size.
"""

import dataclasses
import enum

from walnutport.quarantine.suspicion import SuspectReport

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
    """Host process that sent a message."""

    host_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """Header and encoded body of a message.

    :param sequence: increases by one with each message of an incarnation.
    :param body: msgpack encoding of the message of type ``kind``.
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
        answers; the borrower measures the lease from it on its own clock.
    """

    host_id: str
    units: int
    echo_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LimitDemand:
    """Demand of one host for one fleet-wide limit.

    :param in_use: units granted and not yet released.
    :param waiting: units requested and not yet granted.
    :param tick_ms: monotonic clock of the sender in milliseconds.
    :param loans: all loans of the sender.
    """

    limit_key: str
    in_use: int
    waiting: int
    tick_ms: int = 0
    loans: tuple[LimitLoan, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingTarget:
    """A target that the sender observed to be leaving.

    :param incarnation: incarnation of the target process, if known.
    """

    target_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic message with the state of a host that its peers need.

    :param leaving: whether the host is shutting down.
    :param catalogue_offset: offset up to which the host has read the
        catalogue.
    :param full: whether the address and all known leaving targets are
        included.
    :param demands: demands and loans for limits that have any.
    :param address: ``ip:port`` of the sender's peer listener in a full
        heartbeat, for peers whose host list does not contain the sender yet.
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
class PermitRequest:
    """Request for a permit to run suspect content, one run at a time.

    :param lease_s: maximum duration of the run in seconds.
    """

    permit_id: str
    digest: bytes
    lease_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """Reply to a permit request."""

    permit_id: str
    granted: bool
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRelease:
    """End of a run under a permit."""

    permit_id: str
    digest: bytes


class AnswerState(enum.StrEnum):
    """State of a request at the host that claimed it."""

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
    """State of a claimed request and, if it is finished, its answer."""

    query_id: str
    state: AnswerState
    outcome: str = ''
    reason: str = ''
    output: bytes = b''
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest:
    """Request for one part of a peer's catalogue snapshot."""

    query_id: str
    part: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StateReply:
    """One part of a catalogue snapshot.

    :param offset: offset of the catalogue stream that the snapshot reflects.
    :param parts: number of parts; each part fits into one envelope.
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
