"""Stand-in of a platform: its store and its targets in one process.

Tests change the behaviour of a target and read what the targets ran through
``/control`` and ``/runs`` at the address of the store.
"""

import base64
import collections
import dataclasses
import secrets
import struct
import time

import klein
import msgspec
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import server

__all__ = [
    'PlatformSettings',
    'PlatformSite',
    'STREAM_EVENTS',
    'TargetPlan',
    'event_bytes',
]

#: Events of a whole stream, if nothing else is set.
STREAM_EVENTS = 6

_LONGEST_WAIT_S = 30.0
_POLL_S = 0.02
_ID = 'walnutport-request-attempt-id'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlan:
    """One target.

    :param kind: ``plain``, ``engine`` or ``stage``.
    :param announced_port: port that the target names in the store, where that
        is the one of a proxy; 0 for its own.
    """

    target_id: str
    service: str
    kind: str
    port: int
    data_centre: str = 'a'
    slots: int = 4
    announced_port: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of the stand-in.

    :param desired: the operator's document.
    :param work_ms: time of a request at a plain target.
    :param event_ms: time between two events of a stream.
    :param call_ms: time of a call to a stage target.
    """

    port: int
    desired: dict
    targets: tuple[TargetPlan, ...]
    ip: str = '127.0.0.1'
    work_ms: float = 20.0
    events: int = STREAM_EVENTS
    event_ms: float = 20.0
    call_ms: float = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Something that a target began to work on."""

    target_id: str
    request_id: str
    headers: dict[str, str]
    body: str
    stage: int = -1
    piece: int = -1


class PlatformSite:
    """Store of keyed topics, and the controls of the tests."""

    app = klein.Klein()

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.runs: list[Run] = []
        self.freed: list[str] = []
        self.mode_by_target: dict[str, str] = {}
        self.store_mode = 'ok'
        self._records: dict[str, list[tuple[str, bytes]]] = (
            collections.defaultdict(list)
        )
        self._append('keyed.op', 'config', settings.desired)
        for plan in settings.targets:
            self.register(plan, 'ready')
            _Target(self, plan).listen()

    def register(self, plan: TargetPlan, state: str) -> None:
        """Write what a target says of itself."""
        entry = {
            'service': plan.service,
            'address': (
                f'{self.settings.ip}:{plan.announced_port or plan.port}'
            ),
            'zone': plan.data_centre,
            'version': 'v1',
            'slots': plan.slots,
            'state': state,
            'coldMs': 0,
            'sequence': 1,
            'born': 1_700_000_000_000,
        }
        self._append('keyed.servers', plan.target_id, entry)

    @app.route('/log-newest')
    def newest(self, request) -> bytes:
        """Return the newest record of each key."""
        self._check_store(request)
        records = self._records[_query(request, 'topic')]
        newest = {
            key: (value, offset) for offset, (key, value) in enumerate(records)
        }
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (value, offset) in newest.items()
            if value
        ]
        return msgspec.json.encode(
            {'items': items, 'hasMore': False, 'end': len(records)}
        )

    @app.route('/log-read')
    async def read(self, request) -> bytes:
        """Return the records from an offset on."""
        self._check_store(request)
        records = self._records[_query(request, 'topic')]
        start = int(_query(request, 'from'))
        wait_s = min(_LONGEST_WAIT_S, int(_query(request, 'waitMs')) / 1000)
        ends_at = time.monotonic() + wait_s
        while len(records) <= start and time.monotonic() < ends_at:
            await task.deferLater(reactor, _POLL_S)
        parts = [struct.pack('>QQ', len(records), 0)]
        for key, value in records[start:]:
            content = bytes((len(key),)) + key.encode() + value
            parts.append(struct.pack('>I', len(content)) + content)
        return b''.join(parts)

    @app.route('/log-append', methods=['POST'])
    def append(self, request) -> bytes:
        """Append keyed records."""
        self._check_store(request)
        records = self._records[_query(request, 'topic')]
        data = request.content.read()
        position = 0
        first = len(records)
        while position < len(data):
            (length,) = struct.unpack_from('>I', data, position)
            content = data[position + 4 : position + 4 + length]
            position += 4 + length
            size = content[0]
            records.append(
                (content[1 : 1 + size].decode(), content[1 + size :])
            )
        return msgspec.json.encode({'offset': first, 'end': len(records)})

    @app.route('/control', methods=['POST'])
    def control(self, request) -> bytes:
        """Change the desired state, a target or the store."""
        wanted = msgspec.json.decode(request.content.read(), type=dict)
        if 'desired' in wanted:
            self._append('keyed.op', 'config', wanted['desired'])
        if 'store' in wanted:
            self.store_mode = wanted['store']
        self.mode_by_target.update(wanted.get('modes', {}))
        for plan in self.settings.targets:
            state = wanted.get('states', {}).get(plan.target_id)
            if state == 'gone':
                self._records['keyed.servers'].append((plan.target_id, b''))
            elif state:
                self.register(plan, state)
        return b'{}'

    @app.route('/runs')
    def list_runs(self, request) -> bytes:
        """Return what the targets ran and which results were freed."""
        return msgspec.json.encode({'runs': self.runs, 'freed': self.freed})

    def _append(self, topic: str, key: str, value: dict) -> None:
        self._records[topic].append((key, msgspec.json.encode(value)))

    def _check_store(self, request) -> None:
        if self.store_mode == 'busy':
            request.setResponseCode(503)
            raise _Refused
        if self.store_mode == 'reset':
            request.transport.abortConnection()
            raise _Refused

    @app.handle_errors
    def refused(self, request, failure) -> bytes:
        """Answer what was refused."""
        failure.trap(_Refused)
        return b''


