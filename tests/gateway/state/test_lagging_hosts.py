"""Hosts by whose reads a newer desired state does not come."""

import msgspec
import pytest

from tests.gateway.state import partial_mesh
from tests.gateway.state import test_feed_follower
from tests.gateway.state import test_store_era
from walnutport.gateway.peers import peers
from walnutport.peer import fleet_messages
from walnutport.world import feeds

# Bounds of the users for large installations: a desired state is in force
# within the first one after its acknowledgement, and where the store or a host
# had a fault, within the second one after that.
CONFIG_APPLY_S = 3.0
STABLE_WINDOW_S = 4.0
# Hosts of the reported installation, and the slowest and the fastest of their
# links.
HOST_COUNT = 65
LINK_RATES = (5e6, 100e6)
TARGET_COUNT = 148


@pytest.mark.parametrize('link_bits_per_s', LINK_RATES)
def test_partition_of_the_desired_state_is_away(monkeypatch, link_bits_per_s):
    """Guards against hosts that wait for a read that will not be answered.

    The store serves the targets meanwhile, so that no host takes it for away.
    """
    fleet = partial_mesh.PartialMeshFleet(
        monkeypatch, HOST_COUNT, link_bits_per_s=link_bits_per_s
    )
    fleet.silent_feeds = {feeds.Feed.DESIRED}
    fleet.lose_held_reads()
    fleet.advance(5.0)
    fleet.write_desired()
    fleet.silent_feeds = set()
    fleet.advance(STABLE_WINDOW_S)
    assert not fleet.lagging_names()


@pytest.mark.parametrize('link_bits_per_s', LINK_RATES)
def test_connections_of_all_hosts_to_the_store_fall_silent(
    monkeypatch, link_bits_per_s
):
    """Guards against one host that has to send the state to all others."""
    fleet = partial_mesh.PartialMeshFleet(
        monkeypatch, HOST_COUNT, link_bits_per_s=link_bits_per_s
    )
    fleet.lose_held_reads()
    fleet.advance(1.0)
    fleet.write_desired()
    fleet.advance(max(CONFIG_APPLY_S, STABLE_WINDOW_S - 1.0))
    assert not fleet.lagging_names()


@pytest.mark.parametrize('link_bits_per_s', LINK_RATES)
def test_store_that_does_not_answer_a_third_of_the_hosts(
    monkeypatch, link_bits_per_s
):
    """Guards against hosts that go on to wait once the store answers again."""
    fleet = partial_mesh.PartialMeshFleet(
        monkeypatch, HOST_COUNT, link_bits_per_s=link_bits_per_s
    )
    fleet.unanswered = set(list(fleet.follower_by_name)[::3])
    fleet.lose_held_reads()
    fleet.advance(5.0)
    fleet.write_desired()
    fleet.unanswered = set()
    fleet.advance(STABLE_WINDOW_S)
    assert not fleet.lagging_names()


def test_peer_that_names_a_newer_state_does_not_send_it(monkeypatch):
    """Guards against a lost read that hides what a sound store has.

    The reader of the host's data centre has it, and its answers are lost too.
    """
    fixture = test_store_era.Fixture(monkeypatch)
    readers = {name: test_feed_follower.FakePeer() for name in 'abcdefgh'}
    fixture.mesh.peer_by_name = readers
    fixture.write_desired(1)
    fixture.start()
    fixture.store.lose_held_reads()
    fixture.write_desired(2)
    for _ in range(round(CONFIG_APPLY_S / 0.6)):
        fixture.follower.handle_message('a', test_feed_follower.heartbeat(2))
        fixture.advance(0.5)
    assert fixture.follower.desired_version == 2


def test_peer_that_is_ahead_in_targets_only(monkeypatch):
    """Guards against requests for targets in place of the desired state.

    The heartbeat of the peer that is ahead in targets always comes first.
    """
    now = 10.0
    monkeypatch.setattr(
        test_feed_follower.feed_follower.time, 'monotonic', lambda: now
    )
    mesh = test_feed_follower.FakeMesh()
    peer_by_name = {name: test_feed_follower.FakePeer() for name in 'ab'}
    peer_by_name['a'].heartbeat = test_feed_follower.heartbeat(
        0, targets_end=9
    )
    peer_by_name['b'].heartbeat = test_feed_follower.heartbeat(2)
    mesh.peer_by_name = peer_by_name
    follower = test_feed_follower.make_follower(mesh)
    for _ in range(round(CONFIG_APPLY_S / 0.6)):
        for name, peer in peer_by_name.items():
            follower.handle_message(name, peer.heartbeat)
            now += 0.05
            follower.tick()
        now += 0.5
    assert 'b' in [name for name, _ in mesh.sent]


