"""Tests of exchanging the desired state and targets between hosts."""

from twisted.internet import task

from tests.gateway.state import evacuation_builders
from walnutport.gateway.state import feed_follower
from walnutport.peer import fleet_messages
from walnutport.world import feeds
from walnutport.world import registrations


class FakeMesh:
    """Mesh that records the messages sent."""

    own_record = fleet_messages.HostRecord('own', 'i', '10.0.0.1', 1, 'a', 1.0)

    def __init__(self) -> None:
        self.sent: list = []
        self.heartbeat_count = 0
        self.except_names: set[str] = set()
        self.peer_by_name: dict = {}
        self.awaits_peers = False
        self.is_partial = False

    def send(self, name, message) -> bool:
        self.sent.append((name, message))
        return True

    def broadcast(self, message, except_names=()) -> None:
        self.sent.append(('all', message))
        self.except_names = set(except_names)

    def send_heartbeat(self) -> None:
        self.heartbeat_count += 1


class FakeLog:
    """Log that records the names of its events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def notable(self, event, **fields) -> None:
        self.events.append(event)

    routine = notable


class FakeDesiredState:
    """Smallest desired state that the follower accepts.

    :param data: its version, and any number of spaces.
    """

    routes = ()

    def __init__(self, data: bytes) -> None:
        self.version = int(data)


def decode_target(key: str, data: bytes) -> registrations.RegisteredTarget:
    """Return a target with the given id, whatever the data."""
    return registrations.RegisteredTarget(
        key, 1, 'llm', ('10.0.0.1', 80), 'a', 4, False, 0.0
    )


def make_follower(mesh: FakeMesh) -> feed_follower.FeedFollower:
    """Return a follower without a store."""
    return feed_follower.FeedFollower(
        task.Clock(),
        FakeLog(),
        None,
        'config',
        FakeDesiredState,
        decode_target,
        lambda: None,
        mesh,
        lambda: None,
        evacuation_builders.make_feed(FakeLog(), mesh),
    )


def desired_state_update(version: int) -> fleet_messages.DesiredStateUpdate:
    """Return a message with a desired state of 20 kB."""
    value = b'%d' % version + b' ' * 20_000
    return fleet_messages.DesiredStateUpdate(
        feeds.FeedRecord('config', value, version)
    )


def heartbeat(
    desired_version: int, targets_end: int = 0, era: int = 0
) -> fleet_messages.Heartbeat:
    """Return a heartbeat of a peer with the given knowledge."""
    return fleet_messages.Heartbeat(
        desired_version, era, targets_end, 1.0, True, False
    )


class FakePeer:
    """Peer that can be reached and reads the store."""

    reachable = True
    heartbeat = heartbeat(0)
    record = fleet_messages.HostRecord('peer', 'i', '10.0.0.2', 1, 'a', 1.0)


def test_applied_desired_state_is_not_broadcast():
    """Guards against a new version that saturates the links of small hosts.

    When 60 hosts each sent 30 kB to ten peers, heartbeats on 10 Mbit/s links
    arrived a second late.
    """
    mesh = FakeMesh()
    follower = make_follower(mesh)
    follower.handle_message('peer', desired_state_update(4))
    follower.handle_message('other', heartbeat(0))
    assert follower.desired_version == 4
    assert mesh.sent == []


def test_lagging_host_asks_one_peer(monkeypatch):
    """Guards against a host that neither the store nor a peer updates."""
    now = 10.0
    monkeypatch.setattr(feed_follower.time, 'monotonic', lambda: now)
    mesh = FakeMesh()
    for name in 'ab':
        mesh.peer_by_name[name] = FakePeer()
        mesh.peer_by_name[name].heartbeat = heartbeat(5)
    follower = make_follower(mesh)
    follower.handle_message('a', heartbeat(5))
    follower.tick()
    assert mesh.sent == []
    now = 10.4
    follower.handle_message('a', heartbeat(5))
    follower.handle_message('b', heartbeat(5))
    follower.tick()
    follower.tick()
    assert len(mesh.sent) == 1
    assert isinstance(mesh.sent[0][1], fleet_messages.UpdateRequest)


def test_older_desired_state_is_ignored():
    """Guards against a return to an older version."""
    follower = make_follower(FakeMesh())
    follower.handle_message('a', desired_state_update(4))
    follower.handle_message('b', desired_state_update(2))
    assert follower.desired_version == 4


def test_asked_host_sends_the_missing_desired_state():
    """Guards against a reply without the desired state."""
    mesh = FakeMesh()
    follower = make_follower(mesh)
    follower.handle_message('a', desired_state_update(4))
    follower.handle_message('b', fleet_messages.UpdateRequest(0, 0, 0))
    assert [name for name, _ in mesh.sent] == ['b']
    assert mesh.sent[0][1].record.offset == 4


def test_host_with_other_offsets_for_the_same_targets_asks_once(monkeypatch):
    """Guards against hosts that ask for the same targets forever.

    Hosts that had read the list at different times held the same targets with
    different offsets, and their requests saturated the links of small hosts.
    """
    now = 10.0
    monkeypatch.setattr(feed_follower.time, 'monotonic', lambda: now)
    later_mesh, mesh = FakeMesh(), FakeMesh()
    later, earlier = make_follower(later_mesh), make_follower(mesh)
    for follower, offset in ((earlier, 3), (later, 9)):
        record = feeds.FeedRecord('t1', b'{}', offset)
        follower.registry.replace(feeds.FeedPage((record,), offset + 1), now)

    def exchange_heartbeat() -> int:
        earlier.handle_message(
            'late',
            heartbeat(0, later.registry.changes_end_offset),
        )
        requests = [
            message
            for _, message in mesh.sent
            if isinstance(message, fleet_messages.UpdateRequest)
        ]
        mesh.sent.clear()
        for request in requests:
            later.handle_message('early', request)
        for _, reply in later_mesh.sent:
            earlier.handle_message('late', reply)
        later_mesh.sent.clear()
        return len(requests)

    request_counts = []
    for _ in range(8):
        now += 0.7
        request_counts.append(exchange_heartbeat())
    assert sum(request_counts) == 1


def target_update(after: int, *offsets: int) -> fleet_messages.TargetUpdate:
    """Return a message with target changes.

    :param after: offset from which the message has every change.
    :param offsets: offsets of the changes.
    """
    records = tuple(
        feeds.FeedRecord(f't{offset}', b'x', offset) for offset in offsets
    )
    end = max(offsets) + 1
    return fleet_messages.TargetUpdate(records, 0, end, end, 0.0, after)


def test_gap_in_target_changes_keeps_the_known_offset(monkeypatch):
    """Guards against a gap that later changes hide.

    A host whose link was down for a moment has missed that a target left.
    Later changes must not advance its known offset beyond that gap.
    """
    now = 10.0
    monkeypatch.setattr(feed_follower.time, 'monotonic', lambda: now)
    mesh = FakeMesh()
    follower = make_follower(mesh)
    follower.handle_message('a', target_update(0, 0, 1))
    follower.handle_message('a', target_update(5, 6))
    assert set(follower.registry.targets) == {'t0', 't1', 't6'}
    assert follower.registry.changes_end_offset == 2
    assert follower.registry.end_offset == 2, (
        'a read of the store must not skip the gap'
    )
    newer_heartbeat = heartbeat(0, 7)
    follower.handle_message('a', newer_heartbeat)
    now = 10.4
    follower.handle_message('a', newer_heartbeat)
    assert mesh.sent == [('a', fleet_messages.UpdateRequest(0, 0, 2))]
    follower.handle_message('a', target_update(2, 3, 6))
    assert follower.registry.changes_end_offset == 7


def test_follower_is_initialized_with_desired_state_and_all_targets():
    """Guards against a host that is ready but refuses for lack of targets."""
    follower = make_follower(FakeMesh())
    follower.handle_message('a', desired_state_update(4))
    assert not follower.is_initialized
    follower.handle_message('a', target_update(3, 3))
    assert not follower.is_initialized, 'the message holds only some changes'
    follower.handle_message('a', target_update(0, 0, 3))
    assert follower.is_initialized
