"""Keyed records that the installation publishes."""

import dataclasses
import enum
from typing import Protocol

__all__ = ['Feed', 'FeedPage', 'FeedRecord', 'FeedStore']


class Feed(enum.Enum):
    """Series of keyed records."""

    #: The operator's desired state.
    DESIRED = 'desired'
    #: What the targets say of themselves.
    TARGETS = 'targets'
    #: The entry hosts.
    HOSTS = 'hosts'


@dataclasses.dataclass(frozen=True, slots=True)
class FeedRecord:
    """Newest value of a key; None stands for a removed key."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class FeedPage:
    """Records that were read at once.

    :param end: offset to read on from.
    """

    records: tuple[FeedRecord, ...]
    end: int


class FeedStore(Protocol):
    """Store of the installation."""

    async def newest(self, feed: Feed) -> FeedPage:
        """Return the newest record of every key."""

    async def read(self, feed: Feed, offset: int, wait_s: float) -> FeedPage:
        """Return the records from an offset on.

        :raises RecordsExpired: when older records were dropped.
        """

    async def publish(self, feed: Feed, key: str, value: bytes) -> None:
        """Append a keyed record."""
