"""Makes the attempts of a request and learns from their outcomes."""

from collections.abc import Callable
import time

from walnutport.gateway import attempts
from walnutport.gateway import calls
from walnutport import interfaces
from walnutport.quarantine import suspects
from walnutport.relay import resumable
from walnutport.retries import retry_eligibility
from walnutport.retries import window_budget
from walnutport.routing import outcomes
from walnutport.world import registrations

__all__ = ['Forwarder']

_Status = attempts.AttemptStatus

_END_BY_STATUS = {
    _Status.NOT_SENT: retry_eligibility.AttemptEnd.UNSENT,
    _Status.NOT_RUN: retry_eligibility.AttemptEnd.NOT_RUN,
    _Status.WRONG_TARGET: retry_eligibility.AttemptEnd.NOT_RUN,
    _Status.INPUTS_GONE: retry_eligibility.AttemptEnd.INPUTS_GONE,
    _Status.ANSWERED: retry_eligibility.AttemptEnd.MAY_HAVE_RUN,
    _Status.LOST: retry_eligibility.AttemptEnd.MAY_HAVE_RUN,
    _Status.BROKEN: retry_eligibility.AttemptEnd.MAY_HAVE_RUN,
}


class Forwarder:
    """Sends calls to targets, within the retry budget of their service.

    :param new_budget: creates the retry budget of a service.
    :param confirm_death: finds out whether a target died during an attempt,
        and ends the attempt in the book of suspects.
    """

    def __init__(
        self,
        log,
        sender: attempts.Attempts,
        standings: outcomes.TargetOutcomes,
        suspect_book: suspects.SuspectTable,
        new_budget: Callable[[], window_budget.SlidingWindowBudget],
        confirm_death: Callable[[registrations.RegisteredTarget, str], None],
    ) -> None:
        self._log = log
        self._sender = sender
        self._standings = standings
        self._suspects = suspect_book
        self._new_budget = new_budget
        self._confirm_death = confirm_death
        self._budget_by_service: dict[
            str, window_budget.SlidingWindowBudget
        ] = {}

    def is_quarantined(self, call: calls.CallerCall) -> bool:
        """Whether the request is suspected to kill its targets."""
        state = self._suspects.state(call.digest, time.monotonic())
        return state is interfaces.SuspicionState.QUARANTINED

    def begin(self, call: calls.CallerCall) -> None:
        """Count a request, which earns its service a share of retries."""
        self._budget(call.service).record_first_attempt(time.monotonic())

    async def attempt(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        relay: resumable.EventRelay | None = None,
        on_first_event: Callable[[], None] = lambda: None,
        resume_after: int | None = None,
    ) -> attempts.AttemptResult:
        """Send a request to a target and judge the target by the outcome.

        :param resume_after: id of the event after which a stream goes on.
        """
        started_at = time.monotonic()
        attempt_id = f'{call.request_id}/{len(call.targets) + 1}'
        load = self._standings.stats(target).expected_load(started_at)
        self._log.routine(
            'placed',
            id=call.request_id,
            target=target.target_id,
            attempt=len(call.targets) + 1,
            left_s=round(call.left_s(), 3),
            load=round(load, 1),
        )
        self._standings.started(target)
        self._suspects.attempt_started(
            call.digest, target.target_id, attempt_id, started_at
        )
        survived = False
        reset = False
        try:
            result = await self._sender.send(
                call, target, relay, on_first_event, resume_after
            )
            reset = result.reset
            survived = result.status in (_Status.ANSWERED, _Status.STREAMED)
            if survived:
                self._judge(result, started_at)
            else:
                self._note_failure(call, result)
            return result
        finally:
            self._standings.ended(target)
            if reset:
                self._confirm_death(target, attempt_id)
            else:
                self._suspects.attempt_finished(
                    attempt_id, survived, time.monotonic()
                )

    def take_repeat(
        self, call: calls.CallerCall, result: attempts.AttemptResult
    ) -> bool:
        """Take leave to send the request to another target.

        :returns: whether it may go there now; the retry budget is then less
            by one.
        """
        if result.status is _Status.NOT_SENT:
            call.unreachable.add(result.target.target_id)
        end = _END_BY_STATUS[result.status]
        denial = retry_eligibility.retry_denial_reason(
            end,
            retry_eligibility.RetryState(
                wanted=not call.request.disconnected and call.left_s() > 0,
                repeatable=call.route.repeatable,
                sent=len(call.targets),
                max_targets=call.route.max_targets,
                unreachable=len(call.unreachable),
                quarantined=self.is_quarantined(call),
            ),
        )
        if denial:
            self._log.routine(
                'repeat_denied',
                id=call.request_id,
                after=result.status.value,
                why=denial,
            )
            return False
        if end is retry_eligibility.AttemptEnd.UNSENT:
            return True
        now = time.monotonic()
        budget = self._budget(call.service)
        allowed = budget.try_acquire(now)
        after = result.status.value
        left = round(budget.available(now), 1)
        if allowed:
            self._log.notable(
                'repeat', id=call.request_id, after=after, budget=left
            )
        else:
            self._log.notable(
                'repeat_denied',
                id=call.request_id,
                after=after,
                why='retry_budget',
                budget=left,
            )
        return allowed

    def set_slack(self, slack: float) -> None:
        """Take over this host's share of the fleet-wide slack."""
        for budget in self._budget_by_service.values():
            budget.slack = slack

    def budget_left(self, now: float) -> dict[str, float]:
        """Return how many retries each service has left."""
        return {
            service: budget.available(now)
            for service, budget in self._budget_by_service.items()
        }

    def _judge(
        self, result: attempts.AttemptResult, started_at: float
    ) -> None:
        now = time.monotonic()
        if result.is_answer and not result.is_final:
            self._count_failure(result, now, unreachable=False)
        elif self._standings.succeeded(
            result.target, now - started_at, result.load, now
        ):
            self._log.notable(
                'target_taken_back', target=result.target.target_id
            )

    def _note_failure(
        self, call: calls.CallerCall, result: attempts.AttemptResult
    ) -> None:
        now = time.monotonic()
        self._standings.reported(result.target, result.load, now)
        if result.detail != 'deadline':
            unreachable = result.status in (
                _Status.NOT_SENT,
                _Status.WRONG_TARGET,
            )
            self._count_failure(result, now, unreachable)
        self._log.notable(
            'attempt_failed',
            id=call.request_id,
            target=result.target.target_id,
            status=result.status.value,
            detail=result.detail,
        )

    def _count_failure(
        self, result: attempts.AttemptResult, now: float, unreachable: bool
    ) -> None:
        if not self._standings.failed(result.target, now, unreachable):
            return
        found = self._standings.stats(result.target)
        self._log.notable(
            'target_ejected',
            target=result.target.target_id,
            unreachable=unreachable,
            failures_in_row=found.failures_in_row,
            failure_share=round(found.failure_share, 2),
            for_s=round(found.ejected_until - now, 2),
        )

    def _budget(self, service: str) -> window_budget.SlidingWindowBudget:
        found = self._budget_by_service.get(service)
        if found is None:
            found = self._new_budget()
            self._budget_by_service[service] = found
        return found
