"""Calls at a host of a fleet that stops before they can end."""

import concurrent.futures
import http.client
import signal
import time

import pytest

from standins import fleet
from standins import fleet_plans
from tests.integration import test_membership

# Four stages of a call take longer than the host has after its signal.
SERVICE_MS = 400.0
DRAIN_LIMIT_S = 1.5
# The time of a stage is known after eight recent calls.
CALLS = 16


@pytest.fixture
def running():
    """Start a host that knows how long the stages of a call take."""
    plan = fleet_plans.FleetPlan(
        hosts=1,
        pools=tuple(
            fleet_plans.PoolPlan(
                pool.service, 1, slots=CALLS, service_ms=SERVICE_MS
            )
            for pool in test_membership.POOLS
        ),
        settings={
            'callers': {'drain_limit_s': DRAIN_LIMIT_S, 'drain_grace_s': 1.0}
        },
    )
    with fleet.Fleet(plan) as started:
        with concurrent.futures.ThreadPoolExecutor(CALLS) as pool:
            first = [
                pool.submit(call, started, f'first-{number}')
                for number in range(CALLS)
            ]
            assert {future.result()[0] for future in first} == {200}
        yield started


def call(running: fleet.Fleet, request_id: str) -> tuple[int, dict]:
    """Send a call on a connection of its own; return status and answer."""
    address = running.caller_addresses_by_host['host-1']
    connection = http.client.HTTPConnection(address, timeout=30.0)
    return test_membership.exchange(
        connection, 'summaries', request_id, request_id
    )


def test_call_that_outlasts_the_host_is_refused_at_once(running):
    """Guards against calls that are accepted while it stops and cut off."""
    host = running.hosts_by_id['host-1']
    host.signal(signal.SIGTERM)
    test_membership.wait_until(
        lambda: 'draining' in running.read_output('host-1')
    )
    began_at = time.monotonic()
    status, answer = call(running, 'late')
    assert time.monotonic() - began_at < DRAIN_LIMIT_S / 2
    assert (status, answer['outcome'], answer['reason']) == (
        503,
        'not_run',
        'stopping',
    )
    assert host.process.wait(test_membership.LIMIT_S) == 0


def test_call_that_the_end_cuts_off_is_answered(running):
    """Guards against a closed connection in place of an answer.

    The call came before the signal, so that nobody knew of the end.
    """
    host = running.hosts_by_id['host-1']
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        answered = pool.submit(call, running, 'cut')
        time.sleep(0.05)
        host.signal(signal.SIGTERM)
        status, answer = answered.result()
    assert (status, answer['outcome'], answer['reason']) == (
        504,
        'unknown',
        'stopping',
    )
    assert host.process.wait(test_membership.LIMIT_S) == 1
