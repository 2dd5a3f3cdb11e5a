"""Which waiting pieces go into which call.

Load pattern: stage targets that take one call at a time with a large fixed
cost. Calls that carry the pieces of many requests keep up with several times
the traffic of calls that carry one request each. Results of several megabytes
are read where they lie, as each piece of the next stage fetches all of them.
"""

from collections.abc import Callable
import dataclasses

from walnutport.stages import cell_targets
from walnutport.stages import jobs
from walnutport.stages import stage_targets

__all__ = ['CallBuilder', 'WaitingPieces', 'CallPieces']

# Inputs of a stage of one request that weigh less may cross data centres.
MIN_LOCAL_BYTES = 500_000
# A near target may be free a little later than expected.
NEAR_MARGIN_S = 0.05

#: Pieces of a call.
CallPieces = list[tuple[jobs.Job, jobs.PieceId]]


@dataclasses.dataclass(slots=True)
class WaitingPieces:
    """Pieces of one stage of a job that wait.

    :param places: data centres of inputs that are too large to move.
    """

    job: jobs.Job
    stage: int
    waiting: list[int]
    data_centres: set[str] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        inputs = self.job.inputs(self.stage)
        # Every piece fetches all inputs of its stage.
        moved = self.job.piece_count(self.stage) * sum(
            placed.size for placed in inputs
        )
        self.data_centres = (
            {placed.data_centre for placed in inputs}
            if moved >= MIN_LOCAL_BYTES
            else set()
        )


class CallBuilder:
    """Builds the calls of one service at one moment.

    :param entries: pieces that wait, the most urgent first; what goes into a
        call is taken out.
    :param latest_start: returns when a job must start for its aim.
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

        :param free: targets that can take a call, the best first.
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
        """Take the pieces of one call out of the entries."""
        rules = target.rules
        room = rules.result_bytes - target.held_bytes
        work: CallPieces = []
        left: list[WaitingPieces] = []
        for number, entry in enumerate(self._entries):
            space = rules.batch - len(work)
            if space <= 0:
                left += self._entries[number:]
                break
            if (
                entry.data_centres
                and target.info.data_centre not in entry.data_centres
                and self._can_wait_for_near_target(entry)
            ):
                left.append(entry)
                continue
            size = entry.job.spec.stages[entry.stage].result_bytes
            fitting = int(room // size) if size else space
            wanted = len(entry.waiting)
            count = min(wanted, space, max(0, fitting))
            # The pieces of one stage stay together where they can, so that
            # their reader finds them in one place.
            if count < wanted <= rules.batch and work:
                count = 0
            for piece in entry.waiting[:count]:
                work.append((entry.job, (entry.stage, piece)))
            room -= size * count
            if count < wanted:
                entry.waiting = entry.waiting[count:]
                left.append(entry)
        self._entries[:] = left
        return work

    def _can_wait_for_near_target(self, entry: WaitingPieces) -> bool:
        """Whether a job meets its aim if it waits for a near target."""
        near_s = self._targets.earliest_free_s(
            entry.job.spec.stages[entry.stage].service,
            entry.data_centres,
            self._now,
        )
        if near_s is None:
            return False
        latest = self._latest_start(entry.job)
        return self._now + near_s + NEAR_MARGIN_S < latest
