"""Tests of the log of raw records in the platform's store."""

import struct

import msgspec
import pytest
from twisted.internet import defer

from walnutport import exceptions
from walnutport.http1 import messages
from walnutport.platform import record_log
from walnutport.platform import record_pages

TOPIC = 'walnutport-test'


class FakeStore:
    """Store with the rules of the platform's page, without a network.

    :param parts: partitions of each topic.
    :ivar first: offset of the first record that has not expired.
    """

    def __init__(self, parts: int = 4) -> None:
        self.era = 0
        self.next_era = 1
        self.parts = parts
        self.records: dict[int, list[bytes]] = {}
        self.first = 0
        self.status = 200
        self.reads: list[dict[str, str]] = []
        # Bytes that each read has returned.
        self.sizes: list[int] = []

    async def call(self, method, path, query, timeout_s=2.0, body=b''):
        assert query['topic'] == TOPIC
        self.era = self.next_era
        part = int(query['part'])
        if self.status != 200:
            return response(self.status)
        if part >= self.parts:
            return response(400)
        if path == '/log-append':
            assert method == b'POST'
            page = record_pages.decode_page(bytes(16) + body)
            self.records.setdefault(part, []).extend(page.contents)
            return response(200, b'{}')
        assert (method, path) == (b'GET', '/log-read')
        return self._read(part, query)

    def _read(self, part: int, query: dict[str, str]) -> messages.Response:
        self.reads.append(query)
        if part not in self.records:
            return response(404)
        records = self.records[part]
        start = int(query['from'])
        if start < self.first:
            return response(410, msgspec.json.encode({'first': self.first}))
        body = struct.pack('>QQ', len(records), self.first)
        for content in records[start:]:
            encoded = record_pages.encode_records((content,))
            if len(body) + len(encoded) > int(query['maxKb']) << 10:
                break
            body += encoded
        self.sizes.append(len(body))
        return response(200, body)


def response(status: int, body: bytes = b'') -> messages.Response:
    """Return a response of the store."""
    return messages.Response(messages.ResponseHead(status, []), body)


def make_log(store: FakeStore) -> record_log.PlatformRecordLog:
    """Return a log in a store."""
    return record_log.PlatformRecordLog(store, TOPIC)


def run(coroutine):
    """Return the result of a coroutine that does not wait."""
    return defer.Deferred.fromCoroutine(coroutine).result


def numbered(count: int, size: int = 400) -> list[bytes]:
    """Return records that begin with their number."""
    return [f'{number:08}'.encode().ljust(size) for number in range(count)]


def test_appended_records_are_read_once():
    """Guards against records that are decoded again with each read."""
    store = FakeStore()
    writer = make_log(store)
    reader = make_log(store)
    assert run(reader.read_latest(2)) == []
    run(writer.append(2, [b'x', b'y']))
    assert run(reader.read_latest(2)) == [b'x', b'y']
    assert run(reader.read_latest(1)) == []
    run(writer.append(2, [b'z']))
    assert run(reader.read_latest(2)) == [b'z']
    assert run(reader.read_latest(2)) == []
    assert len(store.reads) == 5, 'one call each'


def test_end_of_a_long_log_is_found_in_few_calls():
    """Guards against reading all that the store has kept."""
    store = FakeStore()
    store.records[0] = numbered(50_000)
    log = make_log(store)
    found = run(log.read_latest(0))
    assert found[-1] == store.records[0][-1]
    newest = store.records[0][-1500:]
    assert found[-1500:] == newest
    assert len(store.reads) == 2
    assert sum(store.sizes) < 1 << 20
    store.records[0] += numbered(3)
    assert run(log.read_latest(0)) == numbered(3)
    assert len(store.reads) == 3


def test_newest_records_are_read_behind_larger_first_ones():
    """Guards against a tail cut short by the size of the oldest records.

    Streams from before a release are written in large records at its start.
    """
    store = FakeStore()
    store.records[0] = numbered(12, 15_700) + numbered(3000, 110)
    found = run(make_log(store).read_latest(0))
    assert found[-3000:] == store.records[0][-3000:]
    assert len(store.reads) <= 4


def test_end_is_found_where_the_first_records_have_expired():
    """Guards against an end that only 410 leads to."""
    store = FakeStore()
    store.records[0] = numbered(50_000)
    store.first = 20_000
    log = make_log(store)
    assert run(log.read_latest(0))[-1] == store.records[0][-1]
    assert len(store.reads) == 3
    store.records[0] += numbered(30_000)
    store.first = 70_000
    found = run(log.read_latest(0))
    assert found[-1500:] == store.records[0][-1500:]
    assert len(store.reads) == 6


