"""Tests of evacuations that come from the store and from peers."""

import types

import pytest

from tests.gateway.state import evacuation_builders
from tests.gateway.state import test_feed_follower
from walnutport.gateway.state import evacuation_feed
from walnutport.peer import capabilities
from walnutport.peer import fleet_messages
from walnutport.world import evacuations
from walnutport.world import feeds


class Fixture:
    """Feed of a host with a peer, in era 1 at time 100."""

    def __init__(self, monkeypatch, is_old_build: bool = False) -> None:
        self.now = 100.0
        monkeypatch.setattr(
            evacuation_feed.time, 'monotonic', lambda: self.now
        )
        self.mesh = test_feed_follower.FakeMesh()
        self.mesh.peer_by_name['peer'] = types.SimpleNamespace(
            record=fleet_messages.HostRecord(
                'peer',
                'i',
                '10.0.0.2',
                1,
                'a',
                1.0,
                capabilities=()
                if is_old_build
                else capabilities.OWN_CAPABILITIES,
            )
        )
        self.log = test_feed_follower.FakeLog()
        self.feed = evacuation_builders.make_feed(self.log, self.mesh)
        self.feed.enter_era(1)

    def read(self, *records, end: int = 10, lists_all: bool = False) -> None:
        """Apply a page with records of data centres, values and offsets."""
        self.feed.apply_page(
            feeds.FeedPage(
                tuple(
                    feeds.FeedRecord(f'evacuate/{name}', value, offset)
                    for name, value, offset in records
                ),
                end,
                1,
                lists_all,
            )
        )

    def hear(self, end: int, era: int = 1, age_s: float = 1.0) -> None:
        """Receive a heartbeat of the peer."""
        self.feed.heartbeat_received(
            'peer',
            fleet_messages.Heartbeat(
                1, era, 0, age_s, True, False, evacuations_end=end
            ),
        )


@pytest.fixture
def fixture(monkeypatch):
    """Return a feed of a host."""
    return Fixture(monkeypatch)


def test_change_is_broadcast_once(fixture):
    """Guards against messages for each read of the store."""
    fixture.read(('b', b'{}', 4))
    (sent,) = fixture.mesh.sent
    assert sent == (
        'all',
        fleet_messages.EvacuationUpdate(
            1, 5, (evacuations.EvacuationRecord('b', True, 4),)
        ),
    )
    fixture.read(('b', b'{}', 4), lists_all=True)
    assert len(fixture.mesh.sent) == 1


def test_nothing_is_sent_without_evacuations(fixture):
    """Guards against traffic in deployments that evacuate nothing."""
    fixture.read(lists_all=True, end=500)
    fixture.hear(0, era=0)
    fixture.feed.send_update('peer')
    assert fixture.mesh.sent == []


def test_peer_that_lags_behind_is_told(fixture):
    """Guards against a host whose reads fail, or that was paused.

    It is told again if its next heartbeats still show that it lags.
    """
    fixture.read(('b', b'{}', 4))
    fixture.mesh.sent.clear()
    fixture.hear(5)
    assert fixture.mesh.sent == []
    fixture.hear(0)
    fixture.now += 0.3
    fixture.hear(0)
    assert [name for name, _ in fixture.mesh.sent] == ['peer']
    fixture.now += 0.4
    fixture.hear(0)
    assert len(fixture.mesh.sent) == 2


def test_host_of_an_earlier_build_is_not_told(monkeypatch):
    """Guards against messages that are withheld at each heartbeat."""
    fixture = Fixture(monkeypatch, is_old_build=True)
    fixture.read(('b', b'{}', 4))
    fixture.mesh.sent.clear()
    fixture.hear(0)
    assert fixture.mesh.sent == []


def test_update_floods_a_partial_mesh_and_ends(fixture):
    """Guards against hosts without a link to those that read the store."""
    update = fleet_messages.EvacuationUpdate(
        1, 5, (evacuations.EvacuationRecord('b', True, 4),)
    )
    fixture.mesh.is_partial = True
    fixture.feed.merge_update('peer', update)
    fixture.feed.merge_update('peer', update)
    assert fixture.mesh.sent == [('all', update)]
    assert fixture.log.events == ['evacuation_started']


def test_unusable_records(fixture):
    """Guards against a record that ends a process or repeats its line."""
    unusable = (
        ('z', b'{}', 1),
        ('', b'{}', 2),
        ('a', b'[]', 3),
        ('a', b'"no"', 4),
        ('a', b'\xff{', 5),
        ('a', b'[' * 100_000, 6),
        ('c', None, 7),
        ('b', b'{"later": [1]}', 8),
    )
    for _ in range(2):
        fixture.read(*unusable, lists_all=True)
    assert fixture.feed.state.names == ['b']
    assert fixture.log.events == [
        *['evacuation_unusable'] * 6,
        'evacuation_started',
    ]
    assert list(fixture.feed.describe()) == ['b']


def test_peer_confirms_only_what_it_has_read(fixture):
    """Guards against an evacuation that ends with a host that was paused.

    The store has returned from a copy without the record, and the operator has
    written it again while the host stood still.
    """
    fixture.read(('b', b'{}', 4))
    fixture.mesh.sent.clear()
    fixture.feed.enter_era(2)
    ((_, update),) = fixture.mesh.sent
    assert update.records == (evacuations.EvacuationRecord('b', True, -1),)
    fixture.now += 30.0
    fixture.feed.expire()
    fixture.hear(5, era=2)
    fixture.hear(0, era=2, age_s=9.0)
    fixture.feed.expire()
    assert fixture.feed.state.names == ['b']
    fixture.hear(0, era=2)
    fixture.feed.expire()
    assert fixture.feed.state.names == []
