"""Refusals, timeouts and errors of calls, and the log line at their end."""

import time

from walnutport.gateway.entry import calls
from walnutport.gateway.operations import metrics
from walnutport.gateway.streams import stream_log
from walnutport.gateway.targets import attempts
from walnutport.routing import engines

__all__ = [
    'NO_TARGET_RETRY_AFTER_S',
    'RETRY_AFTER_JITTER',
    'STOPPING_RETRY_AFTER_S',
    'Responder',
]

# Delays after which refused callers may retry.
DEFAULT_RETRY_AFTER_S = 0.15
NO_TARGET_RETRY_AFTER_S = 0.4
ERROR_RETRY_AFTER_S = 0.2
STOPPING_RETRY_AFTER_S = 0.02
# Callers honour a delay of at most a third of their remaining time.
MAX_RETRY_AFTER_SHARE = 0.33
# Statuses by which callers understand that a request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Relative jitter of the delays, so that callers refused at the same time do
# not retry at the same time.
RETRY_AFTER_JITTER = 0.2


class Responder:
    """Responds to calls without a response of a target; records the ends.

    :param rng: adds jitter to the retry delays.
    :param streams: logs which runs have brought a stream.
    """

    def __init__(
        self,
        log,
        entry_metrics: metrics.EntryMetrics,
        rng,
        streams: stream_log.StreamLog,
    ) -> None:
        self._streams = streams
        self._log = log
        self._metrics = entry_metrics
        self._rng = rng

    def give_up(
        self, call: calls.CallerCall, result: attempts.AttemptResult | None
    ) -> None:
        """Respond to a call that gets no further attempt.

        :param result: outcome of the last attempt, None without an attempt
            or if the stages that another one needs were refused.
        """
        if call.request.head_sent:
            call.outcome = 'broken'
            call.request.abort()
        elif result is not None and _may_be_forwarded(call, result):
            call.forward_response(result.head, result.body)
        elif call.may_have_run:
            call.send_local_response(502, 'lost')
        elif result is None:
            self.refuse(call, 'no_target', NO_TARGET_RETRY_AFTER_S)
        else:
            self.refuse(call, result.status.value, DEFAULT_RETRY_AFTER_S)

    def refuse(
        self,
        call: calls.CallerCall,
        reason: str,
        retry_after_s: float = DEFAULT_RETRY_AFTER_S,
        is_exact: bool = False,
        **log_fields: object,
    ) -> None:
        """Respond that the request did not run and when to retry.

        :param is_exact: whether a place is held for the caller at that time,
            so that the delay gets no jitter.
        :param log_fields: values that led to the refusal, for the log.
        """
        max_delay_s = max(0.0, call.time_left_s() * MAX_RETRY_AFTER_SHARE)
        jitter = 1.0
        if not is_exact:
            jitter = self._rng.uniform(
                1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER
            )
        delay_s = min(retry_after_s * jitter, max_delay_s)
        self._log.notable(
            'refused',
            id=call.request_id,
            reason=reason,
            retry_after_s=round(delay_s, 3),
            left_s=round(call.time_left_s(), 3),
            continues=call.continues,
            **log_fields,
        )
        call.send_local_response(503, reason, delay_s)

    def expire(self, call: calls.CallerCall) -> None:
        """Respond to a call whose deadline has passed."""
        if call.request.head_sent:
            call.outcome = 'cut_at_deadline'
            call.request.abort()
        elif call.may_have_run:
            call.send_local_response(504, 'timeout')
        else:
            self.refuse(call, 'deadline', 0.0)

    def cut_off(self, call: calls.CallerCall) -> None:
        """Respond to a call that is unfinished as the host ends."""
        if call.request.head_sent:
            call.outcome = 'cut_at_stop'
            call.request.abort()
        elif call.may_have_run:
            call.send_local_response(502, 'cut_at_stop')
        else:
            self.refuse(call, 'stopping', STOPPING_RETRY_AFTER_S)

    def fail(self, call: calls.CallerCall, error: str, trace: str) -> None:
        """Respond to a call that failed because of an internal error.

        :param trace: end of the traceback.
        """
        self._log.notable(
            'error', id=call.request_id, problem=error, trace=trace
        )
        if call.request.head_sent:
            call.request.abort()
        else:
            call.send_local_response(
                502 if call.may_have_run else 503, 'error', ERROR_RETRY_AFTER_S
            )

    def finish(self, call: calls.CallerCall) -> None:
        """Record and log the end of a call."""
        now = time.monotonic()
        took_s = now - call.arrived_at
        self._metrics.finished(call, took_s)
        self._streams.ended(call)
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
            returned=call.spent_s > 0,
            continues=call.continues,
            took_s=round(took_s, 3),
            stages_s=round(call.stages_s, 3),
            first_s=round(first_at - call.arrived_at, 3),
            late=first_at > call.aim_at,
            tokens=engines.unshared_tokens(call.fields.prompt),
            targets=call.targets,
        )


def _may_be_forwarded(
    call: calls.CallerCall, result: attempts.AttemptResult
) -> bool:
    """Return whether the response of a target goes to the caller.

    A status that promises that the request did not run does so only if the
    request may be repeated, as the target has not stated it.
    """
    return result.has_response and (
        call.route.repeatable or result.head.status not in _NOT_RUN_STATUSES
    )
