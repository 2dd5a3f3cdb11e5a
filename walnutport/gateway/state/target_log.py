"""Logs what records of targets have changed."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from walnutport.gateway.state import unreadable_records
from walnutport.membership import registry

__all__ = ['TargetLog']


class TargetLog:
    """Log lines for the changes of targets.

    :param on_change: called after changes were logged.
    :ivar unreadable: entries that could not be decoded.
    """

    def __init__(self, log, on_change: Callable[[], None]) -> None:
        self._log = log
        self._on_change = on_change
        self.unreadable = unreadable_records.UnreadableRecords('targets')

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
