"""Makes the attempts of a request and records their outcomes."""

from collections.abc import Callable
from collections.abc import Coroutine
import time

from twisted.internet import defer

from walnutport.gateway.entry import calls
from walnutport.gateway.targets import attempts
from walnutport.gateway.targets import permit_exchange
from walnutport.quarantine import part_decision
from walnutport.quarantine import prompt_parts
from walnutport.quarantine import suspects
from walnutport.relay import resumable
from walnutport.retries import retry_eligibility
from walnutport.retries import window_budget
from walnutport.routing import backpressure
from walnutport.routing import outcomes
from walnutport.world import registrations

__all__ = ['Forwarder']

# Parts of a prompt that are logged with a failed attempt.
MAX_LOGGED_PARTS = 8
# What checks the target of a response that only the close has ended.
CLOSE_CHECK = 'end_check'

_Status = attempts.AttemptStatus

_END_BY_STATUS = {
    _Status.NOT_SENT: retry_eligibility.AttemptEnd.UNSENT,
    _Status.NO_PERMIT: retry_eligibility.AttemptEnd.UNSENT,
    _Status.NOT_RUN: retry_eligibility.AttemptEnd.NOT_RUN,
    _Status.WRONG_TARGET: retry_eligibility.AttemptEnd.NOT_RUN,
    _Status.INPUTS_GONE: retry_eligibility.AttemptEnd.INPUTS_GONE,
    _Status.ANSWERED: retry_eligibility.AttemptEnd.MAY_HAVE_RUN,
    _Status.LOST: retry_eligibility.AttemptEnd.MAY_HAVE_RUN,
    _Status.BROKEN: retry_eligibility.AttemptEnd.MAY_HAVE_RUN,
}


