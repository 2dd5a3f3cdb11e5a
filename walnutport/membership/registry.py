"""Registry of the targets, built from the target feed of the store."""

from collections.abc import Callable
import dataclasses

from walnutport import exceptions
from walnutport.world import feeds
from walnutport.world import registrations

__all__ = ['CHANGE_KINDS', 'RegistryChange', 'TargetRegistry']

#: Kinds of change of a target.
CHANGE_KINDS = ('added', 'draining', 'ready', 'restarted', 'gone')

# After an outage of the store, live targets restore their lapsed entries
# within about two seconds, according to the users.
LAPSE_GRACE_S = 2.3
# An outage shorter than this cannot make an entry lapse.
MIN_OUTAGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RegistryChange:
    """Change of a target.

    :param change: one of ``CHANGE_KINDS``.
    :param offset: offset in the feed.
    """

    target_id: str
    change: str
    offset: int


class TargetRegistry:
    """Current targets, from the records of the target feed.

    Records may come from the store or from other hosts, repeatedly and in any
    order; of each key the record with the highest offset is valid.

    :param decode: decodes the key and value of a record into a target; raises
        WireError.
    """

    def __init__(
        self, decode: Callable[[str, bytes], registrations.RegisteredTarget]
    ) -> None:
        self._decode = decode
        self._records_by_key: dict[str, feeds.FeedRecord] = {}
        self._targets_by_id: dict[str, registrations.RegisteredTarget] = {}
        self._lapsed_until_by_id: dict[str, float] = {}
        self._grace_until = 0.0
        self._changed_at_by_key: dict[str, int] = {}
        # Offset up to which the feed was read.
        self.end_offset = 0
        # Offset after the last record that changed a target; most records are
        # heartbeats, which change nothing.
        self.changes_end_offset = 0

    @property
    def targets(self) -> dict[str, registrations.RegisteredTarget]:
        """Targets by id, including those that are draining."""
        return self._targets_by_id

    def store_recovered(self, outage_s: float, now: float) -> None:
        """Start the grace period for lapsed entries after an outage."""
        if outage_s >= MIN_OUTAGE_S:
            self._grace_until = now + LAPSE_GRACE_S

    def grace_left_s(self, now: float) -> float:
        """Return how long removed entries still count as only lapsed."""
        return max(0.0, self._grace_until - now)

    def extend_grace(self, grace_s: float, now: float) -> None:
        """Adopt the grace period of the host that read the records."""
        self._grace_until = max(self._grace_until, now + grace_s)

    def apply(
        self, page: feeds.FeedPage, now: float
    ) -> tuple[list[RegistryChange], list[str]]:
        """Apply a page of records.

        :returns: the changes, and an error message for each record that
            cannot be decoded.
        """
        changes: list[RegistryChange] = []
        errors: list[str] = []
        for record in page.records:
            self._apply_record(record, now, changes, errors)
        self.end_offset = max(self.end_offset, page.end)
        return changes, errors

    def apply_partial(
        self, records: tuple[feeds.FeedRecord, ...], now: float
    ) -> tuple[list[RegistryChange], list[str]]:
        """Apply records although earlier ones may be missing."""
        changed_end = self.changes_end_offset
        result = self.apply(feeds.FeedPage(records, self.end_offset), now)
        self.changes_end_offset = changed_end
        return result

    def replace(
        self, page: feeds.FeedPage, now: float
    ) -> tuple[list[RegistryChange], list[str]]:
        """Apply a page that contains every key; unlisted keys are removed."""
        listed_keys = {record.key for record in page.records}
        removed = tuple(
            feeds.FeedRecord(key, None, page.end - 1)
            for key in self._records_by_key
            if key not in listed_keys
        )
        return self.apply(
            feeds.FeedPage(page.records + removed, page.end), now
        )

    def remove_lapsed(self, now: float) -> list[RegistryChange]:
        """Remove the targets whose lapsed entries were not restored."""
        changes: list[RegistryChange] = []
        for target_id, until in list(self._lapsed_until_by_id.items()):
            if now >= until:
                del self._lapsed_until_by_id[target_id]
                self._remove(target_id, self.end_offset, changes)
        return changes

    def changes_after(self, offset: int) -> tuple[feeds.FeedRecord, ...]:
        """Return the latest records of the keys changed since an offset."""
        return tuple(
            self._records_by_key[key]
            for key, changed_at in self._changed_at_by_key.items()
            if changed_at >= offset
        )

    def mark_caught_up(self, changed_end: int) -> None:
        """Record that all changes before an offset are known.

        Heartbeats advance the offset of a target's record, so hosts that read
        the list at different times have the same targets at different offsets.
        """
        self.changes_end_offset = max(self.changes_end_offset, changed_end)

    def usable(self, service: str) -> list[registrations.RegisteredTarget]:
        """Return the targets of a service that accept new work."""
        return [
            target
            for target in self._targets_by_id.values()
            if target.service == service and not target.draining
        ]

    def _apply_record(
        self,
        record: feeds.FeedRecord,
        now: float,
        changes: list[RegistryChange],
        errors: list[str],
    ) -> None:
        previous = self._records_by_key.get(record.key)
        if previous is not None and previous.offset >= record.offset:
            return
        self._records_by_key[record.key] = record
        if record.value is None:
            if record.key not in self._targets_by_id:
                return
            self._mark_changed(record)
            if now < self._grace_until:
                self._lapsed_until_by_id[record.key] = self._grace_until
            else:
                self._remove(record.key, record.offset, changes)
            return
        try:
            target = self._decode(record.key, record.value)
        except exceptions.WireError as error:
            errors.append(f'offset {record.offset}: {error}')
            self._remove(record.key, record.offset, changes)
            self._mark_changed(record)
            return
        self._lapsed_until_by_id.pop(record.key, None)
        before = self._targets_by_id.get(record.key)
        self._targets_by_id[record.key] = target
        change = _change_kind(before, target)
        if change:
            self._mark_changed(record)
            changes.append(RegistryChange(record.key, change, record.offset))

    def _mark_changed(self, record: feeds.FeedRecord) -> None:
        self._changed_at_by_key[record.key] = record.offset
        self.changes_end_offset = max(
            self.changes_end_offset, record.offset + 1
        )

    def _remove(
        self, target_id: str, offset: int, changes: list[RegistryChange]
    ) -> None:
        if self._targets_by_id.pop(target_id, None) is not None:
            changes.append(RegistryChange(target_id, 'gone', offset))


def _change_kind(
    before: registrations.RegisteredTarget | None,
    after: registrations.RegisteredTarget,
) -> str:
    if before is None:
        return 'draining' if after.draining else 'added'
    if (
        before.incarnation_key != after.incarnation_key
        or before.service != after.service
    ):
        return 'restarted'
    if before.draining != after.draining:
        return 'draining' if after.draining else 'ready'
    return ''