class _Refused(Exception):
    pass


class _Target:
    """One target on its own port."""

    app = klein.Klein()

    def __init__(self, site: PlatformSite, plan: TargetPlan) -> None:
        self._site = site
        self._plan = plan
        self._handles: set[str] = set()

    def listen(self) -> None:
        """Listen on the target's port."""
        reactor.listenTCP(
            self._plan.port,
            server.Site(self.app.resource()),
            interface=self._site.settings.ip,
        )

    @app.route('/stage-run', methods=['POST'])
    async def stage_run(self, request) -> bytes:
        """Run the pieces of a call."""
        items = msgspec.json.decode(request.content.read(), type=dict)['items']
        if not self._accepts(request):
            return b''
        for item in items:
            self._site.runs.append(
                Run(
                    self._plan.target_id,
                    item['id'],
                    {},
                    ','.join(item.get('inputs') or [item.get('key', '')]),
                    item['stage'],
                    item['piece'],
                )
            )
        await self._sleep(self._site.settings.call_ms)
        outcomes = []
        for item in items:
            handle = (
                f'{self._site.settings.ip}:{self._plan.port}/'
                f'{item["id"]}.{item["stage"]}.{item["piece"]}'
            )
            outcomes.append({'handle': handle})
        return msgspec.json.encode({'items': outcomes})

    @app.route('/stage-free', methods=['POST'])
    def stage_free(self, request) -> bytes:
        """Forget results."""
        found = msgspec.json.decode(request.content.read(), type=dict)
        self._site.freed.extend(found['handles'])
        return b'{}'

    @app.route('/', branch=True)
    async def run(self, request) -> bytes:
        """Run a request."""
        if not self._accepts(request):
            return b''
        body = request.content.read()
        request_id = request.getHeader(_ID) or ''
        names = [
            name.decode().lower()
            for name, _ in request.requestHeaders.getAllRawHeaders()
        ]
        self._site.runs.append(
            Run(
                self._plan.target_id,
                request_id,
                {name: request.getHeader(name) or '' for name in names},
                body.decode('latin-1'),
            )
        )
        request.setHeader(_ID, request_id)
        request.setHeader('walnutport-response-seal', secrets.token_hex(4))
        request.setHeader('walnutport-server-load', f'1,0,{self._plan.slots}')
        if self._plan.kind == 'engine':
            return await self._stream(request)
        await self._sleep(self._site.settings.work_ms)
        if self._mode() == 'reset_after':
            request.transport.abortConnection()
            return b''
        if self._mode() == 'fail':
            request.setResponseCode(500)
            return b'failed'
        return f'{request_id} by {self._plan.target_id}'.encode()

    async def _stream(self, request) -> bytes:
        request.setHeader('content-type', 'text/event-stream')
        after = int(request.getHeader('last-event-id') or 0)
        for number in range(after + 1, self._site.settings.events + 1):
            await self._sleep(self._site.settings.event_ms)
            if number == 4 and self._mode().startswith('reset_midway'):
                if self._mode() == 'reset_midway_once':
                    self._site.mode_by_target.clear()
                request.write(b'id: 4\nda')
                await self._sleep(5.0)
                request.transport.abortConnection()
                return b''
            request.write(event_bytes(number))
        return b''

    def _accepts(self, request) -> bool:
        expected = request.getHeader('walnutport-expect-instance')
        if expected != self._plan.target_id:
            request.setResponseCode(421)
            request.setHeader('walnutport-not-executed', '1')
            return False
        if self._mode() == 'full':
            request.setResponseCode(503)
            request.setHeader('walnutport-not-executed', '1')
            return False
        if self._mode() == 'reset':
            request.transport.abortConnection()
            return False
        return True

    def _mode(self) -> str:
        return self._site.mode_by_target.get(self._plan.target_id, 'ok')

    async def _sleep(self, time_ms: float) -> None:
        await task.deferLater(reactor, time_ms / 1000)


def event_bytes(number: int) -> bytes:
    """Return an event of the streams of engines, counted from 1."""
    return b'id: %d\ndata: token %d\n\n' % (number, number)


def _query(request, name: str) -> str:
    return request.args[name.encode()][0].decode()
