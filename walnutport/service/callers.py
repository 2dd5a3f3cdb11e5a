"""HTTP interface for callers."""

from collections.abc import Callable
import logging
import secrets

import klein
from twisted.internet import defer

from walnutport.catalogue import fold
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.service import answer_format
from walnutport.service import caller_checks
from walnutport.service import calls
from walnutport.service import pipeline

__all__ = ['CallerApi']

LOG = logging.getLogger(__name__)
PREFIX = 'callers:'

_MAX_ID_CHARS = 128


class EventSink:
    """Writes events to a caller."""

    def __init__(self, request) -> None:
        self._request = request
        self.started = False

    def start(self) -> None:
        """Send the head of the answer, before the first event."""
        if not self.started:
            self.started = True
            self._request.setHeader('content-type', caller_checks.EVENT_STREAM)
            self._request.setHeader('cache-control', 'no-store')

    def write(self, data: bytes) -> None:
        """Pass on whole events."""
        self.start()
        self._request.write(data)


class CallerApi:
    """Validates calls, runs them and writes their answers.

    :param view: returns the catalogue in force.
    :param is_ready: returns whether the host takes new calls.
    """

    app = klein.Klein()

    def __init__(
        self,
        settings: config.CallerSettings,
        view: Callable[[], fold.CatalogueView],
        is_ready: Callable[[], bool],
        runner: pipeline.PipelineRunner,
        clock: interfaces.Clock,
    ) -> None:
        self._checks = caller_checks.CallerChecks(settings, clock)
        self._view = view
        self._is_ready = is_ready
        self._runner = runner
        self.in_flight_by_id: dict[str, defer.Deferred] = {}

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
        try:
            if not self._is_ready():
                raise exceptions.RequestError(
                    'host is not ready', 503, answers.Reason.HOST_NOT_READY
                )
            call = self._checks.call_of(
                request,
                entry_id,
                request_id,
                self._view(),
                EventSink(request),
            )
        except exceptions.RequestError as error:
            answer = answers.Answer(
                answers.Outcome.NOT_RUN,
                answers.Reason(error.reason),
                detail=str(error),
                status=error.status,
            )
            return answer_format.write_answer(request, request_id, answer)
        answer = await self._run(request, call)
        if call.sink is not None and call.sink.started:
            return (
                b'event: answer\ndata: %b\n\n'
                % answer_format.encode_answer(request_id, answer)
            )
        return answer_format.write_answer(request, request_id, answer)

    async def _run(self, request, call: calls.Call) -> answers.Answer:
        running = defer.Deferred.fromCoroutine(self._runner.run(call))
        key = f'{call.request_id}/{secrets.token_hex(4)}'
        self.in_flight_by_id[key] = running
        request.notifyFinish().addErrback(lambda _: running.cancel())
        try:
            return await running
        finally:
            del self.in_flight_by_id[key]


def _request_id(request) -> str:
    given = request.getHeader('walnutport-request-id') or ''
    if given.isprintable() and 0 < len(given) <= _MAX_ID_CHARS:
        return given
    return secrets.token_hex(8)
