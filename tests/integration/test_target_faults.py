"""Crashing, killed and slow targets with real processes."""

import concurrent.futures
import json
import time
import urllib.error
import urllib.request

from standins import caller
from standins import fleet
from standins import fleet_plans
from standins import ledger
from standins import processes

POOLS = (
    fleet_plans.PoolPlan('encoder', 6),
    fleet_plans.PoolPlan('retriever', 3),
    fleet_plans.PoolPlan('reranker', 2),
    fleet_plans.PoolPlan('engine', 2, events=1),
)
KILLER = b'{"nonce": "killer", "crash": true}'
LIMIT_S = 20.0


def load(count: int, rate_per_s: float) -> caller.Load:
    """Return a load with a deadline that only a lost request misses."""
    return caller.Load(
        member_id='north',
        token=fleet_plans.TOKENS_BY_MEMBER['north'],
        entry_id='summaries',
        rate_per_s=rate_per_s,
        count=count,
        deadline_ms=20_000,
    )


def post(address: str, body: bytes, entry: str = 'summaries') -> dict:
    """Send one request to a host and return its answer."""
    request = urllib.request.Request(
        f'http://{address}/v1/entries/{entry}',
        data=body,
        headers={
            'authorization': f'Bearer {fleet_plans.TOKENS_BY_MEMBER["north"]}',
            'content-type': 'application/json',
            'walnutport-deadline-ms': '20000',
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=30) as reply:
            return json.loads(reply.read())
    except urllib.error.HTTPError as error:
        return json.loads(error.read())


def count_events(running: fleet.Fleet, kind: str, source: str = '') -> int:
    """Return the count of ledger events."""
    return sum(
        event.kind == kind and source in ('', event.source)
        for event in ledger.read_ledger(running.ledger_folder)
    )


def wait_until_read(running: fleet.Fleet) -> None:
    """Wait until every host has read the verdicts that are in the log.

    One read covers every stream, so a host that knows an entry which was
    published after the verdicts has read these too.
    """
    limit = time.monotonic() + LIMIT_S
    wanted = {'offsets': {'verdicts': 0}}
    end = 0
    while end < 2 and time.monotonic() < limit:
        text = processes.http_json(
            f'http://{running.log_address}/v1/read', wanted
        )
        end = json.loads(text)['streams']['verdicts']['end']
    barrier = {
        'entry_id': 'barrier',
        'owner': 'north',
        'class_id': 'standard',
        'pipeline_id': 'answers',
    }
    running.publish(
        [
            record
            for record in fleet_plans.example_catalogue((barrier,))
            if record['name'] == 'barrier'
        ]
    )
    for address in running.caller_addresses_by_host.values():
        reason = 'unknown_entry'
        while reason == 'unknown_entry' and time.monotonic() < limit:
            answer = post(address, b'{"nonce": "b"}', 'barrier')
            reason = answer['reason']
        assert reason == 'ok'


def test_targets_are_killed_and_started_again_under_load() -> None:
    """Guards against requests lost with a target, or doubled by retries."""
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=2, pools=POOLS)) as running:
        sender = running.start_caller((load(240, 60.0),))
        for target_id in ('retriever-1', 'engine-2'):
            before = count_events(running, 'started', target_id)
            limit = time.monotonic() + LIMIT_S
            while (
                count_events(running, 'started', target_id) < before + 5
                and time.monotonic() < limit
            ):
                time.sleep(0.05)
            running.targets_by_id[target_id].kill()
            running.start_target(target_id)
        assert sender.process is not None
        assert sender.process.wait(60) == 0
        report = running.check()
    assert report.findings == ()
    assert report.complete == report.sent == 240


def test_a_crashing_request_costs_two_targets() -> None:
    """Guards against a request that ends target after target."""
    with fleet.Fleet(fleet_plans.FleetPlan(pools=POOLS)) as running:
        hosts = list(running.caller_addresses_by_host.values())
        first = post(hosts[0], KILLER)
        wait_until_read(running)
        answers = [post(hosts[turn % 3], KILLER) for turn in range(1, 20)]
        died = count_events(running, 'crashed')
        other = post(hosts[1], b'{"nonce": "other"}')
        started = {
            event.request_id
            for event in ledger.read_ledger(running.ledger_folder)
            if event.kind is ledger.EventKind.STARTED
        }
    assert died <= 2
    assert first['outcome'] == 'unknown'
    assert {answer['reason'] for answer in answers} == {'quarantined'}
    assert {answer['outcome'] for answer in answers} == {'not_run'}
    assert not started & {answer['request_id'] for answer in answers}
    assert other['outcome'] == 'complete'


def test_copies_at_the_same_moment_on_one_host() -> None:
    """Guards against copies that end targets before the first death shows."""
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=1, pools=POOLS)) as running:
        (host,) = running.caller_addresses_by_host.values()
        with concurrent.futures.ThreadPoolExecutor(20) as executor:
            answers = list(executor.map(post, [host] * 20, [KILLER] * 20))
        died = count_events(running, 'crashed')
    assert died <= 2
    assert {answer['outcome'] for answer in answers} <= {'unknown', 'not_run'}


def test_a_slow_target_does_not_cost_answers() -> None:
    """Guards against a slow target that keeps its share of the work."""
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=2, pools=POOLS)) as running:
        running.control_target('retriever-1', slowdown=10.0)
        sender = running.start_caller((load(240, 60.0),))
        assert sender.process is not None
        assert sender.process.wait(60) == 0
        report = running.check()
        slow = count_events(running, 'started', 'retriever-1')
    assert report.findings == ()
    assert report.complete == report.sent == 240
    # An even share would be a third.
    assert slow < 240 / 5
