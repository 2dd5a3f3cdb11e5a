"""Tests of the metrics of an entry host."""

import types

from prometheus_client import parser
import pytest

from walnutport.gateway.entry import calls
from walnutport.gateway.operations import metrics
from walnutport.world import routes


def finished_call(
    stages_s: float = 0.0,
    outcome: str = 'streamed',
    continues: bool = False,
    status: int = 200,
    first_event_at: float = 10.2,
) -> calls.CallerCall:
    """Return a finished call with the fields that the metrics read."""
    call = calls.CallerCall.__new__(calls.CallerCall)
    call.route = routes.Route.__new__(routes.Route)
    object.__setattr__(call.route, 'name', 'review')
    object.__setattr__(call.route, 'kind', routes.RequestKind.STREAM)
    call.fields = types.SimpleNamespace(continues_stream=continues)
    call.status = status
    call.first_event_at = first_event_at
    call.team = 'north'
    call.service = 'llm'
    call.outcome = outcome
    call.stages_s = stages_s
    call.arrived_at = 10.0
    return call


def parse_rendered(entry_metrics: metrics.EntryMetrics) -> dict[str, object]:
    """Return the metric families by name, as Prometheus' parser reads them."""
    text = entry_metrics.render().decode()
    return {
        family.name: family
        for family in parser.text_string_to_metric_families(text)
    }


def test_rendered_metrics_parse_as_prometheus_text():
    """Guards against metrics that Prometheus cannot parse."""
    entry_metrics = metrics.EntryMetrics()
    entry_metrics.started(finished_call())
    entry_metrics.rejected('no_route')
    entry_metrics.first_event(finished_call(), 10.3)
    entry_metrics.finished(finished_call(stages_s=0.7), 1.0)
    entry_metrics.gauges = {
        'peers': 3.0,
        'retry_budget_left{service="a"}': 2.0,
        'retry_budget_left{service="b"}': 4.0,
    }
    entry_metrics.totals = {'store_calls_total': 7.0}
    families = parse_rendered(entry_metrics)
    assert families['walnutport_store_calls'].type == 'counter'
    budget = families['walnutport_retry_budget_left']
    assert budget.type == 'gauge'
    values = {point.labels['service']: point.value for point in budget.samples}
    assert values == {'a': 2.0, 'b': 4.0}
    for name, bound in (
        ('walnutport_request_seconds', '1.2'),
        ('walnutport_first_event_seconds', '0.4'),
        ('walnutport_stages_seconds', '0.8'),
    ):
        buckets = {
            sample.labels['le']: sample.value
            for sample in families[name].samples
            if sample.name.endswith('_bucket')
        }
        lowest = next(le for le, value in buckets.items() if value)
        assert lowest == bound and buckets['+Inf'] == 1


def test_requests_without_stages_are_left_out_of_the_stages_histogram():
    """Guards against durations of 0 that distort the stages histogram."""
    entry_metrics = metrics.EntryMetrics()
    entry_metrics.finished(finished_call(), 1.0)
    families = parse_rendered(entry_metrics)
    assert not families['walnutport_stages_seconds'].samples


def test_streams_taken_up_are_counted_apart():
    """Guards against streams that do not go on and that nobody sees.

    The few that callers take up vanish among the ends of new streams.
    """
    entry_metrics = metrics.EntryMetrics()
    for call in (
        finished_call(),
        finished_call(continues=True),
        finished_call(continues=True, outcome='broken'),
        finished_call(
            continues=True, outcome='overload', status=503, first_event_at=0.0
        ),
        finished_call(
            continues=True, outcome='lost', status=502, first_event_at=0.0
        ),
    ):
        entry_metrics.finished(call, 1.0)
    samples = parse_rendered(entry_metrics)['walnutport_streams'].samples
    assert {
        (point.labels['continues'], point.labels['result']): point.value
        for point in samples
    } == {
        ('false', 'streamed'): 1,
        ('true', 'streamed'): 1,
        ('true', 'broken'): 1,
        ('true', 'refused'): 1,
        ('true', 'failed'): 1,
    }


@pytest.mark.parametrize('name', ['a"b', 'a\\', 'a\nb', '{a}', 'a",b="'])
def test_names_with_any_characters_are_labels(name):
    """Guards against a name in an entry that spoils the whole page."""
    entry_metrics = metrics.EntryMetrics()
    call = finished_call()
    call.service = name
    entry_metrics.started(call)
    entry_metrics.finished(call, 1.0)
    labels = metrics.format_labels(service=name, data_centre=name)
    entry_metrics.gauges = {f'target_share{{{labels}}}': 2.0}
    families = parse_rendered(entry_metrics)
    for family in (
        'walnutport_requests',
        'walnutport_request_seconds',
        'walnutport_target_share',
    ):
        sample = families[family].samples[0]
        assert sample.labels['service'] == name
