"""Types of stage work."""

from collections.abc import Iterable
import dataclasses
import enum

from walnutport.world import requests
from walnutport.world import routes

__all__ = [
    'JobFailure',
    'JobSpec',
    'JobResult',
    'PieceFailure',
    'PieceWork',
    'Refusal',
    'StageCall',
    'StageResult',
    'bytes_by_data_centre',
]


class PieceFailure(enum.Enum):
    """Why a piece has no result."""

    LATE = 'late'
    INPUT_GONE = 'input_gone'
    NO_ROOM = 'no_room'
    ERROR = 'error'


@dataclasses.dataclass(frozen=True, slots=True)
class PieceWork:
    """One piece as a target gets it.

    :param inputs: handles of the results that it needs; None for a stage
        that comes after no other and works on the key.
    """

    request_id: str
    stage: int
    piece: int
    remaining_s: float
    key: str
    inputs: tuple[str, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Stages of one request, as the host that took it asks for them.

    :param job_id: name of the job, unique over all hosts.
    :param piece_counts: pieces of each stage; 0 leaves a stage out.
    :param urgency: rank of the request; 0 is the most urgent.
    :param aim_s: time left for an answer of full value.
    :param deadline_s: time left for any answer.
    :param final_s: expected time of the request itself after its stages.
    :param final_service: service that runs the request itself.
    :param prompt: prompt of the request, where it has one.
    :param returned: whether the caller was refused before.
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
    returned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StageResult:
    """Result of one piece.

    :param handle: name under which targets fetch it.
    :param data_centre: where it lies.
    """

    handle: str
    data_centre: str
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobResult:
    """Results of the stages that no other stage follows.

    :param target_id: where the request itself should run, empty for no
        advice.
    """

    job_id: str
    results: tuple[StageResult, ...]
    target_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JobFailure:
    """The stages of a job were given up.

    :param retry_after_s: when the caller may come back.
    """

    job_id: str
    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A job that is not taken.

    :param forecast_s: when its answer was expected.
    :param standing: demand of its team against its share, empty where that
        did not matter.
    """

    reason: str
    retry_after_s: float
    forecast_s: float
    standing: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StageCall:
    """One call to a stage target."""

    call_id: int
    target_id: str
    address: tuple[str, int]
    work: tuple[PieceWork, ...]
    timeout_s: float


def bytes_by_data_centre(results: Iterable[StageResult]) -> dict[str, int]:
    """Return the bytes of results in each data centre."""
    found: dict[str, int] = {}
    for result in results:
        found[result.data_centre] = (
            found.get(result.data_centre, 0) + result.size
        )
    return found
