"""Measured latencies of the stages of an entry.

Latencies are counted in geometric buckets, and the counts decay with time, so
that quantiles reflect about the last half minute. The latency of a stage
without samples in the last ``STALE_S`` seconds is unknown. Otherwise a slow
period, in which every request seems to miss its deadline and is refused, would
never be measured again.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

__all__ = ['STALE_S', 'DecayingHistogram', 'LatencyTracker', 'StageKey']

_BUCKET_RATIO = 1.1
_MIN_LATENCY_S = 0.000_1
_BUCKET_COUNT = 160
_HALF_LIFE_S = 10.0
_MIN_SAMPLES = 8.0
STALE_S = 5.0
# Weight of a sample at which all counts are rescaled, which keeps them far
# below the range of a float.
_MAX_WEIGHT = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class StageKey:
    """Identifies a stage of an entry."""

    entry_id: str
    stage: str


class DecayingHistogram:
    """Quantiles and mean of latencies with exponential decay.

    Instead of decaying all counts, the weight of new samples grows, so that
    adding a sample takes constant time.

    >>> histogram = DecayingHistogram()
    >>> for step in range(100):
    ...     histogram.add(0.010, now=step / 100)
    >>> round(histogram.quantile_s(0.9, now=1.0), 3)
    0.01
    """

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKET_COUNT
        self._total = 0.0
        self._sum_s = 0.0
        self._origin = 0.0
        self._last = -math.inf

    def add(self, latency_s: float, now: float) -> None:
        """Add a latency sample."""
        now = max(now, self._last)
        if self._total == 0:
            self._origin = now
        weight = 2.0 ** ((now - self._origin) / _HALF_LIFE_S)
        if weight > _MAX_WEIGHT:
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
        target_count = self._total * quantile
        count_so_far = 0.0
        for index, count in enumerate(self._counts):
            count_so_far += count
            if count_so_far >= target_count and count:
                return _MIN_LATENCY_S * _BUCKET_RATIO**index
        return _MIN_LATENCY_S * _BUCKET_RATIO**_BUCKET_COUNT

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
    return min(_BUCKET_COUNT - 1, index)


class LatencyTracker:
    """Latencies by entry and stage.

    Two durations are tracked: the time for which a stage holds a slot of its
    pool, including retries, and the total time with the wait for the slot.
    """

    def __init__(self) -> None:
        self._held_by_key: dict[StageKey, DecayingHistogram] = {}
        self._total_by_key: dict[StageKey, DecayingHistogram] = {}

    def record(
        self, key: StageKey, waited_s: float, held_s: float, now: float
    ) -> None:
        """Record one execution of a stage."""
        if key not in self._held_by_key:
            self._held_by_key[key] = DecayingHistogram()
            self._total_by_key[key] = DecayingHistogram()
        self._held_by_key[key].add(held_s, now)
        self._total_by_key[key].add(waited_s + held_s, now)

    def mean_held_s(self, key: StageKey, now: float) -> float | None:
        """Return the mean time a slot is held, or None if unknown."""
        histogram = self._held_by_key.get(key)
        return histogram.mean_s(now) if histogram else None

    def remaining_held_s(
        self,
        entry_id: str,
        stages: Sequence[str],
        quantile: float,
        now: float,
    ) -> float:
        """Return the time for which the named stages hold slots, in seconds.

        The sum of low quantiles over the stages is below the quantile of the
        sum, so it does not overestimate the minimum time. Stages with unknown
        latencies count as zero.
        """
        return _sum_quantiles(
            self._held_by_key, entry_id, stages, quantile, now
        )

    def remaining_total_s(
        self,
        entry_id: str,
        stages: Sequence[str],
        quantile: float,
        now: float,
    ) -> float:
        """Return the total time of the named stages with waits, in seconds.

        The sum of high quantiles over the stages is above the quantile of the
        sum, so it does not underestimate the likely time.
        """
        return _sum_quantiles(
            self._total_by_key, entry_id, stages, quantile, now
        )

    def retain_entries(self, entry_ids: set[str]) -> None:
        """Drop the latencies of all entries that are not in the set."""
        for key in list(self._held_by_key):
            if key.entry_id not in entry_ids:
                del self._held_by_key[key]
                del self._total_by_key[key]


def _sum_quantiles(
    latencies_by_key: Mapping[StageKey, DecayingHistogram],
    entry_id: str,
    stages: Sequence[str],
    quantile: float,
    now: float,
) -> float:
    total = 0.0
    for stage in stages:
        histogram = latencies_by_key.get(StageKey(entry_id, stage))
        if histogram is not None:
            total += histogram.quantile_s(quantile, now) or 0.0
    return total
