"""Targets of the platform stand-in."""

import contextlib
import dataclasses
import secrets
import time

import klein
import msgspec
from twisted.internet import interfaces
from twisted.internet import reactor
from twisted.internet import task
from twisted.protocols import policies
from twisted.web import server
import zope.interface

from standins import platform_config
from standins import target_records

__all__ = [
    'CUT_MODES',
    'LONG_EVENTS',
    'Run',
    'STALLING_MODES',
    'Target',
    'event_bytes',
    'event_word',
]

#: What an engine that brings no event sends again and again, by mode.
STALLING_MODES = {'comments': b': wait\n\n', 'half_event': b'data: x\n'}

#: Modes in which answers break off, by the framing of the answer: at its
#: close, one byte before the end, and before the end of its last chunk.
CUT_MODES = ('cut_close', 'cut_length', 'cut_chunks')

#: Events of an engine in the modes in which it sends large events as fast as
#: its caller takes them, by mode.
LONG_EVENTS = {'endless_events': 1_000_000, 'long_events': 100}

_LONG_EVENT_BYTES = 30_000
# Work of a cold target takes this many times as long.
_COLD_SLOWNESS = 2.0
# A frozen target answers nothing for this time.
_FROZEN_S = 60.0
_REQUEST_ID_HEADER = 'walnutport-request-attempt-id'
_PROMPT_HEADER = 'walnutport-prompt-prefix'


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request or a stage piece that a target has started.

    :param stage: number of the stage, or -1 for a request.
    :param piece: number of the piece, or -1 for a request.
    :param begun_at: time on the monotonic clock of the machine.
    """

    target_id: str
    request_id: str
    headers: dict[str, str]
    body: str
    stage: int = -1
    piece: int = -1
    begun_at: float = dataclasses.field(default_factory=time.monotonic)


@zope.interface.implementer(interfaces.IPullProducer)
class _LongEvents:
    """Sends large events, each once the one before is written."""

    def __init__(self, request, count: int) -> None:
        self._request = request
        self._count = count
        self._number = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the next event, or end the stream."""
        if self._number == self._count:
            self._request.unregisterProducer()
            self._request.finish()
            return
        self._number += 1
        self._request.write(
            b'id: %d\ndata: %b\n\n' % (self._number, b'x' * _LONG_EVENT_BYTES)
        )

    def stopProducing(self) -> None:  # noqa: N802
        """Handle the end of the connection."""


