"""Stand-in for a target: a stage service or a model engine.

The output of a stage contains the nonce of the request and the list of the
stages that ran, so the checker can match an answer to its request. An input
with the key ``crash`` ends the process, like a request that crashes its
target.
"""

import dataclasses
import os
import secrets
import time

import klein
import msgspec
from twisted.internet import reactor
from twisted.internet import task

from standins import ledger
from standins import priority_slots

__all__ = ['TargetServer', 'TargetServerSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class TargetServerSettings:
    """Settings of a target.

    :param slots: requests that run at the same time.
    :param service_ms: time that one request occupies a slot, without the
        events of a stream.
    :param events: events of a complete stream.
    :param event_ms: time between two events of a stream.
    :param repeatable: whether a stage may be run again for one request.
    """

    port: int
    target_id: str
    ledger_folder: str
    ip: str = '127.0.0.1'
    slots: int = 4
    service_ms: float = 10.0
    events: int = 16
    event_ms: float = 5.0
    repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class TargetBehaviour:
    """Behaviour that a test sets.

    :param slowdown: factor on the times of requests and stream events.
    :param leaving: whether the target reports that it is leaving.
    """

    slowdown: float = 1.0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _RunRequest:
    stage: str
    input: dict
    model: str = ''
    resume_from: int = 0


class TargetServer:
    """Runs stages in a fixed number of slots, highest priority first."""

    app = klein.Klein()

    def __init__(
        self, settings: TargetServerSettings, event_ledger: ledger.Ledger
    ) -> None:
        self._settings = settings
        self._ledger = event_ledger
        self._slots = priority_slots.PrioritySlots(settings.slots)
        self._behaviour = TargetBehaviour()
        self._incarnation = secrets.token_hex(4)
        self._running = 0
        self._queued = 0
        self._cancelled_attempts: set[str] = set()
        self._stage_by_attempt: dict[str, str] = {}

    @app.route('/v1/run', methods=['POST'])
    async def run(self, request) -> bytes:
        """Run a stage and return its output in one response."""
        run_request = self._accept_run(request)
        await self._run_in_slot(
            request, run_request, self._settings.service_ms
        )
        self._set_result_headers(request, tokens=self._settings.events)
        return msgspec.json.encode({'output': _output(run_request)})

    @app.route('/v1/generate', methods=['POST'])
    async def generate(self, request) -> bytes:
        """Run a stage and return an event stream."""
        run_request = self._accept_run(request)
        request.setHeader('content-type', 'text/event-stream')
        self._set_result_headers(request, tokens=0)
        await self._run_in_slot(
            request, run_request, self._settings.service_ms, self._stream
        )
        return b'event: done\ndata: %b\n\n' % msgspec.json.encode(
            {'output': _output(run_request), 'tokens': self._settings.events}
        )

    @app.route('/v1/cancel', methods=['POST'])
    def cancel(self, request) -> bytes:
        """Cancel an attempt."""
        cancel_request = msgspec.json.decode(request.content.read(), type=dict)
        attempt_id = cancel_request.get('attempt_id', '')
        self._cancelled_attempts.add(attempt_id)
        stage = self._stage_by_attempt.pop(attempt_id, '')
        if stage:
            self._ledger.record(
                ledger.EventKind.CANCELLED, stage=stage, attempt_id=attempt_id
            )
        return b'{}'

    @app.route('/v1/load')
    def get_load(self, request) -> bytes:
        """Return the load report."""
        return self._load_report().encode()

    @app.route('/control', methods=['POST'])
    def set_behaviour(self, request) -> bytes:
        """Set the behaviour."""
        self._behaviour = msgspec.json.decode(
            request.content.read(), type=TargetBehaviour
        )
        return b'{}'

    def _accept_run(self, request) -> _RunRequest:
        run_request = msgspec.json.decode(
            request.content.read(), type=_RunRequest
        )
        self._record(ledger.EventKind.STARTED, request, run_request)
        attempt_id = request.getHeader('walnutport-attempt-id') or ''
        self._stage_by_attempt[attempt_id] = run_request.stage
        return run_request

    async def _run_in_slot(
        self,
        request,
        run_request: _RunRequest,
        service_ms: float,
        write_stream=None,
    ) -> None:
        finished = request.notifyFinish()
        finished.addErrback(lambda _: None)
        self._queued += 1
        try:
            await self._slots.acquire(_priority(request))
        finally:
            self._queued -= 1
        self._running += 1
        try:
            if run_request.input.get('crash'):
                self._record(ledger.EventKind.CRASHED, request, run_request)
                os._exit(70)
            work_ms = self._work_ms(run_request, service_ms)
            delay_s = work_ms * self._behaviour.slowdown / 1000
            await task.deferLater(reactor, delay_s)
            if write_stream is not None:
                await write_stream(request, run_request)
            self._record(ledger.EventKind.FINISHED, request, run_request)
            attempt_id = request.getHeader('walnutport-attempt-id') or ''
            self._stage_by_attempt.pop(attempt_id, None)
        finally:
            self._running -= 1
            self._slots.release()

    def _work_ms(self, run_request: _RunRequest, service_ms: float) -> float:
        return service_ms

    async def _stream(self, request, run_request: _RunRequest) -> None:
        nonce = run_request.input.get('nonce', '')
        pad_bytes = run_request.input.get('pad_bytes', 0)
        padding_fields = {'pad': 'x' * pad_bytes} if pad_bytes else {}
        for index in range(run_request.resume_from, self._settings.events):
            attempt_id = request.getHeader('walnutport-attempt-id') or ''
            if attempt_id in self._cancelled_attempts:
                return
            if request._disconnected:
                return
            data = msgspec.json.encode(
                {'token': index, 'nonce': nonce, **padding_fields}
            )
            request.write(b'id: %d\ndata: %b\n\n' % (index, data))
            delay_s = self._settings.event_ms * self._behaviour.slowdown / 1000
            await task.deferLater(reactor, delay_s)

    def _record(self, kind, request, run_request: _RunRequest) -> None:
        self._ledger.record(
            kind,
            nonce=str(run_request.input.get('nonce', '')),
            stage=run_request.stage,
            entry_id=request.getHeader('walnutport-entry') or '',
            request_id=request.getHeader('walnutport-request-id') or '',
            attempt_id=request.getHeader('walnutport-attempt-id') or '',
            repeatable=self._settings.repeatable,
        )

    def _set_result_headers(self, request, tokens: int) -> None:
        attempt = request.getHeader('walnutport-attempt-id') or ''
        request.setHeader('walnutport-attempt-id', attempt)
        request.setHeader('walnutport-load', self._load_report())
        if tokens:
            request.setHeader('walnutport-tokens', str(tokens))

    def _load_report(self) -> str:
        state = 'leaving' if self._behaviour.leaving else 'live'
        return (
            f'running={self._running};queued={self._queued};'
            f'slots={self._settings.slots};'
            f'incarnation={self._incarnation};state={state}'
        )


def _priority(request) -> float:
    try:
        return float(request.getHeader('walnutport-priority') or 1.0)
    except ValueError:
        return 1.0


def _output(run_request: _RunRequest) -> dict:
    """Return the input with the stage added to its trace."""
    trace = [*run_request.input.get('trace', ()), run_request.stage]
    return {**run_request.input, 'trace': trace, 'time_s': time.monotonic()}
