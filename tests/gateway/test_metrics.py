"""Tests of the metrics of an entry host."""

from prometheus_client import parser

from walnutport.gateway import calls
from walnutport.gateway import metrics
from walnutport.world import routes


def call(stages_s: float = 0.0, outcome: str = 'streamed') -> calls.CallerCall:
    """Return a call that has ended."""
    found = calls.CallerCall.__new__(calls.CallerCall)
    found.route = routes.Route.__new__(routes.Route)
    object.__setattr__(found.route, 'name', 'review')
    found.team = 'north'
    found.service = 'llm'
    found.outcome = outcome
    found.stages_s = stages_s
    found.arrived_at = 10.0
    return found


def rendered(figures: metrics.EntryMetrics) -> dict[str, object]:
    """Return the families as the collector's own parser reads them."""
    text = figures.render().decode()
    return {
        family.name: family
        for family in parser.text_string_to_metric_families(text)
    }


def test_the_collector_reads_every_figure():
    """Guards against metrics that are lost in the collector."""
    figures = metrics.EntryMetrics()
    figures.started(call())
    figures.rejected('no_route')
    figures.first_event(call(), 10.3)
    figures.finished(call(stages_s=0.7), 1.0)
    figures.gauges = {
        'peers': 3.0,
        'retry_budget_left{service="a"}': 2.0,
        'retry_budget_left{service="b"}': 4.0,
    }
    figures.totals = {'store_calls_total': 7.0}
    found = rendered(figures)
    assert found['walnutport_store_calls'].type == 'counter'
    budget = found['walnutport_retry_budget_left']
    assert budget.type == 'gauge'
    values = {s.labels['service']: s.value for s in budget.samples}
    assert values == {'a': 2.0, 'b': 4.0}
    for name, bound in (
        ('walnutport_request_seconds', '1.2'),
        ('walnutport_first_event_seconds', '0.4'),
        ('walnutport_stages_seconds', '0.8'),
    ):
        buckets = {
            sample.labels['le']: sample.value
            for sample in found[name].samples
            if sample.name.endswith('_bucket')
        }
        first = next(le for le, value in buckets.items() if value)
        assert first == bound and buckets['+Inf'] == 1


def test_requests_without_stages_are_not_in_their_histogram():
    """Guards against waits of 0 that hide those of staged requests."""
    figures = metrics.EntryMetrics()
    figures.finished(call(), 1.0)
    found = rendered(figures)
    assert not found['walnutport_stages_seconds'].samples
