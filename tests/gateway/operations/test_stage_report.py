"""Tests of the report on the admission of stage jobs."""

import dataclasses
import types

from tests.stages import builders
from walnutport.gateway.operations import stage_report
from walnutport.stages import scheduler


def test_report_shows_who_is_refused_at_a_contended_service():
    """Guards against contention that operators cannot attribute."""
    cell = scheduler.StageScheduler()
    cell.update_targets(builders.RULES, [builders.target('t1')], 0.0)
    for number in range(60):
        spec = builders.job_spec(
            str(number), content=b'%d' % number, urgency=number % 2
        )
        cell.submit(dataclasses.replace(spec, route='review'), 0.0)
    owners = [types.SimpleNamespace(cell=3, scheduler=cell)]
    totals = stage_report.totals(owners)
    labels = 'cell="3",route="review",team="north",event='
    admitted = totals[f'stage_jobs_total{{{labels}"admitted"}}']
    refused = totals[f'stage_jobs_total{{{labels}"refused"}}']
    assert admitted + refused == 60 and refused > 0
    gauges = stage_report.gauges(owners, 0.1)
    assert gauges['stage_return_places{cell="3"}'] > 0
    assert gauges['stage_reserved_seconds{cell="3",service="encode"}'] > 0
    shares = stage_report.status(owners, 0.1)['3']['contended']['encode']
    assert set(shares) == {'0/review', '1/review'}
    for share in shares.values():
        assert share['share_s'] < share['demand_s']
