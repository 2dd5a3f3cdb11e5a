"""Stand-in of a target: a stage service or a model engine.

The output of a stage carries the nonce of the request and the list of the
stages that ran, so a checker can tell whose answer it is. An input with the
key ``crash`` ends the process, as a request does that crashes its target.
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

    :param service_ms: time that one request takes in a slot.
    :param event_ms: time between two events of a stream.
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
class TargetControl:
    """Changes of behaviour that a test asks for."""

    slowdown: float = 1.0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _RunRequest:
    stage: str
    input: dict
    model: str = ''
    resume_from: int = 0


class TargetServer:
    """Runs stages in a fixed count of slots, highest priority first."""

    app = klein.Klein()

    def __init__(
        self, settings: TargetServerSettings, book: ledger.Ledger
    ) -> None:
        self._settings = settings
        self._book = book
        self._slots = priority_slots.PrioritySlots(settings.slots)
        self._control = TargetControl()
        self._incarnation = secrets.token_hex(4)
        self._running = 0
        self._queued = 0
        self._cancelled: set[str] = set()
        self._stages_by_attempt: dict[str, str] = {}

    @app.route('/v1/run', methods=['POST'])
    async def run(self, request) -> bytes:
        """Run a stage and answer in one piece."""
        wanted = self._accept(request)
        await self._with_slot(request, wanted, self._settings.service_ms)
        self._finish_headers(request, tokens=self._settings.events)
        return msgspec.json.encode({'output': _output(wanted)})

    @app.route('/v1/generate', methods=['POST'])
    async def generate(self, request) -> bytes:
        """Run a stage and answer with a stream of events."""
        wanted = self._accept(request)
        request.setHeader('content-type', 'text/event-stream')
        self._finish_headers(request, tokens=0)
        await self._with_slot(
            request, wanted, self._settings.service_ms, self._stream
        )
        return b'event: done\ndata: %b\n\n' % msgspec.json.encode(
            {'output': _output(wanted), 'tokens': self._settings.events}
        )

    @app.route('/v1/cancel', methods=['POST'])
    def cancel(self, request) -> bytes:
        """Cancel an attempt."""
        wanted = msgspec.json.decode(request.content.read(), type=dict)
        attempt_id = wanted.get('attempt_id', '')
        self._cancelled.add(attempt_id)
        stage = self._stages_by_attempt.pop(attempt_id, '')
        if stage:
            self._book.record(
                ledger.EventKind.CANCELLED, stage=stage, attempt_id=attempt_id
            )
        return b'{}'

    @app.route('/v1/load')
    def load(self, request) -> bytes:
        """Report the load."""
        return self._load_header().encode()

    @app.route('/control', methods=['POST'])
    def control(self, request) -> bytes:
        """Change the behaviour."""
        self._control = msgspec.json.decode(
            request.content.read(), type=TargetControl
        )
        return b'{}'

    def _accept(self, request) -> _RunRequest:
        wanted = msgspec.json.decode(request.content.read(), type=_RunRequest)
        self._record(ledger.EventKind.STARTED, request, wanted)
        attempt_id = request.getHeader('walnutport-attempt-id') or ''
        self._stages_by_attempt[attempt_id] = wanted.stage
        return wanted

    async def _with_slot(
        self, request, wanted: _RunRequest, service_ms: float, then=None
    ) -> None:
        gone = request.notifyFinish()
        gone.addErrback(lambda _: None)
        self._queued += 1
        try:
            await self._slots.acquire(_priority(request))
        finally:
            self._queued -= 1
        self._running += 1
        try:
            if wanted.input.get('crash'):
                self._record(ledger.EventKind.CRASHED, request, wanted)
                os._exit(70)
            work_ms = self._work_ms(wanted, service_ms)
            delay_s = work_ms * self._control.slowdown / 1000
            await task.deferLater(reactor, delay_s)
            if then is not None:
                await then(request, wanted)
            self._record(ledger.EventKind.FINISHED, request, wanted)
            attempt_id = request.getHeader('walnutport-attempt-id') or ''
            self._stages_by_attempt.pop(attempt_id, None)
        finally:
            self._running -= 1
            self._slots.release()

    def _work_ms(self, wanted: _RunRequest, service_ms: float) -> float:
        return service_ms

    async def _stream(self, request, wanted: _RunRequest) -> None:
        nonce = wanted.input.get('nonce', '')
        pad_bytes = wanted.input.get('pad_bytes', 0)
        padding = {'pad': 'x' * pad_bytes} if pad_bytes else {}
        for index in range(wanted.resume_from, self._settings.events):
            attempt_id = request.getHeader('walnutport-attempt-id') or ''
            if attempt_id in self._cancelled:
                return
            if request._disconnected:
                return
            data = msgspec.json.encode(
                {'token': index, 'nonce': nonce, **padding}
            )
            request.write(b'id: %d\ndata: %b\n\n' % (index, data))
            delay_s = self._settings.event_ms * self._control.slowdown / 1000
            await task.deferLater(reactor, delay_s)

    def _record(self, kind, request, wanted: _RunRequest) -> None:
        self._book.record(
            kind,
            nonce=str(wanted.input.get('nonce', '')),
            stage=wanted.stage,
            entry_id=request.getHeader('walnutport-entry') or '',
            request_id=request.getHeader('walnutport-request-id') or '',
            attempt_id=request.getHeader('walnutport-attempt-id') or '',
            repeatable=self._settings.repeatable,
        )

    def _finish_headers(self, request, tokens: int) -> None:
        attempt = request.getHeader('walnutport-attempt-id') or ''
        request.setHeader('walnutport-attempt-id', attempt)
        request.setHeader('walnutport-load', self._load_header())
        if tokens:
            request.setHeader('walnutport-tokens', str(tokens))

    def _load_header(self) -> str:
        state = 'leaving' if self._control.leaving else 'live'
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


def _output(wanted: _RunRequest) -> dict:
    """Return the input with the stage added to its trace."""
    trace = [*wanted.input.get('trace', ()), wanted.stage]
    return {**wanted.input, 'trace': trace, 'time_s': time.monotonic()}
