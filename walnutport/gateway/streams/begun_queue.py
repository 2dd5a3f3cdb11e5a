"""Messages about streams that began, in the order in which they are due."""

import collections
from collections.abc import Iterable
import dataclasses

from walnutport.peer import fleet_messages

__all__ = ['BegunQueue', 'Entry']


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A message, and when it was added, in seconds of a monotonic clock."""

    added_at: float
    message: fleet_messages.StreamsBegun


class BegunQueue:
    """Entries in their order, and the number of ids that they name.

    :ivar id_count: kept as a running count, since a queue of a long release
        is too long to be counted at each change.
    """

    def __init__(self) -> None:
        self._entries: collections.deque[Entry] = collections.deque()
        self.id_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def first(self) -> Entry:
        """The entry that is due next.

        :raises IndexError: if there is none.
        """
        return self._entries[0]

    def append_all(self, entries: Iterable[Entry]) -> None:
        """Add entries at the end."""
        for entry in entries:
            self._entries.append(entry)
            self.id_count += len(entry.message.attempt_ids)

    def put_back(self, entries: list[Entry]) -> None:
        """Add entries before all others, in their order."""
        for entry in reversed(entries):
            self._entries.appendleft(entry)
            self.id_count += len(entry.message.attempt_ids)

    def take_first(self) -> Entry:
        """Remove and return the entry that is due next.

        :raises IndexError: if there is none.
        """
        entry = self._entries.popleft()
        self.id_count -= len(entry.message.attempt_ids)
        return entry

    def take_all(self) -> list[Entry]:
        """Remove and return all entries."""
        entries = list(self._entries)
        self._entries.clear()
        self.id_count = 0
        return entries
