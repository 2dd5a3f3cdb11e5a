"""State of a job: its finished, running and waiting pieces."""

from collections.abc import Iterable
import dataclasses
import math

from walnutport.stages import pieces
from walnutport.world import routes

__all__ = ['Job', 'PieceId', 'PlacedResult']

#: Index of the stage and index of the piece within it.
PieceId = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedResult:
    """Result of a piece and the target that holds it."""

    handle: str
    target_id: str
    data_centre: str
    size: int


class Job:
    """Stage graph of one request and the state of its pieces.

    Stages without pieces are omitted; their successors depend directly on
    their predecessors.
    """

    def __init__(self, spec: pieces.JobSpec, now: float) -> None:
        self.spec = spec
        self.aim_at = now + spec.aim_s
        self.deadline_at = now + spec.deadline_s
        self.failures = 0
        # Forecast time until the answer, in seconds from the admission.
        self.forecast_s = 0.0
        self.finished = False
        # Whether it is served after its aim, within its deadline.
        self.late = False
        # Time by which it goes before jobs with the same latest start.
        self.head_start_s = 0.0
        # Whether it goes before the jobs of callers who hold nothing.
        self.goes_first = False
        # Whether any of its pieces was sent to a target.
        self.started = bool(spec.held)
        # Whether no further piece is started, as another owner goes on.
        self.is_leaving = False
        # Latest start that meets the aim, known once it is admitted; without
        # a bound if it goes first.
        self.latest_start_at = math.inf
        # Unstarted work in seconds by service, as counted in the backlog.
        self.backlog_s_by_service: dict[str, float] = {}
        # In an order in which each stage is behind its predecessors.
        self.stages = [
            number
            for number in routes.topological_order(spec.stages)
            if spec.piece_counts[number] > 0
        ]
        self.waiting: dict[int, set[int]] = {}
        self.running: dict[int, set[int]] = {n: set() for n in self.stages}
        self.results: dict[int, dict[int, PlacedResult]] = {
            number: {} for number in self.stages
        }
        self._predecessors = {
            number: self._find_predecessors(number) for number in self.stages
        }
        self._successors: dict[int, list[int]] = {n: [] for n in self.stages}
        for number, predecessors in self._predecessors.items():
            for predecessor in predecessors:
                self._successors[predecessor].append(number)
        self.final_stages = tuple(
            number
            for number in sorted(self.stages)
            if not self._successors[number]
        )
        self._add_held()
        self.update_waiting()

    def predecessors(self, stage: int) -> tuple[int, ...]:
        """Return the non-empty stages whose results a stage needs."""
        return self._predecessors[stage]

    def piece_count(self, stage: int) -> int:
        """Return the number of pieces of a stage."""
        return self.spec.piece_counts[stage]

    def is_complete(self, stage: int) -> bool:
        """Return whether every piece of a stage has a result."""
        return len(self.results[stage]) == self.spec.piece_counts[stage]

    def unstarted_pieces(self, stage: int) -> int:
        """Return the number of pieces of a stage that must still start."""
        if not self.started:
            return self.spec.piece_counts[stage]
        if not self._is_needed(stage):
            return 0
        return (
            self.spec.piece_counts[stage]
            - len(self.results[stage])
            - len(self.running[stage])
        )

    def update_waiting(self) -> None:
        """Add unstarted pieces with complete inputs to the waiting ones."""
        for stage in self.stages:
            if not self.unstarted_pieces(stage):
                continue
            if not all(
                self.is_complete(predecessor)
                for predecessor in self._predecessors[stage]
            ):
                continue
            done = self.results[stage]
            running = self.running[stage]
            waiting = {
                piece
                for piece in range(self.spec.piece_counts[stage])
                if piece not in done and piece not in running
            }
            if waiting:
                self.waiting[stage] = waiting

    def start_piece(self, piece_id: PieceId) -> None:
        """Move a piece from waiting to running."""
        stage, piece = piece_id
        self.started = True
        waiting_pieces = self.waiting[stage]
        waiting_pieces.discard(piece)
        if not waiting_pieces:
            del self.waiting[stage]
        self.running[stage].add(piece)

    def inputs(self, stage: int) -> tuple[PlacedResult, ...]:
        """Return the results that the pieces of a stage need."""
        return self._collect(self._predecessors[stage])

    def final_results(self) -> tuple[PlacedResult, ...] | None:
        """Return the inputs of the request itself, or None if incomplete."""
        if not all(self.is_complete(stage) for stage in self.final_stages):
            return None
        return self._collect(self.final_stages)

    def result(self) -> pieces.JobResult | None:
        """Return the result of the job, or None if it is incomplete."""
        final = self.final_results()
        if final is None:
            return None
        return pieces.JobResult(
            self.spec.job_id,
            tuple(
                pieces.StageResult(
                    placed.handle, placed.data_centre, placed.size
                )
                for placed in final
            ),
            spent_s=self.spec.spent_s,
        )

    def all_results(self) -> list[PlacedResult]:
        """Return all results that targets still hold for the job."""
        return [
            placed
            for results_by_piece in self.results.values()
            for placed in results_by_piece.values()
        ]

    def take_consumed(self) -> list[PlacedResult]:
        """Remove and return the results that no stage needs any more."""
        consumed: list[PlacedResult] = []
        for stage in self.stages:
            results_by_piece = self.results[stage]
            if not results_by_piece or not self._successors[stage]:
                continue
            if all(
                self.is_complete(successor)
                for successor in self._successors[stage]
            ):
                consumed += results_by_piece.values()
                self.results[stage] = {}
        return consumed

    def withdraw(self) -> pieces.JobHandover:
        """End the job here, and return it with its results."""
        held = tuple(
            pieces.HeldResult(stage, piece, **dataclasses.asdict(placed))
            for stage, results_by_piece in self.results.items()
            for piece, placed in results_by_piece.items()
        )
        self.finished = True
        self.results = {stage: {} for stage in self.stages}
        self.waiting = {}
        return pieces.JobHandover(self.spec.job_id, True, held)

    def drop_results(self, target_id: str) -> bool:
        """Drop the results that a lost target held.

        :returns: whether any result was dropped.
        """
        dropped = False
        for stage in self.stages:
            results_by_piece = self.results[stage]
            kept = {
                piece: placed
                for piece, placed in results_by_piece.items()
                if placed.target_id != target_id
            }
            if len(kept) < len(results_by_piece):
                self.results[stage] = kept
                dropped = True
        if dropped:
            self._remove_unready()
            self.update_waiting()
        return dropped

    def drop_inputs(self, stage: int) -> list[PlacedResult]:
        """Drop the inputs of a stage so that they are recomputed.

        :returns: the dropped results.
        """
        dropped: list[PlacedResult] = []
        for predecessor in self._predecessors[stage]:
            dropped += self.results[predecessor].values()
            self.results[predecessor] = {}
        self._remove_unready()
        return dropped

    def _add_held(self) -> None:
        """Add the results of the owner before."""
        for held in self.spec.held:
            if held.stage not in self.results or not (
                0 <= held.piece < self.spec.piece_counts[held.stage]
            ):
                continue
            self.results[held.stage][held.piece] = PlacedResult(
                held.handle, held.target_id, held.data_centre, held.size
            )

    def _remove_unready(self) -> None:
        """Remove waiting pieces with incomplete inputs."""
        for stage in list(self.waiting):
            if not all(
                self.is_complete(predecessor)
                for predecessor in self._predecessors[stage]
            ):
                del self.waiting[stage]

    def _collect(self, stages: Iterable[int]) -> tuple[PlacedResult, ...]:
        return tuple(
            self.results[stage][piece]
            for stage in stages
            for piece in range(self.spec.piece_counts[stage])
        )

    def _find_predecessors(self, stage: int) -> tuple[int, ...]:
        predecessors: list[int] = []
        for predecessor in self.spec.stages[stage].after:
            if self.spec.piece_counts[predecessor] > 0:
                predecessors.append(predecessor)
            else:
                predecessors.extend(self._find_predecessors(predecessor))
        return tuple(dict.fromkeys(predecessors))

    def _is_needed(self, stage: int) -> bool:
        """Return whether the results of a stage are still needed."""
        successors = self._successors[stage]
        return not successors or any(
            not self.is_complete(successor) and self._is_needed(successor)
            for successor in successors
        )
