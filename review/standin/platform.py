"""Stand-ins of the platform's store, of workers and of requesters.

They speak what the users' pages say, over loopback, and use the standard
library only. All of them run in the process of a case; the entry hosts are
processes of their own, started with the command of the deploy file.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

IP = '127.0.0.1'
ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
MEMORY_MB = 300


def free_ports(count):
    """Return ports of the loopback address that nothing listens on."""
    sockets = []
    for _ in range(count):
        found = socket.socket()
        found.bind((IP, 0))
        sockets.append(found)
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._begun_at = time.monotonic()

    def line(self, text):
        at = time.monotonic() - self._begun_at
        self._file.write(f'{at:8.3f} {text}\n')
        self._file.flush()


async def read_message(reader):
    """Read an HTTP message with a length or in chunks.

    Returns the first line, the headers by name in lower case, and the body;
    None if the channel was closed before it.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split(b'\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(b':')
        headers[name.strip().lower().decode()] = value.strip().decode()
    body = b''
    try:
        if headers.get('transfer-encoding') == 'chunked':
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        elif 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return first.decode(), headers, body


class Store:
    """The platform's store: keyed topics and raw topics."""

    def __init__(self, port):
        self.port = port
        self._topics = collections.defaultdict(list)
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, IP, self.port)

    def put(self, topic, key, value):
        """Write a keyed record as the operator or a worker."""
        data = b'' if value is None else json.dumps(value).encode()
        name = key.encode()
        self._append((topic, 0), [bytes((len(name),)) + name + data])

    def _append(self, part, records):
        self._topics[part] += records
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(' ')
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, body = await self._answer(url.path, query, message[2])
                writer.write(
                    b'HTTP/1.1 %d X\r\nStore-Era: 1\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(body)) + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query, body):
        part = (query.get('topic', ''), int(query.get('part', 0)))
        log = self._topics[part]
        if path == '/log-newest':
            newest = {}
            for offset, record in enumerate(log):
                size = record[0]
                newest[record[1 : 1 + size]] = (record[1 + size :], offset)
            items = [
                {
                    'key': key.decode(),
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (value, offset) in newest.items()
                if value
            ]
            found = {'items': items, 'hasMore': False, 'end': len(log)}
            return 200, json.dumps(found).encode()
        if path == '/log-read':
            offset = int(query['from'])
            until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
            while len(log) <= offset and time.monotonic() < until:
                changed = self._changed
                try:
                    await asyncio.wait_for(
                        changed.wait(), until - time.monotonic()
                    )
                except TimeoutError:
                    break
            data = struct.pack('>QQ', len(log), 0)
            for record in log[offset:]:
                data += struct.pack('>I', len(record)) + record
            return 200, data
        if path == '/log-append':
            if part[0] in ('keyed.op', 'keyed.servers'):
                return 403, b''
            if 'at' in query and int(query['at']) != len(log):
                return 412, json.dumps({'end': len(log)}).encode()
            records = []
            while body:
                (size,) = struct.unpack('>I', body[:4])
                records.append(body[4 : 4 + size])
                body = body[4 + size :]
            offset = len(log)
            self._append(part, records)
            return 200, json.dumps(
                {'offset': offset, 'end': len(log)}
            ).encode()
        return 404, b''


class Worker:
    """A sound worker of a service; cases override ``answer``."""

    def __init__(self, store, record, service, name, port, slots=64):
        self.store = store
        self.record = record
        self.service = service
        self.id = f'i-{name}'
        self.port = port
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.arrivals = 0
        self.runs = []
        self._tasks = []

    async def start(self):
        await asyncio.start_server(self._serve, IP, self.port)
        self._tasks.append(asyncio.create_task(self._beat()))

    def write_entry(self):
        self.sequence += 1
        self.store.put(
            'keyed.servers',
            self.id,
            {
                'service': self.service,
                'address': f'{IP}:{self.port}',
                'zone': 'a',
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'coldMs': 0,
                'born': self.born,
                'sequence': self.sequence,
            },
        )

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                expected = headers.get('walnutport-expect-instance')
                if expected not in (None, self.id):
                    await self.send(
                        writer, headers, 421, b'', not_run=True, seal=False
                    )
                    continue
                self.arrivals += 1
                request_id = headers.get('walnutport-request-attempt-id', '')
                self.record.line(f'{self.id} gets {request_id} {first}')
                if await self.answer(first, headers, body, reader, writer):
                    continue
                break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def run(self, request_id):
        self.runs.append(request_id)
        self.record.line(f'{self.id} runs {request_id}')

    async def answer(self, first, headers, body, reader, writer):
        """Run a request and answer it; return whether the channel is kept."""
        request_id = headers.get('walnutport-request-attempt-id', '')
        self.run(request_id)
        if first.split(' ')[1].startswith('/note/'):
            await self.send_stream(writer, headers)
        else:
            await asyncio.sleep(0.06)
            await self.send(writer, headers, 200, b'x' * 800)
        return True

    async def send(
        self, writer, headers, status, body, not_run=False, seal=True
    ):
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        lines += self.common(headers, seal)
        if not_run:
            lines.append('Walnutport-Not-Executed: 1')
            lines.append(f'Walnutport-Instance-Id: {self.id}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()

    def common(self, headers, seal=True):
        request_id = headers.get('walnutport-request-attempt-id', '')
        lines = [f'Walnutport-Server-Load: 1,0,{self.slots}']
        if request_id:
            lines.append(f'Walnutport-Request-Attempt-Id: {request_id}')
        if seal:
            lines.append(f'Walnutport-Response-Seal: {self.id}.{request_id}')
        return lines

    async def send_stream(self, writer, headers, events=10, gap_s=0.05):
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            *self.common(headers),
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        begin = int(headers.get('last-event-id', 0)) + 1
        for number in range(begin, events + 1):
            await asyncio.sleep(gap_s)
            event = b'id: %d\ndata: %s\n\n' % (number, b'e' * 40)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


@dataclasses.dataclass
class Answer:
    """What a requester saw of one attempt; status 0 without an answer."""

    status: int
    headers: dict
    body: bytes
    took_s: float


class Host:
    """An entry host process, restarted by the platform when it has ended."""

    def __init__(self, number, folder, store_port, log_folder, **settings):
        self.number = number
        self.name = f'edge-a-{number}'
        self.front, self.ready, self.metrics, first = free_ports(4)
        self.boot = pathlib.Path(folder) / f'boot-{number}.conf'
        self._log = open(pathlib.Path(log_folder) / f'host-{number}.log', 'wb')
        self.process = None
        self.starts = 0
        lines = {
            'nodeName': self.name,
            'role': 'entry',
            'machineClass': 'edge',
            'serves': 'edge',
            'ip': IP,
            'zone': 'a',
            'region': 'west',
            'zones.a': 'west',
            'listen.front': f'{IP}:{self.front}',
            'listen.ready': f'{IP}:{self.ready}',
            'portRange': f'{first},{min(65535, first + 15)}',
            'bootstrap': 'true',
            'limits.cpuShare': '0.537',
            'limits.cores': '2',
            'limits.memoryMb': str(MEMORY_MB),
            'limits.maxFds': '4100',
            'limits.linkMbps': '1000.0',
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': '1200',
            'bounds.stableWindowMs': '3000',
            'bounds.drainMs': '2000',
            'bounds.graceS': '8',
            'bounds.lossSlackMs': '200',
            'bounds.configApplyMs': '2000',
            'bounds.retryBudgetRatio': '0.2',
            'bounds.budgetWindowS': '10',
            'bounds.retrySlack': '54',
            'platform.address': f'{IP}:{store_port}',
            'platform.form': 'log',
            **settings,
        }
        self.settings = lines
        self.write_settings()

    def write_settings(self):
        self.boot.write_text(
            ''.join(f'{key}={value}\n' for key, value in self.settings.items())
        )

    def start(self):
        """Start it with the command of the deploy file."""
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            command = shlex.split(tomllib.load(file)['roles']['entry']['run'])
        # All hosts share one address here, so the port has to differ.
        command = [
            f'--metrics_port={self.metrics}'
            if word.startswith('--metrics_port')
            else word
            for word in command
        ]
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/tmp'),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'WALNUTPORT_BOOT': str(self.boot),
            },
        )
        self.starts += 1

    def restart(self):
        self.settings['bootstrap'] = 'false'
        self.write_settings()
        self.start()

    def signal(self, number):
        self.process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory of the process, in MB of 10**6 bytes."""
        try:
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            for line in status.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        answer = await exchange(
            self.ready, b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n', 1.0
        )
        return answer.status == 200

    async def wait_ready(self, limit_s=20.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} is not ready after {limit_s} s')

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def exchange(port, data, limit_s):
    """Send bytes on a new channel and read one answer."""
    begun_at = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(IP, port)
            writer.write(data)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        message = None
    finally:
        if writer is not None:
            writer.transport.abort()
    took_s = time.monotonic() - begun_at
    if message is None:
        return Answer(0, {}, b'', took_s)
    first, headers, body = message
    return Answer(int(first.split(' ')[1]), headers, body, took_s)


def request_bytes(
    path, request_id, deadline_ms, body=b'', method='POST', **more
):
    """Return a request as a requester sends it."""
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: calls.example',
        f'Walnutport-Request-Attempt-Id: {request_id}',
        f'Walnutport-Deadline-Ms: {deadline_ms}',
        'Walnutport-Credential: key-north',
        f'Content-Length: {len(body)}',
    ]
    lines += [
        f'{name.replace("_", "-")}: {value}' for name, value in more.items()
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def route(name, kind, service, timeout_ms, aim_ms, attempts=2, **more):
    return {
        'name': f'r-{name}',
        'host': 'calls.example',
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': timeout_ms,
        'latencyTargetMs': aim_ms,
        'service': service,
        'maxAttempts': attempts,
        'priority': 1,
        'anonymous': False,
        **more,
    }


def desired_state(version=1, routes=(), services=()):
    return {
        'version': version,
        'routes': list(routes),
        'services': list(services),
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 4194304,
            'headerMs': 3000,
            'idleMs': 15000,
        },
        'tenants': [
            {'name': 'north', 'apiKeys': ['key-north'], 'priority': 1}
        ],
    }


def run_case(main, case_folder, trouble):
    """Run a case and return its exit code: 1 broken, 0 held, 2 not run.

    :param trouble: whether the disruption takes place.
    """
    record = Record(pathlib.Path(case_folder) / 'record.txt')
    hosts = []
    record.line(f'trouble: {trouble}')
    # So that the hosts end as well when the case is stopped.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = asyncio.run(
                asyncio.wait_for(main(record, folder, hosts, trouble), 118)
            )
        except Exception as problem:
            record.line(f'the case could not run: {problem!r}')
            print(f'the case could not run: {problem!r}')
            return 2
        finally:
            for host in hosts:
                host.end()
    record.line(f'rule broken: {broken}')
    print('rule broken' if broken else 'rule held')
    return 1 if broken else 0


TERM, KILL, HUP = signal.SIGTERM, signal.SIGKILL, signal.SIGHUP
