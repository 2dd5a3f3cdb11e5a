"""Stages of a host's request at a cell owner that stops before their end."""

import concurrent.futures
import signal

import pytest

from standins import platform_fleet
from tests.integration import test_lost_results
from walnutport.membership import ranking

CALL_MS = 1300.0
# The owner ends 0.5 s before the kill: after one call and before the second.
GRACE_S = 2.6
PIECES = test_lost_results.PIECES
HEADERS = test_lost_results.STAGED_HEADERS | {
    'Walnutport_Deadline_Ms': '15000'
}
NAMES = ('edge-0', 'edge-1')
OWNER_NAME = ranking.rank_hosts(
    ranking.cell_key(0), dict.fromkeys(NAMES, 1.0)
)[0]
OWNER = NAMES.index(OWNER_NAME)
OTHER = 1 - OWNER


def slow_stages() -> dict:
    """Return a desired state whose stages take as long as their calls."""
    desired = platform_fleet.desired_state(2)
    for route in desired['routes']:
        route.update(timeoutMs=15000, latencyTargetMs=10000)
    for service in desired['services']:
        if 'pieces' in service:
            service['pieces'].update(callMs=CALL_MS, handleS=15.0)
    return desired


@pytest.fixture
def fleet(tmp_path):
    """Start two hosts whose stages take longer than a stop of the owner."""
    with platform_fleet.PlatformFleet(tmp_path, 2, call_ms=CALL_MS) as running:
        path = running.folder / f'boot-{OWNER}.conf'
        path.write_text(path.read_text() + f'bounds.graceS={GRACE_S}\n')
        running.hosts[OWNER].signal(signal.SIGHUP)
        running.wait_for_event('reloaded', OWNER)
        running.control_platform(desired=slow_stages())
        for host in range(len(NAMES)):
            running.wait_for_event('peer_joined', host)
            running.wait_for_event('desired_applied', host, version=2)
        yield running


def test_stages_that_outlast_their_owner_go_on_at_the_next_one(fleet):
    """Guards against stages that are lost with an owner that stops.

    They ran again from the start, once the other hosts missed the owner.
    """
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        answer = pool.submit(fleet.call, 'review', 'id-1', OTHER, **HEADERS)
        fleet.wait_for_event('stages_taken', OWNER, id='id-1')
        fleet.hosts[OWNER].signal(signal.SIGTERM)
        assert answer.result().status == 200
    assert test_lost_results.stage_pieces(fleet, 'id-1') == PIECES
    fleet.wait_for_event('stages_handed_over', OWNER, id='id-1')
    fleet.wait_for_event(
        'stages_resubmitted', OTHER, id='id-1', handed_over=True
    )
