"""Tests of targets that a host removes although other hosts know better.

Hosts that do not read the targets get changes from those that do.
"""

from tests.gateway.state import test_feed_follower
from tests.gateway.state import test_store_era
from walnutport.gateway.state import feed_follower
from walnutport.peer import fleet_messages
from walnutport.world import feeds


class Fleet:
    """A host that reads the targets, and one that it tells."""

    def __init__(self, monkeypatch) -> None:
        self.fixture = test_store_era.Fixture(monkeypatch)
        self.reader = self.fixture.follower
        self.reader_mesh = self.fixture.mesh
        self.told_mesh = test_feed_follower.FakeMesh()
        self.told_mesh.own_record = self.fixture.mesh.own_record
        self.told = self.fixture.make_follower(self.told_mesh)
        self.told_mesh.peer_by_name = {'reader': test_feed_follower.FakePeer()}

    def replace_reader(self) -> None:
        """Start another host that reads the targets from now on."""
        self.reader.stop()
        self.reader_mesh = test_feed_follower.FakeMesh()
        self.reader_mesh.own_record = self.fixture.mesh.own_record
        self.reader = self.fixture.make_follower(self.reader_mesh)
        self.reader.start()

    def end_outage(self) -> None:
        """Let both hosts notice the end of an outage of the store."""
        now = self.fixture.clock.seconds()
        for follower in (self.reader, self.told):
            follower.registry.store_recovered(3.0, now)

    def advance(self, seconds: float) -> None:
        """Advance the clock, and deliver the messages."""
        for _ in range(round(seconds / test_store_era.STEP_S)):
            self.fixture.advance(test_store_era.STEP_S)
            self.told.tick()
            self._deliver()

    def _deliver(self) -> None:
        registry = self.reader.registry
        beat = fleet_messages.Heartbeat(
            self.reader.desired_version,
            registry.era,
            registry.changes_end_offset,
            0.1,
            True,
            False,
        )
        self.told_mesh.peer_by_name['reader'].heartbeat = beat
        self.told.handle_message('reader', beat)
        sent, self.told_mesh.sent = self.told_mesh.sent, []
        for name, message in sent:
            if name == 'reader':
                self.reader.handle_message('told', message)
        sent, self.reader_mesh.sent = self.reader_mesh.sent, []
        for name, message in sent:
            if name in ('told', 'all'):
                self.told.handle_message('reader', message)


def test_reader_that_started_later_tells_entries_that_are_written_again(
    monkeypatch,
):
    """Guards against a host that loses all its targets after a return.

    The reader has started after the return and has seen the entries of the
    copy only, so that the entries that follow change nothing for it. The other
    host waits for them, as those of the copy are older than what it knew.
    Found by the soak (seed 328).
    """
    fleet = Fleet(monkeypatch)
    fixture = fleet.fixture
    fixture.write_target('t1', b'1')
    fixture.write_target('t2', b'1')
    fixture.store.take_copy()
    fixture.write_target('t1', b'5')
    fixture.write_target('t2', b'5')
    fleet.reader.start()
    fleet.advance(2.0)
    fixture.store.return_older()
    fleet.replace_reader()
    fleet.advance(1.0)
    assert fleet.told.era == 2
    fixture.write_target('t1', b'6')
    fleet.advance(feed_follower.registry.ERA_GRACE_S + 2.0)
    assert set(fleet.told.registry.targets) == {'t1'}
    assert set(fleet.reader.registry.targets) == {'t1', 't2'}


def test_entry_that_lapsed_and_is_written_again_is_told(monkeypatch):
    """Guards against a target that only some hosts remove after an outage."""
    fleet = Fleet(monkeypatch)
    fixture = fleet.fixture
    fixture.write_target('t1', b'1')
    fleet.reader.start()
    fleet.advance(2.0)
    fleet.end_outage()
    fixture.write_target('t1', None)
    fleet.advance(1.0)
    fixture.write_target('t1', b'1')
    fleet.advance(feed_follower.registry.LAPSE_GRACE_S + 2.0)
    assert set(fleet.reader.registry.targets) == {'t1'}
    assert set(fleet.told.registry.targets) == {'t1'}


def test_target_that_is_gone_is_removed_everywhere(monkeypatch):
    """Guards against questions that keep a dead target."""
    fleet = Fleet(monkeypatch)
    fixture = fleet.fixture
    fixture.write_target('t1', b'1')
    fleet.reader.start()
    fleet.advance(2.0)
    fleet.end_outage()
    fixture.store.write(feeds.Feed.TARGETS, 't1', None)
    fleet.advance(feed_follower.registry.LAPSE_GRACE_S + 2.0)
    assert not fleet.reader.registry.targets
    assert not fleet.told.registry.targets
