"""Metrics in the Prometheus text format."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from walnutport.cost import ledger
from walnutport.metrics import histograms

__all__ = ['HostCollector', 'render']

# Upper bounds in ms that a settlement window or a till screen cares about.
BUCKETS_MS = (5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 4_000, 10_000)


class HostCollector(registry.Collector):
    """Collects the metrics of one host.

    :param gauges: returns values of gauges by name.
    :param counters: returns values of counters by name.
    """

    def __init__(
        self,
        latencies: histograms.LatencyHistograms,
        cost: ledger.CostLedger,
        gauges: Callable[[], Mapping[str, float]],
        counters: Callable[[], Mapping[str, float]],
    ) -> None:
        self._latencies = latencies
        self._cost = cost
        self._gauges = gauges
        self._counters = counters

    def collect(self) -> Iterable[core.Metric]:
        """Return every metric family."""
        yield self._latency_family()
        yield self._outcome_family()
        yield from self._cost_families()
        for name, value in self._gauges().items():
            yield core.GaugeMetricFamily(
                f'walnutport_{name}', name.replace('_', ' '), value=value
            )
        for name, value in self._counters().items():
            yield core.CounterMetricFamily(
                f'walnutport_{name}', name.replace('_', ' '), value=value
            )

    def _latency_family(self) -> core.Metric:
        family = core.HistogramMetricFamily(
            'walnutport_request_latency_seconds',
            'time from acceptance to a complete answer',
            labels=['member', 'class'],
        )
        for key, item in self._latencies.histograms():
            total = item.get_total_count()
            family.add_metric(
                [key.member_id, key.class_id],
                buckets=_buckets(item),
                sum_value=item.get_mean_value() * total / 1000,
            )
        return family

    def _outcome_family(self) -> core.Metric:
        family = core.CounterMetricFamily(
            'walnutport_answers',
            'answers by outcome and reason',
            labels=['member', 'class', 'outcome', 'reason'],
        )
        counts = self._latencies.outcomes_by_key
        for (key, outcome, reason), count in sorted(counts.items()):
            family.add_metric(
                [key.member_id, key.class_id, outcome.value, reason.value],
                count,
            )
        return family

    def _cost_families(self) -> Iterable[core.Metric]:
        labels = ['owner', 'member', 'entry', 'stage']
        attempts = core.CounterMetricFamily(
            'walnutport_attempts', 'attempts on targets', labels=labels
        )
        seconds = core.CounterMetricFamily(
            'walnutport_target_seconds', 'time on targets', labels=labels
        )
        tokens = core.CounterMetricFamily(
            'walnutport_tokens', 'tokens', labels=labels
        )
        for key, line in sorted(self._cost.lines_by_key.items()):
            names = [key.owner, key.member_id, key.entry_id, key.stage]
            attempts.add_metric(names, line.attempts)
            seconds.add_metric(names, line.target_us / 1e6)
            tokens.add_metric(names, line.tokens)
        return attempts, seconds, tokens


def render(collector: HostCollector) -> bytes:
    """Return all metrics of a host as text."""
    own_registry = prometheus_client.CollectorRegistry()
    own_registry.register(collector)
    return prometheus_client.generate_latest(own_registry)


def _buckets(item: histogram.HdrHistogram) -> list[tuple[str, float]]:
    buckets: list[tuple[str, float]] = [
        (str(bound / 1000), float(_count_up_to(item, bound)))
        for bound in BUCKETS_MS
    ]
    return [*buckets, ('+Inf', float(item.get_total_count()))]


def _count_up_to(item: histogram.HdrHistogram, bound_ms: int) -> int:
    count = 0
    for step in item.get_recorded_iterator():
        if step.value_iterated_to > bound_ms:
            break
        count = step.total_count_to_this_value
    return count
