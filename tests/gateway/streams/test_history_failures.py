"""Tests of the record of what has served lately when calls fail."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from tests.gateway.streams import history_hosts
from tests.routing import test_stream_origins
from walnutport import exceptions
from walnutport.gateway.streams import history_record
from walnutport.routing import origin_history
from walnutport.world import feeds

RETENTION_S = test_stream_origins.RETENTION_S
CHECK_S = history_record.CHECK_INTERVAL_S
Store = history_hosts.Store
HeldStore = history_hosts.HeldStore
Host = history_hosts.Host
advance = history_hosts.advance
first_host = history_hosts.first_host


@pytest.fixture
def clock(monkeypatch) -> task.Clock:
    """Return a clock that the records use."""
    return history_hosts.make_clock(monkeypatch)


@pytest.mark.parametrize('has_record', [False, True])
def test_host_that_cannot_read_writes_nothing(clock, has_record):
    """Guards against a record that hides what had left before a start."""
    store = Store(clock)
    if has_record:
        first_host(clock, store, 'v1', 'v2').record.stop()
    count = store.record_count()
    store.failures['read_newest'] = exceptions.LogUnavailable('busy')
    host = Host(clock, store, 'v2')
    before = store.calls
    advance(clock, RETENTION_S * 3)
    assert store.record_count() == count
    assert not host.record.has_read
    assert host.sole_version() is None
    assert host.log.events == ['origin_history_unavailable']
    assert store.calls - before <= 3 + 60 / history_record.MAX_RETRY_DELAY_S
    store.failures.clear()
    advance(clock, history_record.MAX_RETRY_DELAY_S + CHECK_S)
    assert host.record.has_read
    expected = ['v1', 'v2'] if has_record else ['v2']
    assert store.names('service/llm') == expected


@pytest.mark.parametrize(
    'value',
    [
        b'x',
        b'{}',
        b'\xff',
        b'{"names":["v2"],"era":1,"retention_s":1e99}',
        b'{"names":["v2"],"era":1,"retention_s":-1.0}',
        b'{"names":[2],"era":1,"retention_s":9.0}',
        pytest.param(
            b'{"names":["v2"],"era":1,"retention_s":9.0,"x":%b}'
            % (b'[' * 5000 + b']' * 5000),
            id='deep',
        ),
        pytest.param(
            b'{"names":["v2"],"era":1%b,"retention_s":9.0}' % (b'0' * 400),
            id='era_of_10^400',
        ),
    ],
)
def test_record_of_unknown_form_counts_as_none(clock, value):
    """Guards against a record of another build that is misread."""
    store = Store(clock)
    first_host(clock, store, 'v2').record.stop()
    store.write(feeds.Feed.ORIGIN_HISTORY, 'service/llm', value)
    store.write(feeds.Feed.ORIGIN_HISTORY, 'else/x', b'{}')
    host = Host(clock, store, 'v2')
    assert host.sole_version() is None
    assert host.log.events.count('origin_history_unreadable') == 2
    assert host.record.totals()['origin_history_unreadable_total'] == 2
    count = store.record_count()
    advance(clock, RETENTION_S - CHECK_S)
    assert store.record_count() == count, 'what it names may count'
    advance(clock, 2 * CHECK_S)
    assert store.names('service/llm') == ['v2']


@pytest.mark.parametrize('executes', [False, True])
def test_append_without_a_response_is_tried_again(clock, executes):
    """Guards against a change that is lost with the response."""
    store = Store(clock)
    host = first_host(clock, store, 'v1')
    store.failures['publish_all'] = exceptions.LogUnavailable('no response')
    store.executes = executes
    host.see('v1', 'v2')
    advance(clock, CHECK_S)
    assert host.log.events[-1] == 'origin_history_unavailable'
    store.failures.clear()
    store.executes = False
    advance(clock, history_record.MIN_RETRY_DELAY_S + CHECK_S)
    assert store.names('service/llm') == ['v1', 'v2']
    assert store.record_count() == 3


@pytest.mark.parametrize('call', ['read_newest', 'publish_all'])
def test_following_goes_on_after_an_unexpected_error(clock, call):
    """Guards against a host that never reads or writes the record again."""
    store = Store(clock)
    store.failures[call] = ValueError('broken')
    host = Host(clock, store, 'v1', is_first_start=True)
    advance(clock, RETENTION_S)
    assert host.log.events.count('origin_history_failed') == 1, 'not each time'
    assert (
        store.calls <= 2 + 2 * RETENTION_S / history_record.MIN_RETRY_DELAY_S
    )
    store.failures.clear()
    advance(clock, history_record.MAX_RETRY_DELAY_S + CHECK_S)
    assert store.names('service/llm') == ['v1']
    assert host.record.has_read
    store.failures['publish_all'] = ValueError('broken')
    host.see('v1', 'v2')
    advance(clock, 2 * CHECK_S)
    assert host.log.events.count('origin_history_failed') == 2, 'once more'


def test_record_is_seeded_after_an_error_in_between(clock, monkeypatch):
    """Guards against names that count as known, but were never counted."""
    store = Store(clock)
    first_host(clock, store, 'v1', 'v2').record.stop()
    seed = origin_history.OriginHistory.seed
    failures = [ValueError('broken')]

    def failing_once(history, use, now):
        if failures:
            raise failures.pop()
        seed(history, use, now)

    monkeypatch.setattr(origin_history.OriginHistory, 'seed', failing_once)
    host = Host(clock, store, 'v2')
    advance(clock, 2 * history_record.MIN_RETRY_DELAY_S)
    assert host.record.has_read
    assert host.history.is_recorded('r', clock.seconds())
    assert host.sole_version() is None


@pytest.mark.parametrize('may_write', [False, True])
def test_what_changed_during_a_read_decides_what_is_written(clock, may_write):
    """Guards against a write by what was computed before the read.

    Another host may have become the writer, and versions may have changed.
    """
    store = HeldStore(clock)
    host = first_host(clock, store, 'v1')
    count = store.record_count()
    store.era = 2
    store.held = defer.Deferred()
    host.see('v1', 'v2')
    advance(clock, 2 * CHECK_S)
    host.may_write = may_write
    host.see('v1', 'v2', 'v3')
    store.held.callback(None)
    if may_write:
        assert store.names('service/llm') == ['v1', 'v2', 'v3']
    else:
        assert store.record_count() == count
