"""Latency and cost summed over the hosts of a fleet."""

import collections
import dataclasses

from hdrh import histogram

from walnutport.cost import records as cost_records
from walnutport.metrics import histograms

__all__ = ['CostItem', 'FleetReport', 'HostReport']

_PERCENTILES = (50, 95, 99)


@dataclasses.dataclass(frozen=True, slots=True)
class CostItem:
    """Cost of one stage on one host."""

    owner: str
    member: str
    entry: str
    stage: str
    attempts: int
    failed: int
    target_us: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class HostReport:
    """Report that one host returns."""

    histograms: list[dict[str, str]]
    cost: list[CostItem]


class FleetReport:
    """Merged reports of several hosts."""

    def __init__(self) -> None:
        self.histograms_by_key: dict[
            histograms.MetricKey, histogram.HdrHistogram
        ] = collections.defaultdict(histograms.new_histogram)
        self.cost_by_key: dict[
            cost_records.CostKey, cost_records.CostLine
        ] = {}

    def add(self, report: HostReport) -> None:
        """Add the report of one host.

        :raises CodecError: if a histogram cannot be decoded.
        """
        for item in report.histograms:
            key = histograms.MetricKey(
                item.get('member', ''), item.get('class', '')
            )
            histograms.merge_encoded(
                self.histograms_by_key[key], item.get('encoded', '')
            )
        for cost in report.cost:
            cost_key = cost_records.CostKey(
                cost.owner, cost.member, cost.entry, cost.stage
            )
            line = cost_records.CostLine(
                cost.attempts, cost.failed, cost.target_us, cost.tokens
            )
            previous = self.cost_by_key.get(cost_key, cost_records.CostLine())
            self.cost_by_key[cost_key] = previous.plus(line)

    def latency_rows(self) -> list[dict[str, object]]:
        """Return count and percentiles in ms by member and class."""
        return [
            {
                'member': key.member_id,
                'class': key.class_id,
                'count': item.get_total_count(),
                **{
                    f'p{percentile}_ms': item.get_value_at_percentile(
                        percentile
                    )
                    for percentile in _PERCENTILES
                },
            }
            for key, item in sorted(self.histograms_by_key.items())
        ]

    def cost_rows(self) -> list[dict[str, object]]:
        """Return the cost by owner, member, entry and stage."""
        return [
            {
                **dataclasses.asdict(key),
                'attempts': line.attempts,
                'failed': line.failed,
                'target_s': round(line.target_us / 1e6, 3),
                'tokens': line.tokens,
            }
            for key, line in sorted(self.cost_by_key.items())
        ]
