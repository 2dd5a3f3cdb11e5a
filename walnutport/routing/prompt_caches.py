"""Prompt parts that engines are expected to hold in their caches.

The owner of a cell places the requests of all hosts, so the parts that it has
sent to an engine, up to the memory of the engine, are what the engine holds.
Such a record needs no reports, which arrive late and with gaps.
"""

import collections

from walnutport.world import registrations
from walnutport.world import requests

__all__ = ['DEFAULT_CACHE_TOKENS', 'PromptCaches']

# Memory of an engine whose rules are not known.
DEFAULT_CACHE_TOKENS = 200_000.0
# Part of the memory that is assumed to hold cached parts. Running requests
# take some of it, but a request that follows its engine for a part that is
# gone costs nothing, as any other engine would have to read the part as well.
CACHED_FRACTION = 1.0


class PromptCaches:
    """Expected contents of the caches of all engines.

    The least recently used parts are dropped first, as engines do.
    """

    def __init__(self) -> None:
        self._cache_by_engine: dict[str, _EngineCache] = {}
        self._holders_by_part: dict[str, set[str]] = {}

    def holders_of_prefixes(
        self, prompt: requests.PromptShape
    ) -> list[tuple[set[str], int]]:
        """Return the ids of the engines that hold each prefix of a prompt.

        An engine that has restarted since may be among them.

        :returns: engines and tokens of each prefix that any engine holds, the
            shortest first.
        """
        found: list[tuple[set[str], int]] = []
        tokens = 0
        for part_id, part_tokens in zip(prompt.part_ids, prompt.part_tokens):
            holders = self._holders_by_part.get(part_id)
            if holders and found:
                holders = holders & found[-1][0]
            if not holders:
                break
            tokens += part_tokens
            found.append((holders, tokens))
        return found

    def is_held(self, part_id: str) -> bool:
        """Return whether any engine holds a part."""
        return part_id in self._holders_by_part

    def is_current(self, engine: registrations.RegisteredTarget) -> bool:
        """Return whether the contents are those of this run of an engine."""
        cache = self._cache_by_engine.get(engine.target_id)
        return cache is None or cache.run == engine.incarnation_key

    def cached_tokens(
        self,
        prompt: requests.PromptShape,
        engine: registrations.RegisteredTarget,
    ) -> int:
        """Return the leading tokens of a prompt that an engine holds.

        A part is of use only if the engine holds all parts before it.
        """
        cache = self._cache_by_engine.get(engine.target_id)
        if cache is None or cache.run != engine.incarnation_key:
            return 0
        tokens = 0
        for part_id, part_tokens in zip(prompt.part_ids, prompt.part_tokens):
            if part_id not in cache.tokens_by_part:
                break
            tokens += part_tokens
        return tokens

    def record(
        self,
        prompt: requests.PromptShape,
        engine: registrations.RegisteredTarget,
        capacity_tokens: float = DEFAULT_CACHE_TOKENS,
    ) -> None:
        """Record that a prompt is sent to an engine.

        :param capacity_tokens: memory of the engine.
        """
        cache = self._cache_by_engine.get(engine.target_id)
        if cache is None or cache.run != engine.incarnation_key:
            self.forget(engine.target_id)
            cache = _EngineCache(engine.incarnation_key)
            self._cache_by_engine[engine.target_id] = cache
        # The first parts are used most recently, so that they are kept
        # longest: without them the others are of no use.
        for part_id, part_tokens in zip(
            reversed(prompt.part_ids), reversed(prompt.part_tokens)
        ):
            if cache.touch(part_id, part_tokens):
                self._holders_by_part.setdefault(part_id, set()).add(
                    engine.target_id
                )
        for part_id in cache.evict(capacity_tokens * CACHED_FRACTION):
            self._remove_holder(part_id, engine.target_id)

    def forget(self, target_id: str) -> None:
        """Drop the contents of an engine that was removed."""
        cache = self._cache_by_engine.pop(target_id, None)
        if cache is not None:
            for part_id in cache.tokens_by_part:
                self._remove_holder(part_id, target_id)

    def _remove_holder(self, part_id: str, target_id: str) -> None:
        holders = self._holders_by_part.get(part_id)
        if holders is not None:
            holders.discard(target_id)
            if not holders:
                del self._holders_by_part[part_id]


class _EngineCache:
    """Parts in the cache of one run of an engine.

    :param run: incarnation key of the engine.
    """

    def __init__(self, run: tuple[str, int, tuple[str, int]]) -> None:
        self.run = run
        # The least recently used part comes first.
        self.tokens_by_part: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._total_tokens = 0

    def touch(self, part_id: str, tokens: int) -> bool:
        """Add a part, or mark it as just used.

        :returns: whether it was added.
        """
        if part_id in self.tokens_by_part:
            self.tokens_by_part.move_to_end(part_id)
            return False
        self.tokens_by_part[part_id] = tokens
        self._total_tokens += tokens
        return True

    def evict(self, capacity_tokens: float) -> list[str]:
        """Drop the least recently used parts that exceed a capacity.

        :returns: ids of the parts.
        """
        evicted = []
        while self._total_tokens > capacity_tokens and self.tokens_by_part:
            part_id, tokens = self.tokens_by_part.popitem(last=False)
            self._total_tokens -= tokens
            evicted.append(part_id)
        return evicted
