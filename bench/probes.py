"""Benchmark measurements that are not load scenarios."""

from collections.abc import Callable
import itertools
import json
import statistics
import time

import msgspec
import psutil

from bench import relay
from standins import caller
from standins import checker
from standins import client
from standins import fleet
from standins import fleet_plans
from standins import ledger
from standins import processes
from walnutport.config import settings as config
from walnutport import interfaces
from walnutport.service import policies
from walnutport import world

__all__ = ['PROBES']

_SEED = 20_261_203
_HOSTS = 9
_CANDIDATES = 64
_LIMIT = 20
_IDLE_WINDOW_S = 15.0
_STREAMS = 437
_RELAY_S = 8.0
_PEER_BYTE_COUNTERS = (
    'walnutport_peer_received_bytes_total',
    'walnutport_peer_sent_bytes_total',
)
_SMALL_POOLS = (
    fleet_plans.PoolPlan('encoder', 2, service_ms=5.0),
    fleet_plans.PoolPlan('retriever', 2, service_ms=5.0),
    fleet_plans.PoolPlan('reranker', 2, service_ms=5.0),
    fleet_plans.PoolPlan('engine', 2, slots=8, service_ms=5.0, event_ms=0.0),
    fleet_plans.PoolPlan('payments', 1, service_ms=5.0, repeatable=False),
)


def measure_poison() -> dict[str, float]:
    """Target deaths when a crashing request is resent through all hosts."""
    with fleet.Fleet(fleet_plans.FleetPlan(pools=_SMALL_POOLS)) as running:
        body = {'crash': True, 'nonce': 'poison'}
        for number, host_id in zip(
            range(20), itertools.cycle(running.caller_addresses_by_host)
        ):
            _post_entry(running.caller_addresses_by_host[host_id], body)
            time.sleep(0.1)
            if number % 5 == 4:
                _restart_dead_targets(running)
        crashes = sum(
            event.kind is ledger.EventKind.CRASHED
            for event in ledger.read_ledger(running.ledger_folder)
        )
    return {'poison_target_deaths': crashes}


def measure_catalogue() -> dict[str, float]:
    """Longest time until nine hosts have applied a catalogue change."""
    with fleet.Fleet(
        fleet_plans.FleetPlan(hosts=_HOSTS, pools=_SMALL_POOLS)
    ) as running:
        worst_ms = 0.0
        for version in range(1, 6):
            body = {'class_id': 'standard', 'weight': 1.0 + version}
            started = time.monotonic()
            running.publish_catalogue([_class_change(version, body)])
            offset = len(fleet_plans.example_catalogue()) + version
            for address in running.control_addresses_by_host.values():
                while _catalogue_offset(address) < offset:
                    time.sleep(0.005)
            worst_ms = max(worst_ms, (time.monotonic() - started) * 1000)
    return {'catalogue_in_force_ms_max': round(worst_ms, 1)}


def measure_leaving() -> dict[str, float]:
    """Time from a target's notice of leaving until its last new request."""
    plan = fleet_plans.FleetPlan(pools=_SMALL_POOLS, list_lag_s=1.0)
    with fleet.Fleet(plan) as running:
        sender = running.start_caller((_load(60.0, 420),), seed=_SEED)
        time.sleep(2.5)
        noticed_at = time.monotonic()
        listed = running.listed_targets_by_id['encoder-1']
        running.set_target_behaviour('encoder-1', leaving=True)
        running.change_host_list(
            targets=[{**msgspec.to_builtins(listed), 'state': 'leaving'}]
        )
        _wait_for_exit(sender)
        last_started_at = max(
            (
                event.time_s
                for event in ledger.read_ledger(running.ledger_folder)
                if event.kind is ledger.EventKind.STARTED
                and event.source == 'encoder-1'
            ),
            default=noticed_at,
        )
    return {
        'leaving_last_request_ms': round(
            max(0.0, last_started_at - noticed_at) * 1000, 1
        )
    }


