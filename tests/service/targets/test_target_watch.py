"""Tests of the poll of a silent target before work is sent to it."""

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
        """Wait until the test answers the poll."""
        self.open.append(defer.Deferred())
        return await self.open[-1]

    def answer(self, state: str) -> None:
        """Answer the last poll with a load report of this state."""
        body = (REPORT + state).encode()
        self.open[-1].callback(http_client.HttpReply(200, {}, body))


class FakeListeners:
    """Ignores all calls."""

    def targets_changed(self, targets_by_id, now) -> None:
        """Do nothing."""

    def load_reported(self, target_id, load, now) -> None:
        """Do nothing."""


def new_watch() -> tuple[target_watch.TargetWatch, FakeClient, task.Clock]:
    """Return a watch with one listed target that has not reported yet."""
    reactor = task.Clock()
    client = FakeClient()
    watch = target_watch.TargetWatch(
        FakeListeners(), client, test_hedging.FakeClock(reactor), reactor, 5.0
    )
    watch.apply_target_list({'t1': TARGET})
    return watch, client, reactor


def results(confirmations: list[defer.Deferred]) -> list[bool]:
    """Return the results of the confirmations that have one."""
    return [item.result for item in confirmations if item.called]


def test_waiting_requests_share_one_poll() -> None:
    """Guards against one poll per request and against a cancelled poll.

    One of three requests that wait for the same poll is cancelled; the poll
    goes on and answers the other two.
    """
    watch, client, reactor = new_watch()
    confirmations = [watch.confirm(TARGET) for _ in range(3)]
    confirmations.pop().addErrback(lambda _: None).cancel()
    assert len(client.open) == 1 and results(confirmations) == []
    client.answer('live')
    assert results(confirmations) == [True, True]
    reactor.advance(2.0)
    assert watch.is_fresh(TARGET)
    reactor.advance(0.1)
    confirmations = [watch.confirm(TARGET)]
    client.answer('leaving')
    assert results(confirmations) == [False] and len(client.open) == 2


def test_failed_poll_allows_work_and_is_not_repeated_at_once() -> None:
    """Guards against requests that wait for a target that does not answer.

    The poll times out after 0.25 s and lets the request go on; the target
    is polled again after a pause of 1 s.
    """
    watch, client, reactor = new_watch()
    confirmations = [watch.confirm(TARGET)]
    reactor.advance(0.3)
    assert results(confirmations) == [True]
    assert watch.is_fresh(TARGET) and watch.confirm_polls_failed == 1
    reactor.advance(1.0)
    watch.confirm(TARGET)
    assert len(client.open) == 2


def test_old_load_report_of_a_stream_is_not_fresh() -> None:
    """Guards against taking the load report of a long stream as current.

    A stream carries the report in its response head, but the host takes it
    in when the stream ends.
    """
    watch, _, _ = new_watch()
    load = target_watch.stage_client.parse_load(REPORT + 'live')
    watch.load_reported('t1', load, age_s=2.5)
    assert not watch.is_fresh(TARGET)
    watch.load_reported('t1', load, age_s=0.5)
    watch.load_reported('t1', load, age_s=2.5)
    assert watch.is_fresh(TARGET)
