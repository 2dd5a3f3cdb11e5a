"""Feeds of keyed records and logs of others, kept for an installation."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

__all__ = ['Feed', 'FeedPage', 'FeedRecord', 'FeedStore', 'RecordLog']


class Feed(enum.Enum):
    """A feed of keyed records."""

    #: The operator's desired state.
    DESIRED = 'desired'
    #: Entries that targets publish about themselves.
    TARGETS = 'targets'
    #: The entry hosts.
    HOSTS = 'hosts'
    #: Services of routes and versions of services that were in use lately.
    ORIGIN_HISTORY = 'origin_history'


@dataclasses.dataclass(frozen=True, slots=True)
class FeedRecord:
    """Newest value of a key.

    :param value: None if the key was removed.
    """

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class FeedPage:
    """Records that one read returned.

    Offsets of different eras of the store cannot be compared: when the store
    returns from an older copy, it enters the next era and assigns offsets
    after that copy again.

    :param end: offset to read from next.
    :param era: era of the store; 0 if the store does not count eras.
    :param lists_all: whether these are the newest records of all keys, which
        need not include removed ones.
    :param feed_end: offset after the last record of the feed when it was read,
        which may be beyond the end of the page; 0 if the page is whole.
    """

    records: tuple[FeedRecord, ...]
    end: int
    era: int = 0
    lists_all: bool = False
    feed_end: int = 0


class FeedStore(Protocol):
    """Store that keeps the feeds of an installation."""

    @property
    def era(self) -> int:
        """Latest era that the store has named; 0 before the first."""

    async def read_newest(self, feed: Feed) -> FeedPage:
        """Return the newest record of every key."""

    async def read(self, feed: Feed, offset: int, wait_s: float) -> FeedPage:
        """Return the records from an offset on.

        :param wait_s: longest time that the store waits for a record.
        :raises RecordsExpired: if records at that offset have expired.
        """

    async def publish(self, feed: Feed, key: str, value: bytes) -> None:
        """Append a keyed record."""

    async def publish_all(
        self, feed: Feed, value_by_key: Mapping[str, bytes], end: int
    ) -> int:
        """Append keyed records in one call, all or none.

        :param value_by_key: new values; an empty one removes the key.
        :param end: offset at which the feed has to end before.
        :returns: offset at which the feed ends after.
        :raises AppendConflict: if the feed ends elsewhere; nothing is done.
        """


class RecordLog(Protocol):
    """Log of records without keys, which a store keeps for some time.

    Records of one partition are kept in their order.
    """

    async def append(self, part: int, records: Sequence[bytes]) -> None:
        """Append records to a partition, all or none.

        :raises LogServiceError: if the store has not confirmed the append,
            which it may have executed all the same.
        """

    async def read_latest(self, part: int) -> list[bytes]:
        """Return the newest records that no earlier call has returned.

        Of many records, the oldest are left out. Some may be returned again,
        such as after an error.

        :raises LogServiceError: if they could not be read.
        """
