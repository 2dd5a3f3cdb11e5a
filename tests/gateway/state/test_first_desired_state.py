"""Tests of which desired state a started host puts in force first.

The store may have returned from an older copy, or answer with old data.
"""

from tests.gateway.state import test_feed_follower
from tests.gateway.state import test_store_era
from walnutport.membership import first_state
from walnutport.peer import fleet_messages


class FakePeer:
    """Linked peer with a desired state.

    :param version: version of the state, 0 if the peer knows none.
    :param era: era in which it has published its record.
    """

    reachable = True

    def __init__(self, version: int, era: int = 1) -> None:
        self.heartbeat = test_feed_follower.heartbeat(version)
        self.record = fleet_messages.HostRecord(
            'peer', 'i', '10.0.0.2', 1, 'a', 1.0, era
        )


def restarted_host(monkeypatch) -> test_store_era.Fixture:
    """Return a host that starts after the store has returned.

    The store shows version 4, and no host.
    """
    fixture = test_store_era.Fixture(monkeypatch)
    fixture.follower = fixture.make_follower(
        fixture.mesh, is_first_start=False
    )
    fixture.write_desired(4)
    fixture.store.take_copy()
    fixture.store.return_older()
    fixture.follower.start()
    return fixture


def test_started_host_waits_for_the_newer_state_of_a_peer(monkeypatch):
    """Guards against a removed key that a started host accepts.

    The store shows an older desired state than the one in force at a peer.
    """
    fixture = test_store_era.Fixture(monkeypatch)
    fixture.write_desired(4)
    fixture.mesh.peer_by_name = {'peer': FakePeer(5)}
    fixture.follower.start()
    fixture.advance(0.25)
    assert fixture.follower.desired is None
    assert not fixture.follower.is_initialized
    assert fixture.mesh.sent == [
        ('peer', fleet_messages.UpdateRequest(0, 1, 0))
    ]
    fixture.follower.handle_message(
        'peer', test_feed_follower.desired_state_update(5)
    )
    fixture.advance(0.25)
    assert fixture.follower.desired_version == 5
    assert fixture.follower.is_initialized


def test_started_host_waits_until_its_peers_are_linked(monkeypatch):
    """Guards against comparing with peers before the first heartbeat."""
    fixture = test_store_era.Fixture(monkeypatch)
    fixture.write_desired(4)
    fixture.mesh.awaits_peers = True
    fixture.follower.start()
    fixture.advance(0.25)
    assert fixture.follower.desired is None
    fixture.mesh.peer_by_name = {'peer': FakePeer(4)}
    fixture.mesh.awaits_peers = False
    fixture.advance(0.125)
    assert fixture.follower.desired_version == 4


def test_started_host_waits_for_peers_that_the_store_lacks(monkeypatch):
    """Guards against an older state in force, as the peers are not listed.

    The store has returned from a copy that is older than the records of all
    hosts; these publish them again.
    """
    fixture = restarted_host(monkeypatch)
    fixture.advance(1.0)
    assert fixture.follower.desired is None
    fixture.mesh.peer_by_name = {'peer': FakePeer(5)}
    fixture.follower.handle_message(
        'peer', test_feed_follower.desired_state_update(5)
    )
    fixture.advance(0.125)
    assert fixture.follower.desired_version == 5


def test_started_host_does_not_wait_for_long(monkeypatch):
    """Guards against a host that never serves, as a peer sends no update."""
    fixture = test_store_era.Fixture(monkeypatch)
    fixture.write_desired(4)
    fixture.mesh.peer_by_name = {'peer': FakePeer(5)}
    fixture.mesh.awaits_peers = True
    fixture.follower.start()
    fixture.advance(first_state.LIMIT_S + 0.125)
    assert fixture.follower.desired_version == 4
    assert 'desired_unconfirmed' in fixture.log.events


def test_state_of_a_peer_is_put_in_force_without_the_store(monkeypatch):
    """Guards against a wait for peers of a host that the store refuses."""
    fixture = test_store_era.Fixture(monkeypatch)
    fixture.mesh.awaits_peers = True
    fixture.follower.start()
    fixture.follower.handle_message(
        'peer', test_feed_follower.desired_state_update(5)
    )
    assert fixture.follower.desired_version == 5


def test_started_host_waits_for_a_peer_that_stands_still(monkeypatch):
    """Guards against an older state in force beside peers that are paused.

    Their kernels accept connections, but nothing arrives for two seconds.
    """
    fixture = restarted_host(monkeypatch)
    fixture.mesh.awaits_peers = True
    fixture.advance(2.25)
    assert fixture.follower.desired is None
    fixture.mesh.awaits_peers = False
    fixture.mesh.peer_by_name = {'peer': FakePeer(5)}
    fixture.advance(0.25)
    assert fixture.follower.desired is None


def test_started_host_without_peers_serves_in_the_end(monkeypatch):
    """Guards against a host that waits for peers that do not exist."""
    fixture = restarted_host(monkeypatch)
    fixture.advance(first_state.SETTLE_S + 0.125)
    assert fixture.follower.desired_version == 4
    assert 'desired_unconfirmed' in fixture.log.events


def test_restart_beside_an_informed_peer_takes_no_longer(monkeypatch):
    """Guards against a wait in a quiet fleet."""
    fixture = restarted_host(monkeypatch)
    fixture.mesh.peer_by_name = {'peer': FakePeer(4)}
    fixture.advance(test_store_era.STEP_S)
    assert fixture.follower.desired_version == 4
    assert 'desired_confirmed' in fixture.log.events


def test_fleet_that_starts_at_once_serves_at_once(monkeypatch):
    """Guards against a wait of all hosts after a power cut.

    No peer knows a desired state, and all have published in this era.
    """
    fixture = restarted_host(monkeypatch)
    fixture.mesh.peer_by_name = {'peer': FakePeer(0, era=2)}
    fixture.advance(test_store_era.STEP_S)
    assert fixture.follower.desired_version == 4


def test_fleet_that_starts_after_a_return_waits_for_others(monkeypatch):
    """Guards against two started hosts that confirm each other.

    The record of one of the peers is that of the copy, so that others may be
    missing.
    """
    fixture = restarted_host(monkeypatch)
    fixture.mesh.peer_by_name = {
        'started': FakePeer(0, era=2),
        'copied': FakePeer(0, era=1),
    }
    fixture.advance(1.0)
    assert fixture.follower.desired is None
