"""Tests of requests that go by way of a peer, with two real hosts."""

import contextlib
import http.client
import socket
import time

import pytest

from standins import fault_proxy
from standins import platform_fleet

REFUSE = fault_proxy.Faults(refuse=True)


@pytest.fixture
def fleet(tmp_path):
    """Start two hosts of which the first is cut off from all targets."""
    with platform_fleet.PlatformFleet(
        tmp_path, 2, cut_hosts=1, event_ms=100.0
    ) as running:
        running.wait_for_event('peer_joined', 0)
        running.wait_for_event('peer_joined', 1)
        running.cut_targets(fault_proxy.Faults(reset=True))
        running.cut_targets(REFUSE)
        assert running.call('check', 'first').status == 200
        running.wait_for_event('targets_unreachable', 0)
        yield running


def test_request_reaches_the_target_as_its_caller_sent_it(fleet):
    """Guards against headers of the relay at targets, and lost ones."""
    answer = fleet.call('check', 'id-1', body=b'text', X_Own='kept')
    assert answer.status == 200
    assert answer.headers['walnutport-response-seal']
    (run,) = fleet.runs_of_request('id-1')
    assert run['body'] == 'text'
    assert run['headers']['x-own'] == 'kept'
    assert run['headers']['walnutport-tenant'] == 'north'
    assert 'walnutport-credential' not in run['headers']
    assert not [name for name in run['headers'] if 'relay' in name]
    assert 3000 < int(run['headers']['walnutport-deadline-ms']) < 4000
    relayed = fleet.wait_for_event('relayed', 0, id='id-1')
    assert relayed['peer'] == 'edge-1'
    fleet.wait_for_event('relay_received', 1, id='id-1', peer='edge-0')
    assert fleet.wait_for_event('finished', 0, id='id-1')['status'] == 200


def test_refusal_of_the_peer_is_passed_on(fleet):
    """Guards against a refusal that loses its promise or its delay."""
    answer = fleet.call('check', 'id-1', key='wrong')
    assert answer.status == 401
    fleet.control_platform(modes={'plain-1': 'full', 'plain-2': 'full'})
    answer = fleet.call('pay', 'id-2')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    assert not fleet.runs_of_request('id-2')


def test_events_of_a_stream_are_passed_on_as_they_come(fleet):
    """Guards against streams that are collected before they are sent."""
    connection = http.client.HTTPConnection(
        platform_fleet.LOOPBACK_IP, fleet.caller_ports[0], timeout=10
    )
    with contextlib.closing(connection):
        connection.request(
            'POST', '/write/x', b'', platform_fleet.caller_headers('id-1')
        )
        response = connection.getresponse()
        first = response.read(1)
        begun_at = time.monotonic()
        rest = response.read()
        assert first and rest
        assert time.monotonic() - begun_at > 0.3
    answer = fleet.call('write', 'id-2')
    assert answer.body == platform_fleet.STREAM_BODY


def test_target_is_told_when_a_relayed_caller_leaves(fleet):
    """Guards against work for callers who left two hosts before."""
    connection = socket.create_connection(
        (platform_fleet.LOOPBACK_IP, fleet.caller_ports[0])
    )
    connection.sendall(
        b'POST /write/x HTTP/1.1\r\nHost: calls.example\r\n'
        b'Walnutport-Request-Attempt-Id: id-1\r\n'
        b'Walnutport-Credential: key-north\r\nContent-Length: 0\r\n\r\n'
    )
    assert connection.recv(100)
    connection.close()
    line = fleet.wait_for_event('finished', 1, id='id-1')
    assert line['outcome'] == 'caller_left'


def test_stream_that_breaks_off_at_the_peer_does_not_look_complete(fleet):
    """Guards against a broken stream that the relay ends as a whole one."""
    fleet.control_platform(
        modes={'llm-1': 'reset_midway', 'llm-2': 'reset_midway'}
    )
    answer = fleet.call('write', 'id-1')
    assert answer.status == 200
    assert not answer.complete


def test_request_goes_by_one_peer_at_most(fleet):
    """Guards against requests that circle among hosts that are all cut."""
    host = fleet.hosts[1]
    host.kill()
    fleet.wait_for_event('peer_lost', 0)
    started_at = time.monotonic()
    answer = fleet.call('check', 'id-1')
    assert answer.status == 503
    assert time.monotonic() - started_at < 1.0
    line = fleet.wait_for_event('finished', 0, id='id-1')
    assert line['outcome'] == 'cut_off'


def test_requests_go_straight_again_after_the_cut(fleet):
    """Guards against a detour, or ejected targets, after the cut has ended."""
    fleet.cut_targets(fault_proxy.Faults())
    fleet.wait_for_event('targets_reachable', 0)
    for number in range(6):
        assert fleet.call('check', f'id-{number}').status == 200
        placed = fleet.wait_for_event('placed', 0, id=f'id-{number}')
        assert placed['attempt'] == 1
