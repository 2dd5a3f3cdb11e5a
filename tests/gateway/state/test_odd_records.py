"""Records of other writers that no decoder expects, among good ones."""

import functools
import json

from msgspec import structs
import pytest

from tests.gateway.state import evacuation_builders
from tests.gateway.state import test_feed_follower
from tests.gateway.state import test_store_era
from tests.platform import test_documents
from tests.platform import test_odd_entries
from walnutport.gateway.state import feed_follower
from walnutport.peer import fleet_messages
from walnutport.platform import documents
from walnutport.world import feeds

ODD_ENTRIES = test_odd_entries.ODD_ENTRIES
GOOD = json.dumps(test_documents.ENTRY).encode()
# A target that leaves must get no new work this long after its entry is gone.
FOLLOW_S = 2.0


class LinesLog(test_feed_follower.FakeLog):
    """Log that records events, and all with their fields."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[tuple[str, dict]] = []

    def notable(self, event, **fields) -> None:
        self.events.append(event)
        self.lines.append((event, fields))

    routine = notable


class Fixture(test_store_era.Fixture):
    """Follower with the decoders of the platform."""

    def make_follower(self, mesh, is_first_start: bool = True):
        self.log = LinesLog()
        return feed_follower.FeedFollower(
            self.clock,
            self.log,
            self.store,
            'config',
            documents.decode_desired_state,
            documents.decode_target,
            lambda: None,
            mesh,
            lambda: None,
            evacuation_builders.make_feed(self.log, mesh),
            is_first_start,
        )

    def write_version(self, version: int) -> None:
        """Write a desired state."""
        config = test_documents.CONFIG | {'version': version}
        self.write_config(json.dumps(config).encode())

    def write_config(self, value: bytes) -> None:
        """Write bytes as the desired state."""
        self.store.write(feeds.Feed.DESIRED, 'config', value)

    def write_target(self, key: str, value: bytes | None) -> None:
        """Write the entry of a target."""
        self.store.write(feeds.Feed.TARGETS, key, value)

    @property
    def target_ids(self) -> set[str]:
        """Ids of the targets in use."""
        return set(self.follower.registry.targets)


@pytest.fixture
def fixture(monkeypatch) -> Fixture:
    """Return a follower that knows a desired state and a target."""
    found = Fixture(monkeypatch)
    found.write_version(1)
    found.write_target('t1', GOOD)
    found.start()
    found.advance(FOLLOW_S)
    assert found.target_ids == {'t1'}
    return found


@pytest.mark.parametrize('name', sorted(ODD_ENTRIES))
def test_list_is_followed_after_an_odd_entry(fixture, name):
    """Guards against a host that stops to follow the list of targets."""
    fixture.write_target('stray', ODD_ENTRIES[name])
    fixture.advance(FOLLOW_S)
    assert fixture.target_ids == {'t1'}
    fixture.write_target('t2', GOOD)
    fixture.write_target('t1', None)
    fixture.advance(FOLLOW_S)
    assert fixture.target_ids == {'t2'}
    # Its target may write again.
    fixture.write_target('stray', GOOD)
    fixture.advance(FOLLOW_S)
    assert fixture.target_ids == {'t2', 'stray'}


@pytest.mark.parametrize('name', sorted(ODD_ENTRIES))
def test_odd_entry_is_read_at_the_start(monkeypatch, name):
    """Guards against hosts that cannot start any more."""
    fixture = Fixture(monkeypatch)
    fixture.write_version(1)
    fixture.write_target('stray', ODD_ENTRIES[name])
    fixture.write_target('t1', GOOD)
    fixture.start()
    fixture.advance(FOLLOW_S)
    assert fixture.target_ids == {'t1'}
    assert fixture.follower.is_initialized


def test_odd_entry_is_told_to_peers_without_its_value(fixture):
    """Guards against a value that peers of any build have to decode.

    The entries of a writer that repeats large ones would also exceed the
    largest message, and a host that joins would be told nothing.
    """
    for number in range(50):
        fixture.write_target(
            f'stray-{number}', ODD_ENTRIES['large'] + b' ' * 100_000
        )
    fixture.write_target('t2', GOOD)
    fixture.advance(FOLLOW_S)
    fixture.follower.handle_message(
        'joined', fleet_messages.UpdateRequest(0, 0, 0)
    )
    name, update = fixture.mesh.sent[-1]
    assert name == 'joined'
    assert len(fleet_messages.encode(update)) < 100_000
    other = test_feed_follower.FakeMesh()
    joined = Fixture.make_follower(fixture, other)
    joined.handle_message('own', update)
    assert set(joined.registry.targets) == {'t1', 't2'}


def test_odd_entry_from_a_peer_is_left_out(fixture):
    """Guards against a message of a peer that ends its link."""
    end = fixture.follower.registry.end_offset
    records = [
        feeds.FeedRecord(f'stray-{number}', value, end + number)
        for number, value in enumerate(ODD_ENTRIES.values())
    ]
    after = end + len(records) + 1
    records.append(feeds.FeedRecord('t2', GOOD, after - 1))
    fixture.follower.handle_message(
        'peer',
        fleet_messages.TargetUpdate(tuple(records), 1, after, after, 0.0, end),
    )
    assert fixture.target_ids == {'t1', 't2'}


def test_odd_entry_is_logged_once_and_counted(fixture):
    """Guards against a log that a writer of odd entries fills."""
    for _ in range(20):
        fixture.write_target('stray', ODD_ENTRIES['deep_version'])
    fixture.write_target('other', ODD_ENTRIES['deep_version'])
    fixture.advance(FOLLOW_S)
    lines = [
        fields
        for event, fields in fixture.log.lines
        if event == 'target_unreadable'
    ]
    assert [fields['target'] for fields in lines] == ['stray', 'other']
    assert 'nested' in lines[0]['problem']
    totals = fixture.follower.totals()
    assert totals['records_unreadable_total{feed="targets"}'] == 21


def test_lines_for_odd_entries_are_bounded(fixture):
    """Guards against memory that a writer of odd entries fills."""
    for number in range(3000):
        fixture.write_target(f'stray-{number}', b'x' * number)
    fixture.advance(FOLLOW_S)
    assert fixture.log.events.count('target_unreadable') == 1000
    totals = fixture.follower.totals()
    assert totals['records_unreadable_total{feed="targets"}'] == 3000
    assert all(len(str(fields)) < 1000 for _, fields in fixture.log.lines)


def test_desired_state_is_followed_after_an_odd_one(fixture):
    """Guards against a host that stops to follow the desired state."""
    text = json.dumps(test_documents.CONFIG)
    huge = '1' + '0' * 400
    for odd in (
        text.replace('true', test_odd_entries.DEEP),
        text.replace('"version": 7', f'"version": {huge}'),
    ):
        fixture.write_config(odd.encode())
    fixture.advance(FOLLOW_S)
    assert fixture.follower.desired_version == 1
    fixture.write_version(9)
    fixture.advance(FOLLOW_S)
    assert fixture.follower.desired_version == 9
    assert fixture.log.events.count('desired_unreadable') == 2
    totals = fixture.follower.totals()
    assert totals['records_unreadable_total{feed="desired"}'] == 2


def test_evacuations_are_followed_after_an_odd_one(fixture):
    """Guards against an evacuation that is not learned of."""
    for _ in range(3):
        fixture.store.write(
            feeds.Feed.DESIRED,
            'evacuate/a',
            b'{"a":' + b'[' * 5000 + b']' * 5000 + b'}',
        )
    fixture.store.write(feeds.Feed.DESIRED, 'evacuate/b', b'{}')
    fixture.advance(FOLLOW_S)
    assert fixture.follower.evacuations.state.names == ['b']
    assert fixture.log.events.count('evacuation_unusable') == 1
    totals = fixture.follower.totals()
    assert totals['records_unreadable_total{feed="evacuations"}'] == 3


@pytest.mark.parametrize('call', ['read', 'read_newest'])
@pytest.mark.parametrize(
    'error', [RecursionError, ValueError, OverflowError, KeyError]
)
def test_unexpected_error_of_a_read_does_not_end_the_reads(
    monkeypatch, call, error
):
    """Guards against a host that follows nothing after one odd answer."""
    fixture = Fixture(monkeypatch)
    fixture.write_version(1)
    fixture.write_target('t1', GOOD)
    read = getattr(fixture.store, call)
    failing: list[type[Exception]] = [error]

    async def read_or_fail(*arguments):
        page = await read(*arguments)
        if failing:
            raise failing[0]('odd')
        return page

    monkeypatch.setattr(fixture.store, call, read_or_fail)
    fixture.start()
    fixture.write_version(2)
    fixture.advance(FOLLOW_S)
    failed = [
        fields for event, fields in fixture.log.lines if event == 'feed_failed'
    ]
    assert sorted(fields['feed'] for fields in failed) == [
        'desired',
        'targets',
    ], 'each is logged once'
    assert 'odd' in failed[0]['problem']
    failing.clear()
    fixture.write_version(3)
    fixture.write_target('t2', GOOD)
    fixture.advance(FOLLOW_S)
    assert fixture.follower.desired_version == 3
    assert fixture.target_ids == {'t1', 't2'}


def test_unexpected_error_of_a_desired_state_does_not_end_the_reads(
    fixture, monkeypatch
):
    """Guards against a host that follows nothing after one odd record."""
    apply = fixture.follower.evacuations.apply_page

    def fail(page) -> None:
        monkeypatch.setattr(fixture.follower.evacuations, 'apply_page', apply)
        raise RecursionError('odd')

    monkeypatch.setattr(fixture.follower.evacuations, 'apply_page', fail)
    fixture.write_version(2)
    fixture.advance(FOLLOW_S)
    # The page is read again.
    assert fixture.follower.desired_version == 2


def test_hosts_are_found_beside_an_odd_record(monkeypatch):
    """Guards against a host that finds no peer for one odd record."""
    fixture = Fixture(monkeypatch)
    mesh = MeshOfHosts()
    deep = test_odd_entries.DEEP.encode()
    other = structs.replace(mesh.own_record, name='other')
    good = fleet_messages.encode_host(other)
    fixture.store.write(
        feeds.Feed.HOSTS, 'deep', good[:-1] + b',"x":' + deep + b'}'
    )
    fixture.store.write(feeds.Feed.HOSTS, 'other', good)
    failing = [RecursionError('odd')]
    read = fixture.store.read_newest

    async def read_or_fail(feed):
        page = await read(feed)
        if failing:
            raise failing.pop()
        return page

    monkeypatch.setattr(fixture.store, 'read_newest', read_or_fail)
    directory = test_store_era.host_directory.HostDirectory(
        fixture.clock,
        fixture.log,
        fixture.store,
        mesh,
        test_store_era.random.Random(1),
        lambda: False,
    )
    directory.join()
    fixture.advance(FOLLOW_S)
    assert [host.name for host in mesh.hosts] == ['other', 'own']
    assert fixture.log.events.count('host_unreadable') == 1
    assert directory.totals() == {
        'records_unreadable_total{feed="hosts"}': 1,
        'feed_failures_total{feed="hosts"}': 1,
    }


class MeshOfHosts(test_feed_follower.FakeMesh):
    """Mesh that records the hosts it is told."""

    def __init__(self) -> None:
        super().__init__()
        self.own_record = fleet_messages.HostRecord(
            'own', 'i', '10.0.0.1', 1, 'a', 1.0
        )
        self.hosts: list[fleet_messages.HostRecord] = []
        self.hosts_read = functools.partial(setattr, self, 'is_read', True)
        self.dial_chosen = functools.partial(setattr, self, 'dials', True)

    def add_host(self, record) -> None:
        self.hosts.append(record)
