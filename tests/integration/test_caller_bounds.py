"""Invalid and oversized requests to the caller listener of a real host."""

from collections.abc import Iterator
import http.client
import json
import socket
import time

import pytest

from standins import fleet
from standins import fleet_plans
from standins import ledger

_TOKEN = fleet_plans.TOKENS_BY_MEMBER['north']
_HEADERS = {'Authorization': f'Bearer {_TOKEN}'}
_BODY = b'{"nonce": "n1"}'
_CALLER_SETTINGS = {
    'max_connections': 8,
    'max_body_bytes': 4_096,
    'max_header_bytes': 2_048,
}


@pytest.fixture(scope='module', name='running')
def fixture_running() -> Iterator[fleet.Fleet]:
    """Start one host with small bounds; no request may reach a target."""
    plan = fleet_plans.FleetPlan(
        hosts=1, settings={'callers': _CALLER_SETTINGS}
    )
    with fleet.Fleet(plan) as running:
        yield running
        started = [
            event
            for event in ledger.read_ledger(running.ledger_folder)
            if event.kind is ledger.EventKind.STARTED
        ]
        assert started == []


def _address(running: fleet.Fleet) -> tuple[str, int]:
    ip, _, port = running.caller_addresses_by_host['host-1'].partition(':')
    return ip, int(port)


def _post(
    running: fleet.Fleet,
    entry: str = 'summaries',
    body: bytes = _BODY,
    **headers: str,
) -> tuple[int, dict]:
    connection = http.client.HTTPConnection(*_address(running), timeout=20)
    extra_headers = {
        key.replace('_', '-'): value for key, value in headers.items()
    }
    try:
        connection.request(
            'POST', f'/v1/entries/{entry}', body, {**_HEADERS, **extra_headers}
        )
        reply = connection.getresponse()
        return reply.status, json.loads(reply.read())
    finally:
        connection.close()


def _exchange(running: fleet.Fleet, data: bytes) -> tuple[int, dict]:
    """Send raw bytes and return the status and body of the answer.

    The host may answer before it has read all bytes.
    """
    with socket.create_connection(_address(running), timeout=20) as connection:
        connection.sendall(data)
        reply = http.client.HTTPResponse(connection)
        reply.begin()
        return reply.status, json.loads(reply.read())


def _request_head(*lines: str) -> bytes:
    first_lines = ('POST /v1/entries/summaries HTTP/1.1', 'Host: host')
    token = f'Authorization: Bearer {_TOKEN}'
    return '\r\n'.join((*first_lines, token, *lines, '', '')).encode()


@pytest.mark.parametrize(
    ('status', 'reason', 'entry', 'body', 'headers'),
    [
        (404, 'unknown_entry', 'nothing', _BODY, {}),
        (401, 'unauthorized', 'summaries', _BODY, {'Authorization': 'x'}),
        (400, 'idempotency_key_missing', 'payments', _BODY, {}),
        (413, 'body_too_large', 'summaries', b'"%b"' % (b'x' * 5_000), {}),
        (
            400,
            'deadline_past',
            'summaries',
            _BODY,
            {'Walnutport_Deadline_Ms': '0'},
        ),
        (
            400,
            'bad_request',
            'summaries',
            _BODY,
            {'Walnutport_Deadline_Ms': 'soon'},
        ),
        (400, 'bad_request', 'summaries', b'{"nonce": ', {}),
        (400, 'bad_request', 'summaries', b'[' * 3_000, {}),
        (400, 'bad_request', 'summaries', _BODY, {'Walnutport_Class': 'x'}),
        (403, 'forbidden', 'summaries', _BODY, {'Walnutport_Class': 'urgent'}),
        (
            431,
            'headers_too_large',
            'summaries',
            _BODY,
            {'Idempotency_Key': 'k' * 3_000},
        ),
    ],
)
def test_an_invalid_request_is_not_run(
    running: fleet.Fleet,
    status: int,
    reason: str,
    entry: str,
    body: bytes,
    headers: dict[str, str],
) -> None:
    """Guards against invalid requests that reach a target."""
    actual_status, answer = _post(running, entry, body, **headers)
    assert (actual_status, answer['outcome'], answer['reason']) == (
        status,
        'not_run',
        reason,
    )


@pytest.mark.parametrize(
    'data',
    [
        _request_head('Content-Length: 1000000000') + b'{',
        _request_head('Transfer-Encoding: chunked')
        + b'ffff\r\n'
        + b'x' * 5_000,
    ],
)
def test_a_large_body_is_refused_before_it_is_complete(
    running: fleet.Fleet, data: bytes
) -> None:
    """Guards against a host that buffers a body that it will refuse."""
    status, answer = _exchange(running, data)
    assert (status, answer['outcome'], answer['reason']) == (
        413,
        'not_run',
        'body_too_large',
    )


def test_many_small_headers_are_refused(running: fleet.Fleet) -> None:
    """Guards against request heads of unlimited size."""
    lines = [f'X-Header-{number}: value' for number in range(200)]
    status, answer = _exchange(running, _request_head(*lines))
    assert (status, answer['reason']) == (431, 'headers_too_large')


def test_connections_beyond_the_bound_get_an_answer(
    running: fleet.Fleet,
) -> None:
    """Guards against callers that wait without an answer at a full host."""
    connections = []
    try:
        for _ in range(_CALLER_SETTINGS['max_connections']):
            connections.append(socket.create_connection(_address(running)))
        status, answer = _exchange(running, _request_head('Content-Length: 0'))
    finally:
        for connection in connections:
            connection.close()
    assert (status, answer['outcome']) == (503, 'not_run')
    assert answer['retry_after_ms'] > 0
    # Only open connections count, so the host accepts a new one again.
    deadline = time.monotonic() + 20
    while status == 503 and time.monotonic() < deadline:
        status, answer = _post(running, 'nothing')
    assert status == 404