def test_reads_of_peers_whose_desired_state_is_old(monkeypatch):
    """Guards against hosts that rely on peers that read the targets only."""
    fixture = test_store_era.Fixture(monkeypatch)
    readers = {name: test_feed_follower.FakePeer() for name in 'abcdefgh'}
    for peer in readers.values():
        peer.heartbeat = msgspec.structs.replace(
            test_feed_follower.heartbeat(1), desired_age_s=10.0
        )
    fixture.mesh.peer_by_name = readers
    fixture.write_desired(1)
    fixture.start()
    fixture.store.lose_held_reads()
    fixture.advance(STABLE_WINDOW_S - CONFIG_APPLY_S)
    fixture.write_desired(2)
    fixture.advance(CONFIG_APPLY_S)
    assert fixture.follower.desired_version == 2


def test_peer_that_asks_again_gets_no_second_copy(monkeypatch):
    """Guards against copies that queue on a slow link while one is under way.

    A peer whose link is new has lost what was under way.
    """
    now = 10.0
    monkeypatch.setattr(
        test_feed_follower.feed_follower.time, 'monotonic', lambda: now
    )
    mesh = test_feed_follower.FakeMesh()
    follower = test_feed_follower.make_follower(mesh)
    follower.handle_message('c', test_feed_follower.desired_state_update(4))
    request = fleet_messages.UpdateRequest(3, 0, 0)
    follower.handle_message('a', request)
    now += 0.6
    follower.handle_message('a', request)
    assert [name for name, _ in mesh.sent] == ['a']
    follower.handle_message('b', request)
    follower.peer_joined('a')
    follower.handle_message('a', request)
    assert [name for name, _ in mesh.sent] == ['a', 'b', 'a']


def test_state_from_a_peer_is_announced_at_once(monkeypatch):
    """Guards against a heartbeat interval for each host on the way."""
    mesh = test_feed_follower.FakeMesh()
    follower = test_feed_follower.make_follower(mesh)
    follower.handle_message('c', test_feed_follower.desired_state_update(4))
    assert mesh.heartbeat_count == 1


def test_hosts_ask_different_peers(monkeypatch):
    """Guards against one peer whose link carries the copies of all hosts."""
    asked = set()
    for number in range(12):
        mesh = test_feed_follower.FakeMesh()
        mesh.own_record = msgspec.structs.replace(
            mesh.own_record, name=f'host-{number}'
        )
        for name in 'abcd':
            mesh.peer_by_name[name] = test_feed_follower.FakePeer()
            mesh.peer_by_name[name].heartbeat = test_feed_follower.heartbeat(2)
        now = 10.0
        monkeypatch.setattr(
            test_feed_follower.feed_follower.time, 'monotonic', lambda: now
        )
        follower = test_feed_follower.make_follower(mesh)
        for name, peer in mesh.peer_by_name.items():
            follower.handle_message(name, peer.heartbeat)
        now = 11.0
        follower.tick()
        assert len(mesh.sent) == 1
        asked.add(mesh.sent[0][0])
    assert asked == set('abcd')


def test_entries_that_lapse_in_an_outage_do_not_fill_links(monkeypatch):
    """Guards against all changes of an outage from each host to all others.

    Heartbeats and the desired state would wait behind them for seconds.
    """
    fleet = partial_mesh.PartialMeshFleet(
        monkeypatch, HOST_COUNT, link_bits_per_s=LINK_RATES[0]
    )
    names = [f'target-{number}' for number in range(TARGET_COUNT)]
    for name in names:
        fleet.store.write(feeds.Feed.TARGETS, name, b'1')
    fleet.advance(5.0)
    fleet.silent_feeds = set(feeds.Feed)
    fleet.lose_held_reads()
    fleet.advance(4.5)
    for name in names:
        fleet.store.write(feeds.Feed.TARGETS, name, None)
    fleet.write_desired()
    fleet.silent_feeds = set()
    for _ in range(round(STABLE_WINDOW_S / 0.25)):
        fleet.advance(0.25)
        assert fleet.longest_queue_s() < peers.HEARTBEAT_INTERVAL_S
    assert not fleet.lagging_names()


def test_peer_that_the_store_refuses_is_told_of_changes(monkeypatch):
    """Guards against a reader that is refused alone and learns nothing."""
    fixture = test_store_era.Fixture(monkeypatch)
    ages = {'reads': 0.5, 'refused': 5.0}
    for name, age_s in ages.items():
        peer = test_feed_follower.FakePeer()
        peer.heartbeat = msgspec.structs.replace(
            test_feed_follower.heartbeat(1),
            store_age_s=age_s,
            reads_targets=True,
        )
        fixture.mesh.peer_by_name[name] = peer
    fixture.write_desired(1)
    fixture.start()
    fixture.write_target('t', b'1')
    fixture.advance(1.0)
    assert fixture.mesh.except_names == {'reads'}
