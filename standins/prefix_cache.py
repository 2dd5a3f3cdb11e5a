"""Prefix cache of the stand-in engine, in bounded memory."""

import collections
import dataclasses
import hashlib
import time

__all__ = ['CacheEvent', 'PrefixCache', 'block_digests']

BLOCK_BYTES = 512
MAX_BLOCKS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Prefixes that were stored or evicted."""

    sequence: int
    kind: str
    digests: tuple[str, ...]


def block_digests(model: str, prompt: str) -> list[str]:
    """Return the digests of the growing prefixes, computed anew for each."""
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
    """Blocks by digest; the least recently used ones are evicted.

    :param capacity: blocks that fit.
    :param events_kept: events that are retained for readers.
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
        self.asked_blocks = 0
        self.hit_blocks = 0

    def use(self, digests: list[str]) -> int:
        """Return how many leading blocks were held, and hold all."""
        held = 0
        while held < len(digests) and digests[held] in self.entries:
            held += 1
        self.asked_blocks += len(digests)
        self.hit_blocks += held
        self.store(digests)
        return held

    def store(self, digests: list[str], entry: bytes = b'kv') -> None:
        """Hold entries; the shortest prefixes count as used last."""
        new = tuple(item for item in digests if item not in self.entries)
        for digest in reversed(digests):
            self.entries.setdefault(digest, entry)
            self.entries.move_to_end(digest)
        self._add_event('stored', new)
        evicted = []
        while len(self.entries) > self._capacity:
            evicted.append(self.entries.popitem(last=False)[0])
        self._add_event('evicted', tuple(evicted))

    def events_before(self, time_s: float) -> list[CacheEvent]:
        """Return the retained events that happened before a time."""
        return [event for at, event in self._events if at <= time_s]

    def _add_event(self, kind: str, digests: tuple[str, ...]) -> None:
        if digests:
            self._sequence += 1
            event = CacheEvent(self._sequence, kind, digests)
            self._events.append((time.monotonic(), event))
