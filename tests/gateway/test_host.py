"""What an entry host does at once when it has to stop."""

import pytest
from twisted.internet import task

from walnutport.config import entry_settings
from walnutport.gateway import host
from walnutport.gateway.peers import peers
from walnutport.gateway.stages import stage_client
from walnutport.peer import fleet_messages

SETTINGS = entry_settings.EntrySettings(
    name='edge-0',
    ip='127.0.0.1',
    data_centre='a',
    data_centres=('a',),
    caller_address=('127.0.0.1', 8000),
    readiness_address=('127.0.0.1', 8001),
    peer_ports=(8002, 8010),
    store_address=('127.0.0.1', 8011),
    cpu_share=1.0,
    memory_bytes=1 << 28,
    link_mbps=50.0,
    heartbeat_s=1.0,
    bounds=entry_settings.EntryBounds(),
)


@pytest.fixture
def entry_host() -> host.EntryHost:
    """Return a host that was not started."""
    return host.EntryHost(SETTINGS, task.Clock(), lambda: SETTINGS)


def test_peers_learn_of_a_stop_at_the_signal(entry_host, monkeypatch):
    """Guards against jobs and requests of peers that come after the signal.

    Peers learned it up to an interval of heartbeats later.
    """
    sent: list[fleet_messages.FleetMessage] = []
    monkeypatch.setattr(
        peers.PeerMesh, 'broadcast', lambda mesh, message: sent.append(message)
    )
    entry_host.drain()
    (heartbeat,) = sent
    assert isinstance(heartbeat, fleet_messages.Heartbeat)
    assert heartbeat.draining
    entry_host.drain()
    assert len(sent) == 1


def test_jobs_are_handed_over_after_peers_know_of_the_stop(
    entry_host, monkeypatch
):
    """Guards against jobs that peers submit to the stopping owner again."""
    steps: list[str] = []
    monkeypatch.setattr(
        peers.PeerMesh,
        'send_heartbeat',
        lambda mesh: steps.append('heartbeat'),
    )
    monkeypatch.setattr(
        stage_client.StageClient,
        'host_stops',
        lambda client: steps.append('handover'),
    )
    entry_host.drain()
    assert steps == ['heartbeat', 'handover']
