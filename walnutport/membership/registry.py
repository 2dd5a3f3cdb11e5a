"""Targets of the installation as its store lists them."""

from collections.abc import Callable
import dataclasses

from walnutport import exceptions
from walnutport.world import feeds
from walnutport.world import registrations

__all__ = ['CHANGE_KINDS', 'RegistryChange', 'TargetRegistry']

#: What can happen to a target.
CHANGE_KINDS = ('added', 'draining', 'ready', 'restarted', 'gone')

# After an outage of the store, entries that lapsed meanwhile are back within
# about two seconds if their target lives (letter of the users).
LAPSE_GRACE_S = 2.3
# An outage shorter than this cannot have made an entry lapse.
SHORTEST_OUTAGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RegistryChange:
    """One change of what is believed of a target."""

    target_id: str
    change: str
    offset: int


class TargetRegistry:
    """Folds the records of the target feed.

    Records may come from the store or from other hosts, twice and in any
    order; the highest offset of a key decides.

    :param decode: turns a record into a target; raises WireError.
    """

    def __init__(
        self, decode: Callable[[str, bytes], registrations.RegisteredTarget]
    ) -> None:
        self._decode = decode
        self._record_by_key: dict[str, feeds.FeedRecord] = {}
        self._target_by_id: dict[str, registrations.RegisteredTarget] = {}
        self._lapsed_until: dict[str, float] = {}
        self._grace_until = 0.0
        self._changed_at_by_key: dict[str, int] = {}
        self.end = 0
        # Offset after the last record that changed what is believed; most
        # records are heartbeats that change nothing.
        self.changed_end = 0

    @property
    def targets(self) -> dict[str, registrations.RegisteredTarget]:
        """Targets by id, those that are leaving among them."""
        return self._target_by_id

    def store_recovered(self, outage_s: float, now: float) -> None:
        """Take note that the store answers again."""
        if outage_s >= SHORTEST_OUTAGE_S:
            self._grace_until = now + LAPSE_GRACE_S

    def grace_left_s(self, now: float) -> float:
        """Return how long removed entries still count as lapsed."""
        return max(0.0, self._grace_until - now)

    def extend_grace(self, grace_s: float, now: float) -> None:
        """Take over the grace of the host that read the records."""
        self._grace_until = max(self._grace_until, now + grace_s)

    def apply(
        self, page: feeds.FeedPage, now: float
    ) -> tuple[list[RegistryChange], list[str]]:
        """Fold a page of records.

        :returns: what changed, and the problems of records that cannot be
            read.
        """
        changes: list[RegistryChange] = []
        problems: list[str] = []
        for record in page.records:
            self._fold(record, now, changes, problems)
        self.end = max(self.end, page.end)
        return changes, problems

    def apply_partial(
        self, records: tuple[feeds.FeedRecord, ...], now: float
    ) -> tuple[list[RegistryChange], list[str]]:
        """Fold records before which others may be missing."""
        changed_end = self.changed_end
        found = self.apply(feeds.FeedPage(records, self.end), now)
        self.changed_end = changed_end
        return found

    def replace(
        self, page: feeds.FeedPage, now: float
    ) -> tuple[list[RegistryChange], list[str]]:
        """Fold a page that holds every key."""
        listed = {record.key for record in page.records}
        removed = tuple(
            feeds.FeedRecord(key, None, page.end - 1)
            for key in self._record_by_key
            if key not in listed
        )
        return self.apply(
            feeds.FeedPage(page.records + removed, page.end), now
        )

    def expire(self, now: float) -> list[RegistryChange]:
        """Remove the targets whose lapsed entries did not come back."""
        changes: list[RegistryChange] = []
        for target_id, until in list(self._lapsed_until.items()):
            if now >= until:
                del self._lapsed_until[target_id]
                self._remove(target_id, self.end, changes)
        return changes

    def changes_after(self, offset: int) -> tuple[feeds.FeedRecord, ...]:
        """Return the newest records of the keys that changed since."""
        return tuple(
            self._record_by_key[key]
            for key, changed_at in self._changed_at_by_key.items()
            if changed_at >= offset
        )

    def mark_caught_up(self, changed_end: int) -> None:
        """Take note that all changes up to an offset are known.

        The records of a heartbeat move on, so hosts that read the list at
        different times hold the same targets with different offsets.
        """
        self.changed_end = max(self.changed_end, changed_end)

    def usable(self, service: str) -> list[registrations.RegisteredTarget]:
        """Return the targets of a service that take new work."""
        return [
            target
            for target in self._target_by_id.values()
            if target.service == service and not target.draining
        ]

    def _fold(
        self,
        record: feeds.FeedRecord,
        now: float,
        changes: list[RegistryChange],
        problems: list[str],
    ) -> None:
        known = self._record_by_key.get(record.key)
        if known is not None and known.offset >= record.offset:
            return
        self._record_by_key[record.key] = record
        if record.value is None:
            if record.key not in self._target_by_id:
                return
            self._changed(record)
            if now < self._grace_until:
                self._lapsed_until[record.key] = self._grace_until
            else:
                self._remove(record.key, record.offset, changes)
            return
        try:
            target = self._decode(record.key, record.value)
        except exceptions.WireError as problem:
            problems.append(f'offset {record.offset}: {problem}')
            self._remove(record.key, record.offset, changes)
            self._changed(record)
            return
        self._lapsed_until.pop(record.key, None)
        before = self._target_by_id.get(record.key)
        self._target_by_id[record.key] = target
        change = _describe(before, target)
        if change:
            self._changed(record)
            changes.append(RegistryChange(record.key, change, record.offset))

    def _changed(self, record: feeds.FeedRecord) -> None:
        self._changed_at_by_key[record.key] = record.offset
        self.changed_end = max(self.changed_end, record.offset + 1)

    def _remove(
        self, target_id: str, offset: int, changes: list[RegistryChange]
    ) -> None:
        if self._target_by_id.pop(target_id, None) is not None:
            changes.append(RegistryChange(target_id, 'gone', offset))


def _describe(
    before: registrations.RegisteredTarget | None,
    after: registrations.RegisteredTarget,
) -> str:
    if before is None:
        return 'draining' if after.draining else 'added'
    if before.lifetime != after.lifetime or before.service != after.service:
        return 'restarted'
    if before.draining != after.draining:
        return 'draining' if after.draining else 'ready'
    return ''
