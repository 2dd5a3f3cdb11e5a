"""Exposition of metrics in the Prometheus text format."""

from collections.abc import Callable
from collections.abc import Iterable

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from walnutport.cost import ledger
from walnutport.metrics import families
from walnutport.metrics import histograms

__all__ = ['HostCollector', 'render']


class HostCollector(registry.Collector):
    """Collects the metrics of one host.

    Every family of ``metrics.families`` is exposed. A family without labels
    is exposed with 0 until it has a value.

    :param samples: returns the samples of the other components of the host.
    """

    def __init__(
        self,
        latencies: histograms.LatencyHistograms,
        cost: ledger.CostLedger,
        samples: Callable[[], Iterable[families.Sample]],
    ) -> None:
        self._latencies = latencies
        self._cost = cost
        self._samples = samples

    def collect(self) -> Iterable[core.Metric]:
        """Return every metric family."""
        samples_by_name: dict[str, list[families.Sample]] = {}
        for sample in (
            *self._samples(),
            *self._answer_samples(),
            *self._cost_samples(),
        ):
            samples_by_name.setdefault(sample.name, []).append(sample)
        for family in families.FAMILIES:
            if family.kind is families.Kind.HISTOGRAM:
                yield self._latency_metric(family)
            else:
                yield _new_metric(family, samples_by_name.get(family.name, []))

    def _latency_metric(self, family: families.Family) -> core.Metric:
        metric = core.HistogramMetricFamily(
            f'walnutport_{family.name}', family.help_text, labels=family.labels
        )
        for key, item in sorted(self._latencies.buckets_by_key.items()):
            metric.add_metric(
                [
                    families.bounded_label(key.member_id),
                    families.bounded_label(key.class_id),
                ],
                buckets=_bucket_counts(item),
                sum_value=item.sum_s,
            )
        return metric

    def _answer_samples(self) -> Iterable[families.Sample]:
        counts = self._latencies.outcomes_by_key
        for (key, outcome, reason), count in sorted(counts.items()):
            labels = key.member_id, key.class_id, outcome.value, reason.value
            yield families.Sample('answers', count, labels)

    def _cost_samples(self) -> Iterable[families.Sample]:
        lines = self._cost.sums_since_start.lines_by_key
        for key, line in sorted(lines.items()):
            labels = key.owner, key.member_id, key.entry_id, key.stage
            yield families.Sample('attempts', line.attempts, labels)
            yield families.Sample('failed_attempts', line.failed, labels)
            yield families.Sample(
                'target_seconds', line.target_us / 1e6, labels
            )
            yield families.Sample('tokens', line.tokens, labels)


def _new_metric(
    family: families.Family, samples: list[families.Sample]
) -> core.Metric:
    metric_class_by_kind = {
        families.Kind.GAUGE: core.GaugeMetricFamily,
        families.Kind.COUNTER: core.CounterMetricFamily,
    }
    metric = metric_class_by_kind[family.kind](
        f'walnutport_{family.name}', family.help_text, labels=family.labels
    )
    if not samples and not family.labels:
        metric.add_metric([], 0.0)
    for sample in samples:
        metric.add_metric(
            [families.bounded_label(label) for label in sample.labels],
            sample.value,
        )
    return metric


def render(collector: HostCollector) -> bytes:
    """Return all metrics of a host in the Prometheus text format."""
    collector_registry = prometheus_client.CollectorRegistry()
    collector_registry.register(collector)
    return prometheus_client.generate_latest(collector_registry)


def _bucket_counts(item: histograms.LatencyBuckets) -> list[tuple[str, float]]:
    bounds = [str(bound / 1000) for bound in histograms.BUCKETS_MS]
    return [
        (bound, float(count))
        for bound, count in zip([*bounds, '+Inf'], item.cumulative())
    ]
