"""HTTP interface for callers."""

from collections.abc import Callable
import dataclasses
import hashlib
import hmac
import logging
import secrets

import klein
import msgspec
from twisted.internet import defer
from twisted.web import http

from walnutport.catalogue import fold
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.metrics import histograms
from walnutport.service import calls
from walnutport.service import pipeline
from walnutport.service import sinks
from walnutport import world

__all__ = ['CallerApi', 'encode_answer']

LOG = logging.getLogger(__name__)
PREFIX = 'callers:'

_EVENT_STREAM = 'text/event-stream'
_MAX_ID_CHARS = 128


class CallerApi:
    """Validates calls, runs them and writes their answers.

    :param view: returns the catalogue in force.
    :param is_ready: returns what the balancer is told.
    :param takes_calls: returns whether calls can be run, which holds for a
        while after readiness went false.
    """

    app = klein.Klein()

    def __init__(
        self,
        settings: config.CallerSettings,
        view: Callable[[], fold.CatalogueView],
        is_ready: Callable[[], bool],
        takes_calls: Callable[[], bool],
        runner: pipeline.PipelineRunner,
        clock: interfaces.Clock,
        latencies: histograms.LatencyHistograms,
    ) -> None:
        self._latencies = latencies
        self._settings = settings
        self._view = view
        self._is_ready = is_ready
        self._takes_calls = takes_calls
        self._stopping = False
        self._runner = runner
        self._clock = clock
        self.in_flight_by_id: dict[str, defer.Deferred] = {}

    def stop(self) -> None:
        """Refuse calls from now on; those in flight go on."""
        self._stopping = True

    @app.route('/healthz')
    def healthz(self, request) -> bytes:
        """Tell that the process runs."""
        return b'ok\n'

    @app.route('/readyz')
    def readyz(self, request) -> bytes:
        """Tell the balancer whether the host takes new calls."""
        if self._is_ready():
            return b'ready\n'
        request.setResponseCode(503)
        return b'not ready\n'

    @app.route('/v1/entries/<string:entry_id>', methods=['POST'])
    async def run_entry(self, request, entry_id: str) -> bytes:
        """Run a request through the pipeline of an entry."""
        request_id = _request_id(request)
        request.setHeader('walnutport-request-id', request_id)
        if not self._is_ready():
            # The caller sends its next request to another host.
            request.setHeader('connection', 'close')
            request.channel.persistent = False
        try:
            call = self._validate(request, entry_id, request_id)
        except exceptions.RequestError as error:
            answer = answers.Answer(
                answers.Outcome.NOT_RUN,
                answers.Reason(error.reason),
                detail=str(error),
                status=error.status,
            )
            return _write(request, request_id, answer)
        answer = await self._run(request, call)
        if call.sink is not None and call.sink.started:
            call.sink.finish(cut=self._clock.monotonic() >= call.deadline)
            # The done event has carried the output already.
            brief = dataclasses.replace(answer, output=b'')
            return b'event: answer\ndata: %b\n\n' % encode_answer(
                request_id, brief
            )
        return _write(request, request_id, answer)

    async def _run(self, request, call: calls.Call) -> answers.Answer:
        running = defer.Deferred.fromCoroutine(self._runner.run(call))
        key = f'{call.request_id}/{secrets.token_hex(4)}'
        self.in_flight_by_id[key] = running
        request.notifyFinish().addErrback(lambda _: running.cancel())
        started = self._clock.monotonic()
        try:
            answer = await running
        finally:
            del self.in_flight_by_id[key]
        self._latencies.record(
            histograms.MetricKey(call.member.member_id, call.class_id),
            answer,
            self._clock.monotonic() - started,
        )
        return answer

    def _validate(self, request, entry_id: str, request_id: str) -> calls.Call:
        if self._stopping:
            raise exceptions.RequestError(
                'host is stopping', 503, answers.Reason.STOPPING
            )
        if not self._takes_calls():
            raise exceptions.RequestError(
                'host is not ready', 503, answers.Reason.HOST_NOT_READY
            )
        view = self._view()
        member = _authenticate(view, request)
        contract = view.contracts_by_id.get(entry_id)
        pipeline_ = (
            view.pipelines_by_id.get(contract.pipeline_id)
            if contract
            else None
        )
        if contract is None or pipeline_ is None:
            raise exceptions.RequestError(
                f'no entry {entry_id!r}', 404, answers.Reason.UNKNOWN_ENTRY
            )
        if contract.callers and member.member_id not in contract.callers:
            raise exceptions.RequestError(
                'entry is closed to this member',
                403,
                answers.Reason.FORBIDDEN,
            )
        body = self._body(request, contract)
        key = request.getHeader('idempotency-key') or ''
        if pipeline_.first_unrepeatable() is not None and not key:
            raise exceptions.RequestError(
                'this entry needs an Idempotency-Key header',
                400,
                answers.Reason.KEY_MISSING,
            )
        accept = request.getHeader('accept') or ''
        return calls.Call(
            request_id=request_id,
            member=member,
            contract=contract,
            pipeline=pipeline_,
            class_id=request.getHeader('walnutport-class')
            or contract.class_id,
            body=body,
            deadline=self._deadline(request, contract),
            key=key,
            sink=self._sink(request) if _EVENT_STREAM in accept else None,
        )

    def _sink(self, request) -> sinks.CallerSink:
        return sinks.CallerSink(request, self._settings.stream_buffer_bytes)

    def _body(self, request, contract: world.Contract) -> bytes:
        limit = min(
            self._settings.max_body_bytes, contract.limits.max_body_bytes
        )
        body = request.content.read(limit + 1)
        if len(body) > limit:
            raise exceptions.RequestError(
                f'body exceeds {limit} bytes',
                413,
                answers.Reason.BODY_TOO_LARGE,
            )
        try:
            msgspec.json.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise exceptions.RequestError(
                f'body is not JSON: {error}', 400, answers.Reason.BAD_REQUEST
            ) from None
        return body

    def _deadline(self, request, contract: world.Contract) -> float:
        value = request.getHeader('walnutport-deadline-ms')
        if value is None:
            deadline_ms = contract.limits.deadline_ms
        else:
            try:
                deadline_ms = int(value)
            except ValueError:
                raise exceptions.RequestError(
                    'Walnutport-Deadline-Ms is not a whole number',
                    400,
                    answers.Reason.BAD_REQUEST,
                ) from None
        if deadline_ms <= 0:
            raise exceptions.RequestError(
                'deadline is past', 400, answers.Reason.DEADLINE_PAST
            )
        deadline_ms = min(deadline_ms, self._settings.max_deadline_ms)
        return self._clock.monotonic() + deadline_ms / 1000


