"""Arbitrary and malformed bytes sent to the caller listener of a real host."""

from collections.abc import Iterator
import logging
import re
import select
import socket

import hypothesis
from hypothesis import strategies as st
import pytest

from standins import fleet
from standins import fleet_plans
from standins import processes

_TIMEOUT_S = 20.0
_ANSWER_WAIT_S = 0.005
_ANSWER = re.compile(rb'HTTP/1\.[01] ([2345]\d\d) ')
_INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
_LINES = st.sampled_from(
    [
        b'Host: a',
        b'Authorization: Bearer token-north',
        b'Authorization: Bearer \xff\xfe',
        b'Authorization: Basic Og==',
        b'Content-Length: 2',
        b'Content-Length: -1',
        b'Content-Length: 99999999999999999999',
        b'Content-Length: 2, 2',
        b'Transfer-Encoding: chunked',
        b'Transfer-Encoding: gzip, chunked',
        b'Expect: 100-continue',
        b'Connection: keep-alive',
        b'Connection: upgrade',
        b'Accept: text/event-stream',
        b'Idempotency-Key: 0-x',
        b'Idempotency-Key: \xff',
        b'Idempotency-Key: 99999999999999999999-' + b'k' * 500,
        b'Walnutport-Deadline-Ms: 50',
        b'Walnutport-Deadline-Ms: -1',
        b'Walnutport-Deadline-Ms: 1e3',
        b'Walnutport-Deadline-Ms: ' + b'9' * 5_000,
        b'Walnutport-Class: urgent',
        b'Walnutport-Class: \xc3\x28',
        b'Walnutport-Request-Id: \xff\x01',
        b'Walnutport-Request-Id: ' + b'r' * 300,
        b'X: ' + b'y' * 20_000,
        b'X' * 9_000 + b': y',
        b' folded',
        b'no colon',
        b': no name',
        b'a\0b: c',
    ]
) | st.binary(max_size=30)
_STARTS = st.builds(
    lambda *parts: b' '.join(parts),
    st.sampled_from([b'POST', b'GET', b'', b'PUT', b'OPTIONS', b'\xff']),
    st.sampled_from(
        [
            b'/v1/entries/summaries',
            b'/v1/entries/payments',
            b'/v1/entries/%ff%fe',
            b'/v1/entries/',
            b'/v1/entries/a/b',
            b'/healthz?x=%',
            b'/metrics',
            b'http://[::1/',
            b'*',
            b'',
            b'/' * 3_000,
        ]
    ),
    st.sampled_from([b'HTTP/1.1', b'HTTP/1.0', b'HTTP/9.9', b'HTTP', b'']),
)
_BODIES = st.sampled_from(
    [
        b'{}',
        b'2\r\n{}\r\n0\r\n\r\n',
        b'-1\r\n{}\r\n',
        b'zz\r\n',
        b'f' * 50 + b'\r\n',
        b'2\r\n{}0\r\n\r\n',
        b'2;' + b'e' * 5_000 + b'\r\n{}\r\n0\r\n\r\n',
        b'0\r\n' + b't: u\r\n' * 3_000 + b'\r\n',
        b'[' * 100_000,
        b'{"nonce": "a"}',
    ]
) | st.binary(max_size=60)
_END = st.sampled_from([b'\r\n\r\n', b'\n\n', b'\r\n', b''])


@st.composite
def requests(draw) -> bytes:
    """Draw one or more requests, whole, malformed or cut off."""
    data = b''
    for _ in range(draw(st.integers(1, 2))):
        lines = [draw(_STARTS), *draw(st.lists(_LINES, max_size=6))]
        data += b'\r\n'.join(lines) + draw(_END) + draw(_BODIES)
    if draw(st.integers(0, 4)) == 0:
        data = data[: draw(st.integers(0, len(data)))]
    return data


@pytest.fixture(scope='module', name='running')
def fixture_running() -> Iterator[fleet.Fleet]:
    """Start one host and one target of each pool."""
    pools = tuple(
        fleet_plans.PoolPlan(name, 1, service_ms=1.0, events=1)
        for name in ('encoder', 'retriever', 'reranker', 'engine')
    )
    with fleet.Fleet(fleet_plans.FleetPlan(hosts=1, pools=pools)) as running:
        yield running


def _exchange(address: str, data: bytes) -> bytes:
    """Send bytes, shut down the sending side and return all received bytes.

    A host may drop its answer when the caller shuts down its side. It
    therefore gets a short time to answer first; an answer that takes longer
    may be missing.
    """
    ip, _, port = address.partition(':')
    received = b''
    with socket.create_connection((ip, int(port)), _TIMEOUT_S) as connection:
        try:
            connection.sendall(data)
            select.select([connection], [], [], _ANSWER_WAIT_S)
            connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(65_536):
                received += chunk
        except (ConnectionError, OSError) as error:
            assert not isinstance(error, TimeoutError), data
    return received


def test_any_bytes_leave_the_host_up(running: fleet.Fleet) -> None:
    """Guards against caller bytes that crash a host or corrupt its answers."""
    logging.disable()
    address = running.caller_addresses_by_host['host-1']
    answered: set[bytes] = set()

    @hypothesis.settings(max_examples=800)
    @hypothesis.given(requests() | st.binary(max_size=200))
    def run(data: bytes) -> None:
        # The host owes an interim answer to a request that expects one.
        received = _exchange(address, data).removeprefix(_INTERIM)
        found = _ANSWER.match(received)
        assert not received or found, received[:200]
        if found:
            answered.add(found[1])
        assert b'500' not in answered, data

    try:
        run()
    finally:
        logging.disable(logging.NOTSET)
    assert processes.http_request(f'http://{address}/healthz') == b'ok\n'
    assert b'400' in answered
    assert 'Traceback' not in running.read_output('host-1')
