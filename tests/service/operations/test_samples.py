"""Tests that metrics and status of a host are bounded in size."""

import collections

import msgspec
from prometheus_client import parser
from twisted.internet import reactor

from walnutport.config import settings as config
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.metrics import exposition
from walnutport.metrics import histograms
from walnutport.service import host
from walnutport.service.operations import samples
from walnutport import world

_ITEM_COUNT = 3_000
_MAX_SERVICES = 100


def _fill_host(entry_host: host.EntryHost) -> None:
    """Fill a host with thousands of members, entries, pools and suspects."""
    components = entry_host.components
    now = components.clock.monotonic()
    long_name = 'n' * 200
    for number in range(_ITEM_COUNT):
        name = f'{long_name}{number}'
        components.latencies.record(
            histograms.MetricKey(name, 'standard'),
            answers.Answer(answers.Outcome.COMPLETE, answers.Reason.OK),
            0.02,
        )
        components.cost_ledger.record(
            member_id=name,
            owner=name,
            entry_id=name,
            stage=name,
            result=interfaces.AttemptResult(
                'a', 't', 's', interfaces.AttemptStatus.OK, 0.01
            ),
        )
        digest = number.to_bytes(16)
        table = components.policies.quarantine
        for target in ('t1', 't2'):
            table.attempt_started(digest, target, f'{target}{number}', now)
    for target in ('t1', 't2'):
        components.policies.quarantine.target_died(target, now)
    address = world.Address('127.0.0.1', 1)
    targets = {
        f't{number}': world.Target(
            f't{number}', f'{long_name}{number}', 'dc-1', address
        )
        for number in range(_ITEM_COUNT)
    }
    components.policies.router.targets_changed(targets, now)
    components.policies.admission.targets_changed(targets, now)
    components.policies.admission.advance(now)


def _new_host(policy: str) -> host.EntryHost:
    text = msgspec.json.encode({'policies': {'policy': policy}})
    return host.EntryHost(config.parse_settings(text), reactor)


def _metrics(entry_host: host.EntryHost) -> dict[str, list]:
    collector = exposition.HostCollector(
        entry_host.components.latencies,
        entry_host.components.cost_ledger,
        samples.HostSamples(entry_host).collect,
    )
    text = exposition.render(collector).decode()
    return {
        family.name: family.samples
        for family in parser.text_string_to_metric_families(text)
    }


def test_series_and_labels_are_bounded() -> None:
    """Guards against scrapes that grow with members, entries or pools."""
    entry_host = _new_host('standard')
    _fill_host(entry_host)
    metrics = _metrics(entry_host)
    series = collections.Counter(
        {
            name: len(
                {tuple(sample.labels.items()) for sample in family_samples}
            )
            for name, family_samples in metrics.items()
        }
    )
    labels = {
        label
        for family_samples in metrics.values()
        for sample in family_samples
        for label in sample.labels.values()
    }
    assert max(map(len, labels)) <= 64
    # Each pair of member and class has 13 series: the buckets and the sum.
    assert series['walnutport_request_latency_seconds'] <= 13 * 1_001
    assert series['walnutport_answers'] <= 1_001
    assert series['walnutport_attempts'] <= 2_001
    assert series['walnutport_queue_waiting'] <= samples.QUEUES_SHOWN + 1
    assert series['walnutport_targets'] <= _MAX_SERVICES + 1
    attempts = metrics['walnutport_attempts']
    assert sum(sample.value for sample in attempts) == _ITEM_COUNT
    targets = metrics['walnutport_targets']
    assert sum(sample.value for sample in targets) == _ITEM_COUNT
    standing = {
        sample.labels['standing']: sample.value
        for sample in metrics['walnutport_suspects']
    }
    assert standing == {'suspect': 0, 'quarantined': _ITEM_COUNT}
    status = entry_host.view.status()
    assert len(status['suspects']['quarantined_digests']) == 20
    assert len(status['queues']) == samples.QUEUES_SHOWN


def test_naive_host_has_metrics_and_status() -> None:
    """Guards against views that work only with the standard policies."""
    entry_host = _new_host('naive')
    metrics = _metrics(entry_host)
    assert metrics['walnutport_calls_in_flight'][0].value == 0
    assert metrics['walnutport_target_deaths'][0].value == 0
    assert entry_host.view.status()['queues'] == {}
