"""Stand-ins of the platform for the cases of the second review.

One asyncio program: the store (a log), workers, requesters and a balancer.
They need the standard library only. Entry hosts are processes of their own,
started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
NOT_EXECUTED = ('Walnutport-Not-Executed', '1')
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Record:
    """Writes ``record.txt``, with seconds since the start of the script."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


def find_ip() -> str:
    """Return a loopback address at which the metrics port is free."""
    for last in range(2, 250):
        ip = f'127.{os.getpid() % 200 + 20}.7.{last}'
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
            except OSError:
                continue
        if ip not in _GIVEN_IPS:
            _GIVEN_IPS.add(ip)
            return ip
    raise OSError('no free loopback address')


_GIVEN_IPS: set[str] = set()


def free_port(ip: str) -> int:
    """Return a free port below the ephemeral range."""
    for _ in range(2000):
        port = 10_000 + int.from_bytes(os.urandom(2), 'big') % 18_000
        if any((ip, port + more) in _GIVEN_PORTS for more in range(8)):
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        _GIVEN_PORTS.add((ip, port))
        return port
    raise OSError('no free port')


_GIVEN_PORTS: set[tuple[str, int]] = set()


# HTTP/1.1


class Message:
    """Head of a request or a response, with its body if it was read."""

    def __init__(self, first: str, headers: list[tuple[str, str]]) -> None:
        self.first = first
        self.headers = headers
        self.body = b''
        self.complete = False

    def get(self, name: str, default: str = '') -> str:
        """Return the value of a header."""
        for found, value in self.headers:
            if found.lower() == name.lower():
                return value
        return default

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(' ')[1])

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first.split(' ')[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head; raises IncompleteReadError at the end of the channel."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = text[:-4].split('\r\n')
    headers = []
    for line in lines:
        name, _, value = line.partition(':')
        headers.append((name, value.strip()))
    return Message(first, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read a body with a length or in chunks; keeps what has arrived."""
    if message.get('transfer-encoding').lower() == 'chunked':
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            message.body += data[:-2]
    else:
        message.body = await reader.readexactly(
            int(message.get('content-length', '0'))
        )
    message.complete = True


def encode(first: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return a message with a length."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a channel."""
    with contextlib.suppress(OSError, AttributeError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    writer.transport.abort()


# The store


class Store:
    """The platform's store: keyed and raw topics."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.port = free_port(ip)
        # Ports at which calls are not answered.
        self.silent_ports: set[int] = set()
        self._logs: dict[tuple[str, int], list[tuple[str, bytes]]] = {}
        self._grown = asyncio.Condition()

    async def start(self) -> None:
        """Listen."""
        await self.listen(self.port)

    async def listen(self, port: int) -> None:
        """Listen at a further port, for some machines."""
        await asyncio.start_server(self._serve, self.ip, port)

    async def append(self, topic: str, key: str, value: object) -> int:
        """Append a keyed record and return its offset; None has no value."""
        data = b'' if value is None else json.dumps(value).encode()
        async with self._grown:
            records = self._logs.setdefault((topic, 0), [])
            records.append((key, data))
            self._grown.notify_all()
            return len(records) - 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                port = writer.get_extra_info('sockname')[1]
                status, body = await self._answer(request)
                while port in self.silent_ports:
                    await asyncio.sleep(0.05)
                writer.write(
                    encode(f'HTTP/1.1 {status} X', [('Store-Era', '1')], body)
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        path, _, text = request.target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        key = (query.get('topic', ''), int(query.get('part', '0')))
        records = self._logs.setdefault(key, [])
        if path == '/log-newest':
            newest = {name: n for n, (name, _) in enumerate(records)}
            items = [
                {
                    'key': name,
                    'value': base64.b64encode(records[n][1]).decode(),
                    'offset': n,
                }
                for name, n in newest.items()
                if records[n][1]
            ]
            found = {'items': items, 'hasMore': False, 'end': len(records)}
            return 200, json.dumps(found).encode()
        if path == '/log-read':
            return await self._read(key, query)
        if path == '/log-append':
            first = len(records)
            if int(query.get('at', first)) != first:
                return 412, json.dumps({'end': first}).encode()
            data = request.body
            async with self._grown:
                while data:
                    (size,) = struct.unpack_from('>I', data)
                    content, data = data[4 : 4 + size], data[4 + size :]
                    name = ''
                    if key[0].startswith('keyed.'):
                        name = content[1 : 1 + content[0]].decode()
                        content = content[1 + content[0] :]
                    records.append((name, content))
                self._grown.notify_all()
            found = {'offset': first, 'end': len(records)}
            return 200, json.dumps(found).encode()
        return 404, b'{}'

    async def _read(
        self, key: tuple[str, int], query: dict[str, str]
    ) -> tuple[int, bytes]:
        records = self._logs[key]
        start = int(query['from'])
        if start > len(records):
            return 410, json.dumps({'first': 0}).encode()
        wait_s = min(30.0, int(query.get('waitMs', '0')) / 1000)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._grown:
                await self._grown.wait_for(lambda: len(records) > start)
        parts = [struct.pack('>QQ', len(records), 0)]
        for name, value in records[start : start + 2000]:
            content = value
            if key[0].startswith('keyed.'):
                content = bytes((len(name),)) + name.encode() + value
            parts.append(struct.pack('>I', len(content)) + content)
        return 200, b''.join(parts)


# Workers


class Worker:
    """A sound worker of a service; subclasses run its requests.

    It writes its entry to the store every 1.2 s, answers a request for
    another instance with 421 and one without an id with 400, both without
    running it, and records each request that it begins to run.
    """

    def __init__(
        self, store: Store, record: Record, worker_id: str, service: str
    ) -> None:
        self.store = store
        self.record = record
        self.worker_id = worker_id
        self.service = service
        self.port = free_port(store.ip)
        self.born = round(time.time() * 1000)
        self.sequence = 0
        self.slots = 64
        self.active = 0
        # Ids of the requests that it has begun to run.
        self.runs: list[str] = []
        self.ran_at: dict[str, float] = {}
        # Port in its entry.
        self.announced_port = self.port

    async def start(self) -> None:
        """Listen and register."""
        await asyncio.start_server(self._serve, self.store.ip, self.port)
        await self.register()
        self._task = asyncio.create_task(self._renew())

    async def register(self, state: str = 'ready') -> None:
        """Write its entry."""
        self.sequence += 1
        await self.store.append(
            'keyed.servers',
            self.worker_id,
            {
                'service': self.service,
                'address': f'{self.store.ip}:{self.announced_port}',
                'zone': 'a',
                'version': 'v1',
                'slots': self.slots,
                'state': state,
                'coldMs': 0,
                'born': self.born,
                'sequence': self.sequence,
            },
        )

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                if not await self._handle(request, reader, writer):
                    break
                await writer.drain()
        writer.close()

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the channel goes on."""
        request_id = request.get('Walnutport-Request-Attempt-Id')
        named = [('Walnutport-Request-Attempt-Id', request_id)]
        expected = request.get('Walnutport-Expect-Instance', self.worker_id)
        if expected != self.worker_id:
            headers = [*named, NOT_EXECUTED]
            writer.write(encode('HTTP/1.1 421 X', headers, b''))
            return True
        if request.target == '/report' and self.reports:
            report = {
                'stage': 'combined',
                'models': [],
                'busy': False,
                'sequence': self.sequence,
                'queued': 0,
                'active': self.active,
                'kvUsed': 0,
                'kvTotal': 100000,
                'handles': 0,
                'born': self.born,
            }
            body = json.dumps(report).encode()
            headers = [('Content-Type', 'application/json')]
            writer.write(encode('HTTP/1.1 200 OK', headers, body))
            return True
        if not request_id:
            writer.write(encode('HTTP/1.1 400 X', [NOT_EXECUTED], b''))
            return True
        self.runs.append(request_id)
        self.ran_at[request_id] = time.monotonic()
        self.record.write(f'worker {self.worker_id} runs {request_id}')
        self.active += 1
        try:
            return await self.run(request, request_id, reader, writer)
        finally:
            self.active -= 1

    #: Whether it answers GET /report.
    reports = False

    async def run(
        self,
        request: Message,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request; return whether the channel goes on."""
        raise NotImplementedError

    def seal(self, request_id: str) -> list[tuple[str, str]]:
        """Return the headers of an answer to a request that it ran."""
        return [
            ('Walnutport-Request-Attempt-Id', request_id),
            ('Walnutport-Response-Seal', f'seal-{self.worker_id}'),
            ('Walnutport-Server-Load', f'{self.active},0,{self.slots}'),
        ]


class PlainWorker(Worker):
    """Works for a while, and answers with the id of the request."""

    work_s = 0.05

    async def run(
        self,
        request: Message,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer after the work, unless the channel closes before."""
        began_at = time.monotonic()
        while time.monotonic() - began_at < self.work_s:
            await asyncio.sleep(0.02)
            if reader.at_eof():
                self.record.write(
                    f'worker {self.worker_id} is left by the host of '
                    f'{request_id} at work'
                )
                return False
        self.record.write(f'worker {self.worker_id} answers {request_id}')
        body = f'{request_id} by {self.worker_id}'.encode()
        writer.write(encode('HTTP/1.1 200 OK', self.seal(request_id), body))
        return True


class Engine(Worker):
    """Streams numbered events in chunks, from the one after Last-Event-Id.

    It drops a stream whose channel closes.
    """

    reports = True
    events = 20
    event_s = 0.03

    async def run(
        self,
        request: Message,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send the events, each after a pause, and the end."""
        after = int(request.get('Last-Event-Id', '0'))
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            *(f'{name}: {value}' for name, value in self.seal(request_id)),
        ]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if reader.at_eof():
                self.record.write(
                    f'worker {self.worker_id} is left by the host of '
                    f'{request_id} after event {number - 1}'
                )
                return False
            event = f'id: {number}\ndata: word\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        return await self.end(request_id, after, writer)

    async def end(
        self, request_id: str, after: int, writer: asyncio.StreamWriter
    ) -> bool:
        """End a stream; return whether the channel goes on."""
        writer.write(b'0\r\n\r\n')
        self.record.write(
            f'worker {self.worker_id} ends {request_id}, begun after event '
            f'{after}'
        )
        return True


# Entry hosts


class Host:
    """An entry host, started with the command of the deploy file."""

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        store_address: str,
        name: str,
        bounds: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.ip = find_ip()
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.first_port = free_port(self.ip)
        self.store_address = store_address
        self.record = record
        self.bounds = {
            'drainMs': '2000',
            'graceS': '8',
            'retryBudgetRatio': '0.2',
            'budgetWindowS': '10',
            'retrySlack': '54',
            **(bounds or {}),
        }
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self._path = folder / f'{name}.conf'
        self._log = folder / f'{name}.log'

    def write_settings(self) -> None:
        """Write the settings file, as the platform does at every start."""
        lines = {
            'nodeName': self.name,
            'role': 'entry',
            'machineClass': 'edge',
            'serves': 'edge',
            'ip': self.ip,
            'zone': 'a',
            'region': 'r',
            'zones.a': 'r',
            'listen.front': f'{self.ip}:{self.front}',
            'listen.ready': f'{self.ip}:{self.ready}',
            'portRange': f'{self.first_port},{self.first_port + 7}',
            'seeds': '',
            'bootstrap': 'false' if self.starts else 'true',
            'limits.cpuShare': '0.537',
            'limits.cores': '2',
            'limits.memoryMb': '300',
            'limits.maxFds': '4100',
            'limits.linkMbps': '1000.0',
            'limits.diskMb': '0',
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': '1200',
            'platform.address': self.store_address,
            'platform.form': 'log',
            **{f'bounds.{key}': value for key, value in self.bounds.items()},
        }
        text = ''.join(f'{key}={value}\n' for key, value in lines.items())
        new = self._path.with_suffix('.new')
        new.write_text(text)
        new.rename(self._path)

    def start(self) -> None:
        """Start the process."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split(' ')
        self.starts += 1
        with self._log.open('ab') as output:
            self.process = subprocess.Popen(
                command,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', '/tmp'),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'WALNUTPORT_BOOT': str(self._path),
                },
            )
        self.record.write(f'host {self.name} starts')

    def send_signal(self, signum: int) -> None:
        """Signal the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.record.write(
                f'host {self.name} gets {signal.Signals(signum).name}'
            )
            self.process.send_signal(signum)

    def exit_code(self) -> int | None:
        """Return the exit code, None while it runs."""
        return None if self.process is None else self.process.poll()

    async def is_ready(self) -> bool:
        """Ask for its readiness, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                answer = await exchange(
                    self.ip, self.ready, 'GET', '/readiness', []
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until it is ready; raises TimeoutError."""
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        self.record.write(f'host {self.name} is ready')

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text() if self._log.exists() else ''

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)


async def exchange(
    ip: str,
    port: int,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b'',
) -> Message:
    """Send a request on a new channel and return the answer.

    An answer that ends early has ``complete`` unset. Raises
    IncompleteReadError if the channel ends without a head.
    """
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(encode(f'{method} {target} HTTP/1.1', headers, body))
        answer = await read_head(reader)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError
        ):
            await read_body(reader, answer)
        return answer
    finally:
        writer.close()


def request_headers(
    request_id: str, deadline_s: float = 4.0, **more: str
) -> list[tuple[str, str]]:
    """Return the headers of a requester."""
    return [
        ('Host', 'calls.example'),
        ('Walnutport-Request-Attempt-Id', request_id),
        ('Walnutport-Deadline-Ms', str(int(deadline_s * 1000))),
        ('Walnutport-Credential', 'key-north'),
        *((name.replace('_', '-'), value) for name, value in more.items()),
    ]


def desired_state(version: int, routes: list[dict], services: list[dict]):
    """Return a desired state."""
    return {
        'version': version,
        'routes': [
            {
                'host': 'calls.example',
                'latencyTargetMs': 1500,
                'maxAttempts': 2,
                'priority': 1,
                'anonymous': False,
                **route,
            }
            for route in routes
        ],
        'services': services,
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 1 << 20,
            'headerMs': 3000,
            'idleMs': 15000,
        },
        'tenants': [{'name': 'north', 'apiKeys': ['key-north']}],
    }


def run_case(main, folder: pathlib.Path) -> None:
    """Run a case and exit with its code.

    :param main: coroutine function that takes the record, a temporary folder
        and a list for the hosts that it starts, and returns the exit code.
    """
    record = Record(folder)
    hosts: list[Host] = []
    temporary = pathlib.Path(tempfile.mkdtemp())
    code = 2
    try:
        code = asyncio.run(_limited(main(record, temporary, hosts)))
    except Exception as problem:
        record.write(f'the case could not run: {problem!r}')
    finally:
        for host in hosts:
            host.end()
        if os.environ.get('KEEP_LOGS'):
            target = pathlib.Path(os.environ['KEEP_LOGS'])
            shutil.copytree(temporary, target, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    record.write(f'exit {code}')
    sys.stdout.write(f'exit {code}\n')
    sys.stdout.flush()
    os._exit(code)


async def _limited(case) -> int:
    async with asyncio.timeout(110):
        return await case
