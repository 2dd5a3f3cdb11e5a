"""Logs what records of targets have changed."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from walnutport.gateway.state import unreadable_records
from walnutport.membership import registry

__all__ = ['MAX_LOGGED_SUPERSEDED', 'TargetLog']

# Bound of the runs of targets whose superseded entries were logged once.
MAX_LOGGED_SUPERSEDED = 1000


class TargetLog:
    """Log lines for the changes of targets.

    :param on_change: called after changes were logged.
    :ivar unreadable: entries that could not be decoded.
    :ivar superseded_count: entries that changed nothing, as a later one was
        seen before.
    """

    def __init__(self, log, on_change: Callable[[], None]) -> None:
        self._log = log
        self._on_change = on_change
        self.unreadable = unreadable_records.UnreadableRecords('targets')
        self.superseded_count = 0
        self._logged_superseded: set[tuple[str, int]] = set()

    def log_changes(
        self,
        changes: Collection[registry.RegistryChange],
        unreadable: Iterable[registry.UnreadableEntry],
        source: str,
    ) -> None:
        """Log changes, and the entries that name no target.

        :param source: where the records came from.
        """
        for entry in unreadable:
            if self.unreadable.add(entry.key, entry.problem):
                self._log.notable(
                    'target_unreadable',
                    target=entry.key,
                    offset=entry.offset,
                    source=source,
                    problem=entry.problem,
                )
        for change in changes:
            self._log.notable(
                'target_' + change.change,
                target=change.target_id,
                offset=change.offset,
                source=source,
            )
        if changes:
            self._on_change()

    def log_superseded(self, superseded: registry.SupersededEntry) -> None:
        """Count an entry that changes nothing; log it once for each run."""
        self.superseded_count += 1
        entry = superseded.entry
        run = (entry.target_id, entry.incarnation)
        if (
            run in self._logged_superseded
            or len(self._logged_superseded) >= MAX_LOGGED_SUPERSEDED
        ):
            return
        self._logged_superseded.add(run)
        valid_incarnation, valid_sequence = superseded.earliest_valid
        self._log.notable(
            'target_entry_superseded',
            target=entry.target_id,
            incarnation=entry.incarnation,
            sequence=entry.sequence,
            valid_incarnation=valid_incarnation,
            valid_sequence=valid_sequence,
            offset=superseded.offset,
        )

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            **self.unreadable.totals(),
            'target_entries_superseded_total': self.superseded_count,
        }
