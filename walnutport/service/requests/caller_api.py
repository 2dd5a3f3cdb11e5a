"""HTTP interface for callers."""

from collections.abc import Callable
import dataclasses
import logging
import secrets

import klein
from twisted.internet import defer

from walnutport.catalogue import fold
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.lifecycle import host_end
from walnutport.metrics import histograms
from walnutport.service.requests import answer_format
from walnutport.service.requests import calls
from walnutport.service.requests import pipeline
from walnutport.service.requests import request_validator
from walnutport.service.requests import sinks

__all__ = ['CallerApi']

LOG = logging.getLogger(__name__)
PREFIX = 'callers:'

_MAX_ID_CHARS = 128
# Another host takes the call at once; the answer closes the connection.
_STOPPING_RETRY_S = 0.05
# Reasons of calls that lack the time to run.
_LATE_REASONS = frozenset(
    (
        answers.Reason.DEADLINE_INFEASIBLE,
        answers.Reason.DEADLINE_EXCEEDED,
    )
)


class CallerApi:
    """Validates calls, runs them and writes their answers.

    :param view: returns the current catalogue.
    :param is_ready: returns whether the load balancer should send new calls.
    :param can_run_calls: returns whether this host can run calls.
    :param end: end of this host, which bounds the deadlines of calls.
    :ivar stopping_count: calls that ended without a result as the host stops.
    """

    app = klein.Klein()

    def __init__(
        self,
        settings: config.CallerSettings,
        view: Callable[[], fold.CatalogueView],
        is_ready: Callable[[], bool],
        can_run_calls: Callable[[], bool],
        runner: pipeline.PipelineRunner,
        clock: interfaces.Clock,
        latencies: histograms.LatencyHistograms,
        end: host_end.HostEnd,
    ) -> None:
        self._end = end
        self.stopping_count = 0
        self._settings = settings
        self._validator = request_validator.RequestValidator(settings, clock)
        self._view = view
        self._is_ready = is_ready
        self._can_run_calls = can_run_calls
        self._stopping = False
        self._runner = runner
        self._clock = clock
        self._latencies = latencies
        self.in_flight_by_id: dict[str, defer.Deferred] = {}
        self._is_cut_off = False

    def stop(self) -> None:
        """Refuse new calls; those in flight go on."""
        self._stopping = True

    def cut_off(self) -> None:
        """End the calls in flight, as the host ends.

        Their answers say whether they may have run.
        """
        self._is_cut_off = True
        for running in list(self.in_flight_by_id.values()):
            running.cancel()

    @app.route('/healthz')
    def healthz(self, request) -> bytes:
        """Liveness probe: answer while the process runs."""
        return b'ok\n'

    @app.route('/readyz')
    def readyz(self, request) -> bytes:
        """Readiness probe: tell a load balancer whether to send new calls."""
        if self._is_ready():
            return b'ready\n'
        request.setResponseCode(503)
        return b'not ready\n'

    @app.route('/v1/entries/<string:entry_id>', methods=['POST'])
    async def run_entry(self, request, entry_id: str) -> bytes:
        """Run a request through the pipeline of an entry and answer it."""
        request_id = _request_id(request)
        request.setHeader('walnutport-request-id', request_id)
        if not self._is_ready():
            # Closing the connection lets the load balancer send the caller's
            # next request to another host.
            request.setHeader('connection', 'close')
            request.channel.persistent = False
        try:
            call = self._validated_call(request, entry_id, request_id)
        except exceptions.RequestError as error:
            answer = answers.Answer(
                answers.Outcome.NOT_RUN,
                answers.Reason(error.reason),
                detail=str(error),
                status=error.status,
            )
            return answer_format.write_answer(request, request_id, answer)
        bounded_call = self._bounded(call)
        answer = await self._run(request, bounded_call)
        is_late = bounded_call is not call and answer.reason in _LATE_REASONS
        was_cut = (
            self._is_cut_off and answer.reason is answers.Reason.CALLER_GONE
        )
        if is_late or was_cut:
            answer = self._stopping_answer(request_id, answer)
        call = bounded_call
        if call.sink is None or not call.sink.started:
            return answer_format.write_answer(request, request_id, answer)
        call.sink.finish(
            abort_if_paused=self._clock.monotonic() >= call.deadline
        )
        # The stream's done event has already carried the output.
        answer_without_output = dataclasses.replace(answer, output=b'')
        return b'event: answer\ndata: %b\n\n' % answer_format.encode_answer(
            request_id, answer_without_output
        )

    def _bounded(self, call: calls.Call) -> calls.Call:
        """Return a call that ends before the host does.

        Admission then refuses it like one whose deadline cannot be met, also
        after it has waited.
        """
        now = self._clock.monotonic()
        latest = now + self._end.left_s(now) - host_end.DELIVERY_MARGIN_S
        if call.deadline <= latest:
            return call
        return dataclasses.replace(call, deadline=latest)

    def _stopping_answer(
        self, request_id: str, answer: answers.Answer
    ) -> answers.Answer:
        """Return the answer to a call that cannot end before the host."""
        self.stopping_count += 1
        LOG.info(
            '%s call %s is not served as the host ends in %.1f s: %s',
            PREFIX,
            request_id,
            self._end.left_s(self._clock.monotonic()),
            answer.outcome.value,
        )
        return dataclasses.replace(
            answer,
            reason=answers.Reason.STOPPING,
            retry_after_s=_STOPPING_RETRY_S,
        )

    async def _run(self, request, call: calls.Call) -> answers.Answer:
        running = defer.Deferred.fromCoroutine(self._runner.run(call))
        self.in_flight_by_id[call.run_id] = running
        request.notifyFinish().addErrback(lambda _: running.cancel())
        started_at = self._clock.monotonic()
        try:
            answer = await running
        finally:
            del self.in_flight_by_id[call.run_id]
        self._latencies.record(
            histograms.MetricKey(call.member.member_id, call.class_id),
            answer,
            self._clock.monotonic() - started_at,
        )
        return answer

    def _validated_call(
        self, request, entry_id: str, request_id: str
    ) -> calls.Call:
        if self._stopping:
            raise exceptions.RequestError(
                'host is stopping', 503, answers.Reason.STOPPING
            )
        if not self._can_run_calls():
            raise exceptions.RequestError(
                'host is not ready', 503, answers.Reason.HOST_NOT_READY
            )
        sink = sinks.CallerSink(request, self._settings.stream_buffer_bytes)
        return self._validator.validate(
            request, entry_id, request_id, self._view(), sink
        )


def _request_id(request) -> str:
    requested_id = request.getHeader('walnutport-request-id') or ''
    if requested_id.isprintable() and 0 < len(requested_id) <= _MAX_ID_CHARS:
        return requested_id
    return secrets.token_hex(8)
