"""Ids that were looked up lately and not found."""

import collections

__all__ = ['RecentMisses']


class RecentMisses:
    """Ids that a lookup did not find, for a short time.

    Times are seconds of a monotonic clock, passed in as ``now``.

    :param kept_s: time for which a miss counts.
    :param max_count: ids that are kept; the oldest are dropped beyond that.

    >>> misses = RecentMisses(kept_s=2.0, max_count=100)
    >>> misses.add('x', 10.0)
    >>> misses.contains('x', 11.0), misses.contains('x', 12.0)
    (True, False)
    """

    def __init__(self, kept_s: float, max_count: int) -> None:
        self._kept_s = kept_s
        self._max_count = max_count
        # In the order of time.
        self._missed_at_by_id: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._missed_at_by_id)

    def add(self, missed_id: str, now: float) -> None:
        """Note that an id was not found."""
        self._forget_old(now)
        self._missed_at_by_id.pop(missed_id, None)
        if len(self._missed_at_by_id) >= self._max_count:
            self._missed_at_by_id.popitem(last=False)
        self._missed_at_by_id[missed_id] = now

    def contains(self, missed_id: str, now: float) -> bool:
        """Return whether an id was not found lately."""
        self._forget_old(now)
        return missed_id in self._missed_at_by_id

    def clear(self) -> None:
        """Forget all misses."""
        self._missed_at_by_id.clear()

    def _forget_old(self, now: float) -> None:
        while self._missed_at_by_id:
            missed_at = next(iter(self._missed_at_by_id.values()))
            if now - missed_at < self._kept_s:
                return
            self._missed_at_by_id.popitem(last=False)
