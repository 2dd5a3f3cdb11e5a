"""Valid messages of every external source, and strategies to corrupt them."""

import copy
import json
import typing
import zlib

from hypothesis import strategies as st
import msgspec

from standins import fleet_plans
from walnutport.catalogue import records as catalogue_records
from walnutport.catalogue import snapshot
from walnutport.claims import records as claim_records
from walnutport.config import settings
from walnutport.cost import records as cost_records
from walnutport.orders import lease
from walnutport.peer import messages
from walnutport.service.fleet import suspects

__all__ = ['ANY_BYTES', 'DEEP', 'damaged']

# Exceeds the recursion limit of every decoder.
_DEPTH = 100_000
DEEP = b'[' * _DEPTH
_DEEP_MARK = '@deep@'
_REPLACEMENTS: st.SearchStrategy[typing.Any] = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(
        [0, -1, 1 << 63, -(1 << 63), (1 << 64) - 1, 1 << 70, 10**400]
    ),
    st.floats(),
    st.text(max_size=6),
    st.just(_DEEP_MARK),
    st.just(10**400),
    st.sampled_from(['', '\0', '-1', '1e999', '\ud7ff', 'x' * 5_000]),
    st.lists(st.integers(), max_size=3),
    st.dictionaries(st.text(max_size=3), st.none(), max_size=2),
)
ANY_BYTES = st.binary(max_size=100) | st.just(DEEP)


def json_bytes(value: object) -> bytes:
    """Encode with the json module, which accepts NaN and large integers."""
    text = json.dumps(value, default=lambda item: item.hex())
    return text.replace(f'"{_DEEP_MARK}"', DEEP.decode()).encode()


def packed(value: object) -> bytes:
    """Encode as msgpack; return an invalid byte for unsupported values."""
    try:
        data = msgspec.msgpack.encode(value)
        mark = msgspec.msgpack.encode(_DEEP_MARK)
        return data.replace(mark, b'\x91' * _DEPTH)
    except (OverflowError, ValueError):
        return b'\xc1'


def signed_snapshot(value: object) -> bytes:
    """Return a snapshot record with a valid digest."""
    body = zlib.compress(json_bytes(value))
    return b'%b7 %b\n%b' % (snapshot._MAGIC, snapshot._digest(body), body)


def _value_paths(value: object, path=()) -> list[tuple]:
    paths = [path] if path else []
    items: typing.Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        paths += _value_paths(item, (*path, key))
    return paths


@st.composite
def damaged(draw, sample: typing.Any, encode) -> bytes:
    """Draw an encoded message with replaced values or corrupted bytes."""
    value = copy.deepcopy(sample)
    for _ in range(draw(st.integers(0, 2))):
        paths = _value_paths(value)
        if not paths:
            break
        *path, last = draw(st.sampled_from(paths))
        parent = value
        for key in path:
            parent = parent[key]
        change = draw(st.integers(0, 5))
        if change == 0:
            del parent[last]
        elif change == 1 and isinstance(parent, dict):
            parent[draw(st.text(max_size=4))] = draw(
                _REPLACEMENTS | st.just(parent[last])
            )
        else:
            parent[last] = draw(_REPLACEMENTS)
    data = bytearray(encode(value))
    if draw(st.integers(0, 3)) == 0 and data:
        for _ in range(draw(st.integers(1, 3))):
            data[draw(st.integers(0, len(data) - 1))] = draw(
                st.integers(0, 255)
            )
        del data[draw(st.integers(0, len(data))) :]
    return bytes(data)


def plain(value: object) -> typing.Any:
    """Return a message as JSON-compatible lists, mappings and scalars."""
    return json.loads(json_bytes(msgspec.to_builtins(value)))


def plain_packed(value: object) -> typing.Any:
    """Return a message as the lists and scalars of its msgpack encoding."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value))


SETTINGS = json.loads(settings.dump_settings(settings.default_settings()))
CHANGES = fleet_plans.example_catalogue()
DEFINITIONS = {
    catalogue_records.EntryKind(item['kind']): json.loads(item['body'])
    for item in CHANGES
}
SNAPSHOT = [
    {
        'kind': item['kind'],
        'name': item['name'],
        'version': 1,
        'change_id': item['change_id'],
        'operator': 'a',
        'body': item['body'],
    }
    for item in CHANGES[:4]
]
CLAIMS = plain_packed(
    claim_records.Batch(
        claim_records.Owner('host-1', 7),
        (
            claim_records.Claim('c1', b'i' * 16, b'd' * 16, 1_000),
            claim_records.Release('c1', b'i' * 16),
        ),
    )
)
VERDICTS = json.loads(
    suspects.encode_verdicts([messages.SuspectReport(b'd', ('t/1', 't/2'))])
)
ORDERS = json.loads(
    lease.encode_record(
        lease.LeaseRecord(lease.RecordKind.ACQUIRE, 'all', 'host-1', 1, -1)
    )
)
COST = json.loads(
    cost_records.encode_batch(
        cost_records.CostBatch(
            'host-1',
            1,
            2,
            (
                cost_records.CostRow(
                    cost_records.CostKey('o', 'm', 'e', 's'),
                    cost_records.CostLine(1, 0, 2, 3),
                ),
            ),
        )
    )
)
HOST_LIST = {
    'hosts': [
        {'host_id': 'h', 'data_centre': 'd', 'ip': '127.0.0.1', 'peer_port': 9}
    ],
    'targets': [
        {
            'target_id': 't',
            'service': 's',
            'data_centre': 'd',
            'ip': '127.0.0.1',
            'port': 9,
            'slots': 4,
            'state': 'live',
        }
    ],
}
LOG_READ = {
    'streams': {
        'verdicts': {
            'records': [[0, 1_700_000_000_000, 'W10=']],
            'first': 0,
            'next': 1,
            'end': 1,
            'expired': False,
        }
    }
}
ENGINE = {
    'engine_id': 'e',
    'incarnation': 'i',
    'role': 'mixed',
    'places': 1,
    'models': [{'name': 'small', 'version': '1', 'loading': False}],
    'adapters': [],
    'fencing': 3,
    'demand_by_model': {'small': 2},
}
WEIGHTS = {
    'rate_bytes_per_s': 100.0,
    'models': [{'name': 'small', 'version': '1', 'bytes': 10}],
}
PEERS = (
    messages.Heartbeat(
        'd',
        True,
        False,
        3,
        True,
        (
            messages.LimitDemand(
                'k', 1, 2, 3, (messages.LimitLoan('h', 1, 2),)
            ),
        ),
        (messages.LeavingTarget('t', 'i'),),
        '127.0.0.1:9',
    ),
    messages.SuspectReport(b'd', ('t/1',)),
    messages.PermitReply('p', True, 1.0),
    messages.AnswerReply('q', messages.AnswerState.FINISHED),
    messages.StateReply('q', 1, 0, 1, b's'),
)
