"""Folds the stream ``cost`` into totals; each batch counts once."""

import logging

from walnutport.cost import records
from walnutport import exceptions
from walnutport import interfaces

__all__ = ['CostTotals']

LOG = logging.getLogger(__name__)
PREFIX = 'cost:'


class CostTotals:
    """Log follower that sums up the cost batches of every host.

    A host numbers a batch only after the previous one is resolved, so the
    highest number of an incarnation tells which batches were counted.

    >>> totals = CostTotals()
    >>> key = records.CostKey('o', 'm', 'e', 's')
    >>> row = records.CostRow(key, records.CostLine(attempts=2))
    >>> batch = records.CostBatch('h', 1, 1, (row,))
    >>> totals.add(batch), totals.add(batch)
    (True, False)
    >>> totals.lines_by_key[key].attempts
    2
    """

    stream = records.COST_STREAM

    def __init__(self) -> None:
        self.lines_by_key: dict[records.CostKey, records.CostLine] = {}
        self.expired_records = 0
        self.synced = False
        self._offset = 0
        self._sequence_by_source: dict[tuple[str, int], int] = {}

    def start_offset(self) -> int:
        """Return the offset to read from next."""
        return self._offset

    def apply(self, page: interfaces.StreamPage, now: float) -> None:
        """Apply a page of the stream."""
        if page.expired:
            self.expired_records += max(0, page.first_offset - self._offset)
        for record in page.records:
            if record.offset < self._offset:
                continue
            try:
                self.add(records.decode_batch(record.payload))
            except exceptions.CodecError as error:
                LOG.warning('%s record %d: %s', PREFIX, record.offset, error)
        self._offset = max(self._offset, page.next_offset)
        self.synced = self._offset >= page.end_offset

    def add(self, batch: records.CostBatch) -> bool:
        """Count a batch and return whether it was new."""
        source = (batch.host_id, batch.incarnation)
        if batch.sequence <= self._sequence_by_source.get(source, 0):
            return False
        self._sequence_by_source[source] = batch.sequence
        for row in batch.rows:
            known = self.lines_by_key.get(row.key, records.CostLine())
            self.lines_by_key[row.key] = known.plus(row.line)
        return True

    def by_owner_and_stage(
        self,
    ) -> dict[str, dict[str, records.CostLine]]:
        """Return the totals of each stage by owner."""
        totals: dict[str, dict[str, records.CostLine]] = {}
        for key, line in self.lines_by_key.items():
            stages = totals.setdefault(key.owner, {})
            known = stages.get(key.stage, records.CostLine())
            stages[key.stage] = known.plus(line)
        return totals