def encode_answer(request_id: str, answer: answers.Answer) -> bytes:
    """Return the JSON text of an answer."""
    fields: dict[str, object] = {
        'request_id': request_id,
        'outcome': answer.outcome.value,
        'reason': answer.reason.value,
    }
    if answer.output:
        fields['output'] = msgspec.Raw(answer.output)
    if answer.detail:
        fields['detail'] = answer.detail
    if answer.retry_after_s > 0:
        fields['retry_after_ms'] = int(answer.retry_after_s * 1000)
    return msgspec.json.encode(fields)


def _write(request, request_id: str, answer: answers.Answer) -> bytes:
    request.setResponseCode(answer.http_status)
    request.setHeader('content-type', 'application/json')
    request.setHeader('walnutport-outcome', answer.outcome.value)
    if answer.retry_after_s > 0:
        request.setHeader(
            'retry-after', str(max(1, round(answer.retry_after_s)))
        )
    return encode_answer(request_id, answer)


def _request_id(request) -> str:
    given = request.getHeader('walnutport-request-id') or ''
    if given.isprintable() and 0 < len(given) <= _MAX_ID_CHARS:
        return given
    return secrets.token_hex(8)


def _authenticate(view: fold.CatalogueView, request) -> world.Member:
    """Return the member that the bearer token belongs to.

    Every digest is compared in constant time, so that the time of an answer
    tells nothing about the digests.

    :raises RequestError: if the token belongs to no member.
    """
    header = request.getHeader('authorization') or ''
    scheme, _, token = header.partition(' ')
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    found = None
    if scheme.lower() == 'bearer':
        for member in view.members_by_id.values():
            for known in member.token_digests:
                if hmac.compare_digest(known, digest):
                    found = member
    if found is None:
        raise exceptions.RequestError(
            'unknown bearer token',
            http.UNAUTHORIZED,
            answers.Reason.UNAUTHORIZED,
        )
    return found
