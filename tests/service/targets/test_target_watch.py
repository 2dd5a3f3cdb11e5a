"""Tests of the question to a silent target before work is sent to it."""

from twisted.internet import defer
from twisted.internet import task

from tests.service.requests import test_hedging
from walnutport.adapters import http_client
from walnutport.service.targets import target_watch
from walnutport import world

ADDRESS = world.Address('127.0.0.1', 9)
TARGET = world.Target('t1', 'rerank', 'dc', ADDRESS, 4)
REPORT = 'running=0;queued=0;slots=4;incarnation=a;state='


class FakeClient:
    """Leaves polls open until the test answers them."""

    def __init__(self) -> None:
        self.open: list[defer.Deferred] = []

    async def call(self, method: str, url: str, **_) -> http_client.HttpReply:
        """Wait for the answer of the test."""
        self.open.append(defer.Deferred())
        return await self.open[-1]

    def answer(self, state: str) -> None:
        """Answer the last poll."""
        body = (REPORT + state).encode()
        self.open[-1].callback(http_client.HttpReply(200, {}, body))


class FakeListeners:
    """Takes no interest."""

    def targets_changed(self, targets_by_id, now) -> None:
        """Do nothing."""

    def load_reported(self, target_id, load, now) -> None:
        """Do nothing."""


def bench() -> tuple[target_watch.TargetWatch, FakeClient, task.Clock]:
    """Return a watch that knows one target, of which it heard nothing."""
    reactor = task.Clock()
    client = FakeClient()
    watch = target_watch.TargetWatch(
        FakeListeners(), client, test_hedging.FakeClock(reactor), reactor, 5.0
    )
    watch.list_read({'t1': TARGET})
    return watch, client, reactor


def results(asking: list[defer.Deferred]) -> list[bool]:
    """Return the results of those that have one."""
    return [item.result for item in asking if item.called]


def test_one_poll_answers_all_that_wait() -> None:
    """Guards against a poll for each request, and one that a caller cuts."""
    watch, client, reactor = bench()
    asking = [watch.confirm(TARGET) for _ in range(3)]
    asking.pop().addErrback(lambda _: None).cancel()
    assert len(client.open) == 1 and results(asking) == []
    client.answer('live')
    assert results(asking) == [True, True]
    reactor.advance(2.0)
    assert watch.is_fresh(TARGET)
    reactor.advance(0.1)
    asking = [watch.confirm(TARGET)]
    client.answer('leaving')
    assert results(asking) == [False] and len(client.open) == 2


def test_a_poll_without_answer_blocks_nothing_and_pauses() -> None:
    """Guards against requests that wait for a target that cannot answer."""
    watch, client, reactor = bench()
    asking = [watch.confirm(TARGET)]
    reactor.advance(0.3)
    assert results(asking) == [True]
    assert watch.is_fresh(TARGET) and watch.confirm_polls_failed == 1
    reactor.advance(1.0)
    watch.confirm(TARGET)
    assert len(client.open) == 2


def test_an_old_report_of_a_stream_does_not_count_as_news() -> None:
    """Guards against the head of a long stream passing for a fresh word."""
    watch, _, _ = bench()
    load = target_watch.stage.parse_load(REPORT + 'live')
    watch.load_reported('t1', load, age_s=2.5)
    assert not watch.is_fresh(TARGET)
    watch.load_reported('t1', load, age_s=0.5)
    watch.load_reported('t1', load, age_s=2.5)
    assert watch.is_fresh(TARGET)
