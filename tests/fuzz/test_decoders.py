"""Bytes from external sources raise only the documented errors of a layer.

Each case passes bytes to the component of walnutport that receives them and,
if they decode, to the component that processes them.
"""

from collections.abc import Callable
from collections.abc import Iterator
import logging
import random

import hypothesis
import msgspec
import pytest
from twisted.internet import defer
from twisted.internet import task

from tests.fuzz import samples
from walnutport.adapters import engine_control
from walnutport.adapters import host_list
from walnutport.adapters import http_client
from walnutport.adapters import log_service
from walnutport.adapters import stage_client
from walnutport.adapters import weight_store
from walnutport.catalogue import follower
from walnutport.catalogue import records as catalogue_records
from walnutport.catalogue import snapshot
from walnutport.claims import fold as claim_fold
from walnutport.claims import records as claim_records
from walnutport.config import settings
from walnutport.cost import records as cost_records
from walnutport import exceptions
from walnutport import interfaces
from walnutport.orders import lease
from walnutport.peer import codec
from walnutport.peer import messages
from walnutport.quarantine import suspects
from walnutport.relay import stream
from walnutport.routing import router
from walnutport.service.fleet import suspects as suspects_shell
from walnutport.service.records import log_reader
from walnutport import world

_ADDRESS = world.Address('127.0.0.1', 9)
_TARGET = world.Target('t', 's', 'd', _ADDRESS, 4)
_KEYS = codec.Keyring('k1', {'k1': b'k' * 16})
_CALL = stage_client.StageCall('a', 'r', 'e', 's', 1.0, b'{}')
_JSON = samples.json_bytes
_Feed = Callable[[bytes], object]


class _Clock:
    def monotonic(self) -> float:
        return 0.0

    def wall(self) -> float:
        return 1_700_000_000.0


