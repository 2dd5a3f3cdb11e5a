"""Report latency by member and class, and cost by stage, over hosts.

walnutport report [--host=IP:PORT ...] [--log=IP:PORT] [--json] [--plot=FILE]

Reads the operators' listener of each --host, merges the histograms and adds
up the cost since the start of each host. With --log the cost comes from the
log stream "cost" instead, which includes hosts that are gone and leaves out
what a running host has not flushed yet (platform.cost_flush_s); hosts are
then read only if --host names them. --plot draws latency and cost as SVG.

Exit codes:
  0  done
  2  wrong use of the command
  5  a host or the log service does not answer, or answers otherwise
"""

import collections
import dataclasses
import sys

from absl import flags
from hdrh import histogram
import msgspec

from walnutport.cli import cost_log
from walnutport.cli import exit_codes
from walnutport.cli import fetch
from walnutport.cost import records as cost_records
from walnutport import exceptions
from walnutport.metrics import histograms

__all__ = ['FleetReport', 'run']

_HOSTS = flags.DEFINE_multi_string(
    'host',
    ['127.0.0.1:8082'],
    "address ip:port of an operators' listener",
    allow_override=True,
)
_LOG = flags.DEFINE_string(
    'log',
    '',
    'ip:port of the log service to read the cost from',
    allow_override=True,
)
_JSON = flags.DEFINE_bool('json', False, 'print JSON', allow_override=True)
_PLOT = flags.DEFINE_string('plot', '', 'SVG file to draw the report into')

_PERCENTILES = (50, 95, 99)


@dataclasses.dataclass(frozen=True, slots=True)
class _CostItem:
    owner: str
    member: str
    entry: str
    stage: str
    attempts: int
    failed: int
    target_us: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class _HostReport:
    histograms: list[dict[str, str]]
    cost: list[_CostItem]


class FleetReport:
    """Sum of the reports of several hosts."""

    def __init__(self) -> None:
        self.histograms_by_key: dict[
            histograms.MetricKey, histogram.HdrHistogram
        ] = collections.defaultdict(histograms.new_histogram)
        self.cost_by_key: dict[
            cost_records.CostKey, cost_records.CostLine
        ] = {}

    def add(self, report: _HostReport) -> None:
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
            known = self.cost_by_key.get(cost_key, cost_records.CostLine())
            self.cost_by_key[cost_key] = known.plus(line)

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


def run(argv: list[str]) -> int:
    """Run the subcommand and return its exit code."""
    if len(argv) > 1:
        sys.stderr.write(f'unexpected argument {argv[1]!r}\n')
        return exit_codes.USAGE
    try:
        report = _read_report()
    except (fetch.FetchError, exceptions.CodecError) as error:
        sys.stderr.write(f'{error}\n')
        return exit_codes.UNAVAILABLE
    if _JSON.value:
        rows = {'latency': report.latency_rows(), 'cost': report.cost_rows()}
        sys.stdout.write(msgspec.json.encode(rows).decode() + '\n')
    else:
        sys.stdout.write(format_rows('latency', report.latency_rows()))
        sys.stdout.write(format_rows('cost', report.cost_rows()))
    if _PLOT.value:
        # Drawing libraries take a second to load and are needed here only.
        from walnutport.cli import plots

        plots.draw_report(report, _PLOT.value)
    return exit_codes.OK


def _read_report() -> FleetReport:
    report = FleetReport()
    if not _LOG.value or flags.FLAGS['host'].present:
        for address in _HOSTS.value:
            report.add(fetch.fetch_json(address, '/v1/report', _HostReport))
    if _LOG.value:
        totals = cost_log.read_totals(_LOG.value)
        report.cost_by_key = totals.lines_by_key
        if totals.lost_records:
            sys.stderr.write(
                f'{totals.lost_records} records of stream cost have expired '
                'and are not counted\n'
            )
    return report


def format_rows(title: str, rows: list[dict[str, object]]) -> str:
    """Return rows as a table of text with aligned columns."""
    if not rows:
        return f'{title}: none\n'
    names = list(rows[0])
    cells = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    lines = [
        '  '.join(cell.ljust(width) for cell, width in zip(line, widths))
        for line in cells
    ]
    return f'{title}\n' + ''.join(f'{line.rstrip()}\n' for line in lines)
