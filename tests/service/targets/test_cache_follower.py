"""Tests of the follower of cache events with a client of the test."""

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
    """Answers with pages of one event and a chosen size."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, str, int]] = []
        self.incarnation = 'a'
        self.size = 100
        self.broken = False

    async def read(self, target, incarnation, after, most):
        """Return the next event."""
        self.asked.append((target.target_id, incarnation, after))
        if self.broken:
            raise exceptions.AttemptLost('broken')
        start = after if incarnation == self.incarnation else 0
        event = affinity.CacheEvent(
            target.target_id, self.incarnation, start + 1, (bytes([start]),)
        )
        return cache_events.CachePage(self.incarnation, (event,), self.size)


class Bench:
    """A follower that is ticked as in a host."""

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

    def run(self, span_s: float, used: tuple[str, ...] = ()) -> None:
        """Let time pass while some engines are in use."""
        for _ in range(int(span_s * 4)):
            self.reactor.advance(0.25)
            for target_id in used:
                self.index.mark_used(target_id, self.reactor.seconds())
            self.follower.advance()


def test_only_engines_in_use_are_asked() -> None:
    """Guards against control bytes at rest."""
    bench = Bench()
    bench.run(10.0)
    assert bench.client.asked == []
    bench.run(1.0, ('e1',))
    assert bench.client.asked == [('e1', '', 0), ('e1', 'a', 1)]
    bench.run(10.0)
    count = len(bench.client.asked)
    bench.run(60.0)
    assert len(bench.client.asked) == count < 14


def test_the_budget_of_bytes_holds_under_load() -> None:
    """Guards against events that use up the control budget of a host."""
    bench = Bench()
    bench.client.size = 3_000
    bench.run(100.0, ('e1', 'e2'))
    assert bench.follower.bytes_read <= 100 * 1_500 + 4_096 + 2 * 3_400
    assert {name for name, _, _ in bench.client.asked} == {'e1', 'e2'}


def test_a_new_incarnation_drops_the_index() -> None:
    """Guards against prefixes that an engine lost with its memory."""
    bench = Bench()
    bench.run(2.0, ('e1',))
    assert bench.index.match('e1', [bytes([1])])
    bench.client.incarnation = 'b'
    bench.run(0.5, ('e1',))
    assert bench.index.position('e1') == ('b', 1)
    assert not bench.index.match('e1', [bytes([1])])


def test_a_target_without_events_is_left_alone() -> None:
    """Guards against polls of services that publish no events."""
    bench = Bench()
    bench.client.broken = True
    bench.run(29.0, ('e1',))
    assert len(bench.client.asked) == 1
