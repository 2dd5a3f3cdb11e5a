"""Follows the catalogue stream and keeps the fold up to date.

As long as no record is missing, changes are folded as they are read. When
records have expired unread, the changes that follow cannot be judged: they
are held back until a snapshot with a base offset at or after the first of
them is read. The state is then rebuilt from the snapshot and the changes
after its base, and merged by version into the state in force, so that no
entry goes back to an older version.
"""

import collections
from collections.abc import Callable
import logging

from walnutport.catalogue import fold
from walnutport.catalogue import records
from walnutport.catalogue import snapshot
from walnutport import exceptions
from walnutport import interfaces

__all__ = ['CatalogueFollower', 'OnResult']

LOG = logging.getLogger(__name__)
PREFIX = 'catalogue:'

OnResult = Callable[
    [interfaces.LogRecord, records.ChangeRecord, fold.FoldResult], None
]


class CatalogueFollower:
    """Log follower that feeds a ``CatalogueFold``.

    :param on_change: called after entries changed.
    :param on_result: called with each folded change and what became of it.
    """

    stream = records.CATALOGUE_STREAM

    def __init__(
        self,
        on_change: Callable[[], None],
        on_result: OnResult = lambda record, change, result: None,
    ) -> None:
        self.fold = fold.CatalogueFold()
        self.synced = False
        self._on_change = on_change
        self._on_result = on_result
        self._next = 0
        self._folded = 0
        # Changes read after a gap, until a snapshot closes it.
        self._held: list[interfaces.LogRecord] | None = None
        self._held_from = 0
        self._snapshot_base = -1
        self._needed: collections.deque[tuple[int, int]] = collections.deque()
        self._needed_since_ms: int | None = None

    @property
    def offset(self) -> int:
        """Return the offset up to which the fold is complete."""
        return self._folded

    @property
    def has_gap(self) -> bool:
        """Return whether records have expired before they were read."""
        return self._held is not None

    @property
    def oldest_needed_ms(self) -> int | None:
        """Return the Unix time in ms of the oldest needed record.

        Needed are the newest snapshot and every change after its base. None
        if nothing is needed or this host could not write a snapshot.
        """
        if self.has_gap or not self.synced:
            return None
        times = [time_ms for _, time_ms in self._needed]
        if self._needed_since_ms is not None:
            times.append(self._needed_since_ms)
        return min(times, default=None)

    def start_offset(self) -> int:
        """Return the offset to read from next."""
        return self._next

    def apply(self, page: interfaces.StreamPage, now: float) -> None:
        """Apply a page of the stream; what was read already is skipped."""
        if page.first_offset > self._next:
            self._open_gap(page.first_offset)
        changed = False
        for record in page.records:
            if record.offset >= self._next:
                changed |= self._take(record)
                self._next = record.offset + 1
        self._next = max(self._next, page.next_offset)
        if not self.has_gap:
            self._folded = self._next
            self.synced = self.synced or self._next >= page.end_offset
        if changed:
            self._on_change()

    def take_snapshot(self) -> snapshot.Snapshot | None:
        """Return the state with its offset, or None if it has a gap."""
        if self.has_gap or not self.synced:
            return None
        return snapshot.Snapshot(self._folded, self.fold.entries())

    def merge_snapshot(self, found: snapshot.Snapshot, since_ms: int) -> bool:
        """Merge the state of a peer.

        :param since_ms: Unix time in ms to take for the oldest needed
            record, which is not known from a peer.
        :returns: whether the state has no gap.
        """
        behind = found.base_offset < (
            self._next if self._held is None else self._held_from
        )
        if behind or self._held is None:
            changed = self.fold.merge(found.entries) > 0
        else:
            changed = self._close_gap(found)
        if not behind:
            self._next = max(self._next, found.base_offset)
            self._folded = self._next
            self._needed_since_ms = since_ms
        if not self.has_gap:
            self.synced = True
        if changed:
            self._on_change()
        return not self.has_gap

    def _open_gap(self, first_offset: int) -> None:
        if self._next > 0 or first_offset > 0:
            LOG.warning(
                '%s records %d to %d have expired',
                PREFIX,
                self._next,
                first_offset - 1,
            )
        self._held = []
        self._held_from = first_offset
        self._next = first_offset

    def _take(self, record: interfaces.LogRecord) -> bool:
        """Take the next record; return whether entries changed."""
        if snapshot.is_snapshot(record.payload):
            return self._take_snapshot(record)
        if self._held is not None:
            self._held.append(record)
            return False
        return self._fold_change(self.fold, record)

    def _fold_change(
        self, state: fold.CatalogueFold, record: interfaces.LogRecord
    ) -> bool:
        try:
            change = records.decode_change(record.payload)
        except exceptions.CodecError as error:
            LOG.warning('%s record %d: %s', PREFIX, record.offset, error)
            return False
        result = state.apply(change)
        self._needed.append((record.offset, record.time_ms))
        self._on_result(record, change, result)
        return result.accepted

    def _take_snapshot(self, record: interfaces.LogRecord) -> bool:
        changed = False
        try:
            base_offset = snapshot.decode_base(record.payload)
            if base_offset > record.offset:
                raise exceptions.CodecError('base is ahead of the record')
            if self._held is not None:
                if base_offset < self._held_from:
                    return False
                found = snapshot.decode_snapshot(record.payload)
                changed = self._close_gap(found)
        except exceptions.CodecError as error:
            LOG.warning('%s record %d: %s', PREFIX, record.offset, error)
            return False
        if base_offset >= self._snapshot_base:
            self._snapshot_base = base_offset
            self._needed_since_ms = record.time_ms
            while self._needed and self._needed[0][0] < base_offset:
                self._needed.popleft()
        return changed

    def _close_gap(self, found: snapshot.Snapshot) -> bool:
        held, self._held = self._held or [], None
        rebuilt = fold.CatalogueFold()
        rebuilt.merge(found.entries)
        self._needed.clear()
        for record in held:
            if record.offset >= found.base_offset:
                self._fold_change(rebuilt, record)
        LOG.info('%s rebuilt from base %d', PREFIX, found.base_offset)
        return self.fold.merge(rebuilt.entries()) > 0
