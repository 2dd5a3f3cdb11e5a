"""Measure how the cost of each component grows with its input size.

``python -m bench.capacity [NAME ...] [--no-relay]`` measures each series at
four or more points, fits a straight line and writes ``capacity.json``,
``capacity.md`` and ``capacity.svg`` beside this file. With names, it measures
and prints only these series and writes no file. ``docs/CAPACITY.md`` uses the
slopes.
"""

import argparse
import json
import pathlib
import sys
import time

import leather

from bench import capacity_hosts
from bench import capacity_records
from bench import capacity_teams
from bench import relay
from bench import slopes

__all__ = ['main']

_FOLDER = pathlib.Path(__file__).parent
_SERIES = (
    capacity_hosts.SERIES + capacity_teams.SERIES + capacity_records.SERIES
)
_RELAY_STREAMS = 437
_RELAY_S = 6.0
_PLOT_COLUMNS = 3
_TABLE_HEADER = (
    '| series | over | unit | points | slope | intercept | R^2 '
    '| design count | line there |\n|---|---|---|---|---|---|---|---|---|\n'
)


def main() -> int:
    """Measure the series and write the table and the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', help='series to measure')
    parser.add_argument('--no-relay', action='store_true')
    arguments = parser.parse_args()
    started = time.monotonic()
    results = []
    for series in _SERIES:
        if not arguments.names or series.name in arguments.names:
            results.append(_measure_series(series))
            sys.stdout.write(_format_row(results[-1]))
            sys.stdout.flush()
    if arguments.names:
        return 0
    # The relay measurement needs processes and ports. The other results are
    # written first so that its failure does not lose them.
    _write_results(results, {})
    _plot(results)
    if not arguments.no_relay:
        relay_result = relay.measure(_RELAY_STREAMS, _RELAY_S)
        sys.stdout.write(f'relay: {json.dumps(relay_result)}\n')
        _write_results(results, relay_result)
    sys.stdout.write(f'capacity: {time.monotonic() - started:.0f} s\n')
    return 0


def _measure_series(series: slopes.Series) -> dict:
    points = [(count, series.measure(count)) for count in series.points]
    line = slopes.fit_line(points)
    return {
        'series': series.name,
        'over': series.parameter,
        'unit': series.unit,
        'points': points,
        'slope': line.slope,
        'intercept': line.intercept,
        'r2': line.r2,
        'design': series.design_count,
        'at_design': line.value_at(series.design_count),
    }


def _format_row(result: dict) -> str:
    points = ', '.join(f'{x}: {y:.4g}' for x, y in result['points'])
    return (
        f'| {result["series"]} | {result["over"]} | {result["unit"]} '
        f'| {points} | {result["slope"]:.4g} | {result["intercept"]:.4g} '
        f'| {result["r2"]:.4f} | {result["design"]} '
        f'| {result["at_design"]:.4g} |\n'
    )


def _write_results(results: list[dict], relay_result: dict) -> None:
    text = json.dumps({'series': results, 'relay': relay_result}, indent=1)
    (_FOLDER / 'capacity.json').write_text(text + '\n')
    table = (
        '# Slopes\n\nWritten by `make capacity`. Points and intercepts are in '
        'the unit of the row,\nslopes in the unit for one more of the count. '
        'Values at the design count are\nextrapolated unless a point is as '
        'large.\n\n' + _TABLE_HEADER + ''.join(map(_format_row, results))
    )
    if relay_result:
        table += (
            f'\nRelay, {_RELAY_STREAMS} streams: '
            f'`{json.dumps(relay_result)}`\n'
        )
    (_FOLDER / 'capacity.md').write_text(table)


def _plot(results: list[dict]) -> None:
    grid = leather.Grid()
    for result in results:
        chart = leather.Chart(f'{result["series"]} ({result["unit"]})')
        chart.add_x_axis(name=result['over'])
        chart.add_dots(result['points'])
        line = slopes.Line(result['slope'], result['intercept'], result['r2'])
        ends = (result['points'][0][0], result['points'][-1][0])
        chart.add_line([(x, line.value_at(x)) for x in ends])
        grid.add_one(chart)
    rows = -(-len(results) // _PLOT_COLUMNS)
    path = str(_FOLDER / 'capacity.svg')
    grid.to_svg(path, width=_PLOT_COLUMNS * 400, height=rows * 300)


if __name__ == '__main__':
    sys.exit(main())
