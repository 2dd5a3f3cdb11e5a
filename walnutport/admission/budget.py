"""Deadline budget: what the stages of an entry take, measured.

Latencies are counted in buckets of equal ratio, and the counts decay with
time, so that quantiles follow the last half minute or so. A stage that was
not measured for some seconds counts as unknown. Otherwise a slow spell that
makes every request look hopeless would never be measured again.
"""

from collections.abc import Sequence
import dataclasses
import math

__all__ = ['DecayedLatencies', 'LatencyBook', 'StageKey']

_BUCKET_RATIO = 1.1
_MIN_LATENCY_S = 0.000_1
_BUCKETS = 160
_HALF_LIFE_S = 10.0
_MIN_SAMPLES = 8.0
_STALE_S = 5.0
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
        if now - self._last > _STALE_S:
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


class LatencyBook:
    """Latencies by entry and stage.

    A latency is the time for which the stage holds a slot of its pool, with
    every retry; the wait for the slot is not part of it.
    """

    def __init__(self) -> None:
        self._latencies_by_key: dict[StageKey, DecayedLatencies] = {}
        self._quantiles_by_key: dict[
            tuple[StageKey, float], tuple[float, float | None]
        ] = {}

    def record(self, key: StageKey, latency_s: float, now: float) -> None:
        """Count how long a stage held its slot."""
        found = self._latencies_by_key.setdefault(key, DecayedLatencies())
        found.add(latency_s, now)

    def mean_s(self, key: StageKey, now: float) -> float | None:
        """Return the mean latency of a stage, or None if unknown."""
        found = self._latencies_by_key.get(key)
        return found.mean_s(now) if found else None

    def remaining_s(
        self,
        entry_id: str,
        stages: Sequence[str],
        quantile: float,
        now: float,
    ) -> float:
        """Return the time that the named stages take together in seconds.

        The sum of a quantile over stages is above the quantile of the sum
        for a high quantile and below it for a low one, so both bounds of
        the gate err on their safe side. Unknown stages count as zero.
        """
        total = 0.0
        for stage in stages:
            found = self._quantile(StageKey(entry_id, stage), quantile, now)
            total += found or 0.0
        return total

    def forget(self, entry_ids: set[str]) -> None:
        """Drop what is known of entries that are not in the set."""
        self._latencies_by_key = {
            key: found
            for key, found in self._latencies_by_key.items()
            if key.entry_id in entry_ids
        }
        self._quantiles_by_key.clear()

    def _quantile(
        self, key: StageKey, quantile: float, now: float
    ) -> float | None:
        """Return a quantile that is computed anew a few times a second."""
        valid_until, value = self._quantiles_by_key.get(
            (key, quantile), (-math.inf, None)
        )
        if now < valid_until:
            return value
        found = self._latencies_by_key.get(key)
        value = found.quantile_s(quantile, now) if found else None
        self._quantiles_by_key[(key, quantile)] = (now + 0.1, value)
        return value
