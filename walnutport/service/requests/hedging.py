"""Hedged attempts: a slow attempt gets a second one in parallel."""

from collections.abc import Callable
import dataclasses

from twisted.internet import defer
from twisted.python import failure as twisted_failure

from walnutport import interfaces
from walnutport.service import policies as host_policies
from walnutport.service.requests import attempt
from walnutport.service.targets import target_watch

__all__ = ['HedgeCounts', 'HedgedRunner', 'RaceOutcome']


@dataclasses.dataclass(slots=True)
class HedgeCounts:
    """Counters of hedges.

    :param started: second attempts that were started.
    :param won: second attempts whose success was the result.
    :param cancelled: attempts cancelled because another one ended the race
        or the caller left.
    :param late_dropped: results that arrived after the race had ended.
    """

    started: int = 0
    won: int = 0
    cancelled: int = 0
    late_dropped: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RaceOutcome:
    """The outcome that counts and the ids of the targets that were tried."""

    outcome: attempt.AttemptOutcome
    tried_ids: frozenset[str]


class HedgedRunner:
    """Runs attempts with hedges; the first success wins.

    The ``AttemptRunner`` cancels the loser at its target and records its
    cost, like that of any attempt.
    """

    def __init__(
        self,
        runner: attempt.AttemptRunner,
        policies: host_policies.Policies,
        clock: interfaces.Clock,
        reactor,
        watch: target_watch.TargetWatch | None = None,
    ) -> None:
        self._watch = watch
        self._runner = runner
        self._policies = policies
        self._clock = clock
        self._reactor = reactor
        self.counts = HedgeCounts()

    async def run(
        self,
        job: attempt.AttemptJob,
        perform: attempt.PerformAttempt,
        on_sent: Callable[[], None],
    ) -> RaceOutcome:
        """Run an attempt, hedged if it is slow; see ``AttemptRunner.run``."""
        now = self._clock.monotonic()
        delay_s = self._policies.retries.hedge_delay_s(
            job.stage.service,
            repeatable=job.stage.repeatable,
            suspect=job.query.isolated,
            now=now,
        )
        # Only one attempt at a time can relay its events to the caller.
        if job.stream is not None:
            delay_s = None
        if delay_s is None or now + delay_s >= job.call.deadline:
            outcome = await self._runner.run(job, perform, on_sent)
            return RaceOutcome(outcome, frozenset({job.target.target_id}))

        def start_attempt(attempt_job: attempt.AttemptJob) -> defer.Deferred:
            return defer.Deferred.fromCoroutine(
                self._runner.run(attempt_job, perform, on_sent)
            )

        race = _Race(self.counts, start_attempt)
        race.start(job)
        timer = self._reactor.callLater(delay_s, self._route_hedge, race, job)
        try:
            return await race.result
        finally:
            if timer.active():
                timer.cancel()

    def _route_hedge(self, race: '_Race', job: attempt.AttemptJob) -> None:
        """Choose a target and start a hedge, after a poll if it is silent."""
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
        if self._watch is None or self._watch.is_fresh(target):
            self._start_hedge(True, race, hedge)
        else:
            self._watch.confirm(target).addCallback(
                self._start_hedge, race, hedge
            )

    def _start_hedge(
        self, allowed: bool, race: '_Race', hedge: attempt.AttemptJob
    ) -> None:
        """Start a hedge unless the race is over or the budget is used up.

        :param allowed: whether the target may get work.
        """
        now = self._clock.monotonic()
        if not allowed or race.finished:
            return
        if not self._policies.retries.try_acquire_hedge(
            hedge.stage.service, now
        ):
            return
        self.counts.started += 1
        race.start(hedge)


class _Race:
    """Concurrent attempts of one stage, of which the first success counts.

    If all fail, the first failure counts, unless a later one found that the
    target crashed.
    """

    def __init__(
        self,
        counts: HedgeCounts,
        start_attempt: Callable[[attempt.AttemptJob], defer.Deferred],
    ) -> None:
        self._counts = counts
        self._start_attempt = start_attempt
        self._running: list[defer.Deferred] = []
        self._started_count = 0
        self._tried_ids: frozenset[str] = frozenset()
        self._failed_outcome: attempt.AttemptOutcome | None = None
        self.finished = False
        self.result: defer.Deferred[RaceOutcome] = defer.Deferred(self._cancel)

    def start(self, job: attempt.AttemptJob) -> None:
        """Start an attempt."""
        self._started_count += 1
        self._tried_ids |= {job.target.target_id}
        running = self._start_attempt(job)
        self._running.append(running)
        running.addCallbacks(
            self._attempt_finished,
            self._attempt_raised,
            callbackArgs=(running, self._started_count),
            errbackArgs=(running,),
        )

    def _attempt_finished(
        self,
        outcome: attempt.AttemptOutcome,
        running: defer.Deferred,
        number: int,
    ) -> None:
        self._running.remove(running)
        if self.finished:
            self._counts.late_dropped += 1
            return
        if outcome.reply is None:
            # Whether a target crashed decides about retries, so that
            # failure takes precedence.
            if self._failed_outcome is None or outcome.result.target_died:
                self._failed_outcome = outcome
            if self._running:
                return
            outcome = self._failed_outcome
        self.finished = True
        if number > 1 and outcome.reply is not None:
            self._counts.won += 1
        self._cancel_running()
        self.result.callback(RaceOutcome(outcome, self._tried_ids))

    def _attempt_raised(
        self, failure: twisted_failure.Failure, running: defer.Deferred
    ) -> None:
        self._running.remove(running)
        if self.finished:
            failure.trap(defer.CancelledError)
            return
        self.finished = True
        self._cancel_running()
        self.result.errback(failure)

    def _cancel(self, result: defer.Deferred) -> None:
        self.finished = True
        self._cancel_running()

    def _cancel_running(self) -> None:
        for running in list(self._running):
            self._counts.cancelled += 1
            running.cancel()
