"""Follows the catalogue stream and keeps the fold up to date.

As long as no record is missing, changes are folded as they are read. When
records expire before they are read, the changes after that gap cannot be
applied: they are deferred until a snapshot is read whose base offset is not
before the first of them. The state is then rebuilt from the snapshot and the
changes after its base, and merged by version into the current state, so that
no entry returns to an older version.
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
    """Log follower that applies the catalogue stream to a ``CatalogueFold``.

    :param on_change: called after entries changed.
    :param on_result: called with each folded change and its result.
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
        self._next_offset = 0
        self._folded_offset = 0
        # Changes read after a gap, until a snapshot closes it; None if no gap.
        self._deferred: list[interfaces.LogRecord] | None = None
        self._gap_end_offset = 0
        self._snapshot_base = -1
        self._needed_changes: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self._needed_since_ms: int | None = None

    @property
    def folded_offset(self) -> int:
        """Return the offset up to which the fold is complete."""
        return self._folded_offset

    @property
    def has_gap(self) -> bool:
        """Return whether records expired before they were read."""
        return self._deferred is not None

    @property
    def oldest_needed_ms(self) -> int | None:
        """Return the Unix time in ms of the oldest needed record.

        The newest snapshot and every change after its base are needed. None
        if nothing is needed or this host cannot write a snapshot.
        """
        if self.has_gap or not self.synced:
            return None
        times = [time_ms for _, time_ms in self._needed_changes]
        if self._needed_since_ms is not None:
            times.append(self._needed_since_ms)
        return min(times, default=None)

    def start_offset(self) -> int:
        """Return the offset to read from next."""
        return self._next_offset

    def apply(self, page: interfaces.StreamPage, now: float) -> None:
        """Apply a page of the stream; records read before are skipped."""
        if page.first_offset > self._next_offset:
            self._open_gap(page.first_offset)
        changed = False
        for record in page.records:
            if record.offset >= self._next_offset:
                changed |= self._apply_record(record)
                self._next_offset = record.offset + 1
        self._next_offset = max(self._next_offset, page.next_offset)
        if not self.has_gap:
            self._folded_offset = self._next_offset
            self.synced = self.synced or self._next_offset >= page.end_offset
        if changed:
            self._on_change()

    def take_snapshot(self) -> snapshot.Snapshot | None:
        """Return a snapshot of the state, or None if it is incomplete."""
        if self.has_gap or not self.synced:
            return None
        return snapshot.Snapshot(self._folded_offset, self.fold.entries())

    def merge_snapshot(
        self, received: snapshot.Snapshot, since_ms: int
    ) -> bool:
        """Merge a snapshot received from a peer.

        :param since_ms: Unix time in ms to assume for the oldest needed
            record, as the snapshot of a peer does not tell it.
        :returns: whether the state has no gap afterwards.
        """
        behind = received.base_offset < (
            self._next_offset
            if self._deferred is None
            else self._gap_end_offset
        )
        if behind or self._deferred is None:
            changed = self.fold.merge(received.entries) > 0
        else:
            changed = self._close_gap(received)
        if not behind:
            self._next_offset = max(self._next_offset, received.base_offset)
            self._folded_offset = self._next_offset
            self._needed_since_ms = since_ms
        if not self.has_gap:
            self.synced = True
        if changed:
            self._on_change()
        return not self.has_gap

    def _open_gap(self, first_offset: int) -> None:
        if self._next_offset > 0 or first_offset > 0:
            LOG.warning(
                '%s records %d to %d have expired',
                PREFIX,
                self._next_offset,
                first_offset - 1,
            )
        self._deferred = []
        self._gap_end_offset = first_offset
        self._next_offset = first_offset

    def _apply_record(self, record: interfaces.LogRecord) -> bool:
        """Apply the next record; return whether entries changed."""
        if snapshot.is_snapshot(record.payload):
            return self._apply_snapshot(record)
        if self._deferred is not None:
            self._deferred.append(record)
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
        self._needed_changes.append((record.offset, record.time_ms))
        self._on_result(record, change, result)
        return result.accepted

    def _apply_snapshot(self, record: interfaces.LogRecord) -> bool:
        changed = False
        try:
            base_offset = snapshot.decode_base(record.payload)
            if base_offset > record.offset:
                raise exceptions.CodecError(
                    'snapshot has a base offset after its own record'
                )
            if self._deferred is not None:
                if base_offset < self._gap_end_offset:
                    return False
                found = snapshot.decode_snapshot(record.payload)
                changed = self._close_gap(found)
        except exceptions.CodecError as error:
            LOG.warning('%s record %d: %s', PREFIX, record.offset, error)
            return False
        if base_offset >= self._snapshot_base:
            self._snapshot_base = base_offset
            self._needed_since_ms = record.time_ms
            while (
                self._needed_changes
                and self._needed_changes[0][0] < base_offset
            ):
                self._needed_changes.popleft()
        return changed

    def _close_gap(self, found: snapshot.Snapshot) -> bool:
        deferred, self._deferred = self._deferred or [], None
        rebuilt = fold.CatalogueFold()
        rebuilt.merge(found.entries)
        self._needed_changes.clear()
        for record in deferred:
            if record.offset >= found.base_offset:
                self._fold_change(rebuilt, record)
        LOG.info('%s rebuilt from base %d', PREFIX, found.base_offset)
        return self.fold.merge(rebuilt.entries()) > 0
