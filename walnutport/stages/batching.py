"""Batching of waiting pieces into calls.

Stage targets run one call at a time with a large fixed cost. Calls that carry
the pieces of many requests sustain several times the traffic of calls that
carry one request each. The inputs of a stage can be several megabytes, and
each piece fetches all of them. Such a stage runs at a near target, which is a
target in the data centre of an input, if one becomes free in time.
"""

from collections.abc import Callable
import dataclasses

from walnutport.stages import cell_targets
from walnutport.stages import jobs
from walnutport.stages import pieces
from walnutport.stages import stage_targets

__all__ = ['CallBuilder', 'CallPieces', 'WaitingPieces', 'piece_requests']

# A stage whose pieces fetch fewer bytes in total may run in any data centre.
MIN_NEAR_INPUT_BYTES = 500_000
# Allowance for a near target that becomes free later than expected.
NEAR_MARGIN_S = 0.05

#: Pieces of a call, each with its job.
CallPieces = list[tuple[jobs.Job, jobs.PieceId]]


@dataclasses.dataclass(slots=True)
class WaitingPieces:
    """Waiting pieces of one stage of a job.

    :param data_centres: data centres of the inputs, if these are too large
        to transfer; empty if the stage may run anywhere.
    """

    job: jobs.Job
    stage: int
    waiting: list[int]
    data_centres: set[str] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        inputs = self.job.inputs(self.stage)
        # Every piece fetches all inputs of its stage.
        fetched_bytes = self.job.piece_count(self.stage) * sum(
            placed.size for placed in inputs
        )
        self.data_centres = (
            {placed.data_centre for placed in inputs}
            if fetched_bytes >= MIN_NEAR_INPUT_BYTES
            else set()
        )


class CallBuilder:
    """Builds the calls of one service at one point in time.

    :param entries: waiting pieces, the most urgent first; pieces are removed
        when they go into a call.
    :param latest_start: returns the time at which a job must start to meet
        its aim.
    """

    def __init__(
        self,
        targets: cell_targets.CellTargets,
        entries: list[WaitingPieces],
        latest_start: Callable[[jobs.Job], float],
        now: float,
    ) -> None:
        self._targets = targets
        self._entries = entries
        self._latest_start = latest_start
        self._now = now

    def choose_target(
        self, free: list[stage_targets.StageTarget]
    ) -> stage_targets.StageTarget | None:
        """Return the target for the most urgent entry that can start.

        :param free: available targets, the fastest first.
        """
        for entry in self._entries:
            if not entry.data_centres:
                return free[0]
            for target in free:
                if target.info.data_centre in entry.data_centres:
                    return target
            if not self._can_wait_for_near_target(entry):
                return free[0]
        return None

    def take_pieces(self, target: stage_targets.StageTarget) -> CallPieces:
        """Remove the pieces of one call from the entries and return them."""
        rules = target.rules
        free_bytes = target.free_bytes(self._now)
        call_pieces: CallPieces = []
        remaining: list[WaitingPieces] = []
        for number, entry in enumerate(self._entries):
            free_slots = rules.max_pieces - len(call_pieces)
            if free_slots <= 0:
                remaining += self._entries[number:]
                break
            if (
                entry.data_centres
                and target.info.data_centre not in entry.data_centres
                and self._can_wait_for_near_target(entry)
            ):
                remaining.append(entry)
                continue
            size = entry.job.spec.stages[entry.stage].result_bytes
            max_fitting = int(free_bytes // size) if size else free_slots
            wanted = len(entry.waiting)
            count = min(wanted, free_slots, max(0, max_fitting))
            # A stage is not split if it fits into one call, so that its
            # results are held by one target.
            if count < wanted <= rules.max_pieces and call_pieces:
                count = 0
            for piece in entry.waiting[:count]:
                call_pieces.append((entry.job, (entry.stage, piece)))
            free_bytes -= size * count
            if count < wanted:
                entry.waiting = entry.waiting[count:]
                remaining.append(entry)
        self._entries[:] = remaining
        return call_pieces

    def _can_wait_for_near_target(self, entry: WaitingPieces) -> bool:
        """Return whether a job can wait for a near target within its aim."""
        near_s = self._targets.earliest_free_s(
            entry.job.spec.stages[entry.stage].service,
            entry.data_centres,
            self._now,
        )
        if near_s is None:
            return False
        latest = self._latest_start(entry.job)
        return self._now + near_s + NEAR_MARGIN_S < latest


def piece_requests(
    call_pieces: CallPieces, now: float
) -> tuple[pieces.PieceRequest, ...]:
    """Return the pieces of a call as they are sent to its target."""
    handles_by_stage: dict[tuple[str, int], tuple[str, ...]] = {}
    requests = []
    for job, (stage, piece) in call_pieces:
        key = (job.spec.job_id, stage)
        inputs = handles_by_stage.get(key)
        if inputs is None:
            inputs = tuple(placed.handle for placed in job.inputs(stage))
            handles_by_stage[key] = inputs
        requests.append(
            pieces.PieceRequest(
                job.spec.request_id,
                stage,
                piece,
                job.deadline_at - now,
                job.spec.piece_key,
                inputs or None,
            )
        )
    return tuple(requests)