class Forwarder:
    """Forwards calls to targets, within the retry budget of each service.

    :param create_budget: creates the retry budget of a service.
    :param suspect_table: contents of requests that may crash targets.
    :param parts: parts of prompts that may crash targets.
    :param check_for_crash: checks whether a target crashed during an attempt,
        given whether it has answered on the channel, and records the end of
        the attempt in both; the result fires then.
    :param permits: permits to send to cold targets.
    :param is_complete: returns whether the run of a target that has sent a
        response without a length lives on, given its start and the id of the
        request.
    """

    def __init__(
        self,
        log,
        sender: attempts.AttemptSender,
        target_outcomes: outcomes.TargetOutcomes,
        limits: backpressure.TargetBackpressure,
        suspect_table: suspects.SuspectTable,
        parts: prompt_parts.PartTable,
        create_budget: Callable[[], window_budget.SlidingWindowBudget],
        check_for_crash: Callable[
            [registrations.RegisteredTarget, str, bool], defer.Deferred
        ],
        permits: permit_exchange.PermitExchange,
        is_complete: Callable[
            [registrations.RegisteredTarget, int, str],
            Coroutine[object, object, bool],
        ],
    ) -> None:
        self._permits = permits
        self._log = log
        self._sender = sender
        self._outcomes = target_outcomes
        self._limits = limits
        self._suspects = suspect_table
        self._parts = parts
        self._create_budget = create_budget
        self._check_for_crash = check_for_crash
        self._is_complete = is_complete
        self._budget_by_service: dict[
            str, window_budget.SlidingWindowBudget
        ] = {}

    def is_quarantined(self, call: calls.CallerCall) -> bool:
        """Return whether a request may not be sent, by its content."""
        return self.content_delay_s(call) > 0 or bool(
            self.check_parts(call).blocked_by
        )

    def content_delay_s(self, call: calls.CallerCall) -> float:
        """Return the time until the content as a whole may be sent."""
        return self._suspects.probe_delay_s(
            call.digest, call.request_id, time.monotonic()
        )

    def check_parts(
        self, call: calls.CallerCall
    ) -> part_decision.PartDecision:
        """Return whether the parts of the prompt let a request be sent."""
        return self._parts.check(
            call.request_id, call.fields.shared_parts, time.monotonic()
        )

    def admit(self, call: calls.CallerCall) -> bool:
        """Return whether a request may be sent, be it as a probe.

        This is asked at the arrival and before each send, as peers report
        crashes at any time.
        """
        if self.is_quarantined(call):
            return False
        if self._suspects.begin_probe(
            call.digest, call.request_id, time.monotonic()
        ):
            self._log.notable(
                'content_probe', id=call.request_id, digest=call.digest.hex()
            )
        probes = self.check_parts(call).probes
        if set(probes) - set(call.probed_parts):
            call.probed_parts = probes
            self._parts.begin_probe(call.request_id, probes, time.monotonic())
            self._log.notable('part_probe', id=call.request_id, parts=probes)
        return True

    def end_probe(self, call: calls.CallerCall) -> None:
        """Record the end of a request, which may have been a probe."""
        self._suspects.end_probe(call.digest, call.request_id)
        self._parts.end_probe(
            call.request_id, call.probed_parts, time.monotonic()
        )

    def record_request(self, call: calls.CallerCall) -> None:
        """Count a request, which raises the retry budget of its service."""
        self._budget_for(call.service).record_first_attempt(time.monotonic())

    def retract_request(self, call: calls.CallerCall) -> None:
        """Uncount a request that is refused and was never sent."""
        if not call.targets:
            self._budget_for(call.service).retract_first_attempt()

    async def attempt(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        relay: resumable.EventRelay | None = None,
        on_first_event: Callable[[], None] = lambda: None,
        resume_after: int | None = None,
    ) -> attempts.AttemptResult:
        """Send a request to a target and record the outcome for the target.

        Without a permit for a cold target, nothing is sent or recorded.

        :param relay: splits a stream into events; None collects the complete
            response.
        :param on_first_event: called when the first event is forwarded.
        :param resume_after: id of the event after which a stream resumes.
        """
        permit = None
        if self._permits.is_needed(target):
            end = await self._permits.acquire(target, call.permit_wait_s())
            permit = end.permit
            if permit is None and not end.is_warm:
                call.cold_denied[target.target_id] = target
                call.was_permit_refused |= call.waits_for_permit
                return self._no_permit(call, target, 'denied')
        started_at = time.monotonic()
        call.last_attempt_at = started_at
        attempt_id = f'{call.request_id}/{len(call.targets) + 1}'
        load = self._outcomes.stats(target).expected_load(started_at)
        self._log.routine(
            'placed',
            id=call.request_id,
            target=target.target_id,
            version=target.software_version,
            desired=call.desired_version,
            attempt=len(call.targets) + 1,
            left_s=round(call.time_left_s(), 3),
            load=round(load, 1),
        )
        self._outcomes.attempt_started(target)
        self._limits.record_send(target, started_at)

        def on_sent() -> None:
            now = time.monotonic()
            self._suspects.attempt_started(
                call.digest, target.target_id, attempt_id, now
            )
            self._parts.attempt_started(
                attempt_id,
                call.fields.shared_parts,
                target.target_id,
                str(target.incarnation),
                now,
            )

        survived = False
        completed = False
        reset = False
        try:
            result = await self._sender.send(
                call,
                target,
                relay,
                on_first_event,
                resume_after,
                on_proven=lambda: self._parts.attempt_answered(
                    attempt_id, time.monotonic()
                ),
                on_sent=on_sent,
                permit=permit,
            )
            if result.status is _Status.NO_PERMIT:
                if permit is not None and call.permit_wait_s() <= 0:
                    call.cold_denied[target.target_id] = target
                    call.was_permit_refused |= call.waits_for_permit
                return self._no_permit(call, target, 'ended')
            if result.is_empty_until_close or (
                result.needs_check
                and not await self._is_complete(
                    target,
                    result.run or target.incarnation,
                    call.request_id,
                )
            ):
                result = result.broken_off()
            call.delivery.response_ended(result.close_outcome, CLOSE_CHECK)
            reset = result.reset
            survived = result.status in (_Status.ANSWERED, _Status.STREAMED)
            completed = survived and result.head.status < 300
            if survived:
                self._record_response(result, started_at)
            else:
                self._record_failure(call, result)
        finally:
            call.is_underway = False
            self._outcomes.attempt_finished(target)
            if not reset:
                now = time.monotonic()
                self._suspects.attempt_finished(attempt_id, survived, now)
                self._parts.attempt_finished(attempt_id, completed, now)
        if reset:
            checked = self._check_for_crash(
                target, attempt_id, result.was_alive
            )
            if call.route.repeatable:
                # Whether the request is retried depends on what is found.
                await checked
        return result

    def _no_permit(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        cause: str,
    ) -> attempts.AttemptResult:
        """Record that a request was not sent, for want of a permit."""
        self._log.routine(
            'permit_missing',
            id=call.request_id,
            target=target.target_id,
            cause=cause,
            waited=call.waits_for_permit,
        )
        return attempts.AttemptResult(
            _Status.NO_PERMIT,
            target,
            detail=f'permit {cause}',
            is_deferred=True,
        )

    def try_acquire_retry(
        self, call: calls.CallerCall, result: attempts.AttemptResult
    ) -> bool:
        """Return whether the request may be sent to another target.

        This takes one retry from the budget, unless the last attempt was never
        sent.
        """
        if result.status is _Status.NOT_SENT:
            passed = (
                call.passed_over if result.is_passed_over else call.unreachable
            )
            passed.add(result.target.target_id)
        return self._try_acquire(call, result, _END_BY_STATUS[result.status])

    def try_acquire_new_inputs(
        self, call: calls.CallerCall, result: attempts.AttemptResult
    ) -> bool:
        """Return whether a request may be sent with new inputs.

        Its last target found the inputs gone and did not run it. That target
        may be tried again, and counts against the limit of the route. This
        takes one retry from the budget.
        """
        call.lacked_inputs.add(result.target.target_id)
        return self._try_acquire(
            call, result, retry_eligibility.AttemptEnd.NOT_RUN
        )

    def _try_acquire(
        self,
        call: calls.CallerCall,
        result: attempts.AttemptResult,
        end: retry_eligibility.AttemptEnd,
    ) -> bool:
        denial_reason = retry_eligibility.retry_denial_reason(
            end,
            retry_eligibility.RetryState(
                caller_waiting=not call.request.disconnected
                and call.time_left_s() > 0,
                repeatable=call.route.repeatable,
                sent_count=len(call.used_targets()),
                max_targets=call.route.max_targets,
                unreachable_count=len(call.unreachable),
                quarantined=self.is_quarantined(call)
                or end is retry_eligibility.AttemptEnd.MAY_HAVE_RUN
                and self._is_suspect(call),
            ),
        )
        if denial_reason:
            self._log.routine(
                'repeat_denied',
                id=call.request_id,
                after=result.status.value,
                why=denial_reason,
            )
            return False
        if end is retry_eligibility.AttemptEnd.UNSENT:
            return True
        now = time.monotonic()
        budget = self._budget_for(call.service)
        allowed = budget.try_acquire(now)
        after = result.status.value
        retries_left = round(budget.available(now), 1)
        if allowed:
            self._log.notable(
                'repeat', id=call.request_id, after=after, budget=retries_left
            )
        else:
            self._log.notable(
                'repeat_denied',
                id=call.request_id,
                after=after,
                why='retry_budget',
                budget=retries_left,
            )
        return allowed

    def set_retry_slack(self, slack: float) -> None:
        """Set this host's share of the retries allowed besides the ratio."""
        for budget in self._budget_by_service.values():
            budget.slack = slack

    def available_retries(self, now: float) -> dict[str, float]:
        """Return how many retries each service may still make."""
        return {
            service: budget.available(now)
            for service, budget in self._budget_by_service.items()
        }

    def _is_suspect(self, call: calls.CallerCall) -> bool:
        """Return whether a retry may crash one more target."""
        return bool(call.probed_parts) or self._parts.is_suspect(
            call.fields.shared_parts, time.monotonic()
        )

    def _record_response(
        self, result: attempts.AttemptResult, started_at: float
    ) -> None:
        now = time.monotonic()
        if result.has_response and not result.is_final:
            if not result.is_deferred:
                self._record_target_failure(result, now, unreachable=False)
        elif self._outcomes.record_success(
            result.target, now - started_at, result.load, now
        ):
            self._log.notable(
                'target_taken_back', target=result.target.target_id
            )

    def _record_failure(
        self, call: calls.CallerCall, result: attempts.AttemptResult
    ) -> None:
        now = time.monotonic()
        self._outcomes.update_load(result.target, result.load, now)
        if (
            result.detail != attempts.DEADLINE_DETAIL
            and not result.is_deferred
            # Its inputs are held elsewhere.
            and result.status is not _Status.INPUTS_GONE
        ):
            unreachable = result.status in (
                _Status.NOT_SENT,
                _Status.WRONG_TARGET,
            )
            self._record_target_failure(result, now, unreachable)
        self._log.notable(
            'attempt_failed',
            id=call.request_id,
            target=result.target.target_id,
            status=result.status.value,
            detail=result.detail,
            parts=call.fields.shared_parts[:MAX_LOGGED_PARTS],
        )

    def _record_target_failure(
        self, result: attempts.AttemptResult, now: float, unreachable: bool
    ) -> None:
        if not self._outcomes.record_failure(result.target, now, unreachable):
            return
        target_stats = self._outcomes.stats(result.target)
        self._log.notable(
            'target_ejected',
            target=result.target.target_id,
            unreachable=unreachable,
            failures_in_row=target_stats.failures_in_row,
            failure_share=round(target_stats.failure_share, 2),
            for_s=round(target_stats.ejected_until - now, 2),
        )

    def _budget_for(self, service: str) -> window_budget.SlidingWindowBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._create_budget()
            self._budget_by_service[service] = budget
        return budget
