"""Messages between entry hosts on a platform, and their encoding."""

import msgspec

from walnutport import exceptions
from walnutport.stages import pieces
from walnutport.world import feeds

__all__ = [
    'UpdateRequest',
    'CrashReport',
    'DesiredStateUpdate',
    'FleetMessage',
    'HostRecord',
    'Hello',
    'Heartbeat',
    'ReleaseStages',
    'RunStages',
    'StagesDone',
    'StagesFailed',
    'StagesRefused',
    'TargetUpdate',
    'decode',
    'encode',
]


class HostRecord(msgspec.Struct, frozen=True):
    """Where a host takes messages of other hosts.

    :param work_share: how much work of other hosts it can take.
    """

    name: str
    incarnation: str
    ip: str
    port: int
    data_centre: str
    work_share: float


class Hello(msgspec.Struct, frozen=True, tag='hello'):
    """First message on a link, in both directions."""

    host: HostRecord
    known: tuple[HostRecord, ...]


class Heartbeat(msgspec.Struct, frozen=True, tag='pulse'):
    """Heartbeat.

    :param desired_end: offset up to which the sender knows the desired state.
    :param targets_end: offset after the last change of a target that it knows.
    :param store_age_s: seconds since it last read targets from the store.
    :param fit: whether it keeps up with its work and takes that of others.
    """

    desired_end: int
    targets_end: int
    store_age_s: float
    fit: bool
    draining: bool


class UpdateRequest(msgspec.Struct, frozen=True, tag='ask'):
    """Asks for news beyond what the sender knows."""

    desired_end: int
    targets_end: int


class DesiredStateUpdate(msgspec.Struct, frozen=True, tag='desired'):
    """Newest desired state."""

    record: feeds.FeedRecord
    end: int


class TargetUpdate(msgspec.Struct, frozen=True, tag='targets'):
    """Changes of targets, and the offset up to which they are known.

    :param changed_end: offset after the last change.
    :param grace_s: how long removed entries count as lapsed only.
    :param after: offset from which all changes are in the message; a host
        that knows less has missed some.
    """

    records: tuple[feeds.FeedRecord, ...]
    end: int
    changed_end: int
    grace_s: float
    after: int = 0


class RunStages(msgspec.Struct, frozen=True, tag='run'):
    """Asks the owner of a cell to run the stages of a request."""

    order: pieces.JobSpec
    cell: int


class ReleaseStages(msgspec.Struct, frozen=True, tag='release'):
    """Gives a job and its results up."""

    job_id: str
    cell: int


class StagesDone(msgspec.Struct, frozen=True, tag='done'):
    """The results of a job."""

    result: pieces.JobResult


class StagesFailed(msgspec.Struct, frozen=True, tag='failed'):
    """A job that was given up after it had been taken."""

    failure: pieces.JobFailure


class StagesRefused(msgspec.Struct, frozen=True, tag='refused'):
    """A job that was not taken."""

    job_id: str
    refusal: pieces.Refusal


class CrashReport(msgspec.Struct, frozen=True, tag='crash'):
    """Targets that died while they ran a request's content."""

    digest: bytes
    deaths: tuple[str, ...]
    cleared: bool


FleetMessage = (
    Hello
    | Heartbeat
    | UpdateRequest
    | DesiredStateUpdate
    | TargetUpdate
    | RunStages
    | ReleaseStages
    | StagesDone
    | StagesFailed
    | StagesRefused
    | CrashReport
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FleetMessage)


def encode(message: FleetMessage) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> FleetMessage:
    """Decode a message.

    :raises CodecError: when the bytes are no message.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise exceptions.CodecError(f'fleet message: {problem}') from problem


_HOST_DECODER = msgspec.json.Decoder(HostRecord)


def encode_host(record: HostRecord) -> bytes:
    """Return a host's record as it lies in the store."""
    return msgspec.json.encode(record)


def decode_host(data: bytes) -> HostRecord:
    """Decode a host's record.

    :raises CodecError: when it cannot be read.
    """
    try:
        return _HOST_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise exceptions.CodecError(f'host record: {problem}') from problem
