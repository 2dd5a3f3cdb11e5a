"""Stateful tests of the catalogue log, its followers and its editors."""

import json
import zlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.catalogue import fakes
from walnutport.catalogue import editor
from walnutport.catalogue import follower
from walnutport.catalogue import records
from walnutport.catalogue import snapshot
from walnutport import exceptions

NAMES = st.sampled_from(['gold', 'iron'])
BODIES = st.sampled_from(
    ['{"class_id": "a"}', '{"class_id": "b"}', '', '{"x": 1}']
)
HOST = st.integers(0, 1)
OPERATOR = st.integers(0, 1)


class CatalogueMachine(stateful.RuleBasedStateMachine):
    """Checks two hosts and two operators against a reference fold.

    Guards against hosts whose states differ, entries that return to an older
    version, and edits whose reported result differs from the log order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = fakes.FakeLog()
        self.hosts = [self.new_host() for _ in range(2)]
        self.editors = [self.new_editor() for _ in range(2)]
        self.versions: list[dict] = [{}, {}]
        self.pages: list = []
        self.count = 0
        self.reported: dict[str, bool] = {}
        self.changes: list[records.ChangeRecord] = []

    def new_host(self) -> follower.CatalogueFollower:
        return follower.CatalogueFollower(lambda: None)

    def new_editor(self) -> editor.CatalogueEditor:
        return editor.CatalogueEditor(
            self.log, fakes.StepClock(), 3.0, fakes.sleep
        )

    def next_change(self, name: str, expected: int, body: str):
        self.count += 1
        change_id = f'c{self.count}'
        return fakes.change_record(change_id, name, expected, body)

    @stateful.rule(
        operator=OPERATOR,
        name=NAMES,
        body=BODIES,
        stale=st.integers(0, 1),
        other=st.booleans(),
        fault=st.sampled_from(['', 'reply', 'append', 'down']),
    )
    def edit(self, operator, name, body, stale, other, fault) -> None:
        """Edit; another operator may append between its read and append."""
        version = self.expected_state()[0].get(('class', name), (0,))[0]
        expected = max(0, version - stale)
        change = self.next_change(name, expected, body)
        self.changes.append(change)
        if other:
            competing_change = self.next_change(
                name, expected, '{"class_id": "r"}'
            )
            self.log.before_append = lambda: self.put_once(competing_change)
        self.log.lost_replies = int(fault == 'reply')
        self.log.lost_appends = int(fault == 'append')
        self.log.unavailable = fault == 'down'
        result = fakes.run(self.editors[operator].edit(change))
        self.log.lost_replies = self.log.lost_appends = 0
        self.log.unavailable = False
        self.log.before_append = lambda: None
        accepted = change.change_id in self.expected_state()[1]
        if result.is_error():
            assert isinstance(
                result.error,
                (exceptions.LogUnavailable, exceptions.AppendAmbiguous),
            )
            assert not accepted
        else:
            ended = result.ok
            assert (ended.status is editor.EditStatus.ACCEPTED) == accepted
            self.reported[change.change_id] = accepted

    def put_once(self, competing_change: records.ChangeRecord) -> None:
        self.log.before_append = lambda: None
        self.log.put(records.encode_change(competing_change))

    @stateful.precondition(lambda self: self.changes)
    @stateful.rule(operator=OPERATOR, index=st.integers(0, 20))
    def repeat_edit(self, operator: int, index: int) -> None:
        """An operator repeats a command that may have taken effect."""
        change = self.changes[index % len(self.changes)]
        if self.log.first > 0:
            # Once records have expired, only the newest edit of an entry can
            # be recognised.
            return
        result = fakes.run(self.editors[operator].edit(change))
        assert result.is_ok()
        accepted = change.change_id in self.expected_state()[1]
        assert (result.ok.status is editor.EditStatus.ACCEPTED) == accepted
        self.reported[change.change_id] = accepted

    @stateful.precondition(lambda self: self.log.records)
    @stateful.rule(index=st.integers(0, 20))
    def append_again(self, index: int) -> None:
        """The network delivers an append a second time."""
        found = self.log.records[index % len(self.log.records)]
        self.log.put(found.payload)

    @stateful.rule(host=HOST, limit=st.integers(1, 6))
    def read(self, host: int, limit: int) -> None:
        page = self.log.page(self.hosts[host].start_offset(), limit)
        self.pages.append((host, self.hosts[host], page))
        self.hosts[host].apply(page, 0.0)

    @stateful.rule(host=HOST, limit=st.integers(1, 6))
    def read_without_applying(self, host: int, limit: int) -> None:
        """Read a page that is applied later, after other reads."""
        page = self.log.page(self.hosts[host].start_offset(), limit)
        self.pages.append((host, self.hosts[host], page))

    @stateful.precondition(lambda self: self.pages)
    @stateful.rule(index=st.integers(0, 9), repeat=st.booleans())
    def apply_page(self, index: int, repeat: bool) -> None:
        index %= len(self.pages)
        host, reader, page = self.pages[index]
        if not repeat:
            del self.pages[index]
        if reader is self.hosts[host]:
            reader.apply(page, 0.0)

    @stateful.rule(host=HOST)
    def write_snapshot(self, host: int) -> None:
        found = self.hosts[host].take_snapshot()
        if found is not None:
            self.log.put(snapshot.encode_snapshot(found))

    @stateful.rule(count=st.integers(1, 8))
    def expire(self, count: int) -> None:
        self.log.first = min(self.log.first + count, len(self.log.records))

    @stateful.rule(
        host=HOST, behind=st.integers(1, 3), kept=st.integers(-3, 1)
    )
    def snapshot_of_a_lagging_host(self, host, behind, kept) -> None:
        """Append changes between the base of a snapshot and its record.

        Then expire the records up to about the base, and check a new host
        that reads only what remains.
        """
        found = self.hosts[host].take_snapshot()
        if found is None:
            return
        for turn in range(behind):
            version = self.expected_state()[0].get(('class', 'gold'), (0,))[0]
            body = f'{{"class_id": "lag{turn}"}}'
            change = self.next_change('gold', version, body)
            self.log.put(records.encode_change(change))
        self.log.put(snapshot.encode_snapshot(found))
        end = len(self.log.records)
        first = min(end - 1, found.base_offset + 1 - kept)
        self.log.first = max(self.log.first, first)
        fresh = self.new_host()
        fresh.apply(self.log.page(0), 0.0)
        if fresh.synced:
            assert (
                self.entries(fresh)
                == self.expected_state(fresh.folded_offset)[0]
            )

    @stateful.rule(host=HOST)
    def stale_page_is_ignored(self, host: int) -> None:
        """A page that was read earlier is applied after a later one."""
        reader = self.hosts[host]
        old = self.log.page(reader.start_offset(), 1)
        reader.apply(self.log.page(reader.start_offset()), 0.0)
        after = (reader.start_offset(), reader.folded_offset)
        reader.apply(old, 0.0)
        assert (reader.start_offset(), reader.folded_offset) == after

    @stateful.rule(host=HOST)
    def restart(self, host: int) -> None:
        self.hosts[host] = self.new_host()
        self.versions[host] = {}

    @stateful.rule(operator=OPERATOR)
    def restart_editor(self, operator: int) -> None:
        self.editors[operator] = self.new_editor()

    @stateful.rule(source=HOST, host=HOST)
    def take_from_peer(self, source: int, host: int) -> None:
        found = self.hosts[source].take_snapshot()
        if found is not None:
            payload = snapshot.encode_snapshot(found)
            parts = snapshot.split_parts(payload)
            self.hosts[host].merge_snapshot(
                snapshot.decode_snapshot(snapshot.join_parts(parts)), 0
            )

    @stateful.rule(host=HOST)
    def new_host_recovers_from_snapshot(self, host: int) -> None:
        """A new host needs only a usable snapshot in the log."""
        bases = [
            snapshot.decode_snapshot(record.payload).base_offset
            for record in self.log.records[self.log.first :]
            if snapshot.is_snapshot(record.payload)
        ]
        reader = self.hosts[host]
        reader.apply(self.log.page(reader.start_offset()), 0.0)
        usable = self.log.first == 0 or any(
            base >= self.log.first for base in bases
        )
        if usable and reader is not None:
            fresh = self.new_host()
            fresh.apply(self.log.page(0), 0.0)
            assert fresh.synced
            assert self.entries(fresh) == self.expected_state()[0]

    def expected_state(self, end: int | None = None):
        return fakes.reference_fold(self.log.records[:end])

    def entries(self, host: follower.CatalogueFollower) -> dict:
        return {
            (str(entry.kind), entry.name): (
                entry.version,
                entry.change_id,
                entry.body,
            )
            for entry in host.fold.entries()
        }

    @stateful.invariant()
    def hosts_agree_with_the_log(self) -> None:
        for index, host in enumerate(self.hosts):
            entries = self.entries(host)
            if host.synced and not host.has_gap:
                assert entries == self.expected_state(host.folded_offset)[0]
            for key, (version, _, _) in entries.items():
                assert version >= self.versions[index].get(key, 0)
                self.versions[index][key] = version

    @stateful.invariant()
    def reported_results_stay_true(self) -> None:
        accepted = self.expected_state()[1]
        for change_id, was_accepted in self.reported.items():
            assert (change_id in accepted) == was_accepted


TestCatalogue = CatalogueMachine.TestCase
TestCatalogue.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40
)


def snapshot_with_digest(body: bytes) -> bytes:
    """Return a snapshot record with a valid digest around any body."""
    return b'%b0 %b\n%b' % (snapshot._MAGIC, snapshot._digest(body), body)


@hypothesis.settings(max_examples=3_000)
@hypothesis.given(
    payload=st.binary(max_size=120)
    | st.binary(max_size=80).map(lambda data: snapshot._MAGIC + data)
    | st.binary(max_size=80).map(
        lambda data: snapshot_with_digest(zlib.compress(data))
    )
    | st.binary(max_size=80).map(lambda data: snapshot_with_digest(data))
    | st.recursive(
        st.none() | st.integers() | st.text(max_size=8),
        lambda item: (
            st.lists(item, max_size=3)
            | st.dictionaries(
                st.sampled_from(
                    ['change_id', 'kind', 'name', 'expected_version', 'body']
                )
                | st.text(max_size=5),
                item | st.sampled_from(['class', 'member', '{}', '[[']),
                max_size=6,
            )
        ),
        max_leaves=8,
    ).map(lambda item: json.dumps(item).encode())
)
def test_invalid_records_are_skipped(payload: bytes) -> None:
    """Guards against a malformed record that stops a host."""
    log = fakes.FakeLog()
    log.put(payload)
    change = fakes.change_record('c1', 'gold', 0, '{"class_id": "gold"}')
    log.put(records.encode_change(change))
    host = follower.CatalogueFollower(lambda: None)
    host.apply(log.page(0), 0.0)
    assert host.synced
    assert 'gold' in host.fold.view().classes_by_id
    if snapshot.is_snapshot(payload):
        try:
            snapshot.decode_snapshot(payload)
        except exceptions.CodecError:
            pass


def test_oldest_needed_record_advances_with_the_snapshot() -> None:
    """Guards against needed records that expire before a newer snapshot."""
    log = fakes.FakeLog()
    host = follower.CatalogueFollower(lambda: None)
    host.apply(log.page(0), 0.0)
    assert host.oldest_needed_ms is None
    change = fakes.change_record('c1', 'gold', 0, '{"class_id": "gold"}')
    log.put(records.encode_change(change))
    host.apply(log.page(0), 0.0)
    assert host.oldest_needed_ms == 0
    for _ in range(2):
        found = host.take_snapshot()
        assert found is not None
        log.put(snapshot.encode_snapshot(found))
        host.apply(log.page(0), 0.0)
    assert host.oldest_needed_ms == 2
    age = snapshot.snapshot_due_age_s('host-1', 2, 100.0)
    assert 50.0 <= age <= 70.0


def test_snapshot_of_a_peer_from_before_the_gap_does_not_close_it() -> None:
    """Guards against closing a gap with a snapshot that is too old."""
    log = fakes.FakeLog()
    behind, host = (follower.CatalogueFollower(lambda: None) for _ in '12')
    behind.apply(log.page(0), 0.0)
    for number in range(3):
        change = fakes.change_record(f'c{number}', 'gold', number, '')
        log.put(records.encode_change(change))
    log.first = 2
    host.apply(log.page(0), 0.0)
    old = behind.take_snapshot()
    assert old is not None
    assert not host.merge_snapshot(old, 0)
    assert host.has_gap and not host.synced
