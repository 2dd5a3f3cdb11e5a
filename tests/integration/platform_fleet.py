"""Runs entry hosts as processes on the stand-in of a platform."""

import contextlib
import dataclasses
import http.client
import os
import pathlib
import time

import msgspec

from standins import platform_site
from standins import processes
from walnutport.gateway import events

IP = '127.0.0.1'
HOST = 'calls.example'
LIMIT_S = 20.0


def desired(version: int = 1, **changes) -> dict:
    """Return an operator's document with one route of each kind."""

    def route(name: str, kind: str, service: str, **more) -> dict:
        return {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'kind': kind,
            'timeoutMs': 4000,
            'latencyTargetMs': 1500,
            'service': service,
            'maxAttempts': 2,
            'priority': 1,
            'anonymous': False,
            **more,
        }

    pieces = {
        'slots': 1,
        'queue': 2,
        'batch': 6,
        'callMs': 40.0,
        'itemMs': 1.0,
        'headroomMb': 20.0,
        'handleS': 4.0,
    }
    return {
        'version': version,
        'routes': [
            route('check', 'idempotent', 'plain'),
            route('pay', 'non_idempotent', 'plain'),
            route('write', 'streaming', 'llm', resumable=True),
            route(
                'review',
                'streaming',
                'llm',
                stages=[
                    {'service': 'encode', 'after': [], 'bytes': 8000},
                    {'service': 'rank', 'after': [0], 'bytes': 8000},
                ],
            ),
        ],
        'services': [
            {'name': 'plain', 'maxConns': 50},
            {
                'name': 'llm',
                'maxConns': 50,
                'engine': {'slots': 8, 'kvTokens': 100000},
            },
            {'name': 'encode', 'maxConns': 50, 'pieces': pieces},
            {'name': 'rank', 'maxConns': 50, 'pieces': pieces},
        ],
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 1 << 20,
            'headerMs': 3000,
            'idleMs': 15000,
        },
        'tenants': [{'name': 'north', 'apiKeys': ['key-north']}],
        **changes,
    }


def target_plans() -> tuple[platform_site.TargetPlan, ...]:
    """Return two targets of each service."""
    kinds = {
        'plain': 'plain',
        'llm': 'engine',
        'encode': 'stage',
        'rank': 'stage',
    }
    return tuple(
        platform_site.TargetPlan(
            f'{service}-{number}', service, kind, processes.free_port(IP)
        )
        for service, kind in kinds.items()
        for number in (1, 2)
    )


@dataclasses.dataclass
class Answer:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True


class PlatformFleet(contextlib.ExitStack):
    """Stand-in and entry hosts.

    :param folder: where settings and logs go.
    """

    def __init__(self, folder: pathlib.Path, hosts: int = 1, **more) -> None:
        super().__init__()
        self.folder = folder
        self.store_port = processes.free_port(IP)
        self.plans = target_plans()
        settings = platform_site.PlatformSettings(
            self.store_port, desired(), self.plans, **more
        )
        self.hosts: list[processes.ManagedProcess] = []
        self.caller_ports: list[int] = []
        self.ready_ports: list[int] = []
        self.platform = processes.ManagedProcess(
            ['standins', 'platform', msgspec.json.encode(settings).decode()],
            folder / 'platform.log',
        )
        self._count = hosts

    def __enter__(self) -> 'PlatformFleet':
        super().__enter__()
        self.enter_context(self.platform)
        processes.wait_http(f'http://{IP}:{self.store_port}/runs')
        for _ in range(self._count):
            self.add_host()
        return self

    def __exit__(self, *exc_info) -> bool | None:
        result = super().__exit__(*exc_info)
        if exc_info[0] is None:
            for host in range(len(self.hosts)):
                for line in self.log_lines(host):
                    assert not events.problems(line), line
        return result

    def add_host(self) -> None:
        """Start one more entry host and wait until it is ready."""
        number = len(self.hosts)
        self.caller_ports.append(processes.free_port(IP))
        self.ready_ports.append(processes.free_port(IP))
        first = processes.free_port(IP)
        path = self.folder / f'boot-{number}.conf'
        path.write_text(
            f'nodeName=edge-{number}\nip={IP}\nzone=a\nzones.a=west\n'
            f'listen.front={IP}:{self.caller_ports[-1]}\n'
            f'listen.ready={IP}:{self.ready_ports[-1]}\n'
            f'portRange={first},{first}\n'
            f'platform.address={IP}:{self.store_port}\n'
            'heartbeatMs=1200\nnewField=1\n'
        )
        process = processes.ManagedProcess(
            ['walnutport', 'entry'], self.folder / f'host-{number}.log'
        )
        os.environ['WALNUTPORT_BOOT'] = str(path)
        self.hosts.append(self.enter_context(process))
        processes.wait_http(f'http://{IP}:{self.ready_ports[-1]}/readiness')

    def call(
        self,
        route: str,
        request_id: str,
        host: int = 0,
        key: str = 'key-north',
        body: bytes = b'body',
        **headers: str,
    ) -> Answer:
        """Send a request and return the answer."""
        connection = http.client.HTTPConnection(
            IP, self.caller_ports[host], timeout=LIMIT_S
        )
        sent = {
            'Host': HOST,
            'Walnutport-Request-Attempt-Id': request_id,
            'Walnutport-Deadline-Ms': '4000',
            'Walnutport-Credential': key,
        }
        sent.update(
            (name.replace('_', '-'), value) for name, value in headers.items()
        )
        with contextlib.closing(connection):
            connection.request('POST', f'/{route}/x', body, sent)
            reply = connection.getresponse()
            try:
                data = reply.read()
                complete = True
            except (http.client.IncompleteRead, ConnectionError):
                data = b''
                complete = False
        return Answer(reply.status, dict(reply.getheaders()), data, complete)

    def control(self, **wanted: object) -> None:
        """Change the behaviour of the stand-in."""
        processes.http_json(f'http://{IP}:{self.store_port}/control', wanted)

    def runs(self, request_id: str) -> list[dict]:
        """Return what the targets ran of a request."""
        found = msgspec.json.decode(
            processes.http_json(f'http://{IP}:{self.store_port}/runs')
        )
        return [
            run for run in found['runs'] if run['request_id'] == request_id
        ]

    def log_lines(self, host: int = 0) -> list[dict]:
        """Return the decision log of a host."""
        text = (self.folder / f'host-{host}.log').read_text()
        return [
            msgspec.json.decode(line)
            for line in text.splitlines()
            if line.startswith('{')
        ]

    def wait_log(self, event: str, host: int = 0, **fields: object) -> dict:
        """Wait for a line of the decision log."""
        limit = time.monotonic() + LIMIT_S
        while time.monotonic() < limit:
            for line in self.log_lines(host):
                if line['event'] == event and all(
                    line.get(name) == value for name, value in fields.items()
                ):
                    return line
            time.sleep(0.05)
        raise AssertionError(f'no line {event} {fields}')
