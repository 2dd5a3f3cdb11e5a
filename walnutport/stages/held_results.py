"""Release of results that stage targets hold."""

from collections.abc import Iterable

from walnutport.stages import cell_targets
from walnutport.stages import jobs
from walnutport.stages import pieces
from walnutport.world import registrations

__all__ = ['HeldResults']


class HeldResults:
    """Collects the results that the targets of a cell can release."""

    def __init__(self, targets: cell_targets.CellTargets) -> None:
        self._targets = targets
        # Handles, each with the memory that freeing it releases.
        self._freed_by_target: dict[str, list[tuple[str, int]]] = {}

    @property
    def has_freed(self) -> bool:
        """Whether results wait to be freed."""
        return bool(self._freed_by_target)

    def adopt(self, held: Iterable[pieces.HeldResult]) -> None:
        """Count the memory of results of another owner."""
        for result in held:
            target = self._targets.by_id.get(result.target_id)
            if target is not None:
                target.held_bytes += result.size

    def hand_over(self, held: Iterable[pieces.HeldResult]) -> None:
        """Stop counting the memory of results that another owner frees."""
        for result in held:
            target = self._targets.by_id.get(result.target_id)
            if target is not None:
                target.release_memory(result.size)

    def free_held(self, held: Iterable[pieces.HeldResult]) -> None:
        """Record results of another owner that are not needed."""
        for result in held:
            self.free(
                jobs.PlacedResult(
                    result.handle,
                    result.target_id,
                    result.data_centre,
                    result.size,
                )
            )

    def free(self, placed: jobs.PlacedResult) -> None:
        """Record a result that is no longer needed.

        Its memory counts as free at once, unless it is freed only when the
        limit that the target states allows it.
        """
        target = self._targets.by_id.get(placed.target_id)
        if target is None:
            return
        if target.min_interval_s:
            freed_bytes = placed.size
        else:
            target.release_memory(placed.size)
            freed_bytes = 0
        self._freed_by_target.setdefault(placed.target_id, []).append(
            (placed.handle, freed_bytes)
        )

    def discard(self, target_id: str) -> None:
        """Drop the pending releases of a target whose lifetime has ended."""
        self._freed_by_target.pop(target_id, None)

    def take_freed(
        self, now: float
    ) -> list[tuple[registrations.RegisteredTarget, list[str]]]:
        """Return and clear the handles to free now, by target.

        Results of a target that states a limit wait for their turn.
        """
        freed = []
        for target_id in list(self._freed_by_target):
            target = self._targets.by_id.get(target_id)
            if target is not None and not target.may_free(now):
                continue
            results = self._freed_by_target.pop(target_id)
            if target is None or target.leaving:
                # The results end with the target.
                continue
            target.record_free(now)
            target.release_memory(sum(size for _, size in results))
            freed.append((target.info, [handle for handle, _ in results]))
        return freed
