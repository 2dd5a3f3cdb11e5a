"""Follows the catalogue stream and keeps the fold up to date."""

from collections.abc import Callable
import logging

from walnutport.catalogue import fold
from walnutport.catalogue import records
from walnutport import exceptions
from walnutport import interfaces

__all__ = ['CatalogueFollower']

LOG = logging.getLogger(__name__)
PREFIX = 'catalogue:'


class CatalogueFollower:
    """Log follower that feeds a ``CatalogueFold``.

    :param on_change: called after records were accepted.
    """

    stream = records.CATALOGUE_STREAM

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.fold = fold.CatalogueFold()
        self.synced = False
        self._on_change = on_change
        self._offset = 0

    def start_offset(self) -> int:
        """Return the offset to read from next."""
        return self._offset

    def apply(self, page: interfaces.StreamPage, now: float) -> None:
        """Apply a page of the stream."""
        accepted = 0
        for record in page.records:
            accepted += self._apply_record(record)
        self._offset = page.next_offset
        if page.next_offset >= page.end_offset:
            self.synced = True
        if accepted:
            self._on_change()

    def _apply_record(self, record: interfaces.LogRecord) -> int:
        try:
            change = records.decode_change(record.payload)
        except exceptions.CodecError as error:
            LOG.warning('%s record %d: %s', PREFIX, record.offset, error)
            return 0
        result = self.fold.apply(change)
        return 1 if result.accepted else 0
