"""State of one job: which pieces are done, under way or waiting."""

import dataclasses

from walnutport.stages import pieces

__all__ = ['Job', 'Placed', 'PieceId']

#: Number of the stage and of the piece in it.
PieceId = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Result and the target that holds it."""

    handle: str
    target_id: str
    data_centre: str
    size: int


class Job:
    """Stage graph of one request.

    A stage with no pieces is left out; what comes after it needs the results
    of the stages before it.
    """

    def __init__(self, order: pieces.JobOrder, now: float) -> None:
        self.order = order
        self.aim_at = now + order.aim_s
        self.deadline_at = now + order.deadline_s
        self.results: dict[PieceId, Placed] = {}
        self.running: set[PieceId] = set()
        self.waiting: set[PieceId] = set()
        self.failures = 0
        self.finished = False
        self._kept = [
            number
            for number, count in enumerate(order.piece_counts)
            if count > 0
        ]
        self._after = {number: self._needed(number) for number in self._kept}
        followed = {before for all_ in self._after.values() for before in all_}
        self.final_stages = tuple(
            number for number in self._kept if number not in followed
        )
        self.refresh()

    def after(self, stage: int) -> tuple[int, ...]:
        """Return the stages with pieces whose results a stage needs."""
        return self._after[stage]

    @property
    def stages(self) -> list[int]:
        """Stages with pieces, in an order that follows the graph."""
        return self._kept

    def count(self, stage: int) -> int:
        """Return the pieces of a stage."""
        return self.order.piece_counts[stage]

    def refresh(self) -> list[int]:
        """Move pieces whose inputs are there to those that wait.

        :returns: stages that have new waiting pieces.
        """
        fresh = []
        for stage in self._kept:
            if not self._needed_now(stage):
                continue
            if not all(self._is_done(before) for before in self._after[stage]):
                continue
            for piece in range(self.count(stage)):
                piece_id = (stage, piece)
                if (
                    piece_id not in self.results
                    and piece_id not in self.running
                    and piece_id not in self.waiting
                ):
                    self.waiting.add(piece_id)
                    fresh.append(stage)
        return sorted(set(fresh))

    def inputs(self, stage: int) -> tuple[Placed, ...]:
        """Return the results that a piece of a stage needs."""
        return tuple(
            self.results[(before, piece)]
            for before in self._after[stage]
            for piece in range(self.count(before))
        )

    def final_results(self) -> tuple[Placed, ...] | None:
        """Return what the request itself needs, or None if not all done."""
        if not all(self._is_done(stage) for stage in self.final_stages):
            return None
        return tuple(
            self.results[(stage, piece)]
            for stage in self.final_stages
            for piece in range(self.count(stage))
        )

    def take_used(self) -> list[Placed]:
        """Remove and return results that no stage needs any more."""
        used = []
        for stage in self._kept:
            if stage in self.final_stages:
                continue
            followers = [
                other for other in self._kept if stage in self._after[other]
            ]
            if not all(self._is_done(other) for other in followers):
                continue
            for piece in range(self.count(stage)):
                placed = self.results.pop((stage, piece), None)
                if placed is not None:
                    used.append(placed)
        return used

    def drop_results(self, target_id: str) -> bool:
        """Forget the results that a lost target held."""
        lost = [
            piece_id
            for piece_id, placed in self.results.items()
            if placed.target_id == target_id
        ]
        for piece_id in lost:
            del self.results[piece_id]
        return bool(lost)

    def drop_inputs(self, stage: int) -> list[Placed]:
        """Forget the inputs of a stage so that they are made again."""
        dropped = []
        for before in self._after[stage]:
            for piece in range(self.count(before)):
                placed = self.results.pop((before, piece), None)
                if placed is not None:
                    dropped.append(placed)
        # Pieces of this stage cannot run until their inputs are back.
        self.waiting = {
            piece_id for piece_id in self.waiting if piece_id[0] != stage
        }
        return dropped

    def _needed(self, stage: int) -> tuple[int, ...]:
        found: list[int] = []
        for before in self.order.stages[stage].after:
            if self.order.piece_counts[before] > 0:
                found.append(before)
            else:
                found.extend(self._needed(before))
        return tuple(dict.fromkeys(found))

    def _needed_now(self, stage: int) -> bool:
        """Whether the results of a stage are still of use."""
        if stage in self.final_stages:
            return True
        return any(
            not self._is_done(other) and self._needed_now(other)
            for other in self._kept
            if stage in self._after[other]
        )

    def _is_done(self, stage: int) -> bool:
        return all(
            (stage, piece) in self.results
            for piece in range(self.count(stage))
        )