class Target:
    """One target, which listens on its own port.

    :param platform: the stand-in that the target belongs to.
    """

    app = klein.Klein()

    def __init__(self, platform, plan: platform_config.TargetPlan) -> None:
        self._platform = platform
        self._plan = plan
        self._handles: set[str] = set()
        # Its connections end with a run, also those without a request yet.
        self._site = policies.WrappingFactory(server.Site(self.app.resource()))
        self._listener = None
        self._starts = 1
        self._running = 0
        self._rejected_at: list[float] = []

    def listen(self) -> None:
        """Listen on the target's port."""
        self._listener = reactor.listenTCP(
            self._plan.port,
            self._site,
            interface=self._platform.settings.ip,
        )

    def crash(self) -> None:
        """Reset all channels and refuse new ones for some time."""
        if self._listener is None:
            return
        self._platform.crashes.append(time.monotonic())
        self._platform.target_records.cold_until_by_target.pop(
            self._plan.target_id, None
        )
        self._listener.stopListening()
        self._listener = None
        for connection in list(self._site.protocols):
            transport = connection.transport
            if self._platform.crashes_unframed:
                transport.loseConnection()
            else:
                transport.abortConnection()
        reactor.callLater(self._platform.settings.crash_s, self._start_again)

    def upgrade(self, version: str) -> None:
        """Stop, and start again under the same id with another version."""
        self._plan = dataclasses.replace(self._plan, version=version)
        self.crash()

    def _start_again(self) -> None:
        self._starts += 1
        self._platform.starts_by_target[self._plan.target_id] = self._starts
        self.listen()
        if self._platform.register_after_s:
            reactor.callLater(
                self._platform.register_after_s, self._register, self._starts
            )
        else:
            self._register(self._starts)

    def _register(self, starts: int) -> None:
        """Write the entry of a run, unless it has ended meanwhile."""
        if self._listener is None or starts != self._starts:
            return
        rules = self._platform.cold_rules_by_service.get(self._plan.service)
        if rules is None:
            self._platform.target_records.write(
                self._plan, 'ready', self._starts
            )
        else:
            self._platform.target_records.make_cold(
                self._plan, rules[1], self._starts
            )

    @app.route('/report', methods=['GET'])
    def report(self, request) -> bytes:
        """Tell what an engine or a stage target reports of itself."""
        self._platform.reports += 1
        expected = request.getHeader('walnutport-expect-instance')
        if expected not in (None, self._plan.target_id):
            request.setResponseCode(421)
            return b''
        if self._plan.kind == 'plain':
            request.setResponseCode(400)
            request.setHeader('walnutport-not-executed', '1')
            return b''
        request.setHeader('content-type', 'application/json')
        return msgspec.json.encode(
            {
                'sequence': 0,
                'queued': 0,
                'active': self._running,
                'born': target_records.start_of(self._starts),
            }
        )

    @app.route('/stage-run', methods=['POST'])
    async def stage_run(self, request) -> bytes:
        """Run the stage pieces of a call."""
        items = msgspec.json.decode(request.content.read(), type=dict)['items']
        if not self._accept_or_refuse(request):
            return b''
        for item in items:
            self._platform.runs.append(
                Run(
                    self._plan.target_id,
                    item['id'],
                    {},
                    ','.join(item.get('inputs') or [item.get('key', '')]),
                    item['stage'],
                    item['piece'],
                )
            )
        await self._sleep(self._platform.settings.call_ms)
        self._set_load(request)
        outcomes = []
        for item in items:
            handle = (
                f'{self._platform.settings.ip}:{self._plan.port}/'
                f'{item["id"]}.{item["stage"]}.{item["piece"]}'
            )
            made = self._platform.made_by_handle
            made[handle] += 1
            if made[handle] > 1:
                handle += f'.{made[handle]}'
            self._platform.held.add(handle)
            outcomes.append({'handle': handle})
        return msgspec.json.encode({'items': outcomes})

    @app.route('/stage-free', methods=['POST'])
    def stage_free(self, request) -> bytes:
        """Record the handles of freed results."""
        if not self._accept_or_refuse(request):
            return b''
        free_request = msgspec.json.decode(request.content.read(), type=dict)
        self._platform.freed.extend(free_request['handles'])
        self._platform.held.difference_update(free_request['handles'])
        return b'{}'

    @app.route('/', branch=True)
    async def run(self, request) -> bytes:
        """Run a request."""
        if not self._accept_or_refuse(request):
            return b''
        body = request.content.read()
        if self._has_lost_inputs(request):
            request.setResponseCode(409)
            request.setHeader('walnutport-not-executed', '1')
            return b''
        request_id = request.getHeader(_REQUEST_ID_HEADER) or ''
        header_names = [
            name.decode().lower()
            for name, _ in request.requestHeaders.getAllRawHeaders()
        ]
        self._platform.runs.append(
            Run(
                self._plan.target_id,
                request_id,
                {name: request.getHeader(name) or '' for name in header_names},
                body.decode('latin-1'),
            )
        )
        run_number = len(self._platform.runs) - 1
        request.setHeader(_REQUEST_ID_HEADER, request_id)
        request.setHeader('walnutport-response-seal', secrets.token_hex(4))
        self._set_load(request)
        self._running += 1
        try:
            if self._mode() in CUT_MODES:
                return await self._cut_off(request)
            if self._mode() == 'frozen':
                await task.deferLater(reactor, _FROZEN_S)
            if self._mode() in LONG_EVENTS:
                return await self._send_long_events(request)
            if self._plan.kind == 'engine':
                return await self._stream(request)
            await self._sleep(self._platform.settings.work_ms)
        finally:
            # Klein cancels the work when the connection closes.
            self._running -= 1
            self._platform.ended_at_by_run[run_number] = time.monotonic()
        if self._mode() == 'reset_after':
            request.transport.abortConnection()
            return b''
        if self._mode() == 'fail':
            request.setResponseCode(500)
            return b'failed'
        return f'{request_id} by {self._plan.target_id}'.encode()

    async def _send_long_events(self, request) -> bytes:
        """Send events, also from a target that is no engine."""
        if self._plan.kind == 'engine':
            request.setHeader('content-type', 'text/event-stream')
        request.registerProducer(
            _LongEvents(request, LONG_EVENTS[self._mode()]), False
        )
        # Klein would finish the answer.
        with contextlib.suppress(Exception):
            await request.notifyFinish()
        return b''

    def _has_lost_inputs(self, request) -> bool:
        """Return whether a result that a request needs is held no more."""
        inputs = request.getHeader('walnutport-inputs')
        if not inputs:
            return False
        handles = set(inputs.split(','))
        if self._platform.losses_left:
            self._platform.losses_left -= 1
            self._platform.held -= handles
        return not handles <= self._platform.held

    async def _cut_off(self, request) -> bytes:
        """Break off an answer, in the middle of it or just before its end."""
        mode = self._mode()
        if self._plan.kind == 'engine':
            request.setHeader('content-type', 'text/event-stream')
            body = event_bytes(1) + event_bytes(2) + event_bytes(3)
        else:
            body = b'half of an answer'
        framing = {
            'cut_length': b'Content-Length: %d\r\n' % (len(body) + 1),
            'cut_chunks': b'Transfer-Encoding: chunked\r\n',
        }.get(mode, b'')
        if mode == 'cut_chunks':
            body = b'%x\r\n%b\r\n0\r\n' % (len(body), body)
        request.transport.write(_unframed_head(request)[:-2] + framing)
        request.transport.write(b'\r\n' + body)
        await self._sleep(self._platform.settings.event_ms)
        if mode == 'cut_close':
            self._platform.crashes_unframed = True
            self.crash()
        elif mode == 'cut_length':
            request.transport.loseConnection()
        else:
            request.transport.abortConnection()
        # Klein would finish the answer.
        with contextlib.suppress(Exception):
            await request.notifyFinish()
        return b''

    async def _stream(self, request) -> bytes:
        request.setHeader('content-type', 'text/event-stream')
        parts = [
            part.partition(':')[0]
            for part in (request.getHeader(_PROMPT_HEADER) or '').split(',')
        ]
        if self._platform.crashing_parts.intersection(parts[:-1]):
            await self._sleep(self._platform.settings.event_ms)
            for number in range(1, self._platform.events_before_crash + 1):
                request.write(event_bytes(number, self._plan.version))
                await self._sleep(self._platform.settings.event_ms)
            begun = event_bytes(
                self._platform.events_before_crash + 1, self._plan.version
            )[:8]
            if self._platform.crashes_unframed:
                request.transport.write(_unframed_head(request) + begun)
            else:
                request.write(begun)
            await self._sleep(self._platform.crash_delay_ms)
            self.crash()
            return server.NOT_DONE_YET
        while self._mode() in STALLING_MODES:
            request.write(STALLING_MODES[self._mode()])
            await self._sleep(self._platform.settings.event_ms)
        after = int(request.getHeader('last-event-id') or 0)
        if self._platform.is_unframed:
            return await self._stream_unframed(request, after)
        for number in range(after + 1, self._platform.settings.events + 1):
            await self._sleep(self._platform.settings.event_ms)
            if number == 4 and self._mode().startswith('reset_midway'):
                if self._mode() == 'reset_midway_once':
                    self._platform.mode_by_target.clear()
                request.write(event_bytes(number, self._plan.version)[:8])
                await self._sleep(5.0)
                request.transport.abortConnection()
                return b''
            request.write(event_bytes(number, self._plan.version))
        return b''

    async def _stream_unframed(self, request, after: int) -> bytes:
        """Send events without a length or chunks, and close."""
        request.transport.write(_unframed_head(request))
        for number in range(after + 1, self._platform.settings.events + 1):
            await self._sleep(self._platform.settings.event_ms)
            request.transport.write(event_bytes(number, self._plan.version))
        request.transport.loseConnection()
        # Klein would finish the answer.
        with contextlib.suppress(Exception):
            await request.notifyFinish()
        return b''

    def _accept_or_refuse(self, request) -> bool:
        self._platform.arrivals[self._plan.target_id].append(time.monotonic())
        own_headers = self._platform.headers_by_target.get(
            self._plan.target_id, {}
        )
        for name, value in own_headers.items():
            request.setHeader(name, value)
        expected = request.getHeader('walnutport-expect-instance')
        if expected != self._plan.target_id:
            request.setResponseCode(421)
            request.setHeader('walnutport-not-executed', '1')
            return False
        if self._is_pushed_while_cold():
            request.transport.abortConnection()
            return False
        if self._mode() == 'full' or self._is_full_and_brittle(request):
            request.setResponseCode(503)
            request.setHeader('walnutport-not-executed', '1')
            return False
        if self._mode() == 'reset':
            request.transport.abortConnection()
            return False
        return True

    def _is_full_and_brittle(self, request) -> bool:
        """Return whether a brittle target has no room for a request.

        The target crashes if it has to reject too many in a second.
        """
        limit = self._platform.rejection_limit_by_service.get(
            self._plan.service
        )
        if limit is None:
            return False
        request.setHeader('server-brittle', str(limit))
        if self._running < self._plan.slots:
            return False
        now = time.monotonic()
        self._rejected_at = [
            rejected_at
            for rejected_at in [*self._rejected_at, now]
            if now - rejected_at < 1.0
        ]
        if len(self._rejected_at) > limit:
            self._rejected_at.clear()
            reactor.callLater(0, self.crash)
        return True

    def _is_pushed_while_cold(self) -> bool:
        """Count a request at a cold target; return whether it crashes."""
        target_id = self._plan.target_id
        rules = self._platform.cold_rules_by_service.get(self._plan.service)
        if rules is None or not self._platform.target_records.cold_left_s(
            target_id
        ):
            return False
        now = time.monotonic()
        arrivals = self._platform.cold_arrivals[target_id]
        arrivals.append(now)
        if sum(now - at < 1.0 for at in arrivals[-100:]) <= rules[0]:
            return False
        reactor.callLater(0, self.crash)
        return True

    def _mode(self) -> str:
        return self._platform.mode_by_target.get(self._plan.target_id, 'ok')

    async def _sleep(self, duration_ms: float) -> None:
        slowness = self._platform.speeds.slowness(
            self._plan.target_id, time.monotonic()
        )
        if self._platform.target_records.cold_left_s(self._plan.target_id):
            slowness *= _COLD_SLOWNESS
        await task.deferLater(reactor, slowness * duration_ms / 1000)

    def _set_load(self, request) -> None:
        """Add the load to the headers of a response."""
        figure = self._platform.speeds.load_figure(
            self._plan.target_id, time.monotonic()
        )
        request.setHeader(
            'walnutport-server-load', f'1,0,{self._plan.slots}{figure}'
        )


def _unframed_head(request) -> bytes:
    """Return the head of an answer that ends with its channel."""
    headers = b''.join(
        b'%s: %s\r\n' % (name, value)
        for name, values in request.responseHeaders.getAllRawHeaders()
        for value in values
    )
    return b'HTTP/1.1 200 OK\r\n' + headers + b'\r\n'


def event_bytes(number: int, version: str = 'v1') -> bytes:
    """Return an event of an engine's stream, numbered from 1.

    What an engine writes depends on the version of its software.
    """
    name = event_word(version).encode()
    return b'id: %d\ndata: %s %d\n\n' % (number, name, number)


def event_word(version: str) -> str:
    """Return the word in the events of a software version."""
    return 'token' if version == 'v1' else version