def test_all_records_may_have_expired():
    """Guards against a read without end of a log that is empty again."""
    store = FakeStore()
    store.records[0] = numbered(5)
    store.first = 5
    log = make_log(store)
    assert run(log.read_latest(0)) == []
    store.records[0] += [b'x']
    assert run(log.read_latest(0)) == [b'x']


def test_end_is_reached_although_later_records_are_larger():
    """Guards against the newest records, which callers need first."""
    store = FakeStore()
    store.records[0] = numbered(50_000, 100) + numbered(300, 8000)
    found = run(make_log(store).read_latest(0))
    assert found[-1] == store.records[0][-1]
    assert len(store.reads) <= record_log.MAX_CALLS


def test_store_that_returned_older_is_read_from_the_start():
    """Guards against offsets of the era before."""
    store = FakeStore()
    store.records[0] = numbered(100)
    log = make_log(store)
    assert len(run(log.read_latest(0))) == 100
    store.records[0] = [b'a', b'b']
    store.next_era = 2
    assert run(log.read_latest(0))[-2:] == [b'a', b'b']
    assert len(store.reads) == 3
    store.records[0] += [b'c']
    assert run(log.read_latest(0)) == [b'c']


def test_records_of_a_new_era_before_the_offset_are_read():
    """Guards against records at offsets that were read in the era before."""
    store = FakeStore()
    store.records[0] = numbered(3)
    log = make_log(store)
    run(log.read_latest(0))
    store.records[0] = [b'a', b'b', b'c', b'd', b'e']
    store.next_era = 2
    found = run(log.read_latest(0))
    assert {b'a', b'b', b'c', b'd', b'e'} <= set(found)


def test_store_that_names_no_era_may_have_fewer_records():
    """Guards against an offset beyond the end for ever."""
    store = FakeStore()
    store.next_era = 0
    store.records[0] = numbered(100)
    log = make_log(store)
    run(log.read_latest(0))
    store.records[0] = [b'a', b'b']
    assert run(log.read_latest(0)) == [b'a', b'b']


@pytest.mark.parametrize('status', [429, 500, 503, 507])
def test_refusals_of_the_store_are_errors(status):
    """Guards against records that count as written, or as none."""
    store = FakeStore()
    log = make_log(store)
    run(log.append(0, [b'x']))
    store.status = status
    for coroutine in (log.append(0, [b'y']), log.read_latest(0)):
        failed = defer.Deferred.fromCoroutine(coroutine)
        failed.addErrback(lambda failure: failure.type)
        assert failed.result is exceptions.LogUnavailable
    store.status = 200
    assert run(log.read_latest(0)) == [b'x']


def test_records_are_read_again_after_an_error_between_two_pages(monkeypatch):
    """Guards against a page that the error of the next one takes away."""
    store = FakeStore()
    store.records[0] = numbered(50_000)
    call = store.call

    async def failing(*args, **kwargs):
        if len(store.reads) == 1:
            raise exceptions.LogUnavailable('away')
        return await call(*args, **kwargs)

    monkeypatch.setattr(store, 'call', failing)
    log = make_log(store)
    failed = defer.Deferred.fromCoroutine(log.read_latest(0))
    failed.addErrback(lambda failure: failure.type)
    assert failed.result is exceptions.LogUnavailable
    monkeypatch.setattr(store, 'call', call)
    found = run(log.read_latest(0))
    assert found[0] == store.records[0][0]
    assert found[-1] == store.records[0][-1]


def test_refusal_that_names_no_offset_is_an_error(monkeypatch):
    """Guards against an exception that ends the read of all partitions."""
    store = FakeStore()
    store.status = 410
    failed = defer.Deferred.fromCoroutine(make_log(store).read_latest(0))
    failed.addErrback(lambda failure: failure.type)
    assert failed.result is exceptions.LogUnavailable


def test_topic_with_fewer_partitions_is_used_as_it_is():
    """Guards against origins of hosts whose partition does not exist."""
    store = FakeStore(parts=2)
    log = make_log(store)
    run(log.append(3, [b'x']))
    run(log.append(3, [b'y']))
    run(log.append(1, [b'z']))
    assert store.records == {0: [b'x', b'y'], 1: [b'z']}
    found = [run(log.read_latest(part)) for part in range(4)]
    assert found == [[b'x', b'y'], [b'z'], [], []]


@pytest.mark.parametrize(
    'body',
    [
        pytest.param(
            b'{"first":1,"x":' + b'[' * 5000 + b']' * 5000 + b'}', id='deep'
        ),
        pytest.param(b'{"first":1' + b'0' * 400 + b'}', id='10^400'),
        pytest.param(b'{"first":-1}', id='negative'),
    ],
)
def test_odd_first_offset_is_an_error_of_the_log(body):
    """Guards against a refusal that ends whoever reads the log."""
    with pytest.raises(exceptions.LogUnavailable):
        record_log._first_offset(response(410, body))
