"""Stand-in for a platform: its store and its targets in one process.

At the address of the store, ``/control`` changes the behaviour of the store
and the targets, and ``/runs`` returns the runs that targets have started.
"""

import base64
import collections
import functools
import struct
import time

import klein
import msgspec
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import server

from standins import machine_speed
from standins import platform_config
from standins import platform_target
from standins import target_records

__all__ = ['PlatformServer']

_MAX_WAIT_S = 30.0
_POLL_S = 0.02
# Topics of keyed records; the records of all others are raw.
_KEYED_PREFIX = 'keyed.'


class PlatformServer:
    """Store of keyed and raw topics, with control paths for tests."""

    app = klein.Klein()

    def __init__(self, settings: platform_config.PlatformSettings) -> None:
        self.settings = settings
        self.runs: list[platform_target.Run] = []
        # When the work on a request ended, by the number of its run.
        self.ended_at_by_run: dict[int, float] = {}
        self.freed: list[str] = []
        # Handles of the results that targets hold.
        self.held: set[str] = set()
        self.made_by_handle: collections.Counter[str] = collections.Counter()
        # Number of the next requests whose inputs are lost before they are
        # read.
        self.losses_left = 0
        # Times at which requests arrived, by target.
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self.mode_by_target: dict[str, str] = {}
        self.speeds = machine_speed.MachineSpeeds()
        self._target_by_id: dict[str, platform_target.Target] = {}
        # Rejections a second above which a target crashes, by service.
        self.rejection_limit_by_service: dict[str, int] = {}
        # Requests in a second above which a cold target crashes, and the time
        # for which it is cold after a crash, by service.
        self.cold_rules_by_service: dict[str, tuple[float, float]] = {}
        # Requests that arrived at cold targets but answers of 421, by target.
        self.cold_arrivals: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.starts_by_target: dict[str, int] = {}
        # Headers that targets add to all their responses, by target.
        self.headers_by_target: dict[str, dict[str, str]] = {}
        # Parts of prompts that crash each engine that begins to write an
        # answer on them, and how long after the begin.
        self.crashing_parts: set[str] = set()
        self.crash_delay_ms = settings.event_ms / 2
        # Events that such an answer brings before.
        self.events_before_crash = 0
        # Whether the answers of engines that crash have neither a length nor
        # chunks, and end with their channel.
        self.crashes_unframed = False
        # Whether the answers of all engines have neither a length nor chunks.
        self.is_unframed = False
        # Time from the moment at which a target that has started again serves
        # until its entry is in the store.
        self.register_after_s = 0.0
        # Reports that targets were asked for.
        self.reports = 0
        # Times at which engines crashed.
        self.crashes: list[float] = []
        self.store_mode = 'ok'
        # The same for the hosts that reach the store at a port.
        self.store_mode_by_port: dict[int, str] = {}
        # Rises when the store returns from its copy.
        self.era = 1
        self._copy: dict[str, list[tuple[str, bytes]]] = {}
        # Records by topic, or by topic and partition other than the first.
        # Those of topics that are not keyed have an empty key.
        self._records: dict[str, list[tuple[str, bytes]]] = (
            collections.defaultdict(list)
        )
        # First offset that has not expired, by topic.
        self._first_offsets: dict[str, int] = {}
        self.target_records = target_records.TargetRecords(
            settings, functools.partial(self._append, 'keyed.servers')
        )
        self._append('keyed.op', 'config', settings.desired)
        for plan in settings.targets:
            if plan.target_id not in settings.unregistered:
                self.target_records.write(plan, 'ready')
            target = platform_target.Target(self, plan)
            self._target_by_id[plan.target_id] = target
            target.listen()
        for port in settings.more_ports:
            reactor.listenTCP(
                port,
                server.Site(self.app.resource()),
                interface=settings.ip,
            )

    def evacuate(self, data_centre: str, value: object) -> None:
        """Append a record with which the operator evacuates a data centre.

        :param value: None withdraws the evacuation.
        """
        key = f'evacuate/{data_centre}'
        if value is None:
            self._records['keyed.op'].append((key, b''))
        else:
            self._append('keyed.op', key, value)

    def take_copy(self) -> None:
        """Keep a copy of all records."""
        self._copy = {
            topic: list(records) for topic, records in self._records.items()
        }

    def return_older(self, rewrite_after_s: float) -> None:
        """Return from the copy, in a new era.

        :param rewrite_after_s: time until the operator and the targets have
            written again what the copy lacks.
        """
        lost = self._records
        self._records = collections.defaultdict(
            list,
            {topic: list(records) for topic, records in self._copy.items()},
        )
        self.era += 1
        reactor.callLater(rewrite_after_s, self._rewrite, lost)

    def _rewrite(self, lost: dict[str, list[tuple[str, bytes]]]) -> None:
        """Append the newest lost value of each key that has no newer one."""
        for topic in ('keyed.op', 'keyed.servers'):
            copied = len(self._copy.get(topic, ()))
            written = {key for key, _ in self._records[topic][copied:]}
            for key, value in dict(lost[topic]).items():
                if key in written:
                    continue
                if topic == 'keyed.servers' and value:
                    entry = msgspec.json.decode(value)
                    entry['sequence'] = self.target_records.next_sequence(key)
                    value = msgspec.json.encode(entry)
                self._records[topic].append((key, value))

    @app.route('/log-newest')
    def read_newest(self, request) -> bytes:
        """Return the newest record of each key of a topic."""
        self._apply_store_mode(request)
        records = self._records[_query_argument(request, 'topic')]
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
        """Return records from an offset on; wait if there are none."""
        self._apply_store_mode(request)
        log_name = _log_name(request)
        records = self._records[log_name]
        start = int(_query_argument(request, 'from'))
        wait_s = min(
            _MAX_WAIT_S, int(_query_argument(request, 'waitMs', '0')) / 1000
        )
        max_bytes = int(_query_argument(request, 'maxKb', '1024')) << 10
        deadline = time.monotonic() + wait_s
        era = self.era
        while (
            len(records) <= start
            and self.era == era
            and time.monotonic() < deadline
        ):
            await task.deferLater(reactor, _POLL_S)
        # The store may have returned from its copy meanwhile.
        records = self._records[log_name]
        self._apply_store_mode(request)
        first = self._first_offsets.get(_query_argument(request, 'topic'), 0)
        first = min(first, len(records))
        if not first <= start <= len(records):
            request.setResponseCode(410)
            return msgspec.json.encode({'first': first})
        parts = [struct.pack('>QQ', len(records), first)]
        size = 0
        for key, value in records[start:]:
            content = value
            if log_name.startswith(_KEYED_PREFIX):
                content = bytes((len(key),)) + key.encode() + value
            size += len(content) + 4
            if size > max_bytes and len(parts) > 1:
                break
            parts.append(struct.pack('>I', len(content)) + content)
        return b''.join(parts)

    @app.route('/log-append', methods=['POST'])
    def append(self, request) -> bytes:
        """Append records to a topic."""
        self._apply_store_mode(request)
        log_name = _log_name(request)
        records = self._records[log_name]
        data = request.content.read()
        position = 0
        first = len(records)
        if int(request.args.get(b'at', [first])[0]) != first:
            request.setResponseCode(412)
            return msgspec.json.encode({'end': first})
        while position < len(data):
            (length,) = struct.unpack_from('>I', data, position)
            content = data[position + 4 : position + 4 + length]
            position += 4 + length
            if not log_name.startswith(_KEYED_PREFIX):
                records.append(('', content))
                continue
            key_bytes = content[0]
            records.append(
                (content[1 : 1 + key_bytes].decode(), content[1 + key_bytes :])
            )
        return msgspec.json.encode({'offset': first, 'end': len(records)})

    @app.route('/control', methods=['POST'])
    def change_behaviour(self, request) -> bytes:
        """Change the desired state, the store or targets."""
        changes = msgspec.json.decode(request.content.read(), type=dict)
        if 'desired' in changes:
            self._append('keyed.op', 'config', changes['desired'])
        for name, value in changes.get('evacuations', {}).items():
            self.evacuate(name, value)
        for key, value in changes.get('entries', {}).items():
            # Bytes of any form, as another writer may leave them.
            self._records['keyed.servers'].append(
                (key, base64.b64decode(value))
            )
        for record in changes.get('hosts', ()):
            self._append('keyed.walnutport-hosts', record['name'], record)
        if changes.get('copy'):
            self.take_copy()
        if 'return_older' in changes:
            self.return_older(changes['return_older'])
        self._first_offsets.update(changes.get('expired', {}))
        if 'store' in changes:
            self.store_mode = changes['store']
        self.store_mode_by_port.update(
            (int(port), mode)
            for port, mode in changes.get('store_at', {}).items()
        )
        if 'crashing_parts' in changes:
            self.crashing_parts = set(changes['crashing_parts'])
        self.losses_left = changes.get('lose_inputs', self.losses_left)
        self.crash_delay_ms = changes.get(
            'crash_delay_ms', self.crash_delay_ms
        )
        self.events_before_crash = changes.get(
            'events_before_crash', self.events_before_crash
        )
        self.rejection_limit_by_service.update(changes.get('brittle', {}))
        self.crashes_unframed = changes.get(
            'crashes_unframed', self.crashes_unframed
        )
        self.is_unframed = changes.get('unframed', self.is_unframed)
        self.register_after_s = changes.get(
            'register_after_s', self.register_after_s
        )
        self.cold_rules_by_service.update(changes.get('cold_rules', {}))
        self.mode_by_target.update(changes.get('modes', {}))
        if 'speeds' in changes:
            self.speeds.plan = msgspec.convert(
                changes['speeds'], machine_speed.SpeedPlan
            )
        for target_id in changes.get('kill', ()):
            self._target_by_id[target_id].crash()
        self.headers_by_target.update(changes.get('headers', {}))
        for target_id in changes.get('crash', ()):
            self._target_by_id[target_id].crash()
        for target_id, version in changes.get('upgrade', {}).items():
            self._target_by_id[target_id].upgrade(version)
        for plan in self.settings.targets:
            state = changes.get('states', {}).get(plan.target_id)
            if state == 'gone':
                self._records['keyed.servers'].append((plan.target_id, b''))
            elif state:
                self.target_records.write(
                    plan, state, self.starts_by_target.get(plan.target_id, 1)
                )
            if plan.target_id in changes.get('cold', {}):
                self.target_records.make_cold(
                    plan,
                    changes['cold'][plan.target_id],
                    self.starts_by_target.get(plan.target_id, 1),
                )
        return b'{}'

    @app.route('/runs')
    def get_runs(self, request) -> bytes:
        """Return runs, freed handles, reports, arrivals and crashes."""
        return msgspec.json.encode(
            {
                'runs': self.runs,
                'ended_at_by_run': self.ended_at_by_run,
                'freed': self.freed,
                'arrivals': self.arrivals,
                'crashes': self.crashes,
                'cold_arrivals': self.cold_arrivals,
                'reports': self.reports,
            }
        )

    def _append(self, topic: str, key: str, value: object) -> None:
        self._records[topic].append((key, msgspec.json.encode(value)))

    def _apply_store_mode(self, request) -> None:
        request.setHeader('store-era', str(self.era))
        mode = self.store_mode_by_port.get(
            request.getHost().port, self.store_mode
        )
        if mode == 'busy':
            request.setResponseCode(503)
            raise _StoreFault
        if mode == 'reset':
            request.transport.abortConnection()
            raise _StoreFault

    @app.handle_errors
    def handle_store_fault(self, request, failure) -> bytes:
        """Return an empty response for a simulated fault of the store."""
        failure.trap(_StoreFault)
        return b''


class _StoreFault(Exception):
    pass


def _log_name(request) -> str:
    """Return the name of the records of a topic's partition."""
    topic = _query_argument(request, 'topic')
    part = int(_query_argument(request, 'part'))
    return f'{topic}#{part}' if part else topic


def _query_argument(request, name: str, default: str = '') -> str:
    return request.args.get(name.encode(), [default.encode()])[0].decode()
