"""Tests of passing news on between hosts."""

from twisted.internet import task

from walnutport.gateway import feed_follower
from walnutport.peer import fleet_messages
from walnutport.world import feeds
from walnutport.world import registrations


class FakeMesh:
    """Mesh that keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list = []
        self.view_by_name: dict = {}

    def send(self, name, message) -> bool:
        self.sent.append((name, message))
        return True

    def broadcast(self, message) -> None:
        self.sent.append(('all', message))


class FakeLog:
    """Log that keeps its events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def notable(self, event, **inputs) -> None:
        self.events.append(event)

    routine = notable


class State:
    """Desired state of the tests."""

    version = 1
    routes = ()


def decode_target(key: str, data: bytes) -> registrations.RegisteredTarget:
    """Return the same target for any record of a key."""
    return registrations.RegisteredTarget(
        key, 1, 'llm', ('10.0.0.1', 80), 'a', 4, False, 0.0
    )


def follower(mesh: FakeMesh) -> feed_follower.NewsFollower:
    """Return a follower without a store."""
    return feed_follower.NewsFollower(
        task.Clock(),
        FakeLog(),
        None,
        'config',
        lambda data: State(),
        decode_target,
        lambda: None,
        mesh,
    )


def desired(offset: int) -> fleet_messages.DesiredStateUpdate:
    """Return a desired state at an offset."""
    record = feeds.FeedRecord('config', b'{}' * 10_000, offset)
    return fleet_messages.DesiredStateUpdate(record, offset + 1)


def pulse(desired_end: int) -> fleet_messages.Heartbeat:
    """Return the heartbeat of a peer."""
    return fleet_messages.Heartbeat(desired_end, 0, 1.0, True, False)


def test_applied_state_is_not_sent_to_everybody():
    """Guards against a new version that fills the links of small hosts.

    Sixty hosts that each sent 30 kB to ten peers made heartbeats a second
    late on links of 10 Mbit/s.
    """
    mesh = FakeMesh()
    found = follower(mesh)
    found.heard('peer', desired(4))
    found.heard('other', pulse(0))
    assert found.desired_end == 5
    assert mesh.sent == []


def test_host_that_stays_behind_asks_one_peer(monkeypatch):
    """Guards against a host that the store turns away and nobody tells."""
    now = 10.0
    monkeypatch.setattr(feed_follower.time, 'monotonic', lambda: now)
    mesh = FakeMesh()
    found = follower(mesh)
    found.heard('a', pulse(5))
    assert mesh.sent == []
    now = 10.4
    found.heard('a', pulse(5))
    found.heard('b', pulse(5))
    assert [name for name, _ in mesh.sent] == ['a']
    assert isinstance(mesh.sent[0][1], fleet_messages.UpdateRequest)


def test_older_state_does_not_come_back():
    """Guards against a version that reverts."""
    found = follower(FakeMesh())
    found.heard('a', desired(4))
    found.heard('b', desired(2))
    assert found.desired_end == 5


def test_asked_host_tells_what_is_lacking():
    """Guards against an answer without the desired state."""
    mesh = FakeMesh()
    found = follower(mesh)
    found.heard('a', desired(4))
    found.heard('b', fleet_messages.UpdateRequest(0, 0))
    assert [name for name, _ in mesh.sent] == ['b']
    assert mesh.sent[0][1].record.offset == 4


def test_host_with_older_heartbeats_asks_only_once(monkeypatch):
    """Guards against hosts that ask for the same targets for ever.

    Hosts that had read the list at different times held the same targets with
    different offsets, and their questions filled the links of small hosts.
    """
    now = 10.0
    monkeypatch.setattr(feed_follower.time, 'monotonic', lambda: now)
    late_mesh, mesh = FakeMesh(), FakeMesh()
    late, early = follower(late_mesh), follower(mesh)
    for found, offset in ((early, 3), (late, 9)):
        record = feeds.FeedRecord('t1', b'{}', offset)
        found.registry.replace(feeds.FeedPage((record,), offset + 1), now)

    def beat() -> int:
        early.heard(
            'late',
            fleet_messages.Heartbeat(-1, late.registry.changed_end, 1, 1, 0),
        )
        asked = [
            message
            for _, message in mesh.sent
            if isinstance(message, fleet_messages.UpdateRequest)
        ]
        mesh.sent.clear()
        for ask in asked:
            late.heard('early', ask)
        for _, news_of_late in late_mesh.sent:
            early.heard('late', news_of_late)
        late_mesh.sent.clear()
        return len(asked)

    asks = []
    for _ in range(8):
        now += 0.7
        asks.append(beat())
    assert sum(asks) == 1


def target_news(after: int, *offsets: int) -> fleet_messages.TargetUpdate:
    """Return the changes of targets from an offset on."""
    records = tuple(
        feeds.FeedRecord(f't{offset}', b'x', offset) for offset in offsets
    )
    end = max(offsets) + 1
    return fleet_messages.TargetUpdate(records, end, end, 0.0, after)


def test_host_that_missed_changes_stays_behind(monkeypatch):
    """Guards against a gap that later news hides.

    A host whose link was down for a moment has missed that a target left. The
    news after that must not let it believe that it knows everything.
    """
    now = 10.0
    monkeypatch.setattr(feed_follower.time, 'monotonic', lambda: now)
    mesh = FakeMesh()
    found = follower(mesh)
    found.heard('a', target_news(0, 0, 1))
    found.heard('a', target_news(5, 6))
    assert set(found.registry.targets) == {'t0', 't1', 't6'}
    assert found.registry.changed_end == 2
    assert found.registry.end == 2, 'a reader must not skip the gap'
    ahead = fleet_messages.Heartbeat(-1, 7, 1.0, True, False)
    found.heard('a', ahead)
    now = 10.4
    found.heard('a', ahead)
    assert mesh.sent == [('a', fleet_messages.UpdateRequest(-1, 2))]
    found.heard('a', target_news(2, 3, 6))
    assert found.registry.changed_end == 7


def test_host_is_informed_once_it_knows_state_and_all_targets():
    """Guards against a host that is ready and refuses for want of targets."""
    found = follower(FakeMesh())
    found.heard('a', desired(4))
    assert not found.is_informed
    found.heard('a', target_news(3, 3))
    assert not found.is_informed, 'these are changes only'
    found.heard('a', target_news(0, 0, 3))
    assert found.is_informed
