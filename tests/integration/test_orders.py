"""Orders to engines with real processes."""

import signal
import time

import msgspec

from standins import caller
from standins import fleet
from standins import fleet_plans
from standins import ledger
from standins import processes
from standins import weight_server
from walnutport.orders import reconcile

_LIMIT_S = 30.0


def _plan() -> fleet_plans.FleetPlan:
    return fleet_plans.FleetPlan(
        hosts=2,
        pools=(
            *(
                fleet_plans.PoolPlan(name, 1)
                for name in ('encoder', 'retriever')
            ),
            fleet_plans.PoolPlan('reranker', 1),
            fleet_plans.PoolPlan(
                'engine', 2, engine=True, checks_fencing=False
            ),
        ),
        settings={
            'orders': {
                'enabled': True,
                'lease_s': 2.0,
                'tick_s': 0.2,
                'hold_s': 0.5,
                'resend_s': 1.0,
            }
        },
        models=(
            weight_server.StoredModel('small', adapters=('tone',)),
            weight_server.StoredModel('unused'),
        ),
    )


def _report(running: fleet.Fleet, name: str) -> reconcile.EngineReport:
    listed = running.listed_targets_by_id[name]
    url = f'http://{listed.ip}:{listed.port}/v1/engine'
    reply = processes.http_request(url)
    return msgspec.json.decode(reply, type=reconcile.EngineReport)


def _wait_for(read, message: str):
    started = time.monotonic()
    while not (value := read()):
        assert time.monotonic() - started < _LIMIT_S, message
        time.sleep(0.05)
    return value


def _serving(running: fleet.Fleet, name: str) -> bool:
    wanted = (reconcile.ModelState('small', 'v1'),)
    report = _report(running, name)
    return report.models == wanted and report.adapters == ('tone',)


def _cache_events(base: str) -> list[dict]:
    reply = processes.http_request(f'{base}/cache-events?after=0')
    return msgspec.json.decode(reply)['events']


def _orders(running: fleet.Fleet) -> list[tuple[str, str, int]]:
    """Return the engine, issuer and number of each order in order of time."""
    return [
        (event.source, event.detail.split()[0], int(event.detail.split()[1]))
        for event in ledger.read_ledger(running.ledger_folder)
        if event.kind is ledger.EventKind.ORDERED
    ]


def _lease_holder(running: fleet.Fleet) -> str:
    """Return the host that acquired the lease last."""
    lease_positions = {
        host_id: running.read_output(host_id).rfind('orders: lease taken')
        for host_id in running.hosts_by_id
    }
    return max(lease_positions, key=lambda host_id: lease_positions[host_id])


def test_paused_lease_holder_sends_no_order_after_its_pause() -> None:
    """Guards against a resumed lease holder that overrides the new one.

    The engines ignore fencing numbers, so an outdated order would take effect.
    """
    with fleet.Fleet(_plan()) as running:
        engine_id = 'engine-1'
        _wait_for(lambda: _serving(running, engine_id), 'no model was loaded')
        paused = _lease_holder(running)
        other = next(name for name in running.hosts_by_id if name != paused)
        running.hosts_by_id[paused].signal(signal.SIGSTOP)
        _wait_for(
            lambda: 'orders: lease taken' in running.read_output(other),
            'the lease was not taken over',
        )
        listed = running.listed_targets_by_id[engine_id]
        url = f'http://{listed.ip}:{listed.port}/unload'
        processes.http_request(url, {})
        _wait_for(
            lambda: _serving(running, engine_id), 'the state was not corrected'
        )
        assert _orders(running)[-1][1] == other
        orders_before = len(_orders(running))
        running.hosts_by_id[paused].signal(signal.SIGCONT)
        _wait_for(
            lambda: 'orders: lease lost' in running.read_output(paused),
            'the loss of the lease was not noticed',
        )
        processes.http_request(url, {})
        _wait_for(
            lambda: _serving(running, engine_id), 'the state was not corrected'
        )
        late_orders = _orders(running)[orders_before:]
        assert late_orders
        assert {issuer for _, issuer, _ in late_orders} == {other}
        numbers = [
            number for name, _, number in late_orders if name == engine_id
        ]
        assert numbers == sorted(numbers)


def test_engine_serves_a_stream_after_its_model_was_ordered() -> None:
    """Guards against an engine stand-in that breaks the target interface."""
    with fleet.Fleet(_plan()) as running:
        _wait_for(lambda: _serving(running, 'engine-1'), 'not loaded')
        sender = running.start_caller(
            tuple(
                caller.Load(
                    member_id='north',
                    token=fleet_plans.TOKENS_BY_MEMBER['north'],
                    entry_id='summaries',
                    rate_per_s=10.0,
                    count=5,
                    deadline_ms=20_000,
                    stream=True,
                    body={'prompt': letter * 1_200},
                )
                for letter in 'ab'
            )
        )
        assert sender.process is not None
        assert sender.process.wait(60) == 0
        report = running.check_ledger()
        assert report.findings == ()
        assert report.complete == report.sent == 10
        listed = running.listed_targets_by_id['engine-1']
        base = f'http://{listed.ip}:{listed.port}/v1'
        events = _wait_for(lambda: _cache_events(base), 'no cache events')
        assert [event['sequence'] for event in events] == list(
            range(1, len(events) + 1)
        )
        digest = events[-1]['digests'][-1]
        entry = processes.http_request(f'{base}/kv/{digest}')
        processes.http_request(f'{base}/kv/moved', entry.decode())
        assert processes.http_request(f'{base}/kv/moved')
