"""Runs entry hosts as processes with the stand-in for a platform."""

import base64
import contextlib
import dataclasses
import http.client
import pathlib
import signal
import time

import msgspec

from standins import fault_proxy
from standins import platform_config
from standins import platform_target
from standins import processes
from standins import proxied_entry
from walnutport.gateway.operations import events

LOOPBACK_IP = '127.0.0.1'
ROUTE_HOST = 'calls.example'
TIMEOUT_S = 20.0
# Further ports that a host may use if others have taken the first ones.
PEER_PORTS = 9


def stream_body(
    version: str = 'v1', events: int = platform_config.STREAM_EVENTS
) -> bytes:
    """Return what a caller receives of a complete stream of a version."""
    return b''.join(
        platform_target.event_bytes(number, version)
        for number in range(1, events + 1)
    )


STREAM_BODY = stream_body()


def desired_state(version: int = 1, **changes) -> dict:
    """Return a desired-state document with routes of each kind."""

    def route(name: str, kind: str, service: str, **overrides) -> dict:
        return {
            'name': name,
            'host': ROUTE_HOST,
            'pathPrefix': f'/{name}/',
            'kind': kind,
            'timeoutMs': 4000,
            'latencyTargetMs': 1500,
            'service': service,
            'maxAttempts': 2,
            'priority': 1,
            'anonymous': False,
            **overrides,
        }

    stage_settings = {
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
            {'name': 'encode', 'maxConns': 50, 'pieces': stage_settings},
            {'name': 'rank', 'maxConns': 50, 'pieces': stage_settings},
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


def cold_state(
    version: int, services: tuple[str, ...], per_s: float, cold_s: float
) -> dict:
    """Return a desired state whose cold targets are limited.

    :param services: services with the limit.
    :param per_s: requests a second that a cold target sustains.
    """
    state = desired_state(version)
    for service in state['services']:
        if service['name'] in services:
            service.update(coldPerS=per_s, coldS=cold_s)
    return state


def caller_headers(
    request_id: str, deadline_s: float = 4.0, key: str = 'key-north'
) -> dict[str, str]:
    """Return the request headers that a caller sends."""
    return {
        'Host': ROUTE_HOST,
        'Walnutport-Request-Attempt-Id': request_id,
        'Walnutport-Deadline-Ms': str(int(deadline_s * 1000)),
        'Walnutport-Credential': key,
    }


def target_plans(
    engine_versions: tuple[str, ...] = ('v1', 'v1'),
    data_centres: tuple[str, ...] = ('a',),
) -> tuple[platform_config.TargetPlan, ...]:
    """Return the plans of two targets for each service but the engines.

    :param engine_versions: software version of each engine.
    :param data_centres: data centres of the targets of a service, in turn.
    """
    versions_by_service = {'llm': engine_versions}
    kind_by_service = {
        'plain': 'plain',
        'llm': 'engine',
        'encode': 'stage',
        'rank': 'stage',
    }
    return tuple(
        platform_config.TargetPlan(
            f'{service}-{number}',
            service,
            kind,
            processes.free_port(LOOPBACK_IP),
            version=version,
            data_centre=data_centres[(number - 1) % len(data_centres)],
        )
        for service, kind in kind_by_service.items()
        for number, version in enumerate(
            versions_by_service.get(service, ('v1', 'v1')), 1
        )
    )


@dataclasses.dataclass
class Answer:
    """Response that a caller received.

    :param complete: whether the whole body arrived.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True


class PlatformFleet(contextlib.ExitStack):
    """The platform stand-in and entry hosts; a context manager that ends them.

    On exit without an error, it checks the log lines against their schema.

    :param folder: folder for settings and logs.
    :param hosts: entry hosts to start.
    :param proxied: whether hosts reach the store and the targets through the
        fault proxy.
    :param engine_versions: software version of each engine.
    :param cut_hosts: hosts, from the first on, that reach the targets through
        proxies of their own, so that they can be cut off from them. They know
        the same addresses of targets as the other hosts.
    :param data_centres: data centres of the targets of a service, in turn.
    :param builds: folder with the source of the build of each host, None for
        the present one; hosts beyond the list are of the present build.
    :param more_plans: plans of further targets.
    :param host_settings: further lines of the settings of each host.
    :param platform_settings: further settings of the stand-in.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        hosts: int = 1,
        proxied: bool = False,
        engine_versions: tuple[str, ...] = ('v1', 'v1'),
        cut_hosts: int = 0,
        data_centres: tuple[str, ...] = ('a',),
        builds: tuple[pathlib.Path | None, ...] = (),
        more_plans: tuple[platform_config.TargetPlan, ...] = (),
        host_settings: tuple[str, ...] = (),
        **platform_settings,
    ) -> None:
        super().__init__()
        self.cut_hosts = cut_hosts
        self.builds = builds
        self.host_settings = host_settings
        self.folder = folder
        self.store_port = processes.free_port(LOOPBACK_IP)
        self.data_centres = data_centres
        self.plans = (
            *target_plans(engine_versions, data_centres),
            *more_plans,
        )
        # Listening port of the proxy by target id, or ``store``.
        self.proxy_port_by_name: dict[str, int] = {}
        self._proxy_control_port = (
            processes.free_port(LOOPBACK_IP) if proxied or cut_hosts else 0
        )
        # Listening port of the proxy for the hosts that can be cut off.
        self._cut_port_by_id: dict[str, int] = {}
        self.cut_store_port = 0
        if cut_hosts:
            self.cut_store_port = processes.free_port(LOOPBACK_IP)
            self._cut_port_by_id = {
                plan.target_id: processes.free_port(LOOPBACK_IP)
                for plan in self.plans
            }
            platform_settings['more_ports'] = (self.cut_store_port,)
        if proxied:
            names = [plan.target_id for plan in self.plans]
            self.proxy_port_by_name = {
                name: processes.free_port(LOOPBACK_IP)
                for name in ('store', *names)
            }
            self.plans = tuple(
                dataclasses.replace(
                    plan,
                    announced_port=self.proxy_port_by_name[plan.target_id],
                )
                for plan in self.plans
            )
        settings = platform_config.PlatformSettings(
            self.store_port, desired_state(), self.plans, **platform_settings
        )
        self.hosts: list[processes.ManagedProcess] = []
        self.caller_ports: list[int] = []
        self.ready_ports: list[int] = []
        self.platform = processes.ManagedProcess(
            ['standins', 'platform', msgspec.json.encode(settings).decode()],
            folder / 'platform.log',
        )
        self._initial_hosts = hosts

    def __enter__(self) -> 'PlatformFleet':
        super().__enter__()
        self.enter_context(self.platform)
        processes.wait_http(f'http://{LOOPBACK_IP}:{self.store_port}/runs')
        if self._proxy_control_port:
            self._start_proxy()
        for _ in range(self._initial_hosts):
            self.add_host(is_first_start=True)
        return self

    def __exit__(self, *exc_info) -> bool | None:
        result = super().__exit__(*exc_info)
        if exc_info[0] is None:
            for host in range(len(self.hosts)):
                for line in self.log_lines(host):
                    assert not events.schema_violations(line), line
        return result

    def add_host(self, is_first_start: bool = False) -> None:
        """Start another entry host and wait until it is ready.

        :param is_first_start: whether its settings say that the installation
            starts for the first time.
        """
        number = len(self.hosts)
        self.caller_ports.append(processes.free_port(LOOPBACK_IP))
        self.ready_ports.append(processes.free_port(LOOPBACK_IP))
        peer_port = processes.free_port(LOOPBACK_IP)
        store_port = self.proxy_port_by_name.get('store', self.store_port)
        if number < self.cut_hosts:
            store_port = self.cut_store_port
        path = self.folder / f'boot-{number}.conf'
        path.write_text(
            f'nodeName=edge-{number}\nip={LOOPBACK_IP}\nzone=a\n'
            + ''.join(f'zones.{name}=west\n' for name in self.data_centres)
            + f'listen.front={LOOPBACK_IP}:{self.caller_ports[-1]}\n'
            f'listen.ready={LOOPBACK_IP}:{self.ready_ports[-1]}\n'
            f'portRange={peer_port},{peer_port + PEER_PORTS}\n'
            f'platform.address={LOOPBACK_IP}:{store_port}\n'
            'heartbeatMs=1200\nnewField=1\n'
            f'bootstrap={"true" if is_first_start else "false"}\n'
            + ''.join(f'{line}\n' for line in self.host_settings)
        )
        process = processes.ManagedProcess(
            self._entry_arguments(number),
            self.folder / f'host-{number}.log',
            {'WALNUTPORT_BOOT': str(path)},
        )
        if number < len(self.builds):
            process.folder = self.builds[number]
        self.hosts.append(self.enter_context(process))
        self.wait_ready(number)

    def _entry_arguments(self, number: int) -> list[str]:
        if number >= self.cut_hosts:
            return ['walnutport', 'entry']
        settings = proxied_entry.ProxiedEntrySettings(
            {
                plan.announced_port or plan.port: self._cut_port_by_id[
                    plan.target_id
                ]
                for plan in self.plans
            }
        )
        return [
            'standins.proxied_entry',
            msgspec.json.encode(settings).decode(),
        ]

    def restart(self, number: int) -> None:
        """Restart a host that has ended, with the same settings."""
        self.hosts[number].start()

    def end_first_start(self) -> None:
        """Tell hosts that start again that the installation has started."""
        for number in range(len(self.hosts)):
            path = self.folder / f'boot-{number}.conf'
            text = path.read_text()
            path.write_text(text.replace('bootstrap=true', 'bootstrap=false'))

    def restart_all(self) -> None:
        """Kill all hosts at once and start them again.

        Their settings say then that the installation has run before.
        """
        for host in self.hosts:
            if host.is_running():
                host.signal(signal.SIGKILL)
        for number, host in enumerate(self.hosts):
            host.kill()
            path = self.folder / f'boot-{number}.conf'
            path.write_text(
                path.read_text().replace('bootstrap=true', 'bootstrap=false')
            )
        for host in self.hosts:
            host.start()
        for number in range(len(self.hosts)):
            self.wait_ready(number)

    def replace(self, number: int, build: pathlib.Path | None) -> None:
        """Stop a host as planned and start it with another build.

        :param build: folder with the source of the build, None for the
            present one.
        """
        process = self.hosts[number]
        assert process.terminate() == 0
        process.folder = build
        process.start()
        self.wait_ready(number)

    def wait_ready(self, number: int) -> None:
        """Wait until a host is ready for requests."""
        port = self.ready_ports[number]
        processes.wait_http(f'http://{LOOPBACK_IP}:{port}/readiness')

    def call(
        self,
        route: str,
        request_id: str,
        host: int = 0,
        key: str = 'key-north',
        body: bytes = b'body',
        **headers: str,
    ) -> Answer:
        """Send a request to a route and return the response.

        :param headers: additional headers, with underscores for hyphens.
        """
        connection = http.client.HTTPConnection(
            LOOPBACK_IP, self.caller_ports[host], timeout=TIMEOUT_S
        )
        request_headers = caller_headers(request_id, key=key)
        request_headers.update(
            (name.replace('_', '-'), value) for name, value in headers.items()
        )
        with contextlib.closing(connection):
            connection.request('POST', f'/{route}/x', body, request_headers)
            response = connection.getresponse()
            try:
                data = response.read()
                complete = True
            except http.client.IncompleteRead as error:
                data = error.partial
                complete = False
            except ConnectionError:
                data = b''
                complete = False
        return Answer(
            response.status, dict(response.getheaders()), data, complete
        )

    def evacuate(
        self, data_centre: str, value: dict | list | None = None
    ) -> None:
        """Evacuate a data centre as the operator does.

        :param value: value of the record; an empty object by default.
        """
        self.control_platform(
            evacuations={data_centre: {} if value is None else value}
        )

    def withdraw_evacuation(self, data_centre: str) -> None:
        """Withdraw the evacuation of a data centre."""
        self.control_platform(evacuations={data_centre: None})

    def write_entries(self, value_by_id: dict[str, bytes]) -> None:
        """Write entries of targets as another writer may leave them."""
        self.control_platform(
            entries={
                target_id: base64.b64encode(value).decode()
                for target_id, value in value_by_id.items()
            }
        )

    def runs_in(self, data_centre: str) -> int:
        """Return the runs that the targets of a data centre have started."""
        target_ids = {
            plan.target_id
            for plan in self.plans
            if plan.data_centre == data_centre
        }
        return sum(run['target_id'] in target_ids for run in self.all_runs())

    def set_store_mode(self, host: int, mode: str) -> None:
        """Set how the store behaves for the hosts that can be cut off.

        :param host: one of these hosts.
        """
        assert host < self.cut_hosts
        self.control_platform(store_at={str(self.cut_store_port): mode})

    def set_proxy_faults(self, name: str, faults: fault_proxy.Faults) -> None:
        """Set the faults of the proxy before a target or ``store``."""
        self._set_faults(self.proxy_port_by_name[name], faults)

    def _set_faults(self, port: int, faults: fault_proxy.Faults) -> None:
        processes.http_request(
            f'http://{LOOPBACK_IP}:{self._proxy_control_port}/control/{port}',
            faults,
        )

    def cut_targets(self, faults: fault_proxy.Faults) -> None:
        """Set faults between all targets and the hosts that can be cut off."""
        for port in self._cut_port_by_id.values():
            self._set_faults(port, faults)

    def _start_proxy(self) -> None:
        port_by_name = {plan.target_id: plan.port for plan in self.plans}
        port_by_name['store'] = self.store_port
        target_port_by_port = {
            listening: port_by_name[name]
            for ports in (self.proxy_port_by_name, self._cut_port_by_id)
            for name, listening in ports.items()
        }
        settings = fault_proxy.FaultProxySettings(
            self._proxy_control_port,
            {
                listening: f'{LOOPBACK_IP}:{port}'
                for listening, port in target_port_by_port.items()
            },
            acknowledged=frozenset(self._cut_port_by_id.values()),
        )
        self.enter_context(
            processes.ManagedProcess(
                ['standins', 'proxy', msgspec.json.encode(settings).decode()],
                self.folder / 'proxy.log',
            )
        )
        processes.wait_http(
            f'http://{LOOPBACK_IP}:{self._proxy_control_port}/stats'
        )

    def control_platform(self, **changes: object) -> None:
        """Change the desired state, the store or targets."""
        processes.http_request(
            f'http://{LOOPBACK_IP}:{self.store_port}/control', changes
        )

    def all_runs(self) -> list[dict]:
        """Return the runs that targets have started.

        Those of requests have ``ended_at``, None while they go on.
        """
        records = self._records_of_targets()
        ended_at_by_run = records['ended_at_by_run']
        return [
            {**run, 'ended_at': ended_at_by_run.get(str(number))}
            for number, run in enumerate(records['runs'])
        ]

    def freed_handles(self) -> list[str]:
        """Return the handles of the results that targets have freed."""
        return self._records_of_targets()['freed']

    def arrivals(self, target_id: str) -> list[float]:
        """Return the times at which requests arrived at a target.

        These include refused ones, stage calls and the freeing of results.

        :returns: seconds of the monotonic clock of the machine.
        """
        return self._records_of_targets()['arrivals'].get(target_id, [])

    def cold_arrivals(self, target_id: str) -> list[float]:
        """Return when requests arrived at a target while it was cold.

        :returns: seconds of the monotonic clock of the machine.
        """
        return self._records_of_targets()['cold_arrivals'].get(target_id, [])

    def status(self, host: int = 0) -> dict:
        """Return the status of a host."""
        port = self.ready_ports[host]
        return msgspec.json.decode(
            processes.http_request(f'http://{LOOPBACK_IP}:{port}/v1/status')
        )

    def crashes(self) -> list[float]:
        """Return the times at which engines crashed.

        :returns: seconds of the monotonic clock of the machine.
        """
        return self._records_of_targets()['crashes']

    def _records_of_targets(self) -> dict:
        return msgspec.json.decode(
            processes.http_request(
                f'http://{LOOPBACK_IP}:{self.store_port}/runs'
            )
        )

    def runs_of_request(self, request_id: str) -> list[dict]:
        """Return the runs of a request that targets have started."""
        return [
            run for run in self.all_runs() if run['request_id'] == request_id
        ]

    def log_lines(self, host: int = 0) -> list[dict]:
        """Return the lines of the decision log of a host.

        The list is empty if a test has replaced the log file by a named pipe,
        which only that test reads.
        """
        path = self.folder / f'host-{host}.log'
        text = '' if path.is_fifo() else path.read_text()
        return [
            msgspec.json.decode(line)
            for line in text.splitlines()
            if line.startswith('{')
        ]

    def wait_for_event(
        self, event: str, host: int = 0, **fields: object
    ) -> dict:
        """Wait for a line with an event in the decision log and return it.

        :param fields: values that the line must contain.
        """
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            for line in self.log_lines(host):
                if line['event'] == event and all(
                    line.get(name) == value for name, value in fields.items()
                ):
                    return line
            time.sleep(0.05)
        raise AssertionError(
            f'no log line with event {event} and fields {fields}'
        )
