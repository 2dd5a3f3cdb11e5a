"""Tests of a store that returns from an older copy.

Its offsets go back and are assigned again. The fake store below has the same
calls as the platform's client.
"""

import random

from twisted.internet import defer
from twisted.internet import task

from tests.gateway.state import evacuation_builders
from tests.gateway.state import test_feed_follower
from walnutport import exceptions
from walnutport.gateway.peers import host_directory
from walnutport.gateway.state import feed_follower
from walnutport.peer import fleet_messages
from walnutport.routing import eligibility
from walnutport.world import feeds
from walnutport.world import registrations

# A power of two, so that the times of timers are exact.
STEP_S = 1 / 16
MAX_CALLS = 2000
# Time after which the client gives up a held read that got no response, in
# addition to the wait time.
RESPONSE_MARGIN_S = 1.0


class FakeStore:
    """Store in memory that can return from a copy."""

    def __init__(self, clock: task.Clock) -> None:
        self._clock = clock
        self.era = 1
        self.calls = 0
        self.published: list[tuple[int, str]] = []
        self._era_of_store = 1
        self._records: dict[feeds.Feed, list[tuple[str, bytes | None]]] = {
            feed: [] for feed in feeds.Feed
        }
        self._copy = self._records
        self._waiting: list[defer.Deferred] = []

    def write(self, feed: feeds.Feed, key: str, value: bytes | None) -> None:
        """Append a record and answer the reads that wait for one."""
        self._records[feed].append((key, value))
        self._wake()

    def take_copy(self) -> None:
        """Keep a copy of all records."""
        self._copy = {
            feed: list(records) for feed, records in self._records.items()
        }

    def return_older(self, answers_held_reads: bool = True) -> None:
        """Return from the copy.

        :param answers_held_reads: whether the reads that wait for a record
            get a response.
        """
        self._records = {
            feed: list(records) for feed, records in self._copy.items()
        }
        self._era_of_store += 1
        if not answers_held_reads:
            self.lose_held_reads()
        self._wake()

    def lose_held_reads(self) -> None:
        """Never answer the reads that wait for a record now."""
        self._waiting.clear()

    async def read_newest(self, feed: feeds.Feed) -> feeds.FeedPage:
        self._count_call()
        records = self._records[feed]
        newest = {
            key: feeds.FeedRecord(key, value, offset)
            for offset, (key, value) in enumerate(records)
        }
        return feeds.FeedPage(
            tuple(record for record in newest.values() if record.value),
            len(records),
            self.era,
        )

    async def read(
        self, feed: feeds.Feed, offset: int, wait_s: float
    ) -> feeds.FeedPage:
        self._count_call()
        if wait_s and offset == len(self._records[feed]):
            await self._wait_for_record(wait_s)
            self.era = self._era_of_store
        records = self._records[feed]
        if offset > len(records):
            raise exceptions.RecordsExpired('gone', offset)
        return feeds.FeedPage(
            tuple(
                feeds.FeedRecord(key, value, offset + number)
                for number, (key, value) in enumerate(records[offset:])
            ),
            len(records),
            self.era,
        )

    async def publish(self, feed: feeds.Feed, key: str, value: bytes) -> None:
        self._count_call()
        self.published.append((self.era, key))
        self.write(feed, key, value)

    async def publish_all(
        self, feed: feeds.Feed, value_by_key, end: int
    ) -> int:
        self._count_call()
        records = self._records[feed]
        if end != len(records):
            raise exceptions.AppendConflict(f'ends at {len(records)}')
        for key, value in value_by_key.items():
            self.write(feed, key, value)
        return len(records)

    def _count_call(self) -> None:
        self.era = self._era_of_store
        self.calls += 1
        assert self.calls < MAX_CALLS, 'the store is called without a pause'

    async def _wait_for_record(self, wait_s: float) -> None:
        waiting: defer.Deferred = defer.Deferred()
        self._waiting.append(waiting)
        timers = (
            self._clock.callLater(wait_s, self._end_wait, waiting),
            self._clock.callLater(
                wait_s + RESPONSE_MARGIN_S,
                waiting.errback,
                exceptions.LogUnavailable('no response'),
            ),
        )
        try:
            await waiting
        finally:
            for timer in timers:
                if timer.active():
                    timer.cancel()

    def _end_wait(self, waiting: defer.Deferred) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            waiting.callback(None)

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call.callback(None)


def decode_target(key: str, data: bytes) -> registrations.RegisteredTarget:
    """Decode values of the form ``SEQUENCE[d]``."""
    return registrations.RegisteredTarget(
        key,
        1,
        'llm',
        ('10.0.0.1', 80),
        'a',
        4,
        data.endswith(b'd'),
        0.0,
        int(data.rstrip(b'd')),
    )


