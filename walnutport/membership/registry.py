"""Registry of the targets, built from the target feed of the store."""

from collections.abc import Callable
import dataclasses

from walnutport import exceptions
from walnutport.routing import cold_targets
from walnutport.world import feeds
from walnutport.world import registrations

__all__ = [
    'CHANGE_KINDS',
    'LAPSE_GRACE_S',
    'MIN_OUTAGE_S',
    'RegistryChange',
    'SupersededEntry',
    'TargetRegistry',
    'UnreadableEntry',
]

#: Kinds of change of a target.
CHANGE_KINDS = ('added', 'draining', 'ready', 'restarted', 'gone', 'cold_time')

# After an outage of the store, live targets restore their lapsed entries
# within about two seconds, according to the users.
LAPSE_GRACE_S = 2.3
# After the store has returned from an older copy, targets write their entries
# again within the same time, and a host that does not read the store gets them
# from a peer.
ERA_GRACE_S = 3.5
# The copy from which the store returns is some seconds old, and lists targets
# that were removed since.
REMOVED_RETENTION_S = 120.0
# Hosts keep and pass on this in place of an entry that cannot be decoded. It
# cannot be decoded either, and peers need not decode what another writer left.
UNREADABLE_VALUE = b''
# An outage shorter than this cannot make an entry lapse: it takes three missed
# liveness reports. The time since the last read, as heartbeats tell it, is up
# to 1.5 s without an outage.
MIN_OUTAGE_S = 1.8


@dataclasses.dataclass(frozen=True, slots=True)
class RegistryChange:
    """Change of a target.

    :param change: one of ``CHANGE_KINDS``.
    :param offset: offset in the feed.
    """

    target_id: str
    change: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """Record that cannot be decoded, and so names no target.

    :param offset: offset in the feed.
    :param problem: why it cannot be decoded.
    """

    key: str
    offset: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class SupersededEntry:
    """Entry that changes nothing, as a later one was seen before.

    :param entry: the target as the entry has it.
    :param earliest_valid: run and sequence number from which on entries of the
        target are valid.
    :param offset: offset in the feed.
    """

    entry: registrations.RegisteredTarget
    earliest_valid: tuple[int, int]
    offset: int


