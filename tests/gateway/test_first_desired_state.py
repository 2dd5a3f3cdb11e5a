"""Tests of which desired state a started host puts in force first.

The store may have returned from an older copy, or answer with old data.
"""

from tests.gateway import test_feed_follower
from tests.gateway import test_store_era
from walnutport.gateway import feed_follower
from walnutport.peer import fleet_messages


class FakePeer:
    """Linked peer with a desired state."""

    reachable = True

    def __init__(self, version: int) -> None:
        self.heartbeat = test_feed_follower.heartbeat(version)


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
    fixture = test_store_era.Fixture(monkeypatch)
    fixture.write_desired(4)
    fixture.store.take_copy()
    fixture.store.return_older()
    fixture.follower.start()
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
    fixture.advance(feed_follower.FIRST_COMPARISON_LIMIT_S + 0.125)
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
