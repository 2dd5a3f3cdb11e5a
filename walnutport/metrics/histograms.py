"""Latency histograms and counts of outcomes by member and class."""

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

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 120_000
# With two significant digits a histogram takes about 11 kB. A third would take
# ten times as much and is more precise than any deadline requires.
SIGNIFICANT_DIGITS = 2
# Upper bounds of the buckets; they cover the latencies that matter to a
# settlement window or a till screen.
BUCKETS_MS = (5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 4_000, 10_000)
_MAX_KEYS = 1_000
_OVERFLOW_ID = 'other'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class MetricKey:
    """Member and service class that a request belongs to."""

    member_id: str
    class_id: str


class LatencyBuckets:
    """Bucket counts for the exposition.

    They are maintained in addition to the histogram, because deriving them
    from one histogram takes 25 ms, which would block a host with 1,000
    histograms for 25 s.

    >>> buckets = LatencyBuckets()
    >>> buckets.record(0.02)
    >>> buckets.cumulative()[:4]
    [0, 0, 1, 1]
    """

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_s = 0.0

    def record(self, latency_s: float) -> None:
        """Count one latency."""
        self._counts[bisect.bisect_left(BUCKETS_MS, latency_s * 1000)] += 1
        self.sum_s += latency_s

    def cumulative(self) -> list[int]:
        """Return the cumulative bucket counts; the last has no bound."""
        return list(itertools.accumulate(self._counts))


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return histogram.HdrHistogram(
        MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
    )


class LatencyHistograms:
    """Histograms of complete answers and counts of all answers.

    At most ``max_keys`` pairs of member and class have histograms of their
    own. The rest share one, so that memory is bounded on a host that serves
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
        key = self._bounded_key(key)
        self.outcomes_by_key[key, answer.outcome, answer.reason] += 1
        if answer.outcome is answers.Outcome.COMPLETE:
            value_ms = min(
                MAX_LATENCY_MS, max(MIN_LATENCY_MS, int(latency_s * 1000))
            )
            self._histograms_by_key[key].record_value(value_ms)
            self.buckets_by_key[key].record(latency_s)

    def histograms(
        self,
    ) -> Iterator[tuple[MetricKey, histogram.HdrHistogram]]:
        """Yield the histograms sorted by key."""
        for key in sorted(self._histograms_by_key):
            yield key, self._histograms_by_key[key]

    def encoded_by_key(self) -> Mapping[MetricKey, str]:
        """Return the histograms in the compressed base64 form of hdrh."""
        return {key: item.encode().decode() for key, item in self.histograms()}

    def _bounded_key(self, key: MetricKey) -> MetricKey:
        if key in self._histograms_by_key:
            return key
        if len(self._histograms_by_key) >= self._max_keys:
            key = MetricKey(_OVERFLOW_ID, _OVERFLOW_ID)
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