class TargetRegistry:
    """Current targets, from the records of the target feed.

    Records may come from the store or from other hosts, repeatedly and in any
    order; of each key the record with the highest offset is valid. When the
    store returns from an older copy, offsets start again, and the entries that
    the targets had written since the copy are missing until they write again.
    Until then the targets stay as they were known: an entry that is older than
    one seen before changes nothing.

    :param decode: decodes the key and value of a record into a target; raises
        WireError.
    :param on_superseded: called for each entry that changes nothing, as a
        later one was seen before.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], registrations.RegisteredTarget],
        on_superseded: Callable[[SupersededEntry], None] = lambda entry: None,
    ) -> None:
        self._on_superseded = on_superseded
        self._decode = decode
        self._records_by_key: dict[str, feeds.FeedRecord] = {}
        self._targets_by_id: dict[str, registrations.RegisteredTarget] = {}
        self._removed_by_id: dict[str, _RemovedTarget] = {}
        self._lapsed_until_by_id: dict[str, float] = {}
        self._grace_until = 0.0
        # Ends of the cold times that other hosts were told, by target.
        self._cold_until_by_id: dict[str, float] = {}
        #: Services whose cold targets are limited; for the others, a change of
        #: the cold time is none.
        self.limited_services: frozenset[str] = frozenset()
        self._changed_at_by_key: dict[str, int] = {}
        # Services and versions of runs that have ended or were replaced.
        self._ended_versions: set[tuple[str, str]] = set()
        # Earliest entry of each known target that is valid in this era.
        self._first_valid_by_id: dict[str, tuple[int, int]] = {}
        # Era of the store that the offsets belong to.
        self.era = 0
        # Offset up to which the feed was read.
        self.end_offset = 0
        # Offset up to which records were read as a list, so that keys which
        # were removed before may be missing in ``changes_after``.
        self.listed_end_offset = 0
        # Offset after the last record that changed a target; most records are
        # heartbeats, which change nothing.
        self.changes_end_offset = 0

    @property
    def targets(self) -> dict[str, registrations.RegisteredTarget]:
        """Targets by id, including those that are draining."""
        return self._targets_by_id

    def take_ended_versions(self) -> set[tuple[str, str]]:
        """Return services and versions of runs that ended since the last call.

        One page may hold both the first entry of a run and its end, so that
        its version is never seen among the targets.
        """
        ended, self._ended_versions = self._ended_versions, set()
        return ended

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

    def enter_era(self, era: int, now: float) -> None:
        """Forget all offsets, as the store has returned from an older copy.

        Targets whose entries the copy lacks have a grace period to write them
        again.
        """
        self._first_valid_by_id = {
            target_id: removed.next_entry
            for target_id, removed in self._removed_by_id.items()
        }
        for target_id, target in self._targets_by_id.items():
            self._first_valid_by_id[target_id] = _entry_order(target)
        self.era = era
        self._records_by_key.clear()
        self._changed_at_by_key.clear()
        self.end_offset = 0
        self.listed_end_offset = 0
        self.changes_end_offset = 0
        self._grace_until = now + ERA_GRACE_S
        for target_id in self._targets_by_id:
            self._lapsed_until_by_id[target_id] = self._grace_until

    def apply(
        self, page: feeds.FeedPage, now: float
    ) -> tuple[list[RegistryChange], list[UnreadableEntry]]:
        """Apply a page of records.

        :returns: the changes, and the records that cannot be decoded.
        """
        changes: list[RegistryChange] = []
        unreadable: list[UnreadableEntry] = []
        for record in page.records:
            self._apply_record(record, now, changes, unreadable)
        self.end_offset = max(self.end_offset, page.end)
        return changes, unreadable

    def apply_partial(
        self, records: tuple[feeds.FeedRecord, ...], now: float
    ) -> tuple[list[RegistryChange], list[UnreadableEntry]]:
        """Apply records although earlier ones may be missing."""
        changed_end = self.changes_end_offset
        result = self.apply(feeds.FeedPage(records, self.end_offset), now)
        self.changes_end_offset = changed_end
        return result

    def replace(
        self, page: feeds.FeedPage, now: float
    ) -> tuple[list[RegistryChange], list[UnreadableEntry]]:
        """Apply a page that contains every key; unlisted keys are removed."""
        listed_keys = {record.key for record in page.records}
        removed = tuple(
            feeds.FeedRecord(key, None, page.end - 1)
            for key in self._records_by_key
            if key not in listed_keys
        )
        result = self.apply(
            feeds.FeedPage(page.records + removed, page.end), now
        )
        self.listed_end_offset = max(self.listed_end_offset, page.end)
        return result

    def lapse_is_due(self, now: float, within_s: float) -> bool:
        """Return whether a lapsed target will be removed within a time."""
        return any(
            until - now <= within_s
            for until in self._lapsed_until_by_id.values()
        )

    def remove_lapsed(self, now: float) -> list[RegistryChange]:
        """Remove the targets whose lapsed entries were not restored."""
        changes: list[RegistryChange] = []
        for target_id, until in list(self._lapsed_until_by_id.items()):
            if now >= until:
                del self._lapsed_until_by_id[target_id]
                self._remove(target_id, self.end_offset, now, changes)
        self._forget_removed(now)
        return changes

    def changes_after(self, offset: int) -> tuple[feeds.FeedRecord, ...]:
        """Return the latest records of the keys changed since an offset.

        Below ``listed_end_offset``, removed keys may be missing.
        """
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

    def _apply_record(
        self,
        record: feeds.FeedRecord,
        now: float,
        changes: list[RegistryChange],
        unreadable: list[UnreadableEntry],
    ) -> None:
        previous = self._records_by_key.get(record.key)
        if previous is not None and previous.offset >= record.offset:
            return
        if previous is None and record.offset < self.listed_end_offset:
            # A key that the list lacked had been removed; the record is from a
            # host that lags behind.
            return
        self._records_by_key[record.key] = record
        if record.value is None:
            if record.key not in self._targets_by_id:
                if previous is not None and previous.value is not None:
                    # A host that has started since may take the entry before
                    # for valid.
                    self._mark_changed(record)
                return
            self._mark_changed(record)
            if now < self._grace_until:
                self._lapsed_until_by_id[record.key] = self._grace_until
            else:
                self._remove(record.key, record.offset, now, changes)
            return
        try:
            target = self._decode(record.key, record.value)
        except exceptions.WireError as error:
            unreadable.append(
                UnreadableEntry(record.key, record.offset, str(error))
            )
            self._records_by_key[record.key] = dataclasses.replace(
                record, value=UNREADABLE_VALUE
            )
            self._remove(record.key, record.offset, now, changes)
            self._mark_changed(record)
            return
        if self._is_superseded(target, record.offset):
            return
        has_lapsed = self._lapsed_until_by_id.pop(record.key, None) is not None
        before = self._targets_by_id.get(record.key)
        if before is not None and (
            before.service != target.service
            or before.software_version != target.software_version
        ):
            self._end_version(before)
        self._targets_by_id[record.key] = target
        self._removed_by_id.pop(record.key, None)
        change = _change_kind(before, target)
        if target.service in self.limited_services and (
            self._cold_time_changes(target, bool(change), now)
        ):
            change = change or 'cold_time'
        # Hosts that are told changes only wait for a lapsed entry as well.
        if change or has_lapsed or record.key not in self._changed_at_by_key:
            self._mark_changed(record)
        if change:
            changes.append(RegistryChange(record.key, change, record.offset))

    def _cold_time_changes(
        self,
        target: registrations.RegisteredTarget,
        is_told: bool,
        now: float,
    ) -> bool:
        """Return whether hosts have to be told the cold time of an entry.

        :param is_told: whether they are told the entry anyway.
        """
        until = self._cold_until_by_id.get(target.target_id)
        if not is_told and not cold_targets.differs_from_known(
            until, target.warmup_s, now
        ):
            return False
        if target.warmup_s:
            self._cold_until_by_id[target.target_id] = now + target.warmup_s
        else:
            self._cold_until_by_id.pop(target.target_id, None)
        return True

    def _is_superseded(
        self, target: registrations.RegisteredTarget, offset: int
    ) -> bool:
        """Return whether a later entry of the target was seen before."""
        first_valid = self._first_valid_by_id.get(target.target_id)
        if first_valid is None:
            return False
        if _entry_order(target) < first_valid:
            self._on_superseded(SupersededEntry(target, first_valid, offset))
            return True
        del self._first_valid_by_id[target.target_id]
        return False

    def _mark_changed(self, record: feeds.FeedRecord) -> None:
        self._changed_at_by_key[record.key] = record.offset
        self.changes_end_offset = max(
            self.changes_end_offset, record.offset + 1
        )

    def _remove(
        self,
        target_id: str,
        offset: int,
        now: float,
        changes: list[RegistryChange],
    ) -> None:
        target = self._targets_by_id.pop(target_id, None)
        if target is not None:
            self._end_version(target)
            # Popped first, so that the targets are in the order of removal.
            self._cold_until_by_id.pop(target_id, None)
            self._removed_by_id.pop(target_id, None)
            self._removed_by_id[target_id] = _RemovedTarget(
                (target.incarnation, target.sequence + 1), now
            )
            changes.append(RegistryChange(target_id, 'gone', offset))

    def _end_version(self, target: registrations.RegisteredTarget) -> None:
        self._ended_versions.add((target.service, target.software_version))

    def _forget_removed(self, now: float) -> None:
        while self._removed_by_id:
            target_id, removed = next(iter(self._removed_by_id.items()))
            if now - removed.removed_at < REMOVED_RETENTION_S:
                return
            del self._removed_by_id[target_id]


@dataclasses.dataclass(frozen=True, slots=True)
class _RemovedTarget:
    """A target that was removed.

    :param next_entry: run and sequence number of the entry after its last one.
    """

    next_entry: tuple[int, int]
    removed_at: float


def _entry_order(
    target: registrations.RegisteredTarget,
) -> tuple[int, int]:
    """Return a key that orders the entries of one target."""
    return (target.incarnation, target.sequence)


def _change_kind(
    before: registrations.RegisteredTarget | None,
    after: registrations.RegisteredTarget,
) -> str:
    if before is None:
        return 'draining' if after.draining else 'added'
    if (
        before.incarnation_key != after.incarnation_key
        or before.service != after.service
        or before.software_version != after.software_version
    ):
        return 'restarted'
    if before.draining != after.draining:
        return 'draining' if after.draining else 'ready'
    return ''