def measure_limit() -> dict[str, float]:
    """Peak of the requests in flight on nine hosts, relative to the limit."""
    contract = {
        'entry_id': 'limited',
        'owner': 'north',
        'class_id': 'standard',
        'pipeline_id': 'answers',
        'limits': {'max_in_flight': _LIMIT},
    }
    pools = tuple(
        fleet_plans.PoolPlan(pool.service, 2, slots=32, service_ms=100.0)
        for pool in _SMALL_POOLS
    )
    plan = fleet_plans.FleetPlan(
        hosts=_HOSTS, pools=pools, contracts=(contract,)
    )
    with fleet.Fleet(plan) as running:
        time.sleep(2.0)
        weights = tuple(1.0 / (number + 1) for number in range(_HOSTS))
        sender = running.start_caller(
            (_load(100.0, 1_000, 'limited'),), seed=_SEED, host_weights=weights
        )
        _wait_for_exit(sender)
        events = ledger.read_ledger(running.ledger_folder)
    peak = checker.peak_concurrency(events, 'limited')
    return {'limit_overshoot_ratio': round(peak / _LIMIT, 3)}


def measure_decision() -> dict[str, float]:
    """Time to admit and route one request with 64 candidate targets."""
    built_policies = policies.build_policies(config.default_settings())
    now = 1_000.0
    targets = {
        f'engine-{number}': world.Target(
            f'engine-{number}',
            'engine',
            f'dc-{number % 4}',
            world.Address('127.0.0.1', 20_000 + number),
            slots=8,
        )
        for number in range(_CANDIDATES)
    }
    built_policies.router.targets_changed(targets, now)
    built_policies.admission.targets_changed(targets, now)
    pool_queue = built_policies.admission.pool_queue('engine')
    query = interfaces.RouteQuery('engine', now + 1_000)
    samples = []
    for number in range(5_000):
        now += 0.001
        ticket = interfaces.Ticket(
            f't{number}', 'summaries', 'north', 'standard', now + 4
        )
        started = time.perf_counter()
        built_policies.admission.entry_queue.offer(ticket, now)
        pool_queue.offer(ticket, now)
        target = built_policies.router.route(query, now)
        samples.append((time.perf_counter() - started) * 1e6)
        pool_queue.release(ticket.ticket_id, now)
        built_policies.admission.entry_queue.release(ticket.ticket_id, now)
        assert target is not None
    return {
        'decision_us_p99': round(statistics.quantiles(samples, n=100)[-1], 1)
    }


def measure_added_latency() -> dict[str, float]:
    """Median latency that the host adds to four sequential stage calls."""
    plan = fleet_plans.FleetPlan(hosts=1, pools=_SMALL_POOLS)
    with fleet.Fleet(plan) as running:
        address = next(iter(running.caller_addresses_by_host.values()))
        stages = fleet_plans.STAGES_BY_ENTRY['summaries']
        services = ('encoder', 'retriever', 'reranker', 'engine')
        direct = [
            (running.listed_targets_by_id[f'{service}-1'], stage)
            for service, stage in zip(services, stages)
        ]
        direct_ms, through_ms = [], []
        for number in range(150):
            body = {'nonce': str(number)}
            direct_ms.append(_elapsed_ms(lambda: _call_direct(direct, body)))
            through_ms.append(_elapsed_ms(lambda: _post_entry(address, body)))
    added = statistics.median(through_ms) - statistics.median(direct_ms)
    return {'added_latency_ms_p50': round(added, 2)}


def measure_start() -> dict[str, float]:
    """Time from the start of a host process until it is ready."""
    with fleet.Fleet(
        fleet_plans.FleetPlan(hosts=2, pools=_SMALL_POOLS)
    ) as running:
        running.hosts_by_id['host-1'].kill()
        started = time.monotonic()
        running.start_host('host-1')
        running.wait_ready('host-1')
        elapsed_ms = (time.monotonic() - started) * 1000
    return {'start_to_ready_ms': round(elapsed_ms, 1)}


