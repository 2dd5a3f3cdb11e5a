"""Pictures of a report: latency histograms and cost by stage."""

import collections

import matplotlib
from matplotlib import figure

from walnutport.cli import report as fleet_report

__all__ = ['draw_report']

_SIZE_INCHES = (10.0, 8.0)


def draw_report(report: fleet_report.FleetReport, path: str) -> None:
    """Draw latency by member and class, and cost by stage and owner.

    :param path: file to write; its ending gives the format.
    """
    matplotlib.use('Agg')
    drawing = figure.Figure(figsize=_SIZE_INCHES, layout='constrained')
    latency_axes, cost_axes = drawing.subplots(2, 1)
    _draw_latency(latency_axes, report)
    _draw_cost(cost_axes, report)
    drawing.savefig(path, dpi=100)


def _draw_latency(axes, report: fleet_report.FleetReport) -> None:
    for key, item in sorted(report.histograms_by_key.items()):
        total = item.get_total_count()
        if not total:
            continue
        steps = [
            (step.value_iterated_to, step.total_count_to_this_value / total)
            for step in item.get_recorded_iterator()
        ]
        axes.step(
            [value for value, _ in steps],
            [share for _, share in steps],
            where='post',
            label=f'{key.member_id} / {key.class_id}',
        )
    axes.set_xscale('log')
    axes.set_xlabel('latency of complete answers in ms')
    axes.set_ylabel('share of answers')
    axes.set_title('Latency by member and class')
    if axes.lines:
        axes.legend()


def _draw_cost(axes, report: fleet_report.FleetReport) -> None:
    seconds_by_stage: dict[str, dict[str, float]] = collections.defaultdict(
        lambda: collections.defaultdict(float)
    )
    owners: dict[str, None] = {}
    for key, line in sorted(report.cost_by_key.items()):
        owners[key.owner] = None
        seconds_by_stage[key.stage][key.owner] += line.target_s
    bottoms: dict[str, float] = dict.fromkeys(owners, 0.0)
    for stage, seconds_by_owner in sorted(seconds_by_stage.items()):
        heights = [seconds_by_owner[owner] for owner in owners]
        axes.bar(
            list(owners), heights, bottom=list(bottoms.values()), label=stage
        )
        for owner, height in zip(owners, heights):
            bottoms[owner] += height
    axes.set_ylabel('target time in s')
    axes.set_title('Cost by stage and owner')
    if owners:
        axes.legend()
