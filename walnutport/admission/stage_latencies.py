"""Deadline budget: what the stages of an entry take, measured.

Latencies are counted in buckets of equal ratio, and the counts decay with
time, so that quantiles follow the last half minute or so. A stage that was
not measured for some seconds counts as unknown. Otherwise a slow spell that
makes every request look hopeless would never be measured again.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

__all__ = ['STALE_S', 'DecayedLatencies', 'LatencyTracker', 'StageKey']

_BUCKET_RATIO = 1.1
_MIN_LATENCY_S = 0.000_1
_BUCKETS = 160
_HALF_LIFE_S = 10.0
_MIN_SAMPLES = 8.0
STALE_S = 5.0
# Counts grow by this factor at most before they are scaled back, which keeps
# them far from the range of a float.
_MAX_GROWTH = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class StageKey:
    """Stage of an entry."""

    entry_id: str
    stage: str


class DecayedLatencies:
    """Quantiles and mean of latencies with exponential decay.

    New samples weigh more and more instead of all old ones less and less,
    so that adding a sample takes constant time.

    >>> book = DecayedLatencies()
    >>> for step in range(100):
    ...     book.add(0.010, now=step / 100)
    >>> round(book.quantile_s(0.9, now=1.0), 3)
    0.01
    """

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKETS
        self._total = 0.0
        self._sum_s = 0.0
        self._origin = 0.0
        self._last = -math.inf

    def add(self, latency_s: float, now: float) -> None:
        """Count one latency."""
        now = max(now, self._last)
        if self._total == 0:
            self._origin = now
        weight = 2.0 ** ((now - self._origin) / _HALF_LIFE_S)
        if weight > _MAX_GROWTH:
            self._rescale(weight, now)
            weight = 1.0
        self._counts[_bucket(latency_s)] += weight
        self._total += weight
        self._sum_s += latency_s * weight
        self._last = now

    def is_known(self, now: float) -> bool:
        """Return whether there are enough recent samples."""
        if now - self._last > STALE_S:
            return False
        weight = 2.0 ** ((self._last - self._origin) / _HALF_LIFE_S)
        return self._total / weight >= _MIN_SAMPLES

    def quantile_s(self, quantile: float, now: float) -> float | None:
        """Return a quantile in seconds, or None if unknown."""
        if not self.is_known(now):
            return None
        wanted = self._total * quantile
        seen = 0.0
        for index, count in enumerate(self._counts):
            seen += count
            if seen >= wanted and count:
                return _MIN_LATENCY_S * _BUCKET_RATIO**index
        return _MIN_LATENCY_S * _BUCKET_RATIO**_BUCKETS

    def mean_s(self, now: float) -> float | None:
        """Return the mean in seconds, or None if unknown."""
        return self._sum_s / self._total if self.is_known(now) else None

    def _rescale(self, weight: float, now: float) -> None:
        self._counts = [count / weight for count in self._counts]
        self._total /= weight
        self._sum_s /= weight
        self._origin = now


def _bucket(latency_s: float) -> int:
    ratio = max(latency_s, _MIN_LATENCY_S) / _MIN_LATENCY_S
    index = round(math.log(ratio) / math.log(_BUCKET_RATIO))
    return min(_BUCKETS - 1, index)


class LatencyTracker:
    """Latencies by entry and stage.

    Two times are kept: for how long a stage holds a slot of its pool, with
    every retry, and how long it takes with the wait for the slot.
    """

    def __init__(self) -> None:
        self._held_by_key: dict[StageKey, DecayedLatencies] = {}
        self._taken_by_key: dict[StageKey, DecayedLatencies] = {}

    def record(
        self, key: StageKey, waited_s: float, held_s: float, now: float
    ) -> None:
        """Count one run of a stage."""
        if key not in self._held_by_key:
            self._held_by_key[key] = DecayedLatencies()
            self._taken_by_key[key] = DecayedLatencies()
        self._held_by_key[key].add(held_s, now)
        self._taken_by_key[key].add(waited_s + held_s, now)

    def mean_held_s(self, key: StageKey, now: float) -> float | None:
        """Return the mean time in a slot, or None if unknown."""
        found = self._held_by_key.get(key)
        return found.mean_s(now) if found else None

    def remaining_held_s(
        self,
        entry_id: str,
        stages: Sequence[str],
        quantile: float,
        now: float,
    ) -> float:
        """Return the time in slots of the named stages in seconds.

        The sum of a low quantile over stages is below the quantile of the
        sum, so it does not overstate the least time. Unknown stages count
        as zero.
        """
        return _sum(self._held_by_key, entry_id, stages, quantile, now)

    def remaining_taken_s(
        self,
        entry_id: str,
        stages: Sequence[str],
        quantile: float,
        now: float,
    ) -> float:
        """Return the time of the named stages with their waits in seconds.

        The sum of a high quantile is above the quantile of the sum, so it
        does not understate the likely time.
        """
        return _sum(self._taken_by_key, entry_id, stages, quantile, now)

    def forget(self, entry_ids: set[str]) -> None:
        """Drop what is known of entries that are not in the set."""
        for key in list(self._held_by_key):
            if key.entry_id not in entry_ids:
                del self._held_by_key[key]
                del self._taken_by_key[key]


def _sum(
    latencies_by_key: Mapping[StageKey, DecayedLatencies],
    entry_id: str,
    stages: Sequence[str],
    quantile: float,
    now: float,
) -> float:
    total = 0.0
    for stage in stages:
        found = latencies_by_key.get(StageKey(entry_id, stage))
        if found is not None:
            total += found.quantile_s(quantile, now) or 0.0
    return total
