"""The one answer of each request where no target's answer is passed on."""

import time

from walnutport.gateway import attempts
from walnutport.gateway import calls
from walnutport.gateway import metrics
from walnutport.routing import engines

__all__ = ['Responder']

# Waits that callers are asked to keep before they come back.
RETRY_SOON_S = 0.15
RETRY_NO_TARGET_S = 0.4
RETRY_ERROR_S = 0.2
# A caller honours a wait of at most a third of the time that it has left.
RETRY_SHARE = 0.33
# Part by which waits differ, so that callers who were refused together do not
# come back together.
RETRY_SPREAD = 0.2


class Responder:
    """Refuses, gives up and closes the calls of this host.

    :param rng: spreads the waits of refused callers.
    """

    def __init__(self, log, counters: metrics.EntryMetrics, rng) -> None:
        self._log = log
        self._metrics = counters
        self._rng = rng

    def give_up(
        self, call: calls.CallerCall, result: attempts.AttemptResult | None
    ) -> None:
        """Answer a request for which nothing more is tried.

        :param result: outcome of the last attempt, if there was one.
        """
        if call.request.head_sent:
            call.outcome = 'broken'
            call.request.abort()
        elif result is None:
            self.refuse(call, 'no_target', RETRY_NO_TARGET_S)
        elif result.is_answer:
            call.pass_on(result.head, result.body)
        elif call.may_have_run:
            call.answer(502, 'lost')
        else:
            self.refuse(call, result.status.value, RETRY_SOON_S)

    def refuse(
        self,
        call: calls.CallerCall,
        reason: str,
        retry_after_s: float = RETRY_SOON_S,
        **inputs: object,
    ) -> None:
        """Answer that the request has not run and when to come back.

        :param inputs: what decided the refusal, for the log.
        """
        most_s = max(0.0, call.left_s() * RETRY_SHARE)
        spread = self._rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        wait_s = min(retry_after_s * spread, most_s)
        self._log.notable(
            'refused',
            id=call.request_id,
            reason=reason,
            retry_after_s=round(wait_s, 3),
            left_s=round(call.left_s(), 3),
            **inputs,
        )
        call.answer(503, reason, wait_s)

    def expire(self, call: calls.CallerCall) -> None:
        """Answer a call whose deadline has come."""
        if call.request.head_sent:
            call.outcome = 'cut_at_deadline'
            call.request.abort()
        elif call.may_have_run:
            call.answer(504, 'timeout')
        else:
            self.refuse(call, 'deadline', 0.0)

    def broke(self, call: calls.CallerCall, text: str, trace: str) -> None:
        """Answer a call that met an error of our own."""
        self._log.notable(
            'error', id=call.request_id, problem=text, trace=trace
        )
        if call.request.head_sent:
            call.request.abort()
        else:
            call.answer(
                502 if call.may_have_run else 503, 'error', RETRY_ERROR_S
            )

    def close(self, call: calls.CallerCall) -> None:
        """Count and log the end of a call."""
        now = time.monotonic()
        took_s = now - call.arrived_at
        self._metrics.finished(call, took_s)
        first_at = call.first_event_at or now
        write = (
            self._log.routine
            if call.outcome in ('answered', 'streamed')
            else self._log.notable
        )
        write(
            'finished',
            id=call.request_id,
            route=call.route.name,
            team=call.team,
            outcome=call.outcome,
            status=call.status,
            returned=call.returned,
            took_s=round(took_s, 3),
            stages_s=round(call.stages_s, 3),
            first_s=round(first_at - call.arrived_at, 3),
            late=first_at > call.aim_at,
            tokens=engines.unshared_tokens(call.fields.prompt),
            targets=call.targets,
        )
