"""Runs entry hosts as processes on the stand-in of a platform."""

import contextlib
import dataclasses
import http.client
import pathlib
import time

import msgspec

from standins import fault_proxy
from standins import platform_site
from standins import processes
from walnutport.gateway import events

IP = '127.0.0.1'
HOST = 'calls.example'
LIMIT_S = 20.0
# What a caller gets of a whole stream.
STREAM = b''.join(
    platform_site.event_bytes(number)
    for number in range(1, platform_site.STREAM_EVENTS + 1)
)


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


def caller_headers(
    request_id: str, deadline_s: float = 4.0, key: str = 'key-north'
) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        'Host': HOST,
        'Walnutport-Request-Attempt-Id': request_id,
        'Walnutport-Deadline-Ms': str(int(deadline_s * 1000)),
        'Walnutport-Credential': key,
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
    :param proxied: whether the fault proxy stands before the store and every
        target.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        hosts: int = 1,
        proxied: bool = False,
        **more,
    ) -> None:
        super().__init__()
        self.folder = folder
        self.store_port = processes.free_port(IP)
        self.plans = target_plans()
        # Ports of the proxy by the id of the target, or ``store``.
        self.proxy_port_by_name: dict[str, int] = {}
        self._proxy_control = processes.free_port(IP) if proxied else 0
        if proxied:
            names = [plan.target_id for plan in self.plans]
            self.proxy_port_by_name = {
                name: processes.free_port(IP) for name in ('store', *names)
            }
            self.plans = tuple(
                dataclasses.replace(
                    plan,
                    announced_port=self.proxy_port_by_name[plan.target_id],
                )
                for plan in self.plans
            )
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
        if self._proxy_control:
            self._start_proxy()
        for _ in range(self._count):
            self.add_host()
        return self

    def __exit__(self, *exc_info) -> bool | None:
        result = super().__exit__(*exc_info)
        if exc_info[0] is None:
            for host in range(len(self.hosts)):
                for line in self.log_lines(host):
                    assert not events.schema_violations(line), line
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
            f'platform.address={IP}:'
            f'{self.proxy_port_by_name.get("store", self.store_port)}\n'
            'heartbeatMs=1200\nnewField=1\n'
        )
        process = processes.ManagedProcess(
            ['walnutport', 'entry'],
            self.folder / f'host-{number}.log',
            {'WALNUTPORT_BOOT': str(path)},
        )
        self.hosts.append(self.enter_context(process))
        self.wait_ready(number)

    def restart(self, number: int) -> None:
        """Start a host that has ended once more, with its settings."""
        self.hosts[number].start()

    def wait_ready(self, number: int) -> None:
        """Wait until a host takes requests."""
        port = self.ready_ports[number]
        processes.wait_http(f'http://{IP}:{port}/readiness')

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
        sent = caller_headers(request_id, key=key)
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

    def set_faults(self, name: str, faults: fault_proxy.Faults) -> None:
        """Set the faults between the hosts and a target or ``store``."""
        port = self.proxy_port_by_name[name]
        processes.http_json(
            f'http://{IP}:{self._proxy_control}/control/{port}', faults
        )

    def _start_proxy(self) -> None:
        port_by_name = {plan.target_id: plan.port for plan in self.plans}
        port_by_name['store'] = self.store_port
        settings = fault_proxy.FaultProxySettings(
            self._proxy_control,
            {
                self.proxy_port_by_name[name]: f'{IP}:{port}'
                for name, port in port_by_name.items()
            },
        )
        self.enter_context(
            processes.ManagedProcess(
                ['standins', 'proxy', msgspec.json.encode(settings).decode()],
                self.folder / 'proxy.log',
            )
        )
        processes.wait_http(f'http://{IP}:{self._proxy_control}/stats')

    def control(self, **wanted: object) -> None:
        """Change the behaviour of the stand-in."""
        processes.http_json(f'http://{IP}:{self.store_port}/control', wanted)

    def all_runs(self) -> list[dict]:
        """Return what the targets began to work on."""
        return msgspec.json.decode(
            processes.http_json(f'http://{IP}:{self.store_port}/runs')
        )['runs']

    def runs(self, request_id: str) -> list[dict]:
        """Return what the targets ran of a request."""
        return [
            run for run in self.all_runs() if run['request_id'] == request_id
        ]

    def log_lines(self, host: int = 0) -> list[dict]:
        """Return the decision log of a host.

        A pipe that a test put in its place is left unread.
        """
        path = self.folder / f'host-{host}.log'
        text = '' if path.is_fifo() else path.read_text()
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
