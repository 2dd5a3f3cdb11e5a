"""Streamed answers relayed by real hosts."""

import collections
import json
import re
import socket
import time

from standins import caller
from standins import fleet
from standins import fleet_plans
from standins import ledger
from standins import processes

_LIMIT_S = 30.0


def _load(**changes) -> caller.Load:
    fields = {
        'member_id': 'north',
        'token': fleet_plans.TOKENS_BY_MEMBER['north'],
        'entry_id': 'summaries',
        'rate_per_s': 20.0,
        'count': 60,
        'deadline_ms': 20_000,
        'stream': True,
    }
    return caller.Load(**{**fields, **changes})


def _wait_for(read, limit_s: float = _LIMIT_S) -> None:
    started = time.monotonic()
    while not read():
        assert time.monotonic() - started < limit_s, (
            'condition not met in time'
        )
        time.sleep(0.05)


def _count(running: fleet.Fleet, kind: ledger.EventKind, stage: str) -> int:
    return sum(
        event.kind is kind and event.stage == stage
        for event in ledger.read_ledger(running.ledger_folder)
    )


def test_engine_killed_during_a_stream() -> None:
    """Guards against lost or repeated events when a stream is resumed."""
    pools = (
        *(fleet_plans.PoolPlan(name, 2) for name in ('encoder', 'retriever')),
        fleet_plans.PoolPlan('reranker', 2),
        fleet_plans.PoolPlan('engine', 3, slots=32, events=40, event_ms=20.0),
    )
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=2, pools=pools)) as running:
        sender = running.start_caller((_load(),))
        _wait_for(
            lambda: _count(running, ledger.EventKind.STARTED, 'generate') >= 25
        )
        running.targets_by_id['engine-1'].kill()
        assert sender.process is not None
        assert sender.process.wait(90) == 0
        report = running.check_ledger()
        events = ledger.read_ledger(running.ledger_folder)
    assert report.findings == ()
    assert report.sent == 60
    for answer in events:
        if answer.kind is not ledger.EventKind.ANSWERED:
            continue
        # The naive router may choose the killed engine for every attempt.
        if answer.outcome == 'complete':
            assert answer.tokens == tuple(range(40))
        else:
            assert answer.tokens == tuple(range(len(answer.tokens)))
            expected_reason = (
                'stream_incomplete' if answer.tokens else 'no_target'
            )
            assert (answer.outcome, answer.reason) == (
                'unknown',
                expected_reason,
            )
    assert _resumed_nonces(events), 'no stream was resumed'


def _resumed_nonces(events: list[ledger.LedgerEvent]) -> set[str]:
    """Return the nonces of complete requests with several engine runs."""
    starts_by_nonce = collections.Counter(
        event.nonce
        for event in events
        if event.kind is ledger.EventKind.STARTED and event.stage == 'generate'
    )
    return {
        event.nonce
        for event in events
        if event.outcome == 'complete' and starts_by_nonce[event.nonce] > 1
    }


def _open_stream(
    running: fleet.Fleet, deadline_ms: int, pad_bytes: int = 0
) -> socket.socket:
    address = running.caller_addresses_by_host['host-1']
    ip, _, port = address.partition(':')
    connection = socket.socket()
    # With a small receive window the host notices at once that reading stops.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    connection.connect((ip, int(port)))
    body = json.dumps({'nonce': 'n1', 'pad_bytes': pad_bytes}).encode()
    head = (
        'POST /v1/entries/summaries HTTP/1.1\r\nhost: test\r\n'
        'accept: text/event-stream\r\n'
        f'authorization: Bearer {fleet_plans.TOKENS_BY_MEMBER["north"]}\r\n'
        f'walnutport-deadline-ms: {deadline_ms}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    connection.sendall(head.encode() + body)
    return connection


def _engine_plan(events: int, event_ms: float, settings=None):
    return fleet_plans.FleetPlan(
        hosts=1,
        pools=(
            *(
                fleet_plans.PoolPlan(name, 1)
                for name in ('encoder', 'retriever')
            ),
            fleet_plans.PoolPlan('reranker', 1),
            fleet_plans.PoolPlan(
                'engine', 1, events=events, event_ms=event_ms
            ),
        ),
        settings=settings or {},
    )


def test_disconnected_caller_cancels_at_the_engine() -> None:
    """Guards against engines that generate for a disconnected caller."""
    with fleet.Fleet(_engine_plan(10_000, 10.0)) as running:
        connection = _open_stream(running, 30_000)
        with connection:
            assert connection.recv(100).startswith(b'HTTP/1.1 200')
        _wait_for(
            lambda: _count(running, ledger.EventKind.CANCELLED, 'generate')
        )


def test_caller_that_stops_reading_is_disconnected() -> None:
    """Guards against unbounded buffers for a caller that stops reading."""
    settings = {'callers': {'stream_buffer_bytes': 4_096}}
    with fleet.Fleet(_engine_plan(1_000_000, 0.1, settings)) as running:
        with _open_stream(running, 2_500, 8_000) as connection:
            connection.settimeout(_LIMIT_S)
            _wait_for(
                lambda: _count(running, ledger.EventKind.CANCELLED, 'generate')
            )
            received = b''
            try:
                while data := connection.recv(65_536):
                    received += data
            except ConnectionResetError:
                pass
        assert b'event: answer' not in received
        address = running.caller_addresses_by_host['host-1']
        assert processes.http_request(f'http://{address}/healthz') == b'ok\n'


def test_slow_caller_gets_every_event() -> None:
    """Guards against events lost or reordered when the engine is paused."""
    settings = {'callers': {'stream_buffer_bytes': 4_096}}
    with fleet.Fleet(_engine_plan(700, 0.1, settings)) as running:
        with _open_stream(running, 40_000, 8_000) as connection:
            connection.settimeout(_LIMIT_S)
            _wait_for(
                lambda: _count(running, ledger.EventKind.STARTED, 'generate')
            )
            time.sleep(1.0)  # lets the buffers along the path fill up
            received = b''
            while not received.endswith(b'\r\n0\r\n\r\n'):
                received += connection.recv(65_536)
    numbers = [int(n) for n in re.findall(rb'\nid: (\d+)\n', received)]
    assert numbers == list(range(700))
    assert received.count(b'event: done\n') == 1
    assert b'"outcome":"complete"' in received
