"""Index of the prompt prefixes that engines have in their caches."""

import collections
from collections.abc import Collection
from collections.abc import Sequence
import dataclasses

__all__ = ['CacheEvent', 'PrefixIndex']


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the prefix cache of an engine.

    :param sequence: increases by one with each event of an incarnation.
    :param stored: digests of the prefixes added to the cache.
    :param evicted: digests of the prefixes removed from the cache.
    """

    target_id: str
    incarnation: str
    sequence: int
    stored: tuple[bytes, ...] = ()
    evicted: tuple[bytes, ...] = ()


class _TargetIndex:
    def __init__(self, event: CacheEvent) -> None:
        self.incarnation = event.incarnation
        self.sequence = event.sequence - 1
        self.prefixes: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )


class PrefixIndex:
    """Cached prefixes by target, from events that may be late or missing.

    :param max_prefixes: limit for each target; the oldest are dropped.
    """

    def __init__(self, max_prefixes: int = 4_096) -> None:
        self._max_prefixes = max_prefixes
        self._indexes_by_target: dict[str, _TargetIndex] = {}
        self._used_at_by_target: dict[str, float] = {}
        self.gaps = 0

    def apply(self, event: CacheEvent) -> None:
        """Apply an event; a sequence gap clears the index of its target.

        An eviction may be among the missed events, so only prefixes stored
        after the gap are known to be cached.
        """
        index = self._indexes_by_target.get(event.target_id)
        if index is None or index.incarnation != event.incarnation:
            index = _TargetIndex(event)
            self._indexes_by_target[event.target_id] = index
        if event.sequence <= index.sequence:
            return
        if event.sequence != index.sequence + 1:
            self.gaps += 1
            index.prefixes.clear()
        index.sequence = event.sequence
        for prefix in event.evicted:
            index.prefixes.pop(prefix, None)
        for prefix in event.stored:
            index.prefixes[prefix] = None
            index.prefixes.move_to_end(prefix)
        while len(index.prefixes) > self._max_prefixes:
            index.prefixes.popitem(last=False)

    def mark_used(self, target_id: str, now: float) -> None:
        """Record that a prompt is sent to a target."""
        self._used_at_by_target[target_id] = now

    def used_since(self, since: float) -> list[str]:
        """Return the targets used since a time and forget older uses."""
        for target_id, used_at in list(self._used_at_by_target.items()):
            if used_at < since:
                del self._used_at_by_target[target_id]
        return list(self._used_at_by_target)

    def position(self, target_id: str) -> tuple[str, int]:
        """Return the incarnation and sequence of a target's last event.

        They are ``('', 0)`` for a target without events.
        """
        index = self._indexes_by_target.get(target_id)
        return (index.incarnation, index.sequence) if index else ('', 0)

    def retain(self, target_ids: Collection[str]) -> None:
        """Drop the indexes of targets that are not in the collection."""
        for target_id in set(self._indexes_by_target) - set(target_ids):
            del self._indexes_by_target[target_id]

    def forget(self, target_id: str) -> None:
        """Drop the index of a target that restarted or was removed."""
        self._indexes_by_target.pop(target_id, None)

    def match_length(self, target_id: str, prefixes: Sequence[bytes]) -> int:
        """Return the length in blocks of the longest cached prefix, or 0.

        :param prefixes: digests of the prefixes of a prompt, shortest first.
        """
        index = self._indexes_by_target.get(target_id)
        if index is None:
            return 0
        for length in range(len(prefixes), 0, -1):
            if prefixes[length - 1] in index.prefixes:
                return length
        return 0

    def matching_targets(
        self, prefixes: Sequence[bytes]
    ) -> list[tuple[int, str]]:
        """Return (match length, target id) of the targets with a match.

        The targets with the longest match come first.
        """
        matches = [
            (self.match_length(target_id, prefixes), target_id)
            for target_id, index in self._indexes_by_target.items()
            if not index.prefixes.keys().isdisjoint(prefixes)
        ]
        return sorted((item for item in matches if item[0] > 0), reverse=True)
