"""Types for jobs, their pieces and calls to stage targets."""

from collections.abc import Iterable
import dataclasses
import enum

from walnutport.world import registrations
from walnutport.world import requests
from walnutport.world import routes

__all__ = [
    'HeldResult',
    'JobFailure',
    'JobHandover',
    'JobSpec',
    'JobResult',
    'PieceFailure',
    'PieceRequest',
    'Refusal',
    'BatchCall',
    'StageResult',
    'bytes_by_data_centre',
]

# Priorities of routes beyond this one rank like it.
MAX_KIND_URGENCY = 9
# Step of the rank between the urgencies of kinds. All of them are within the
# step by which jobs that were admitted before go before new ones.
KIND_RANK_STEP = 0.04


class PieceFailure(enum.Enum):
    """Why a piece has no result."""

    LATE = 'late'
    INPUT_GONE = 'input_gone'
    NO_ROOM = 'no_room'
    ERROR = 'error'


@dataclasses.dataclass(frozen=True, slots=True)
class PieceRequest:
    """One piece, as sent to a target.

    :param inputs: handles of the results that it needs; None for a stage
        without predecessors, which works on the key.
    """

    request_id: str
    stage: int
    piece: int
    remaining_s: float
    key: str
    inputs: tuple[str, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class HeldResult:
    """Result of a piece that a target holds for a job of another owner.

    :param handle: name under which targets fetch the result.
    :param data_centre: data centre of the target.
    :param size: its size in bytes.
    """

    stage: int
    piece: int
    handle: str
    target_id: str
    data_centre: str
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Stages of one request, as submitted by the host that received it.

    :param job_id: unique over all hosts.
    :param piece_key: key of the input that the first stages process.
    :param piece_counts: number of pieces of each stage; 0 omits a stage.
    :param urgency: priority of the team, or of the route if the team has none;
        0 is the most urgent.
    :param aim_s: remaining time within which an answer has full value.
    :param deadline_s: remaining time within which an answer is of any use.
    :param final_s: expected duration of the request itself after its stages.
    :param final_service: service that runs the request itself.
    :param final_version: software version of the targets that may run it;
        None if any may.
    :param prompt: prompt of the request, if it has one.
    :param content: digest of the content of the request, by which a retry
        after a refusal is recognized.
    :param spent_s: time that earlier attempts of the request took; 0 if none
        is known. ``aim_s`` is shorter by that time.
    :param route: route of the request, which is its kind; empty from hosts of
        earlier builds, whose requests count as one kind.
    :param continues: whether the request goes on with a stream of which its
        caller holds a part.
    :param was_admitted: whether the owner of a cell has admitted the stages
        before, for the same attempt of the caller. They run again as the owner
        or the results were lost, or as the owner stops.
    :param held: results of an owner that stops, which are not made again.
    :param kind_urgency: priority of the route, by which requests of the same
        urgency are ranked; 0 if it is the urgency, and from hosts of earlier
        builds.
    """

    job_id: str
    request_id: str
    piece_key: str
    stages: tuple[routes.StageSpec, ...]
    piece_counts: tuple[int, ...]
    urgency: int
    aim_s: float
    deadline_s: float
    final_s: float
    team: str
    final_service: str = ''
    prompt: requests.PromptShape | None = None
    content: bytes = b''
    spent_s: float = 0.0
    final_version: str | None = None
    route: str = ''
    continues: bool = False
    was_admitted: bool = False
    held: tuple[HeldResult, ...] = ()
    kind_urgency: int = 0

    @property
    def rank(self) -> float:
        """Rank among all jobs: by urgency, then by the urgency of the kind."""
        kind_urgency = min(MAX_KIND_URGENCY, max(0, self.kind_urgency))
        return self.urgency + kind_urgency * KIND_RANK_STEP

    @property
    def returned(self) -> bool:
        """Whether the request is a retry after a refusal."""
        return self.spent_s > 0


@dataclasses.dataclass(frozen=True, slots=True)
class StageResult:
    """Result of one piece.

    :param handle: name under which targets fetch the result.
    :param data_centre: data centre of the target that holds it.
    """

    handle: str
    data_centre: str
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobResult:
    """Results of the stages without successors.

    :param target_id: recommended target for the request itself; empty for
        no recommendation.
    :param spent_s: as in the specification of the job.
    """

    job_id: str
    results: tuple[StageResult, ...]
    target_id: str = ''
    spent_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobFailure:
    """Failure of a job that had been admitted.

    :param retry_after_s: time after which the caller may retry.
    :param reserved: as in a refusal.
    """

    job_id: str
    reason: str
    retry_after_s: float
    reserved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JobHandover:
    """Job that its owner cannot finish, as its host stops before that.

    :param was_admitted: as in the specification of the job.
    :param results: results that targets hold for the job.
    """

    job_id: str
    was_admitted: bool
    results: tuple[HeldResult, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a job.

    :param forecast_s: forecast time until the answer.
    :param standing: demand of its team relative to its share; empty if it
        did not affect the decision.
    :param spent_s: time that earlier attempts of the request took; 0 if none
        is known.
    :param reserved: whether a place is held until ``retry_after_s`` is over.
    :param kind_standing: demand of its kind relative to its share; empty if
        it did not affect the decision.
    """

    reason: str
    retry_after_s: float
    forecast_s: float
    standing: str = ''
    spent_s: float = 0.0
    reserved: bool = False
    kind_standing: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class BatchCall:
    """One call to a stage target."""

    call_id: int
    target: registrations.RegisteredTarget
    pieces: tuple[PieceRequest, ...]
    timeout_s: float


def bytes_by_data_centre(results: Iterable[StageResult]) -> dict[str, int]:
    """Return the total size of results in each data centre."""
    size_by_data_centre: dict[str, int] = {}
    for result in results:
        size_by_data_centre[result.data_centre] = (
            size_by_data_centre.get(result.data_centre, 0) + result.size
        )
    return size_by_data_centre
