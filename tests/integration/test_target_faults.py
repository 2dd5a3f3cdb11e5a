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
CRASHING_BODY = b'{"nonce": "killer", "crash": true}'
LIMIT_S = 20.0


def load(count: int, rate_per_s: float) -> caller.Load:
    """Return a load with a deadline that only lost requests miss."""
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
    """Return the number of ledger events of a kind and, if given, a source."""
    return sum(
        event.kind == kind and source in ('', event.source)
        for event in ledger.read_ledger(running.ledger_folder)
    )


def wait_until_verdicts_read(running: fleet.Fleet) -> None:
    """Wait until every host has read the verdicts that are in the log.

    A host reads all streams at once. Therefore a host that knows an entry that
    was published after the verdicts has read the verdicts as well.
    """
    deadline = time.monotonic() + LIMIT_S
    query = {'offsets': {'verdicts': 0}}
    end = 0
    while end < 2 and time.monotonic() < deadline:
        text = processes.http_request(
            f'http://{running.log_address}/v1/read', query
        )
        end = json.loads(text)['streams']['verdicts']['end']
    barrier = {
        'entry_id': 'barrier',
        'owner': 'north',
        'class_id': 'standard',
        'pipeline_id': 'answers',
    }
    running.publish_catalogue(
        [
            record
            for record in fleet_plans.example_catalogue((barrier,))
            if record['name'] == 'barrier'
        ]
    )
    for address in running.caller_addresses_by_host.values():
        reason = 'unknown_entry'
        while reason == 'unknown_entry' and time.monotonic() < deadline:
            answer = post(address, b'{"nonce": "b"}', 'barrier')
            reason = answer['reason']
        assert reason == 'ok'


def test_targets_restarted_under_load() -> None:
    """Guards against requests lost with a target or doubled by retries."""
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=2, pools=POOLS)) as running:
        sender = running.start_caller((load(240, 60.0),))
        for target_id in ('retriever-1', 'engine-2'):
            before = count_events(running, 'started', target_id)
            deadline = time.monotonic() + LIMIT_S
            while (
                count_events(running, 'started', target_id) < before + 5
                and time.monotonic() < deadline
            ):
                time.sleep(0.05)
            running.targets_by_id[target_id].kill()
            running.start_target(target_id)
        assert sender.process is not None
        assert sender.process.wait(60) == 0
        report = running.check_ledger()
    assert report.findings == ()
    assert report.complete == report.sent == 240


def test_a_crashing_request_crashes_at_most_two_targets() -> None:
    """Guards against a request that crashes one target after another."""
    with fleet.Fleet(fleet_plans.FleetPlan(pools=POOLS)) as running:
        hosts = list(running.caller_addresses_by_host.values())
        first_answer = post(hosts[0], CRASHING_BODY)
        wait_until_verdicts_read(running)
        answers = [
            post(hosts[number % 3], CRASHING_BODY) for number in range(1, 20)
        ]
        crashes = count_events(running, 'crashed')
        other_answer = post(hosts[1], b'{"nonce": "other"}')
        started_ids = {
            event.request_id
            for event in ledger.read_ledger(running.ledger_folder)
            if event.kind is ledger.EventKind.STARTED
        }
    assert crashes <= 2
    assert first_answer['outcome'] == 'unknown'
    assert {answer['reason'] for answer in answers} == {'quarantined'}
    assert {answer['outcome'] for answer in answers} == {'not_run'}
    assert not started_ids & {answer['request_id'] for answer in answers}
    assert other_answer['outcome'] == 'complete'


def test_simultaneous_copies_on_one_host() -> None:
    """Guards against copies that crash targets before a crash is detected."""
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=1, pools=POOLS)) as running:
        (host,) = running.caller_addresses_by_host.values()
        with concurrent.futures.ThreadPoolExecutor(20) as executor:
            answers = list(
                executor.map(post, [host] * 20, [CRASHING_BODY] * 20)
            )
        crashes = count_events(running, 'crashed')
    assert crashes <= 2
    assert {answer['outcome'] for answer in answers} <= {'unknown', 'not_run'}


def test_a_slow_target_loses_no_answers() -> None:
    """Guards against a slow target that keeps getting an even share."""
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=2, pools=POOLS)) as running:
        running.set_target_behaviour('retriever-1', slowdown=10.0)
        sender = running.start_caller((load(240, 60.0),))
        assert sender.process is not None
        assert sender.process.wait(60) == 0
        report = running.check_ledger()
        slow_starts = count_events(running, 'started', 'retriever-1')
    assert report.findings == ()
    assert report.complete == report.sent == 240
    # An even share would be one third.
    assert slow_starts < 240 / 5