def measure_control() -> dict[str, float]:
    """CPU, network and memory cost of an idle host with eight peers.

    The bytes are the HTTP traffic to the log, the list and the targets,
    counted by a proxy, and the messages between hosts in both directions. The
    memory is the resident memory beyond that of a host without peers and with
    one small pool.
    """
    single = fleet_plans.FleetPlan(hosts=1, pools=_SMALL_POOLS[:1])
    with fleet.Fleet(single) as running:
        time.sleep(2.0)
        idle_rss = _process(running, 'host-1').memory_info().rss
    plan = fleet_plans.FleetPlan(
        hosts=_HOSTS, pools=_SMALL_POOLS, proxied=True
    )
    with fleet.Fleet(plan) as running:
        time.sleep(5.0)
        process = _process(running, 'host-1')
        bytes_before = _control_bytes(running)
        cpu_before = sum(process.cpu_times()[:2])
        started = time.monotonic()
        time.sleep(_IDLE_WINDOW_S)
        elapsed_s = time.monotonic() - started
        cpu_s = sum(process.cpu_times()[:2]) - cpu_before
        transferred = _control_bytes(running) - bytes_before
        rss = process.memory_info().rss
    return {
        'control_core_percent': round(100 * cpu_s / elapsed_s, 2),
        'control_kb_per_s': round(transferred / elapsed_s / 1_000, 2),
        'control_rss_mb': round((rss - idle_rss) / 1e6, 1),
    }


def measure_relay() -> dict[str, float]:
    """CPU time of a host per relayed token event."""
    key = 'relay_cpu_us_per_token_event'
    return {key: relay.measure(_STREAMS, _RELAY_S)[key]}


PROBES: dict[str, Callable[[], dict[str, float]]] = {
    'poison_target_deaths': measure_poison,
    'catalogue_in_force_ms_max': measure_catalogue,
    'leaving_last_request_ms': measure_leaving,
    'limit_overshoot_ratio': measure_limit,
    'decision_us_p99': measure_decision,
    'added_latency_ms_p50': measure_added_latency,
    'start_to_ready_ms': measure_start,
    'control_core_percent': measure_control,
    'relay_cpu_us_per_token_event': measure_relay,
}


def _load(rate: float, count: int, entry_id: str = 'summaries') -> caller.Load:
    return caller.Load(
        'north', fleet_plans.TOKENS_BY_MEMBER['north'], entry_id, rate, count
    )


def _wait_for_exit(sender: processes.ManagedProcess) -> None:
    assert sender.process is not None
    sender.process.wait(60)


def _restart_dead_targets(running: fleet.Fleet) -> None:
    for target_id, process in running.targets_by_id.items():
        if not process.is_running():
            running.start_target(target_id)


def _process(running: fleet.Fleet, host_id: str) -> psutil.Process:
    return psutil.Process(running.hosts_by_id[host_id].pid)


def _control_bytes(running: fleet.Fleet) -> float:
    """Return the control traffic in bytes so far, averaged over all hosts."""
    total = float(running.passed_bytes())
    for address in running.control_addresses_by_host.values():
        text = processes.http_request(f'http://{address}/metrics').decode()
        total += sum(
            float(line.split()[-1])
            for line in text.splitlines()
            if line.startswith(_PEER_BYTE_COUNTERS)
        )
    return total / len(running.control_addresses_by_host)


def _class_change(version: int, body: dict) -> dict:
    return {
        'change_id': f'bench-{version}',
        'kind': 'class',
        'name': 'standard',
        'expected_version': version,
        'operator': 'bench',
        'body': json.dumps(body),
    }


def _catalogue_offset(address: str) -> int:
    return client.get_json(address, '/v1/status')['catalogue_offset']


def _elapsed_ms(action: Callable[[], object]) -> float:
    started = time.perf_counter()
    action()
    return (time.perf_counter() - started) * 1000


def _call_direct(direct, body: dict) -> None:
    data: object = body
    for listed, stage in direct:
        data = client.run_stage(f'{listed.ip}:{listed.port}', stage, data)


def _post_entry(address: str, body: dict) -> None:
    client.post_entry(address, fleet_plans.TOKENS_BY_MEMBER['north'], body)
