"""Messages between entry hosts on a platform, and their encoding.

Fields that a message lacks take their default, and unknown fields are ignored.
New fields have a default; a new kind of message belongs to a capability, see
``capabilities``.
"""

import typing
from typing import Annotated

import msgspec

from walnutport import exceptions
from walnutport import json_input
from walnutport.peer import capabilities
from walnutport.quarantine import prompt_parts
from walnutport.routing import backpressure
from walnutport.stages import pieces
from walnutport.world import evacuations
from walnutport.world import feeds

__all__ = [
    'UpdateRequest',
    'ClaimQuery',
    'ClaimReply',
    'CrashReport',
    'DesiredStateUpdate',
    'EvacuationUpdate',
    'FleetMessage',
    'HostRecord',
    'Hello',
    'HostsUpdate',
    'Heartbeat',
    'OriginQuery',
    'OriginReply',
    'PartReports',
    'ReleaseStages',
    'RunStages',
    'SendPermitReply',
    'SendPermitRequest',
    'StagesDone',
    'StagesFailed',
    'StagesHandedOver',
    'StagesRefused',
    'StreamsBegun',
    'TargetReports',
    'TargetUpdate',
    'decode',
    'decode_begun',
    'encode',
    'encode_begun',
    'required_capability',
]


# Records of hosts and of streams in the store; it limits them to less.
MAX_RECORD_BYTES = 4 << 20
# Shares of hosts are processors.
MAX_WORK_SHARE = 1e6
# Heartbeats are sent each second or more often.
MAX_INTERVAL_S = 60.0

_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
_OptionalPort = Annotated[int, msgspec.Meta(ge=0, le=65535)]
# One beyond the position of a record.
_End = Annotated[int, msgspec.Meta(ge=0, le=json_input.MAX_INTEGER)]
_Age = Annotated[float, msgspec.Meta(ge=0.0, le=json_input.MAX_AMOUNT)]


class HostRecord(msgspec.Struct, frozen=True):
    """Address at which a host accepts messages of other hosts.

    :param work_share: capacity of the host for work of the fleet, as a weight.
    :param era: era of the store in which the host has published the record;
        0 if the store counts none.
    :param relay_port: port at which it serves requests of other hosts'
        callers; 0 if it serves none.
    :param capabilities: kinds of messages that it understands besides those of
        the first builds.
    """

    name: json_input.Name
    incarnation: json_input.Text
    ip: json_input.Text
    port: _Port
    data_centre: json_input.Text
    work_share: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WORK_SHARE)]
    era: json_input.Position = 0
    relay_port: _OptionalPort = 0
    capabilities: tuple[str, ...] = ()


class Hello(msgspec.Struct, frozen=True, tag='hello'):
    """First message on a link, in both directions.

    :param needs_hosts: whether the sender has not read the hosts in the store
        yet, so that the receiver sends those that it knows.
    """

    host: HostRecord
    needs_hosts: bool = False


class HostsUpdate(msgspec.Struct, frozen=True, tag='hosts'):
    """Hosts that the receiver may not know."""

    hosts: tuple[HostRecord, ...]


class Heartbeat(msgspec.Struct, frozen=True, tag='pulse'):
    """Periodic message with the state of the sender.

    :param desired_version: version of the sender's desired state, 0 if it
        knows none.
    :param era: era of the store that ``targets_end`` belongs to.
    :param targets_end: offset after the last change of a target that it knows.
    :param store_age_s: seconds since it last read targets from the store.
    :param fit: whether it keeps up with its own work and accepts that of
        others.
    :param interval_s: time until the next heartbeat of the sender.
    :param reaches_targets: whether it reaches any target.
    :param evacuations_end: offset after the last change of an evacuation that
        it knows, in the same era.
    :param desired_age_s: seconds since it last read the desired state from the
        store, which may answer after a wait; None from earlier builds.
    :param reads_targets: whether it reads the targets from the store itself.
    """

    desired_version: json_input.Position
    era: json_input.Position
    targets_end: _End
    store_age_s: _Age
    fit: bool
    draining: bool
    interval_s: Annotated[float, msgspec.Meta(gt=0.0, le=MAX_INTERVAL_S)] = 0.3
    reaches_targets: bool = True
    evacuations_end: _End = 0
    desired_age_s: _Age | None = None
    reads_targets: bool = False


class UpdateRequest(msgspec.Struct, frozen=True, tag='ask'):
    """Request for what is newer than what the sender knows."""

    desired_version: int
    era: int
    targets_end: int


class DesiredStateUpdate(msgspec.Struct, frozen=True, tag='desired'):
    """Latest desired state."""

    record: feeds.FeedRecord


