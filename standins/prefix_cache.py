"""Bounded prefix cache of the engine stand-in."""

import collections
import dataclasses
import hashlib
import time

__all__ = ['CacheEvent', 'PrefixCache', 'block_digests']

BLOCK_BYTES = 512
MAX_BLOCKS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Prefix blocks that were stored or evicted."""

    sequence: int
    kind: str
    digests: tuple[str, ...]


def block_digests(model: str, prompt: str) -> list[str]:
    """Return the digests of the block-aligned prefixes of a prompt.

    Each digest is computed from the whole prefix.
    """
    text = prompt.encode()
    count = min(MAX_BLOCKS, len(text) // BLOCK_BYTES)
    return [
        hashlib.blake2b(
            model.encode() + b'\0' + text[: number * BLOCK_BYTES],
            digest_size=4,
        ).hexdigest()
        for number in range(1, count + 1)
    ]


class PrefixCache:
    """Blocks by digest, with eviction of the least recently used ones.

    :param capacity: maximum number of blocks.
    :param events_kept: number of events that are retained for readers.
    """

    def __init__(self, capacity: int, events_kept: int) -> None:
        self._capacity = capacity
        self.entries: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=events_kept)
        )
        self._sequence = 0
        self.requested_blocks = 0
        self.hit_blocks = 0

    def match_and_store(self, digests: list[str]) -> int:
        """Store all blocks and return how many leading ones were cached."""
        cached = 0
        while cached < len(digests) and digests[cached] in self.entries:
            cached += 1
        self.requested_blocks += len(digests)
        self.hit_blocks += cached
        self.store(digests)
        return cached

    def store(self, digests: list[str], entry: bytes = b'kv') -> None:
        """Store an entry for each digest and evict entries over capacity.

        The shortest prefix counts as the most recently used.
        """
        stored = tuple(item for item in digests if item not in self.entries)
        for digest in reversed(digests):
            self.entries.setdefault(digest, entry)
            self.entries.move_to_end(digest)
        self._add_event('stored', stored)
        evicted = []
        while len(self.entries) > self._capacity:
            evicted.append(self.entries.popitem(last=False)[0])
        self._add_event('evicted', tuple(evicted))

    def events_before(self, time_s: float) -> list[CacheEvent]:
        """Return the retained events up to a monotonic time."""
        return [event for at, event in self._events if at <= time_s]

    def _add_event(self, kind: str, digests: tuple[str, ...]) -> None:
        if digests:
            self._sequence += 1
            event = CacheEvent(self._sequence, kind, digests)
            self._events.append((time.monotonic(), event))
