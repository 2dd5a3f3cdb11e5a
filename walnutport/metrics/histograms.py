"""Latency histograms by member and class, and counts of outcomes."""

import bisect
import collections
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import itertools

from hdrh import histogram

from walnutport import exceptions
from walnutport.lifecycle import answers

__all__ = [
    'BUCKETS_MS',
    'LatencyBuckets',
    'LatencyHistograms',
    'MetricKey',
    'merge_encoded',
    'new_histogram',
]

LOWEST_MS = 1
HIGHEST_MS = 120_000
# Two significant digits take about 11 kB a histogram; a third would take ten
# times as much and is finer than any deadline.
SIGNIFICANT_DIGITS = 2
# Upper bounds in ms that a settlement window or a till screen cares about.
BUCKETS_MS = (5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 4_000, 10_000)
_MAX_KEYS = 1_000
_OTHER = 'other'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class MetricKey:
    """Member and class that a request belongs to."""

    member_id: str
    class_id: str


class LatencyBuckets:
    """Counts by bucket for the exposition.

    They are kept beside the histogram, as counting one histogram's buckets
    takes 25 ms, which at 1,000 histograms stops the host for 25 s.

    >>> buckets = LatencyBuckets()
    >>> buckets.record(0.02)
    >>> buckets.cumulative()[:4]
    [0, 0, 1, 1]
    """

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_s = 0.0

    def record(self, latency_s: float) -> None:
        """Count one value."""
        self._counts[bisect.bisect_left(BUCKETS_MS, latency_s * 1000)] += 1
        self.sum_s += latency_s

    def cumulative(self) -> list[int]:
        """Return the count up to each bound; the last has no bound."""
        return list(itertools.accumulate(self._counts))


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)


class LatencyHistograms:
    """Histograms of complete answers and counts of all answers.

    At most ``max_keys`` pairs of member and class are kept apart; the rest
    share one histogram, so that memory is bounded on a host that serves
    thousands of teams.
    """

    def __init__(self, max_keys: int = _MAX_KEYS) -> None:
        self._max_keys = max_keys
        self._histograms_by_key: dict[MetricKey, histogram.HdrHistogram] = {}
        self.buckets_by_key: dict[MetricKey, LatencyBuckets] = {}
        self.outcomes_by_key: collections.Counter[
            tuple[MetricKey, answers.Outcome, answers.Reason]
        ] = collections.Counter()

    def record(
        self, key: MetricKey, answer: answers.Answer, latency_s: float
    ) -> None:
        """Record one answer.

        :param latency_s: time from acceptance to the answer in seconds.
        """
        key = self._bounded(key)
        self.outcomes_by_key[key, answer.outcome, answer.reason] += 1
        if answer.outcome is answers.Outcome.COMPLETE:
            value_ms = min(HIGHEST_MS, max(LOWEST_MS, int(latency_s * 1000)))
            self._histograms_by_key[key].record_value(value_ms)
            self.buckets_by_key[key].record(latency_s)

    def histograms(
        self,
    ) -> Iterator[tuple[MetricKey, histogram.HdrHistogram]]:
        """Yield every histogram in the order of its key."""
        for key in sorted(self._histograms_by_key):
            yield key, self._histograms_by_key[key]

    def encoded_by_key(self) -> Mapping[MetricKey, str]:
        """Return histograms in the library's compressed base64 form."""
        return {key: item.encode().decode() for key, item in self.histograms()}

    def _bounded(self, key: MetricKey) -> MetricKey:
        if key in self._histograms_by_key:
            return key
        if len(self._histograms_by_key) >= self._max_keys:
            key = MetricKey(_OTHER, _OTHER)
        if key not in self._histograms_by_key:
            self._histograms_by_key[key] = new_histogram()
            self.buckets_by_key[key] = LatencyBuckets()
        return key


def merge_encoded(
    into: histogram.HdrHistogram, encoded: str
) -> histogram.HdrHistogram:
    """Add an encoded histogram of another host.

    :raises CodecError: if the text is not an encoded histogram.
    """
    try:
        into.decode_and_add(encoded.encode())
    except Exception as error:  # noqa: BLE001 - library errors vary
        raise exceptions.CodecError(f'histogram: {error!r}') from None
    return into
