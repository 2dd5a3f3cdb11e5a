"""Starts a fleet of real host processes and stand-in processes."""

import contextlib
import dataclasses
import json
import pathlib
import tempfile

import msgspec

from standins import caller
from standins import checker
from standins import engine_server
from standins import fault_proxy
from standins import fleet_plans
from standins import ledger
from standins import list_server
from standins import log_server
from standins import naive_relay
from standins import processes
from standins import target_server
from standins import weight_server

__all__ = ['Fleet']


class Fleet:
    """Processes of a plan; a context manager that starts and ends them.

    ``__exit__`` ends every process, also those that were started later.
    """

    def __init__(self, plan: fleet_plans.FleetPlan) -> None:
        self.plan = plan
        self._exit_stack = contextlib.ExitStack()
        self.folder = pathlib.Path()
        self.hosts_by_id: dict[str, processes.ManagedProcess] = {}
        self.targets_by_id: dict[str, processes.ManagedProcess] = {}
        self.caller_addresses_by_host: dict[str, str] = {}
        self.control_addresses_by_host: dict[str, str] = {}
        self.peer_ports_by_host: dict[str, int] = {}
        self.listed_targets_by_id: dict[str, list_server.ListedTarget] = {}
        self.log_address = ''
        self.list_address = ''
        self._proxy_address = ''
        self._proxy_ports_by_name: dict[str, int] = {}
        self.weights_address = ''
        self.log_process: processes.ManagedProcess
        self.list_process: processes.ManagedProcess

    def __enter__(self) -> 'Fleet':
        with contextlib.ExitStack() as stack:
            self.folder = pathlib.Path(
                stack.enter_context(
                    tempfile.TemporaryDirectory(prefix='walnutport-')
                )
            )
            self._exit_stack = stack
            self._start_log()
            self._start_weights()
            self._start_targets()
            if self.plan.proxied:
                self._start_proxy()
            self._start_list()
            self.publish_catalogue(
                fleet_plans.example_catalogue(self.plan.contracts)
            )
            for number in range(self.plan.hosts):
                self.start_host(f'host-{number + 1}')
            for host_id in self.hosts_by_id:
                self.wait_ready(host_id)
            self._exit_stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._exit_stack.close()

    @property
    def ledger_folder(self) -> str:
        """Return the folder that the stand-ins write the ledger to."""
        return str(self.folder)

    def publish_catalogue(self, records: list[dict]) -> None:
        """Append records to the catalogue stream of the log service."""
        for record in records:
            processes.http_request(
                f'http://{self.log_address}/v1/streams/catalogue/records',
                record,
            )

    def start_host(self, host_id: str) -> None:
        """Start a host, or restart it at its addresses."""
        if host_id not in self.caller_addresses_by_host:
            self._assign_addresses(host_id)
        path = self.folder / f'{host_id}.json'
        path.write_text(json.dumps(self._host_settings(host_id)))
        self.hosts_by_id[host_id] = self._start(
            ['walnutport', 'host', f'--settings={path}'], host_id
        )

    def start_naive_relay(self, name: str, entry_id: str) -> None:
        """Start the faulty relay, which callers use like a host."""
        port = processes.free_port()
        self.caller_addresses_by_host[name] = f'127.0.0.1:{port}'
        service_by_stage = {
            'generate': fleet_plans.ENGINE_SERVICE,
            'confirm': 'payments',
        }
        addresses_by_stage = {}
        for stage in fleet_plans.STAGES_BY_ENTRY[entry_id]:
            service = service_by_stage.get(stage, stage)
            listed = self.listed_targets_by_id[f'{service}-1']
            addresses_by_stage[stage] = f'{listed.ip}:{listed.port}'
        settings = naive_relay.NaiveRelaySettings(port, addresses_by_stage)
        self._start_standin('naive_relay', settings, name)
        processes.wait_http(f'http://127.0.0.1:{port}/healthz')

    def wait_ready(self, host_id: str) -> float:
        """Wait until a host is ready and return the time in seconds.

        :raises TimeoutError: with the output of the host.
        """
        address = self.caller_addresses_by_host[host_id]
        try:
            return processes.wait_http(f'http://{address}/readyz')
        except TimeoutError as error:
            raise TimeoutError(
                f'{error}\n{self.read_output(host_id)}'
            ) from None

    def start_target(self, target_id: str) -> None:
        """Start a target, or restart it at its address."""
        listed = self.listed_targets_by_id[target_id]
        pool = next(
            pool for pool in self.plan.pools if pool.service == listed.service
        )
        settings = target_server.TargetServerSettings(
            port=listed.port,
            target_id=target_id,
            ledger_folder=self.ledger_folder,
            slots=pool.slots,
            service_ms=pool.service_ms,
            repeatable=pool.repeatable,
            events=pool.events,
            event_ms=pool.event_ms,
        )
        if pool.engine:
            self.targets_by_id[target_id] = self._start_standin(
                'engine',
                engine_server.EngineServerSettings(
                    settings,
                    self.weights_address,
                    checks_fencing=pool.checks_fencing,
                    cache_entries=pool.cache_entries,
                ),
                target_id,
            )
            return
        self.targets_by_id[target_id] = self._start_standin(
            'target', settings, target_id
        )

    def set_target_behaviour(self, target_id: str, **behaviour) -> None:
        """Set the behaviour of a target; omitted fields get their defaults."""
        listed = self.listed_targets_by_id[target_id]
        processes.http_request(
            f'http://{listed.ip}:{listed.port}/control', behaviour
        )

    def set_log_faults(self, **faults) -> None:
        """Set the faults of the log service; omitted ones end."""
        processes.http_request(f'http://{self.log_address}/control', faults)

    def change_host_list(self, **change) -> None:
        """Add, replace or remove hosts and targets of the host list."""
        processes.http_request(f'http://{self.list_address}/control', change)

    def start_caller(
        self,
        loads: tuple[caller.Load, ...],
        source: str = 'caller',
        seed: int = 1,
        hosts: tuple[str, ...] = (),
        host_weights: tuple[float, ...] = (),
    ) -> processes.ManagedProcess:
        """Start a caller process, which ends after the last answer.

        :param source: name of the process in the ledger.
        :param hosts: hosts that it calls, by default all of them.
        """
        host_names = hosts or tuple(self.caller_addresses_by_host)
        settings = caller.CallerSettings(
            hosts=tuple(
                self.caller_addresses_by_host[name] for name in host_names
            ),
            ledger_folder=self.ledger_folder,
            loads=loads,
            source=source,
            seed=seed,
            host_weights=host_weights,
        )
        return self._start_standin('caller', settings, source)

    def check_ledger(self) -> checker.Report:
        """Check the ledger of all processes that have run so far."""
        stages_by_entry = dict(fleet_plans.STAGES_BY_ENTRY)
        for contract in self.plan.contracts:
            pipeline = contract['pipeline_id']
            entry = 'summaries' if pipeline == 'answers' else 'payments'
            stages_by_entry[contract['entry_id']] = (
                fleet_plans.STAGES_BY_ENTRY[entry]
            )
        return checker.check(
            ledger.read_ledger(self.ledger_folder), stages_by_entry
        )

    def set_proxy_faults(self, name: str, **faults) -> None:
        """Set the faults of the proxy before ``log``, ``list`` or a target."""
        port = self._proxy_ports_by_name[name]
        processes.http_request(
            f'http://{self._proxy_address}/control/{port}', faults
        )

    def passed_bytes(self) -> int:
        """Return the bytes that the proxy forwarded in both directions."""
        stats = msgspec.json.decode(
            processes.http_request(f'http://{self._proxy_address}/stats')
        )
        return sum(route['passed_bytes'] for route in stats.values())

    def read_output(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / f'{name}.log').read_text()

    def _start_log(self) -> None:
        port = processes.free_port()
        self.log_address = f'127.0.0.1:{port}'
        self.log_process = self._start_standin(
            'log',
            log_server.LogServerSettings(
                port, retention_s=self.plan.retention_s
            ),
            'log',
        )
        processes.wait_http(f'http://{self.log_address}/stats')

    def _start_weights(self) -> None:
        if not self.plan.models:
            return
        port = processes.free_port()
        self.weights_address = f'127.0.0.1:{port}'
        settings = weight_server.WeightServerSettings(
            port, models=self.plan.models
        )
        self._start_standin('weights', settings, 'weights')
        processes.wait_http(f'http://{self.weights_address}/stats')

    def _start_targets(self) -> None:
        for pool in self.plan.pools:
            for number in range(pool.targets):
                target_id = f'{pool.service}-{number + 1}'
                self.listed_targets_by_id[target_id] = (
                    list_server.ListedTarget(
                        target_id,
                        pool.service,
                        self._data_centre_of(number),
                        '127.0.0.1',
                        processes.free_port(),
                        pool.slots,
                    )
                )
                self.start_target(target_id)
        for listed in self.listed_targets_by_id.values():
            processes.wait_http(f'http://{listed.ip}:{listed.port}/v1/load')

    def _start_list(self) -> None:
        for number in range(self.plan.hosts):
            self._assign_addresses(f'host-{number + 1}')
        if not self.list_address:
            self.list_address = f'127.0.0.1:{processes.free_port()}'
        port = int(self.list_address.partition(':')[2])
        settings = list_server.ListServerSettings(
            port,
            lag_s=self.plan.list_lag_s,
            hosts=tuple(
                list_server.ListedHost(
                    host_id,
                    self._data_centre_of(index),
                    '127.0.0.1',
                    peer_port,
                )
                for index, (host_id, peer_port) in enumerate(
                    self.peer_ports_by_host.items()
                )
            ),
            targets=tuple(
                self._proxied_target(listed)
                for listed in self.listed_targets_by_id.values()
            ),
        )
        self.list_process = self._start_standin('list', settings, 'list')
        processes.wait_http(f'http://{self.list_address}/v1/list')

    def _start_proxy(self) -> None:
        list_port = processes.free_port()
        self.list_address = f'127.0.0.1:{list_port}'
        addresses_by_name = {
            'log': self.log_address,
            'list': self.list_address,
            **{
                target_id: f'{listed.ip}:{listed.port}'
                for target_id, listed in self.listed_targets_by_id.items()
            },
        }
        self._proxy_ports_by_name = {
            name: processes.free_port() for name in addresses_by_name
        }
        control_port = processes.free_port()
        self._proxy_address = f'127.0.0.1:{control_port}'
        settings = fault_proxy.FaultProxySettings(
            control_port,
            {
                self._proxy_ports_by_name[name]: address
                for name, address in addresses_by_name.items()
            },
        )
        self._start_standin('proxy', settings, 'proxy')
        processes.wait_http(f'http://{self._proxy_address}/stats')

    def _proxied_address(self, name: str, address: str) -> str:
        port = self._proxy_ports_by_name.get(name)
        return address if port is None else f'127.0.0.1:{port}'

    def _proxied_target(
        self, listed: list_server.ListedTarget
    ) -> list_server.ListedTarget:
        address = self._proxied_address(
            listed.target_id, f'{listed.ip}:{listed.port}'
        )
        port = int(address.partition(':')[2])
        return dataclasses.replace(listed, port=port)

    def _assign_addresses(self, host_id: str) -> None:
        self.caller_addresses_by_host[host_id] = (
            f'127.0.0.1:{processes.free_port()}'
        )
        self.control_addresses_by_host[host_id] = (
            f'127.0.0.1:{processes.free_port()}'
        )
        self.peer_ports_by_host[host_id] = processes.free_port()

    def _host_settings(self, host_id: str) -> dict:
        index = list(self.caller_addresses_by_host).index(host_id)
        key_path = self.folder / 'peer.key'
        if not key_path.exists():
            key_path.write_text('a shared key of the stand-in fleet')
        settings: dict = {
            'host_id': host_id,
            'data_centre': self._data_centre_of(index),
            'callers': {
                'listen': _split_address(
                    self.caller_addresses_by_host[host_id]
                )
            },
            'peers': {
                'listen': _split_address(
                    f'127.0.0.1:{self.peer_ports_by_host[host_id]}'
                ),
                'keys': [{'key_id': 'k1', 'file': str(key_path)}],
            },
            'platform': {
                'log': _split_address(
                    self._proxied_address('log', self.log_address)
                ),
                'host_list': _split_address(
                    self._proxied_address('list', self.list_address)
                ),
            },
            'control': {
                'listen': _split_address(
                    self.control_addresses_by_host[host_id]
                )
            },
        }
        if self.weights_address:
            settings['platform']['weight_store'] = _split_address(
                self.weights_address
            )
        return _merge(settings, self.plan.settings)

    def _data_centre_of(self, index: int) -> str:
        return f'dc-{index % self.plan.data_centres + 1}'

    def _start_standin(
        self, kind: str, settings: object, name: str
    ) -> processes.ManagedProcess:
        settings_json = msgspec.json.encode(settings).decode()
        return self._start(['standins', kind, settings_json], name)

    def _start(
        self, arguments: list[str], name: str
    ) -> processes.ManagedProcess:
        return self._exit_stack.enter_context(
            processes.ManagedProcess(arguments, self.folder / f'{name}.log')
        )


def _split_address(address: str) -> dict:
    ip, _, port = address.partition(':')
    return {'ip': ip, 'port': int(port)}


def _merge(base: dict, changes: dict) -> dict:
    merged = dict(base)
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = _merge(merged[key], value)
        else:
            merged[key] = value
    return merged
