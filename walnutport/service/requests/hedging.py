"""Runs an attempt and, if it takes long, a second one beside it."""

from collections.abc import Callable
import dataclasses

from twisted.internet import defer
from twisted.python import failure as twisted_failure

from walnutport import interfaces
from walnutport.service import policies as host_policies
from walnutport.service.requests import attempt
from walnutport.service.targets import target_watch

__all__ = ['HedgeCounts', 'HedgedRunner', 'RaceEnd']


@dataclasses.dataclass(slots=True)
class HedgeCounts:
    """Counters of hedged attempts.

    :param late_dropped: results that came after the first one.
    """

    started: int = 0
    won: int = 0
    cancelled: int = 0
    late_dropped: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RaceEnd:
    """The end that counts and the targets that were tried."""

    ended: attempt.AttemptEnd
    tried: frozenset[str]


class HedgedRunner:
    """Runs attempts with hedges; the first result wins.

    The loser is cancelled at its target and its cost is booked by the
    ``AttemptRunner``, like that of any attempt.
    """

    def __init__(
        self,
        runner: attempt.AttemptRunner,
        policies: host_policies.Policies,
        clock: interfaces.Clock,
        reactor,
        targets: target_watch.TargetWatch | None = None,
    ) -> None:
        self._targets = targets
        self._runner = runner
        self._policies = policies
        self._clock = clock
        self._reactor = reactor
        self.counts = HedgeCounts()

    async def run(
        self,
        job: attempt.AttemptJob,
        perform: attempt.Perform,
        on_sent: Callable[[], None],
    ) -> RaceEnd:
        """Run an attempt to its end; see ``AttemptRunner.run``."""
        now = self._clock.monotonic()
        delay_s = self._policies.retries.hedge_delay_s(
            job.stage.service,
            repeatable=job.stage.repeatable,
            suspect=job.query.isolated,
            now=now,
        )
        # Two attempts cannot both pass their events on to one caller.
        if job.stream is not None:
            delay_s = None
        if delay_s is None or now + delay_s >= job.call.deadline:
            ended = await self._runner.run(job, perform, on_sent)
            return RaceEnd(ended, frozenset({job.target.target_id}))

        def start(wanted: attempt.AttemptJob) -> defer.Deferred:
            return defer.Deferred.fromCoroutine(
                self._runner.run(wanted, perform, on_sent)
            )

        race = _Race(self.counts, start)
        race.enter(job)
        timer = self._reactor.callLater(delay_s, self._hedge, race, job)
        try:
            return await race.result
        finally:
            if timer.active():
                timer.cancel()

    def _hedge(self, race: '_Race', job: attempt.AttemptJob) -> None:
        now = self._clock.monotonic()
        state = self._policies.quarantine.state(job.call.digest(), now)
        if state is not interfaces.SuspicionState.CLEAR:
            return
        excluded = job.query.excluded | {job.target.target_id}
        query = dataclasses.replace(job.query, excluded=excluded)
        target = self._policies.router.route(query, now)
        if target is None:
            return
        hedge = dataclasses.replace(job, target=target, query=query)
        if self._targets is None or self._targets.is_fresh(target):
            self._enter(True, race, hedge)
        else:
            self._targets.confirm(target).addCallback(self._enter, race, hedge)

    def _enter(
        self, allowed: bool, race: '_Race', hedge: attempt.AttemptJob
    ) -> None:
        now = self._clock.monotonic()
        if not allowed or race.over:
            return
        if not self._policies.retries.try_acquire_hedge(
            hedge.stage.service, now
        ):
            return
        self.counts.started += 1
        race.enter(hedge)


class _Race:
    """Attempts at one stage of which the first result counts."""

    def __init__(
        self,
        counts: HedgeCounts,
        start: Callable[[attempt.AttemptJob], defer.Deferred],
    ) -> None:
        self._counts = counts
        self._start = start
        self._running: list[defer.Deferred] = []
        self._entered = 0
        self._tried: frozenset[str] = frozenset()
        self._failed: attempt.AttemptEnd | None = None
        self.over = False
        self.result: defer.Deferred[RaceEnd] = defer.Deferred(self._abandon)

    def enter(self, job: attempt.AttemptJob) -> None:
        """Start an attempt."""
        self._entered += 1
        self._tried |= {job.target.target_id}
        running = self._start(job)
        self._running.append(running)
        running.addCallbacks(
            self._ended,
            self._broken,
            callbackArgs=(running, self._entered),
            errbackArgs=(running,),
        )

    def _ended(
        self, ended: attempt.AttemptEnd, running: defer.Deferred, number: int
    ) -> None:
        self._running.remove(running)
        if self.over:
            self._counts.late_dropped += 1
            return
        if ended.reply is None:
            # A death decides what follows, whichever attempt saw it.
            if self._failed is None or ended.result.target_died:
                self._failed = ended
            if self._running:
                return
            ended = self._failed
        self.over = True
        if number > 1 and ended.reply is not None:
            self._counts.won += 1
        self._cancel_rest()
        self.result.callback(RaceEnd(ended, self._tried))

    def _broken(
        self, failure: twisted_failure.Failure, running: defer.Deferred
    ) -> None:
        self._running.remove(running)
        if self.over:
            failure.trap(defer.CancelledError)
            return
        self.over = True
        self._cancel_rest()
        self.result.errback(failure)

    def _abandon(self, result: defer.Deferred) -> None:
        self.over = True
        self._cancel_rest()

    def _cancel_rest(self) -> None:
        for running in list(self._running):
            self._counts.cancelled += 1
            running.cancel()
