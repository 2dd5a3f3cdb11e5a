"""Release of results that stage targets hold."""

from walnutport.stages import cell_targets
from walnutport.stages import jobs
from walnutport.world import registrations

__all__ = ['HeldResults']


class HeldResults:
    """Collects the results that the targets of a cell can release."""

    def __init__(self, targets: cell_targets.CellTargets) -> None:
        self._targets = targets
        self._freed_by_target: dict[str, list[str]] = {}

    def free(self, placed: jobs.PlacedResult) -> None:
        """Release the memory of an unneeded result and record its handle."""
        target = self._targets.by_id.get(placed.target_id)
        if target is None:
            return
        target.release_memory(placed.size)
        self._freed_by_target.setdefault(placed.target_id, []).append(
            placed.handle
        )

    def discard(self, target_id: str) -> None:
        """Drop the pending releases of a target whose lifetime has ended."""
        self._freed_by_target.pop(target_id, None)

    def take_freed(
        self,
    ) -> list[tuple[registrations.RegisteredTarget, list[str]]]:
        """Return and clear the handles to free, by target."""
        freed, self._freed_by_target = self._freed_by_target, {}
        return [
            (self._targets.by_id[target_id].info, handles)
            for target_id, handles in freed.items()
            if target_id in self._targets.by_id
        ]