class _Client:
    """Answers every call with the same bytes."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        self._reply = http_client.HttpReply(
            status, {'walnutport-load': ''}, body
        )

    async def call(self, *args, on_sent=lambda: None, **kwargs):
        on_sent()
        return self._reply


def _await(coroutine):
    """Return the result of a coroutine or Deferred that never waits."""
    if not isinstance(coroutine, defer.Deferred):
        coroutine = defer.Deferred.fromCoroutine(coroutine)
    results: list = []
    coroutine.addBoth(results.append)
    assert results, 'the coroutine did not finish at once'
    if hasattr(results[0], 'raiseException'):
        results[0].raiseException()
    return results[0]


def _adapter(kind, body: bytes, status: int = 200):
    """Return an adapter that gets the same bytes as answer to every call."""
    return kind(
        http_client.TimeoutClient(
            _Client(body, status), _ADDRESS, task.Clock(), 1.0
        )
    )


def _page(payload: bytes) -> interfaces.StreamPage:
    record = interfaces.LogRecord(0, 1, payload)
    return interfaces.StreamPage((record,), 0, 1, 1)


def _feed_catalogue(payload: bytes) -> None:
    catalogue_follower = follower.CatalogueFollower(lambda: None)
    catalogue_follower.apply(_page(payload), 0.0)
    assert catalogue_follower.synced
    catalogue_follower.fold.view()


def _feed_claims(payload: bytes) -> None:
    claims = claim_fold.ClaimFold(600.0, 30.0)
    batch = claim_records.decode_batch(payload)
    list(claims.apply(batch, 1_000.0))


def _feed_verdicts(payload: bytes) -> None:
    table = suspects.SuspectTable()
    for verdict in suspects_shell.decode_verdicts(payload):
        table.merge(verdict, 0.0)


def _feed_orders(payload: bytes) -> None:
    lease_manager = lease.LeaseManager('all', 'a', 1, 5.0, random.Random(1))
    lease_manager.page_read(_page(payload), 0.0, 0.1)
    lease.decode_record(payload)


def _router() -> router.StandardRouter:
    return router.StandardRouter(
        'host',
        'd',
        subset_size=8,
        max_ejected_share=0.3,
        rng=random.Random(1),
    )


def _feed_host_list(body: bytes) -> None:
    page = host_list.decode_list(body)
    standard_router = _router()
    standard_router.hosts_changed(page.hosts_by_id, 0.0)
    standard_router.targets_changed(page.targets_by_id, 0.0)
    standard_router.route(interfaces.RouteQuery('s', 1.0), 0.0)


def _feed_load(data: bytes) -> None:
    load = stage_client.parse_load(data.decode('latin-1'))
    standard_router = _router()
    standard_router.targets_changed({'t': _TARGET, 'u': _TARGET}, 0.0)
    standard_router.load_reported('t', load, 0.0)
    standard_router.route(interfaces.RouteQuery('s', 1.0), 0.1)


def _feed_stream(data: bytes) -> None:
    attempt = stream.StreamSession().open_attempt()
    attempt.feed(data)
    attempt.feed(b'\n\n')


def _feed_reply(data: bytes) -> None:
    headers = {'walnutport-attempt-id': 'a', 'walnutport-load': 'running=1'}
    stage_client._decode_reply(
        _CALL, http_client.HttpReply(200, headers, data)
    )


def _feed_log_read(data: bytes) -> None:
    """Poll the log once; no answer may end the reader."""
    clock = task.Clock()
    watch = suspects_shell.CrashDetector(
        suspects.SuspectTable(), _router(), None, _Clock(), clock
    )
    service = _adapter(log_service.HttpLogService, data)
    reader = log_reader.LogReader(service, [watch], _Clock(), clock, 1.0)
    _await(reader._poll())


def _feed_log_append(data: bytes) -> None:
    service = _adapter(log_service.HttpLogService, data, 201)
    result = _await(service.append('s', b'x'))
    assert result.is_ok() or isinstance(
        result.error, exceptions.AppendAmbiguous
    )


def _feed_engine_report(data: bytes) -> None:
    control = engine_control.EngineControl(_Client(data), task.Clock(), 1.0)
    _await(control.read_report(_TARGET))


def _feed_weights(data: bytes) -> None:
    _await(_adapter(weight_store.HttpWeightStore, data).read())


def _feed_peer(index: int, data: bytes) -> None:
    kind = codec._KIND_BY_TYPE[type(samples.PEERS[index])]
    envelope = messages.Envelope(1, 'host-2', 1, 1, kind, data)
    payload = codec._encode(envelope)
    mac = codec._mac(_KEYS.keys_by_id['k1'], 1, 'k1', payload)
    frame = codec._ENCODER.encode((1, 'k1', mac, payload))
    codec.Codec(_KEYS).decode(frame)


def _feed_definition(kind: catalogue_records.EntryKind, data: bytes) -> None:
    body = data.decode('utf-8', 'surrogateescape')
    catalogue_records.parse_definition(kind, body)
    change = catalogue_records.ChangeRecord('c', kind, 'n', 0, 'o', body)
    _feed_catalogue(catalogue_records.encode_change(change))


def _encode_load(fields: dict) -> bytes:
    text = ';'.join(f'{name}={value}' for name, value in fields.items())
    return text.encode('utf-8', 'replace')


def _encode_events(parts: list) -> bytes:
    return (
        b''.join(
            b'id: %b\ndata: %b\n\n' % (str(number).encode(), _JSON(data))
            for number, data in (
                part
                if isinstance(part, list) and len(part) == 2
                else (part, part)
                for part in parts
            )
        )
        + b'event: done\ndata: '
        + _JSON(parts[-1] if parts else None)
    )


_EVENTS = [[0, {'token': 0}], [1, {'token': 1}], {'output': {}, 'tokens': 2}]
_LOAD = {
    'running': 1,
    'queued': 0,
    'slots': 4,
    'incarnation': 'a',
    'state': 'live',
}
_CODEC = exceptions.CodecError
_CASES: dict[str, tuple[object, Callable, _Feed, tuple]] = {
    'settings': (
        samples.SETTINGS,
        _JSON,
        settings.parse_settings,
        (exceptions.SettingsError,),
    ),
    'change': (samples.CHANGES[2], _JSON, _feed_catalogue, ()),
    'snapshot': (
        samples.SNAPSHOT,
        samples.signed_snapshot,
        lambda data: (_feed_catalogue(data), snapshot.decode_snapshot(data)),
        (_CODEC,),
    ),
    'claims': (samples.CLAIMS, samples.packed, _feed_claims, (_CODEC,)),
    'verdicts': (samples.VERDICTS, _JSON, _feed_verdicts, (_CODEC,)),
    'orders': (samples.ORDERS, _JSON, _feed_orders, (_CODEC,)),
    'cost': (samples.COST, _JSON, cost_records.decode_batch, (_CODEC,)),
    'host list': (samples.HOST_LIST, _JSON, _feed_host_list, (_CODEC,)),
    'load': (_LOAD, _encode_load, _feed_load, (_CODEC,)),
    'events': (_EVENTS, _encode_events, _feed_stream, ()),
    'reply': (
        {'output': {'a': 1}},
        _JSON,
        _feed_reply,
        (exceptions.AttemptLost,),
    ),
    'log read': (samples.LOG_READ, _JSON, _feed_log_read, ()),
    'log append': ({'offset': 3}, _JSON, _feed_log_append, ()),
    'engine report': (
        samples.ENGINE,
        _JSON,
        _feed_engine_report,
        (exceptions.OrderError,),
    ),
    'weights': (samples.WEIGHTS, _JSON, _feed_weights, ()),
}
for _kind, _sample in samples.DEFINITIONS.items():
    _CASES[f'definition {_kind}'] = (
        _sample,
        _JSON,
        lambda data, kind=_kind: _feed_definition(kind, data),
        (exceptions.CatalogueError,),
    )
for _index, _message in enumerate(samples.PEERS):
    _CASES[f'peer {type(_message).__name__}'] = (
        msgspec.msgpack.decode(codec._encode(_message)),
        samples.packed,
        lambda data, index=_index: _feed_peer(index, data),
        (_CODEC, exceptions.PeerError),
    )


@pytest.fixture(autouse=True)
def fixture_disable_logging() -> Iterator[None]:
    """Disable logging to keep thousands of lines out of the report."""
    logging.disable()
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize('name', _CASES)
def test_only_errors_of_the_layer(name: str) -> None:
    """Guards against external bytes that raise an undocumented error."""
    sample, encode, feed, allowed = _CASES[name]
    taken = 0

    @hypothesis.settings(max_examples=500)
    @hypothesis.example(samples.DEEP)
    @hypothesis.given(samples.damaged(sample, encode) | samples.ANY_BYTES)
    def run(data: bytes) -> None:
        nonlocal taken
        try:
            feed(data)
            taken += 1
        except allowed:
            pass

    feed(encode(sample))
    run()
    # Inputs that decode reach the code behind the decoder.
    assert taken
