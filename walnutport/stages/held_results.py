"""Results that stage targets hold, until nobody needs them."""

from walnutport.stages import cell_targets
from walnutport.stages import jobs
from walnutport.world import registrations

__all__ = ['HeldResults']


class HeldResults:
    """Gives the memory of results back to the targets of a cell."""

    def __init__(self, targets: cell_targets.CellTargets) -> None:
        self._targets = targets
        self._freed_by_target: dict[str, list[str]] = {}

    def free(self, placed: jobs.Placed) -> None:
        """Take note that a result is not needed any more."""
        target = self._targets.by_id.get(placed.target_id)
        if target is None:
            return
        target.give_room(placed.size)
        self._freed_by_target.setdefault(placed.target_id, []).append(
            placed.handle
        )

    def forget(self, target_id: str) -> None:
        """Drop what was to be freed at a lifetime that is lost."""
        self._freed_by_target.pop(target_id, None)

    def take_freed(
        self,
    ) -> list[tuple[registrations.RegisteredTarget, list[str]]]:
        """Return the handles to free now, by target."""
        freed, self._freed_by_target = self._freed_by_target, {}
        return [
            (self._targets.by_id[target_id].info, handles)
            for target_id, handles in freed.items()
            if target_id in self._targets.by_id
        ]
