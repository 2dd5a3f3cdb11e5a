"""Tests of when a read of the targets confirms what is registered."""

import dataclasses

import pytest
from twisted.internet import defer

from tests.gateway.state import test_store_era
from walnutport.gateway.state import feed_follower
from walnutport.world import feeds

TARGETS = feeds.Feed.TARGETS
PAGE_RECORDS = 10


class PagedStore(test_store_era.FakeStore):
    """Store whose reads return a few records each."""

    async def read(self, feed, offset, wait_s):
        page = await super().read(feed, offset, wait_s)
        records = page.records[:PAGE_RECORDS]
        return dataclasses.replace(
            page,
            records=records,
            end=offset + len(records),
            feed_end=page.end,
        )


@pytest.fixture
def fixture(monkeypatch) -> test_store_era.Fixture:
    """Return a follower that reads the targets for its peers."""
    found = test_store_era.Fixture(monkeypatch)
    found.store = PagedStore(found.clock)
    found.follower = found.make_follower(found.mesh)
    found.write_desired(1)
    found.write_target('t', b'1')
    found.start()
    return found


def confirm(fixture: test_store_era.Fixture) -> defer.Deferred:
    """Return whether the targets are known as of now."""
    return defer.Deferred.fromCoroutine(
        fixture.follower.confirmation.confirm(fixture.clock.seconds())
    )


def entry_number(fixture: test_store_era.Fixture) -> int:
    """Return which entry of the target the follower knows."""
    return fixture.follower.registry.targets['t'].sequence


def test_read_confirms_what_stands_behind_many_records(fixture):
    """Guards against a version that a read has not reached.

    The store returns 1 MB at most, and some thousand targets write that much
    within the time between two reads.
    """
    for _ in range(3 * PAGE_RECORDS):
        fixture.write_target('u', b'1')
    fixture.write_target('t', b'2')
    assert confirm(fixture).result is True
    assert entry_number(fixture) == 2
    calls = fixture.store.calls
    assert confirm(fixture).result is True
    assert fixture.store.calls == calls


def test_read_does_not_follow_a_feed_that_grows(fixture, monkeypatch):
    """Guards against calls without end beside targets that write often."""
    read = fixture.store.read
    reads = 0

    async def read_and_grow(feed, *arguments):
        nonlocal reads
        page = await read(feed, *arguments)
        if feed is TARGETS:
            reads += 1
            for _ in range(PAGE_RECORDS):
                fixture.write_target('u', b'1')
        return page

    monkeypatch.setattr(fixture.store, 'read', read_and_grow)
    for _ in range(PAGE_RECORDS + 1):
        fixture.write_target('u', b'1')
    assert confirm(fixture).result is True
    assert reads == 2


def test_read_that_does_not_reach_the_end_confirms_nothing(
    fixture, monkeypatch
):
    """Guards against a decision by a part of what is registered."""
    monkeypatch.setattr(feed_follower, 'MAX_PAGES', 2)
    for _ in range(3 * PAGE_RECORDS):
        fixture.write_target('u', b'1')
    fixture.write_target('t', b'2')
    assert confirm(fixture).result is False
    assert entry_number(fixture) == 1
    assert confirm(fixture).result is True
    assert entry_number(fixture) == 2


def test_read_that_is_not_applied_confirms_nothing(fixture, monkeypatch):
    """Guards against a decision by what the host knew before a failure."""

    def fail(page, now):
        raise RuntimeError('unexpected')

    monkeypatch.setattr(fixture.follower.registry, 'apply', fail)
    fixture.write_target('t', b'2')
    assert confirm(fixture).result is False
    assert entry_number(fixture) == 1
