"""State of one job: which pieces are done, under way or waiting."""

from collections.abc import Iterable
import dataclasses

from walnutport.stages import pieces

__all__ = ['Job', 'PieceId', 'Placed']

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

    def __init__(self, order: pieces.JobSpec, now: float) -> None:
        self.order = order
        self.aim_at = now + order.aim_s
        self.deadline_at = now + order.deadline_s
        self.failures = 0
        # When its answer was expected as it was taken, in seconds from then.
        self.forecast_s = 0.0
        self.finished = False
        # Seconds of work that are left, by service, as the scheduler counts.
        self.committed_s: dict[str, float] = {}
        self.stages = [
            number
            for number, count in enumerate(order.piece_counts)
            if count > 0
        ]
        self.waiting: dict[int, set[int]] = {}
        self.running: dict[int, set[int]] = {n: set() for n in self.stages}
        self.results: dict[int, dict[int, Placed]] = {
            number: {} for number in self.stages
        }
        self._after = {number: self._needed(number) for number in self.stages}
        self._followers: dict[int, list[int]] = {n: [] for n in self.stages}
        for number, needed in self._after.items():
            for before in needed:
                self._followers[before].append(number)
        self.final_stages = tuple(
            number for number in self.stages if not self._followers[number]
        )
        self.refresh()

    def after(self, stage: int) -> tuple[int, ...]:
        """Return the stages with pieces whose results a stage needs."""
        return self._after[stage]

    def count(self, stage: int) -> int:
        """Return the pieces of a stage."""
        return self.order.piece_counts[stage]

    def is_done(self, stage: int) -> bool:
        """Whether every piece of a stage has its result."""
        return len(self.results[stage]) == self.order.piece_counts[stage]

    def open_pieces(self, stage: int) -> int:
        """Return the pieces of a stage that are still to be started."""
        if not self._is_needed(stage):
            return 0
        return (
            self.order.piece_counts[stage]
            - len(self.results[stage])
            - len(self.running[stage])
        )

    def refresh(self) -> None:
        """Move pieces whose inputs are there to those that wait."""
        for stage in self.stages:
            if not self.open_pieces(stage):
                continue
            if not all(self.is_done(before) for before in self._after[stage]):
                continue
            done = self.results[stage]
            running = self.running[stage]
            waiting = {
                piece
                for piece in range(self.order.piece_counts[stage])
                if piece not in done and piece not in running
            }
            if waiting:
                self.waiting[stage] = waiting

    def start(self, piece_id: PieceId) -> None:
        """Take note that a piece is under way."""
        stage, piece = piece_id
        left = self.waiting[stage]
        left.discard(piece)
        if not left:
            del self.waiting[stage]
        self.running[stage].add(piece)

    def inputs(self, stage: int) -> tuple[Placed, ...]:
        """Return the results that a piece of a stage needs."""
        return self._collect(self._after[stage])

    def final_results(self) -> tuple[Placed, ...] | None:
        """Return what the request itself needs, or None if not all done."""
        if not all(self.is_done(stage) for stage in self.final_stages):
            return None
        return self._collect(self.final_stages)

    def all_results(self) -> list[Placed]:
        """Return every result that is still held."""
        return [
            placed
            for found in self.results.values()
            for placed in found.values()
        ]

    def take_used(self) -> list[Placed]:
        """Remove and return results that no stage needs any more."""
        used: list[Placed] = []
        for stage in self.stages:
            found = self.results[stage]
            if not found or not self._followers[stage]:
                continue
            if all(self.is_done(other) for other in self._followers[stage]):
                used += found.values()
                self.results[stage] = {}
        return used

    def drop_results(self, target_id: str) -> bool:
        """Forget the results that a lost target held."""
        dropped = False
        for stage in self.stages:
            found = self.results[stage]
            kept = {
                piece: placed
                for piece, placed in found.items()
                if placed.target_id != target_id
            }
            if len(kept) < len(found):
                self.results[stage] = kept
                dropped = True
        if dropped:
            self._withdraw_unready()
            self.refresh()
        return dropped

    def drop_inputs(self, stage: int) -> list[Placed]:
        """Forget the inputs of a stage so that they are made again."""
        dropped: list[Placed] = []
        for before in self._after[stage]:
            dropped += self.results[before].values()
            self.results[before] = {}
        self._withdraw_unready()
        return dropped

    def _withdraw_unready(self) -> None:
        """Let pieces wait no longer whose inputs are gone."""
        for stage in list(self.waiting):
            if not all(self.is_done(before) for before in self._after[stage]):
                del self.waiting[stage]

    def _collect(self, stages: Iterable[int]) -> tuple[Placed, ...]:
        return tuple(
            self.results[stage][piece]
            for stage in stages
            for piece in range(self.order.piece_counts[stage])
        )

    def _needed(self, stage: int) -> tuple[int, ...]:
        found: list[int] = []
        for before in self.order.stages[stage].after:
            if self.order.piece_counts[before] > 0:
                found.append(before)
            else:
                found.extend(self._needed(before))
        return tuple(dict.fromkeys(found))

    def _is_needed(self, stage: int) -> bool:
        """Whether the results of a stage are still of use."""
        followers = self._followers[stage]
        return not followers or any(
            not self.is_done(other) and self._is_needed(other)
            for other in followers
        )