class Fixture:
    """Follower of a fake store, with a clock that tests advance."""

    def __init__(self, monkeypatch) -> None:
        self.clock = task.Clock()
        monkeypatch.setattr(
            feed_follower.time, 'monotonic', lambda: self.clock.seconds()
        )
        self.store = FakeStore(self.clock)
        self.mesh = test_feed_follower.FakeMesh()
        self.mesh.own_record = fleet_messages.HostRecord(
            'own', 'i', '10.0.0.1', 1, 'a', 1.0
        )
        self.log = test_feed_follower.FakeLog()
        self.new_eras = 0
        self.follower = self.make_follower(self.mesh)

    def make_follower(
        self, mesh, is_first_start: bool = True
    ) -> feed_follower.FeedFollower:
        """Return another follower of the store, which is not started."""
        return feed_follower.FeedFollower(
            self.clock,
            self.log,
            self.store,
            'config',
            test_feed_follower.FakeDesiredState,
            decode_target,
            lambda: None,
            mesh,
            self._new_era,
            evacuation_builders.make_feed(self.log, mesh),
            is_first_start,
        )

    def _new_era(self) -> None:
        self.new_eras += 1

    def start(self) -> None:
        """Start the follower and let it read everything."""
        self.follower.start()
        self.advance(2.0)

    def advance(self, seconds: float) -> None:
        """Advance the clock, and remove lapsed targets as a host does."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.follower.tick()

    def write_desired(self, version: int) -> None:
        """Write a desired state as the operator does."""
        self.store.write(feeds.Feed.DESIRED, 'config', b'%d' % version)

    def write_target(self, key: str, value: bytes | None) -> None:
        """Write the entry of a target."""
        self.store.write(feeds.Feed.TARGETS, key, value)


def test_newer_desired_state_at_a_lower_offset_is_applied(monkeypatch):
    """Guards against a desired state that offsets before the return hide."""
    fixture = Fixture(monkeypatch)
    fixture.store.take_copy()
    for version in range(1, 11):
        fixture.write_desired(version)
    fixture.start()
    assert fixture.follower.desired_version == 10
    fixture.store.return_older()
    fixture.advance(1.0)
    fixture.write_desired(11)
    fixture.advance(1.0)
    assert fixture.follower.desired_version == 11


def test_desired_state_in_force_is_not_taken_back(monkeypatch):
    """Guards against a return to what the operator has replaced.

    The copy lacks the version in force until the operator writes it again.
    """
    fixture = Fixture(monkeypatch)
    fixture.write_desired(4)
    fixture.store.take_copy()
    fixture.write_desired(5)
    fixture.start()
    fixture.store.return_older()
    fixture.advance(2.0)
    assert fixture.follower.desired_version == 5
    assert 'desired_superseded' in fixture.log.events
    fixture.write_desired(5)
    fixture.write_desired(7)
    fixture.advance(2.0)
    assert fixture.follower.desired_version == 7


def test_expired_offset_is_read_again_with_a_pause(monkeypatch):
    """Guards against a loop of full reads and expired offsets."""
    fixture = Fixture(monkeypatch)
    fixture.store.take_copy()
    for version in range(1, 11):
        fixture.write_desired(version)
    fixture.start()
    calls_before = fixture.store.calls
    fixture.store.return_older()
    fixture.advance(4.0)
    # Targets are read every 0.7 s; the desired state twice.
    assert fixture.store.calls - calls_before < 12
    assert fixture.new_eras == 1
    assert fixture.log.events.count('store_returned_older') == 1


def test_two_returns_in_a_row_are_followed(monkeypatch):
    """Guards against a second return during the reads after the first."""
    fixture = Fixture(monkeypatch)
    fixture.write_desired(1)
    fixture.store.take_copy()
    fixture.write_desired(2)
    fixture.start()
    fixture.store.return_older()
    fixture.store.return_older()
    fixture.advance(STEP_S)
    fixture.store.return_older()
    fixture.advance(2.0)
    assert fixture.follower.era == 4
    fixture.write_desired(3)
    fixture.advance(1.0)
    assert fixture.follower.desired_version == 3


def test_target_that_was_written_since_the_copy_is_kept(monkeypatch):
    """Guards against requests refused for targets that are alive.

    The copy lacks the entry until the target writes it again, which it does
    within about two seconds.
    """
    fixture = Fixture(monkeypatch)
    fixture.write_target('t1', b'1')
    fixture.store.take_copy()
    fixture.write_target('t2', b'1')
    fixture.write_target('t1', b'2')
    fixture.start()
    fixture.store.return_older()
    fixture.advance(1.5)
    assert set(fixture.follower.registry.targets) == {'t1', 't2'}
    fixture.write_target('t1', b'3')
    fixture.write_target('t2', b'2')
    fixture.advance(10.0)
    assert set(fixture.follower.registry.targets) == {'t1', 't2'}
    assert 'target_gone' not in fixture.log.events


def test_target_that_does_not_write_again_is_removed(monkeypatch):
    """Guards against keeping a target that died before the return."""
    fixture = Fixture(monkeypatch)
    fixture.write_target('t1', b'1')
    fixture.store.take_copy()
    fixture.write_target('t1', b'2')
    fixture.start()
    fixture.store.return_older()
    fixture.advance(feed_follower.registry.ERA_GRACE_S + 1.0)
    assert fixture.follower.registry.targets == {}


def test_draining_and_removed_targets_stay_so(monkeypatch):
    """Guards against new work for targets that the copy shows as ready."""
    fixture = Fixture(monkeypatch)
    for key in ('drained', 'removed'):
        fixture.write_target(key, b'1')
    fixture.store.take_copy()
    fixture.write_target('drained', b'2d')
    fixture.start()
    fixture.write_target('removed', None)
    fixture.advance(1.0)
    fixture.store.return_older()
    fixture.advance(1.5)
    known = fixture.follower.registry.targets.values()
    assert eligibility.Eligibility().eligible(known) == []
    fixture.write_target('drained', b'3d')
    fixture.write_target('removed', b'2')
    fixture.advance(1.0)
    assert set(fixture.follower.registry.targets) == {'drained', 'removed'}
    known = fixture.follower.registry.targets.values()
    assert [
        target.target_id
        for target in eligibility.Eligibility().eligible(known)
    ] == ['removed'], 'a later entry of a target shows that it is back'


def test_reader_below_the_new_end_reads_everything_again(monkeypatch):
    """Guards against records that are skipped without an expired offset.

    Other records were written before this host read again, so that its offset
    exists in the store, but is that of another record.
    """
    fixture = Fixture(monkeypatch)
    fixture.store.take_copy()
    fixture.write_target('t1', b'1')
    fixture.start()
    fixture.store.return_older()
    for number in range(2, 6):
        fixture.write_target(f't{number}', b'1')
    fixture.advance(2.0)
    assert set(fixture.follower.registry.targets) == {
        't1',
        't2',
        't3',
        't4',
        't5',
    }


def test_peer_of_an_earlier_era_pushes_nothing(monkeypatch):
    """Guards against records of an earlier era that replace new ones."""
    fixture = Fixture(monkeypatch)
    fixture.write_target('t1', b'1')
    fixture.start()
    fixture.store.return_older()
    fixture.write_target('t1', b'2')
    fixture.advance(2.0)
    old = feeds.FeedRecord('t1', None, 90)
    fixture.follower.handle_message(
        'peer', fleet_messages.TargetUpdate((old,), 1, 91, 91, 0.0, 0)
    )
    assert set(fixture.follower.registry.targets) == {'t1'}


def test_host_that_is_cut_off_follows_its_peers(monkeypatch):
    """Guards against hosts that contradict each other by their offsets.

    A host that the store refuses learns of the new era from a peer, and gets
    every target although its own offset is higher.
    """
    fixture = Fixture(monkeypatch)
    for number in range(5):
        fixture.write_target('t1', b'%d' % number)
    fixture.start()
    cut_mesh = test_feed_follower.FakeMesh()
    cut = fixture.make_follower(cut_mesh)
    for _, message in fixture.mesh.sent:
        cut.handle_message('reader', message)
    fixture.mesh.sent.clear()
    fixture.store.take_copy()
    fixture.store.return_older()
    fixture.write_target('t2', b'1')
    fixture.advance(2.0)
    reader = fixture.follower
    beat = fleet_messages.Heartbeat(
        0, reader.era, reader.registry.changes_end_offset, 0.1, True, False
    )
    cut.handle_message('reader', beat)
    fixture.clock.advance(1.0)
    cut.handle_message('reader', beat)
    request = cut_mesh.sent[-1][1]
    fixture.mesh.sent.clear()
    reader.handle_message('cut', request)
    for _, message in fixture.mesh.sent:
        cut.handle_message('reader', message)
    assert set(cut.registry.targets) == {'t1', 't2'}
    assert cut.era == reader.era == 2


def test_host_publishes_again_in_a_new_era(monkeypatch):
    """Guards against hosts that are unknown to those that start later."""
    clock = task.Clock()
    store = FakeStore(clock)

    class Mesh:
        own_record = fleet_messages.HostRecord(
            'own', 'i', '10.0.0.1', 1, 'a', 1.0
        )

        def hosts_read(self) -> None:
            pass

        def dial_chosen(self) -> None:
            pass

        def add_host(self, record) -> None:
            pass

    directory = host_directory.HostDirectory(
        clock,
        test_feed_follower.FakeLog(),
        store,
        Mesh(),
        random.Random(1),
        lambda: False,
    )
    directory.join()
    assert store.published == [(1, 'own')]
    store.return_older()
    directory.publish_again()
    directory.publish_again()
    clock.pump([STEP_S] * 64)
    assert store.published == [(1, 'own'), (2, 'own')]


def test_entry_of_a_copy_is_counted_and_logged(monkeypatch):
    """Guards against old entries that are dropped without a trace."""
    fixture = Fixture(monkeypatch)
    fixture.write_target('t1', b'1')
    fixture.store.take_copy()
    fixture.write_target('t1', b'2')
    fixture.start()
    totals = fixture.follower.totals()
    assert totals['target_entries_superseded_total'] == 0
    assert 'target_entry_superseded' not in fixture.log.events
    fixture.store.return_older()
    fixture.advance(1.5)
    fixture.write_target('t1', b'3')
    fixture.advance(1.5)
    totals = fixture.follower.totals()
    assert totals['target_entries_superseded_total'] >= 1
    assert fixture.log.events.count('target_entry_superseded') == 1
