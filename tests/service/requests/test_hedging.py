"""Tests of hedged attempts with attempts that the test ends itself."""

import random

from twisted.internet import defer
from twisted.internet import task

from walnutport.adapters import stage as stage_adapter
from walnutport.cost import ledger
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.peer import messages
from walnutport.quarantine import suspects
from walnutport.retries import policy
from walnutport.routing import router
from walnutport.service import policies
from walnutport.service.requests import attempt
from walnutport.service.requests import calls
from walnutport.service.requests import hedging
from walnutport import world

STAGE = world.Stage('rerank', 'rerank')


class FakeClock:
    """Time of a ``task.Clock``."""

    def __init__(self, reactor: task.Clock) -> None:
        self._reactor = reactor

    def monotonic(self) -> float:
        """Return the time of the reactor."""
        return self._reactor.seconds()

    def wall(self) -> float:
        """Return the time of the reactor."""
        return self._reactor.seconds()


class FakeControl:
    """Records cancelled attempts."""

    def __init__(self) -> None:
        self.cancelled: list[str] = []

    async def cancel(self, target: world.Target, attempt_id: str) -> bool:
        """Record a cancel."""
        self.cancelled.append(target.target_id)
        return True


class Bench:
    """A hedged runner over two targets, with latencies already learnt."""

    def __init__(self) -> None:
        self.reactor = task.Clock()
        self.clock = FakeClock(self.reactor)
        rng = random.Random(1)
        self.router = router.StandardRouter(
            'host', 'dc', subset_size=9, max_ejected_share=0.3, rng=rng
        )
        address = world.Address('127.0.0.1', 9)
        self.targets = {
            name: world.Target(name, 'rerank', 'dc', address, 4)
            for name in ('t1', 't2')
        }
        self.router.targets_changed(self.targets, 0.0)
        self.retries = policy.StandardRetryPolicy(0.1, rng)
        for _ in range(40):
            done = interfaces.AttemptResult(
                'x', 't1', 'rerank', interfaces.AttemptStatus.OK, 0.1
            )
            self.retries.attempt_finished(done, 0.0)
        self.book = suspects.SuspectTable()
        parts = policies.Policies(None, self.router, self.retries, self.book)
        self.control = FakeControl()
        self.cost = ledger.CostLedger()
        attempts = attempt.AttemptRunner(
            parts, self.cost, self.clock, self.reactor, None, self.control
        )
        self.book.on_quarantined = attempts.cancel_content
        self.runner = hedging.HedgedRunner(
            attempts, parts, self.clock, self.reactor
        )
        self.open: dict[str, defer.Deferred] = {}

    async def perform(self, target, call, on_sent):
        """Leave the attempt open until the test ends it."""
        on_sent()
        self.open[target.target_id] = defer.Deferred()
        return await self.open[target.target_id]

    def start(self) -> defer.Deferred:
        """Start a hedged stage on the first target."""
        contract = world.Contract('entry', 'owner', 'standard', 'pipeline')
        call = calls.Call(
            'r', world.Member('m', ()), contract, None, 'standard', b'{}', 9.0
        )
        query = interfaces.RouteQuery('rerank', 9.0)
        job = attempt.AttemptJob(call, STAGE, self.targets['t1'], query, b'{}')
        return defer.ensureDeferred(
            self.runner.run(job, self.perform, lambda: None)
        )

    def attempts_booked(self) -> int:
        """Return the attempts in the cost ledger."""
        return sum(line.attempts for line in self.cost.lines_by_key.values())


def test_the_hedge_wins_and_the_loser_is_cancelled_and_booked() -> None:
    """Guards against losers that run on or whose cost is forgotten."""
    bench = Bench()
    running = bench.start()
    bench.reactor.advance(0.05)
    assert list(bench.open) == ['t1']
    bench.reactor.advance(0.1)
    assert list(bench.open) == ['t1', 't2']
    bench.open['t2'].callback(stage_adapter.StageReply(b'{}', 0, None))
    race = running.result
    assert race.ended.result.target_id == 't2'
    assert race.tried == {'t1', 't2'}
    assert bench.control.cancelled == ['t1']
    assert bench.attempts_booked() == 2
    counts = bench.runner.counts
    assert (counts.started, counts.won, counts.cancelled) == (1, 1, 1)


def test_no_hedge_of_a_suspect_or_without_budget() -> None:
    """Guards against blind copies of a request that crashes targets."""
    bench = Bench()
    bench.start()
    bench.book.target_died('t1', 0.0)
    bench.reactor.advance(1.0)
    assert list(bench.open) == ['t1']
    bench = Bench()
    while bench.retries.try_acquire_hedge('rerank', 0.0):
        pass
    bench.start()
    bench.reactor.advance(1.0)
    assert list(bench.open) == ['t1']


def test_one_failure_waits_for_the_other_attempt() -> None:
    """Guards against a failed attempt that hides the result of the other."""
    bench = Bench()
    running = bench.start()
    bench.reactor.advance(0.2)
    bench.open['t1'].errback(attempt.exceptions.AttemptLost('cut'))
    assert not running.called
    bench.open['t2'].callback(stage_adapter.StageReply(b'{}', 0, None))
    assert running.result.ended.reply is not None


def test_a_verdict_cancels_copies_in_flight() -> None:
    """Guards against a third death by a copy that already runs."""
    bench = Bench()
    running = [bench.start(), bench.start()]
    digest = next(iter(bench.book._flights_by_attempt.values())).digest
    bench.book.merge(messages.SuspectReport(digest, ('t8/a',)), 0.0)
    assert not bench.control.cancelled
    bench.book.merge(messages.SuspectReport(digest, ('t9/b',)), 0.0)
    assert bench.control.cancelled == ['t1', 't1']
    for race in running:
        ended = race.result.ended
        assert ended.failure.reason is answers.Reason.QUARANTINED
    assert bench.attempts_booked() == 2


def test_a_deadline_cancels_every_attempt_at_its_target() -> None:
    """Guards against targets that work on after the deadline."""
    bench = Bench()
    running = bench.start()
    bench.reactor.advance(0.2)
    assert list(bench.open) == ['t1', 't2']
    bench.reactor.advance(9.0)
    ended = running.result.ended
    assert ended.failure.reason is answers.Reason.DEADLINE_EXCEEDED
    assert sorted(bench.control.cancelled) == ['t1', 't2']


def test_a_caller_who_leaves_cancels_every_attempt() -> None:
    """Guards against targets that work for a caller who is gone."""
    bench = Bench()
    running = bench.start()
    bench.reactor.advance(0.2)
    running.addErrback(lambda failure: failure.trap(defer.CancelledError))
    running.cancel()
    assert sorted(bench.control.cancelled) == ['t1', 't2']
    assert bench.attempts_booked() == 2