class TargetUpdate(msgspec.Struct, frozen=True, tag='targets'):
    """Changes of targets, and the offset up to which they are known.

    :param era: era of the store that the offsets belong to.
    :param changed_end: offset after the last change.
    :param grace_s: how long removed entries only count as lapsed.
    :param after: offset from which the message contains all changes; a host
        whose known offset is lower has missed some.
    :param lists_all: whether the message contains all targets instead, so
        that those which it lacks were removed.
    """

    records: tuple[feeds.FeedRecord, ...]
    era: int
    end: int
    changed_end: int
    grace_s: float
    after: int = 0
    lists_all: bool = False


class RunStages(msgspec.Struct, frozen=True, tag='run'):
    """Request to the owner of a cell to run the stages of a request."""

    order: pieces.JobSpec
    cell: int


class ReleaseStages(msgspec.Struct, frozen=True, tag='release'):
    """Releases a job and its results, which are no longer needed."""

    job_id: str
    cell: int


class StagesDone(msgspec.Struct, frozen=True, tag='done'):
    """The results of a job."""

    result: pieces.JobResult


class StagesFailed(msgspec.Struct, frozen=True, tag='failed'):
    """Failure of a job that had been accepted."""

    failure: pieces.JobFailure


class StagesHandedOver(msgspec.Struct, frozen=True, tag='handed_over'):
    """A job that another owner has to finish, as the sender stops."""

    handover: pieces.JobHandover


class StagesRefused(msgspec.Struct, frozen=True, tag='refused'):
    """Refusal of a job that was not accepted."""

    job_id: str
    refusal: pieces.Refusal


class CrashReport(msgspec.Struct, frozen=True, tag='crash'):
    """Targets that crashed while they ran a request with some content.

    :param digest: digest of the content.
    :param deaths: identifiers (target id and incarnation) of the crashes.
    :param cleared: whether the content has since completed.
    :param age_s: time since the sender has heard anything new of the content.
    :param probe_s: time for which a probe of the content is under way; 0 if
        the report is on deaths. Earlier builds ignore it.
    """

    digest: bytes
    deaths: tuple[str, ...]
    cleared: bool
    age_s: float = 0.0
    probe_s: float = 0.0


class PartReports(msgspec.Struct, frozen=True, tag='parts'):
    """What the sender, or a peer of it, has learned of parts of prompts."""

    reports: tuple[prompt_parts.PartReport, ...]


class TargetReports(msgspec.Struct, frozen=True, tag='reports'):
    """What targets have stated to the sender, or to a peer of it."""

    reports: tuple[backpressure.TargetReport, ...]


class StreamsBegun(
    msgspec.Struct, frozen=True, tag='begun', omit_defaults=True
):
    """Streams of a route that began at one service and software version.

    :param attempt_ids: ids of the attempts that brought the first events.
    :param writer: host that writes them to the store, as its name, a slash
        and its incarnation; the sender if it is empty.
    :param is_inferred: whether hosts have inferred the origin when callers
        took the streams up, and none of them has begun them.
    """

    route: str
    service: str
    version: str
    attempt_ids: tuple[str, ...]
    writer: str = ''
    is_inferred: bool = False


class OriginQuery(msgspec.Struct, frozen=True, tag='origin'):
    """Question where the stream began that an attempt brought.

    :param only_recorded: whether only what is recorded of the stream counts;
        the sender itself knows the sole origin of the route. Earlier builds
        ignore it, and answer from the sole origin as well.
    """

    attempt_id: str
    route: str
    only_recorded: bool = False


class OriginReply(msgspec.Struct, frozen=True, tag='origin_known'):
    """Answer to the question where a stream began.

    :param is_inferred: whether no record of the host that began the stream is
        known to the sender. Earlier builds do not tell.
    """

    attempt_id: str
    is_known: bool = False
    service: str = ''
    version: str = ''
    is_inferred: bool = False


class EvacuationUpdate(msgspec.Struct, frozen=True, tag='evacuations'):
    """Evacuations of data centres, complete up to an offset.

    :param era: era of the store that the offsets belong to.
    :param end: offset after the last change.
    :param records: latest record of each data centre that was ever named.
    """

    era: int
    end: int
    records: tuple[evacuations.EvacuationRecord, ...]


class SendPermitRequest(msgspec.Struct, frozen=True, tag='permit_ask'):
    """Asks the issuer for a permit to send one request to a cold target.

    :param number: identifies the request among those of the sender.
    :param wait_s: how long the sender can wait for a permit, so that the
        issuer keeps a place for it.
    """

    target_id: str
    incarnation: int
    number: int
    wait_s: float = 0.0


class SendPermitReply(msgspec.Struct, frozen=True, tag='permit'):
    """Answers a request for a permit.

    The permit ends a fixed time after the request for it was sent, on the
    clock of the host that asked, so that a late reply permits nothing.

    :param number: number of the request.
    :param retry_after_s: time until the next permit if this one is denied.
    """

    target_id: str
    incarnation: int
    number: int
    is_granted: bool
    retry_after_s: float = 0.0


