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
  5  a host or the log service does not answer, or its answer is invalid
"""

import sys

from absl import flags
import msgspec

from walnutport.cli import cost_log
from walnutport.cli import exit_codes
from walnutport.cli import fetch
from walnutport.cli import fleet_report
from walnutport import exceptions

__all__ = ['run']

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
        # The plot library takes a second to import and is needed only here.
        from walnutport.cli import plots

        plots.draw_report(report, _PLOT.value)
    return exit_codes.OK


def _read_report() -> fleet_report.FleetReport:
    report = fleet_report.FleetReport()
    if not _LOG.value or flags.FLAGS['host'].present:
        for address in _HOSTS.value:
            report.add(
                fetch.fetch_json(
                    address, '/v1/report', fleet_report.HostReport
                )
            )
    if _LOG.value:
        totals = cost_log.read_totals(_LOG.value)
        report.cost_by_key = totals.lines_by_key
        if totals.expired_records:
            sys.stderr.write(
                f'{totals.expired_records} records of stream cost have '
                'expired and are not counted\n'
            )
    return report


def format_rows(title: str, rows: list[dict[str, object]]) -> str:
    """Return rows as a text table with aligned columns."""
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
