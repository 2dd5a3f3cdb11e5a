"""Tests of the cache event follower with a fake client."""

from twisted.internet import task

from tests.service.requests import test_hedging
from walnutport.adapters import cache_events
from walnutport import exceptions
from walnutport.routing import affinity
from walnutport.service.targets import cache_follower
from walnutport import world

ADDRESS = world.Address('127.0.0.1', 9)
ENGINES = [
    world.Target(name, 'engine', 'dc', ADDRESS, 4) for name in ('e1', 'e2')
]


class FakeClient:
    """Returns pages of one event whose size in bytes the test sets."""

    def __init__(self) -> None:
        self.polled: list[tuple[str, str, int]] = []
        self.incarnation = 'a'
        self.size = 100
        self.failing = False

    async def read(self, target, incarnation, after, max_events):
        """Return a page with the event after ``after``."""
        self.polled.append((target.target_id, incarnation, after))
        if self.failing:
            raise exceptions.AttemptLost('broken')
        start = after if incarnation == self.incarnation else 0
        event = affinity.CacheEvent(
            target.target_id, self.incarnation, start + 1, (bytes([start]),)
        )
        return cache_events.CachePage(self.incarnation, (event,), self.size)


class Harness:
    """A follower that advances four times a second."""

    def __init__(self) -> None:
        self.reactor = task.Clock()
        self.client = FakeClient()
        self.index = affinity.PrefixIndex()
        self.follower = cache_follower.CacheFollower(
            self.client,
            self.index,
            lambda: ENGINES,
            test_hedging.FakeClock(self.reactor),
        )

    def run(self, duration_s: float, used: tuple[str, ...] = ()) -> None:
        """Advance the time while the engines in ``used`` are in use."""
        for _ in range(int(duration_s * 4)):
            self.reactor.advance(0.25)
            for target_id in used:
                self.index.mark_used(target_id, self.reactor.seconds())
            self.follower.advance()


def test_only_engines_in_use_are_polled() -> None:
    """Guards against control traffic of an idle host."""
    harness = Harness()
    harness.run(10.0)
    assert harness.client.polled == []
    harness.run(1.0, ('e1',))
    assert harness.client.polled == [('e1', '', 0), ('e1', 'a', 1)]
    harness.run(10.0)
    count = len(harness.client.polled)
    harness.run(60.0)
    assert len(harness.client.polled) == count < 14


def test_byte_budget_holds_under_load() -> None:
    """Guards against polls that exceed the control traffic budget of a host.

    Two engines in use return pages of 3,000 bytes, more than the follower's
    1,500 bytes per second allow.
    """
    harness = Harness()
    harness.client.size = 3_000
    harness.run(100.0, ('e1', 'e2'))
    assert harness.follower.bytes_read <= 100 * 1_500 + 4_096 + 2 * 3_400
    assert {name for name, _, _ in harness.client.polled} == {'e1', 'e2'}


def test_new_incarnation_drops_the_index() -> None:
    """Guards against indexed prefixes that an engine lost at its restart."""
    harness = Harness()
    harness.run(2.0, ('e1',))
    assert harness.index.match_length('e1', [bytes([1])])
    harness.client.incarnation = 'b'
    harness.run(0.5, ('e1',))
    assert harness.index.position('e1') == ('b', 1)
    assert not harness.index.match_length('e1', [bytes([1])])


def test_failed_poll_is_not_repeated_for_30_s() -> None:
    """Guards against frequent polls of services without cache events."""
    harness = Harness()
    harness.client.failing = True
    harness.run(29.0, ('e1',))
    assert len(harness.client.polled) == 1
