"""Tests of passing news on between hosts."""

from twisted.internet import task

from walnutport.gateway import news
from walnutport.peer import fleet_messages
from walnutport.world import feeds


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


def follower(mesh: FakeMesh) -> news.NewsFollower:
    """Return a follower without a store."""
    return news.NewsFollower(
        task.Clock(),
        FakeLog(),
        None,
        'config',
        lambda data: State(),
        lambda key, data: None,
        lambda: None,
        mesh,
    )


def desired(offset: int) -> fleet_messages.DesiredNews:
    """Return a desired state at an offset."""
    record = feeds.FeedRecord('config', b'{}' * 10_000, offset)
    return fleet_messages.DesiredNews(record, offset + 1)


def pulse(desired_end: int) -> fleet_messages.Pulse:
    """Return the heartbeat of a peer."""
    return fleet_messages.Pulse(desired_end, 0, 1.0, True, False)


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
    monkeypatch.setattr(news.time, 'monotonic', lambda: now)
    mesh = FakeMesh()
    found = follower(mesh)
    found.heard('a', pulse(5))
    assert mesh.sent == []
    now = 10.4
    found.heard('a', pulse(5))
    found.heard('b', pulse(5))
    assert [name for name, _ in mesh.sent] == ['a']
    assert isinstance(mesh.sent[0][1], fleet_messages.AskNews)


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
    found.heard('b', fleet_messages.AskNews(0, 0))
    assert [name for name, _ in mesh.sent] == ['b']
    assert mesh.sent[0][1].record.offset == 4
