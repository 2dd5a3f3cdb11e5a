"""Metrics, status and cost reports of real hosts."""

import collections
import json
import subprocess
import sys
import time

from prometheus_client import parser
import pytest

from standins import caller
from standins import fleet
from standins import fleet_plans
from standins import ledger
from standins import processes
from walnutport.metrics import families

_LIMIT_S = 60.0


@pytest.fixture(scope='module')
def running():
    plan = fleet_plans.FleetPlan(
        hosts=2, settings={'platform': {'cost_flush_s': 0.3}}
    )
    with fleet.Fleet(plan) as started:
        loads = tuple(
            caller.Load(
                member_id='north',
                token=fleet_plans.TOKENS_BY_MEMBER['north'],
                entry_id=entry,
                rate_per_s=20.0,
                count=12,
                deadline_ms=20_000,
                keyed=entry == 'payments',
                stream=entry == 'summaries',
            )
            for entry in ('summaries', 'payments')
        )
        sender = started.start_caller(loads)
        assert sender.process is not None
        assert sender.process.wait(60) == 0
        yield started


def _walnutport(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, '-m', 'walnutport', *arguments],
        capture_output=True,
        text=True,
        timeout=_LIMIT_S,
    )


def _scrape(address: str) -> dict[str, list]:
    text = processes.http_request(f'http://{address}/metrics').decode()
    return {
        family.name: family.samples
        for family in parser.text_string_to_metric_families(text)
    }


def test_host_exposes_the_metrics_of_the_table(running) -> None:
    """Guards against renamed, missing or undescribed metrics."""
    addresses = running.control_addresses_by_host.values()
    pages = [_scrape(address) for address in addresses]
    for page in pages:
        assert set(page) == {
            f'walnutport_{family.name}' for family in families.FAMILIES
        }

    def total(name: str) -> float:
        return sum(
            sample.value
            for page in pages
            for sample in page[f'walnutport_{name}']
            if not sample.name.endswith('_created')
        )

    assert total('answers') == 24
    assert total('claims') == 12
    assert total('calls_in_flight') == 0
    assert total('peer_received') > 0
    assert total('log_appends') > 0
    assert total('stream_events') > 0
    # Counters keep their values when a cost flush empties the ledger.
    assert total('attempts') >= 96
    assert total('targets') == 2 * len(running.targets_by_id)


def test_status_shows_targets_queues_and_quarantine(running) -> None:
    """Guards against a status that lacks what operators need."""
    address = running.control_addresses_by_host['host-1']
    completed = _walnutport('status', f'--host={address}', '--json')
    assert completed.returncode == 0, completed.stderr
    status = json.loads(completed.stdout)
    assert status['hosts']['host-2'] == 'live'
    assert set(status['targets']) == set(running.targets_by_id)
    target = status['targets']['encoder-1']
    assert (target['state'], target['in_flight']) == ('live', 0)
    assert status['queues']['pool/encoder']['capacity'] > 0
    assert status['queues']['entry/summaries']['waiting'] == 0
    assert status['suspects']['quarantined_digests'] == []
    text = _walnutport('status', f'--host={address}').stdout
    assert '  encoder-1: service=encoder' in text


def test_report_from_the_log_includes_stopped_hosts(running) -> None:
    """Guards against costs that disappear with their host."""
    assert running.hosts_by_id['host-2'].terminate() == 0
    recorded: dict[str, int] = {}
    started = collections.Counter(
        event.stage
        for event in ledger.read_ledger(running.ledger_folder)
        if event.kind is ledger.EventKind.STARTED
    )
    deadline = time.monotonic() + _LIMIT_S
    # The host that still runs flushes its counters a little later.
    while recorded != started and time.monotonic() < deadline:
        completed = _walnutport(
            'report', f'--log={running.log_address}', '--json'
        )
        assert completed.returncode == 0, completed.stderr
        recorded = collections.Counter()
        for row in json.loads(completed.stdout)['cost']:
            assert row['owner'] == row['member_id'] == 'north'
            recorded[row['stage']] += row['attempts']
    assert recorded == started
    assert json.loads(completed.stdout)['latency'] == []


def test_report_of_a_host_includes_flushed_costs(running) -> None:
    """Guards against reported costs that decrease at each flush."""
    address = running.control_addresses_by_host['host-1']
    log_flag = f'--log={running.log_address}'
    completed = _walnutport('report', f'--host={address}', '--json')
    report = json.loads(completed.stdout)
    assert sum(row['attempts'] for row in report['cost']) > 0
    assert all(row['target_s'] > 0 for row in report['cost'])
    assert sum(row['count'] for row in report['latency']) > 0
    both = _walnutport('report', f'--host={address}', log_flag, '--json')
    assert json.loads(both.stdout)['latency'] == report['latency']
    stopped_address = running.control_addresses_by_host['host-2']
    assert _walnutport('report', f'--host={stopped_address}').returncode == 5
    assert _walnutport('status', f'--host={stopped_address}').returncode == 5