class ClaimQuery(msgspec.Struct, frozen=True, tag='claim'):
    """Question whether the receiver has begun a stream."""

    attempt_id: str


class ClaimReply(msgspec.Struct, frozen=True, tag='claim_known'):
    """Answer whether the sender has begun a stream.

    :param incomplete_s: time for which streams may be known to nobody, as the
        sender has started or has lost a peer.
    """

    attempt_id: str
    is_known: bool
    incomplete_s: float


FleetMessage = (
    Hello
    | HostsUpdate
    | Heartbeat
    | UpdateRequest
    | DesiredStateUpdate
    | TargetUpdate
    | RunStages
    | ReleaseStages
    | StagesDone
    | StagesFailed
    | StagesHandedOver
    | StagesRefused
    | CrashReport
    | PartReports
    | TargetReports
    | StreamsBegun
    | OriginQuery
    | OriginReply
    | EvacuationUpdate
    | SendPermitRequest
    | SendPermitReply
    | ClaimQuery
    | ClaimReply
)

# Messages that the first builds do not understand, with the capability that
# their receiver has to name.
_CAPABILITY_BY_TYPE: dict[type, capabilities.Capability] = {
    EvacuationUpdate: capabilities.Capability.EVACUATIONS,
    SendPermitRequest: capabilities.Capability.SEND_PERMITS,
    SendPermitReply: capabilities.Capability.SEND_PERMITS,
    ClaimQuery: capabilities.Capability.STREAM_CLAIMS,
    ClaimReply: capabilities.Capability.STREAM_CLAIMS,
    StagesHandedOver: capabilities.Capability.STAGE_HANDOVER,
}


class _AnyMessage(msgspec.Struct):
    """A message of any kind, also one of a later build."""

    type: str


_KNOWN_KINDS = frozenset(
    typing.cast(msgspec.inspect.StructType, info).tag
    for info in msgspec.inspect.multi_type_info(typing.get_args(FleetMessage))
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FleetMessage)
_KIND_DECODER = msgspec.msgpack.Decoder(_AnyMessage)


def required_capability(
    message: FleetMessage,
) -> capabilities.Capability | None:
    """Return the capability that the receiver of a message needs, if any."""
    return _CAPABILITY_BY_TYPE.get(type(message))


def encode(message: FleetMessage) -> bytes:
    """Return the bytes of a message.

    :raises PeerError: if a field cannot be encoded, such as an integer of
        more than 64 bits.
    """
    try:
        return _ENCODER.encode(message)
    except json_input.DECODE_ERRORS as error:
        raise exceptions.PeerError(
            f'cannot encode {type(message).__name__}: '
            f'{json_input.describe(error)}'
        ) from error


def decode(data: bytes) -> FleetMessage:
    """Decode a message.

    :raises UnknownMessage: if it is of a kind that only later builds know.
    :raises CodecError: if the bytes are not a message.
    """
    try:
        return _DECODER.decode(data)
    except json_input.DECODE_ERRORS as error:
        kind = _kind_of(data)
        if kind is not None and kind not in _KNOWN_KINDS:
            raise exceptions.UnknownMessage(kind) from error
        raise exceptions.CodecError(
            f'malformed fleet message: {json_input.describe(error)}'
        ) from error


def _kind_of(data: bytes) -> str | None:
    """Return the kind that a message names, None if it names none."""
    try:
        return _KIND_DECODER.decode(data).type
    except json_input.DECODE_ERRORS:
        return None


_HOST_DECODER = json_input.Decoder(HostRecord, MAX_RECORD_BYTES)


def encode_host(record: HostRecord) -> bytes:
    """Return the encoding of a host's record in the store."""
    return msgspec.json.encode(record)


def decode_host(data: bytes) -> HostRecord:
    """Decode a host's record from the store.

    :raises CodecError: if the bytes are not a host record.
    """
    try:
        return _HOST_DECODER.decode(data)
    except exceptions.WireError as error:
        raise exceptions.CodecError(
            f'malformed host record: {error}'
        ) from error


_BEGUN_DECODER = json_input.Decoder(StreamsBegun, MAX_RECORD_BYTES)


def encode_begun(message: StreamsBegun) -> bytes:
    """Return the encoding of streams that began, as a record in the store."""
    return msgspec.json.encode(message)


def decode_begun(data: bytes) -> StreamsBegun:
    """Decode streams that began from a record in the store.

    :raises CodecError: if the bytes are no such record.
    """
    try:
        return _BEGUN_DECODER.decode(data)
    except exceptions.WireError as error:
        raise exceptions.CodecError(
            f'malformed record of streams: {error}'
        ) from error
