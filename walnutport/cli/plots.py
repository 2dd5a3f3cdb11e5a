"""Plots of a report: latency distributions and cost by stage."""

import leather

from walnutport.cli import fleet_report

__all__ = ['draw_report']

_MAX_POINTS = 60
_WIDTH_PX = 1_000
_CHART_HEIGHT_PX = 400


def draw_report(report: fleet_report.FleetReport, path: str) -> None:
    """Draw latency by member and class, and cost by stage and owner.

    :param path: SVG file to write.
    """
    charts = [
        chart
        for chart in (_latency_chart(report), _cost_chart(report))
        if chart is not None
    ]
    grid = leather.Grid()
    grid.add_many(charts)
    grid.to_svg(
        path, width=_WIDTH_PX, height=_CHART_HEIGHT_PX * max(1, len(charts))
    )


def _latency_chart(report: fleet_report.FleetReport) -> leather.Chart | None:
    chart = leather.Chart('Latency by member and class')
    chart.add_x_axis(name='ms')
    chart.add_y_axis(name='share of answers')
    chart.add_y_scale(0, 1)
    empty = True
    for key, item in sorted(report.histograms_by_key.items()):
        total = item.get_total_count()
        if not total:
            continue
        empty = False
        points = [
            (
                bucket.value_iterated_to,
                bucket.total_count_to_this_value / total,
            )
            for bucket in item.get_recorded_iterator()
        ]
        sampled = points[:: max(1, len(points) // _MAX_POINTS)]
        chart.add_line(
            [(0, 0.0), *sampled, points[-1]],
            name=f'{key.member_id} / {key.class_id}',
        )
    return None if empty else chart


def _cost_chart(report: fleet_report.FleetReport) -> leather.Chart | None:
    seconds_by_label: dict[str, float] = {}
    for key, line in sorted(report.cost_by_key.items()):
        label = f'{key.owner} / {key.stage}'
        seconds_by_label[label] = (
            seconds_by_label.get(label, 0.0) + line.target_us / 1e6
        )
    if not seconds_by_label:
        return None
    chart = leather.Chart('Cost by owner and stage')
    chart.add_x_axis(name='target time in s')
    chart.add_bars(
        [
            (round(seconds, 3), label)
            for label, seconds in reversed(seconds_by_label.items())
        ]
    )
    return chart
