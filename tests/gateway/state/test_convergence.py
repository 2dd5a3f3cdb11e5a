"""Hosts agree with the store and with each other after any troubles."""

import types

import hypothesis
from hypothesis import strategies as st
import pytest
from twisted.internet import task

from tests.gateway.state import evacuation_builders
from tests.gateway.state import test_feed_follower
from tests.gateway.state import test_store_era
from walnutport import exceptions
from walnutport.gateway.state import feed_follower
from walnutport.peer import capabilities
from walnutport.peer import fleet_messages
from walnutport.world import feeds

HOSTS = ('a', 'b', 'c', 'd')
STEP_S = test_store_era.STEP_S
KEYS = ('t0', 't1', 't2', 't3')
HEARTBEAT_STEPS = 5
# Targets renew their entries at this interval, and write them again after a
# return of the store.
RENEWAL_S = 1.25
# The platform removes entries that were not renewed for this long.
EXPIRY_S = 3 * RENEWAL_S
# Time after the last trouble within which all hosts have to agree: grace
# periods, a read, and the messages between hosts.
SETTLE_S = 8.0
# Longest time after which a trouble ends by itself.
LAST_TROUBLE_S = 5.0

# Troubles after which hosts disagreed.
SEQUENCES = {
    'a removal that a restarted reader has not seen': [
        ('outage', 1, 0.2),
        ('copy', 0, 0.5),
        ('end_target', 1, 0.2),
        ('drain_target', 0, 0.5),
        ('restart', 3, 0.2),
        ('copy', 3, 0.2),
    ],
    'a removed entry that only the copy of the store had': [
        ('copy', 1, 1.0),
        ('restart', 3, 2.0),
        ('end_target', 0, 2.0),
        ('unlink', 1, 0.2),
        ('desired', 1, 1.0),
        ('return', 1, 0),
        ('restart', 0, 2.0),
        ('unlink', 2, 0.5),
    ],
    'the list of a host that lags behind': [
        ('restart', 2, 0.5),
        ('copy', 3, 1.0),
        ('outage', 1, 0.5),
        ('start_target', 1, 0.2),
        ('refuse', 2, 0.5),
        ('outage', 3, 0.5),
        ('restart', 3, 0.2),
        ('end_target', 2, 0),
        ('desired', 2, 2.0),
        ('unlink', 2, 1.0),
        ('drain_target', 1, 1.0),
    ],
}

TROUBLES = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'restart',
                'refuse',
                'unlink',
                'copy',
                'return',
                'outage',
                'start_target',
                'end_target',
                'drain_target',
                'desired',
                'evacuate',
                'withdraw',
            )
        ),
        st.integers(0, 3),
        st.floats(0.0, 3.0),
    ),
    max_size=25,
)


class HostStore:
    """The store as one host reaches it."""

    def __init__(self, fleet: 'Fleet', name: str) -> None:
        self._fleet = fleet
        self._name = name
        self.era = 0

    async def read_newest(self, feed: feeds.Feed) -> feeds.FeedPage:
        return self._checked(
            await self._reach().read_newest(feed), self._fleet.store_era
        )

    async def read(
        self, feed: feeds.Feed, offset: int, wait_s: float
    ) -> feeds.FeedPage:
        page = await self._reach().read(feed, offset, wait_s)
        return self._checked(page, self._fleet.store_era)

    def _reach(self) -> test_store_era.FakeStore:
        if self._name in self._fleet.refused or self._fleet.is_down:
            raise exceptions.LogUnavailable('refused')
        return self._fleet.store

    def _checked(self, page: feeds.FeedPage, era: int) -> feeds.FeedPage:
        self.era = era
        return page


class Mesh(test_feed_follower.FakeMesh):
    """Links of one host."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.own_record = fleet_messages.HostRecord(
            name,
            'i',
            '10.0.0.1',
            1,
            'x',
            1.0,
            capabilities=capabilities.OWN_CAPABILITIES,
        )


class Fleet:
    """Hosts, their links, targets that renew entries, and the store."""

    def __init__(self, monkeypatch) -> None:
        self.clock = task.Clock()
        monkeypatch.setattr(
            feed_follower.time, 'monotonic', lambda: self.clock.seconds()
        )
        monkeypatch.setattr(test_store_era, 'MAX_CALLS', 1_000_000)
        self.store = test_store_era.FakeStore(self.clock)
        self.store_era = 1
        self.is_down = False
        self.refused: set[str] = set()
        self.unlinked: set[frozenset[str]] = set()
        self.sequence_by_target: dict[str, int] = {}
        # A target that starts again counts on, as its entries have to be
        # later than those of the run before.
        self._last_sequence_by_target: dict[str, int] = {}
        self.draining: set[str] = set()
        self.version = 1
        # Latest request of the operator by data centre.
        self.evacuations: dict[str, bool] = {}
        self._steps = 0
        self._renew_at = 0.0
        self.follower_by_name: dict[str, feed_follower.FeedFollower] = {}
        self.mesh_by_name: dict[str, Mesh] = {}
        self.write_desired()
        for number in range(3):
            self.start_target(number)
        for name in HOSTS:
            self.start_host(name)
        self.advance(3.0)

    def start_host(self, name: str) -> None:
        """Start a host, after ending the one of that name."""
        before = self.follower_by_name.get(name)
        if before is not None:
            before.stop()
        mesh = Mesh(name)
        self.mesh_by_name[name] = mesh
        follower = feed_follower.FeedFollower(
            self.clock,
            test_feed_follower.FakeLog(),
            HostStore(self, name),
            'config',
            test_feed_follower.FakeDesiredState,
            test_store_era.decode_target,
            lambda: None,
            mesh,
            lambda: None,
            evacuation_builders.make_feed(test_feed_follower.FakeLog(), mesh),
        )
        self.follower_by_name[name] = follower
        follower.start()

    def write_desired(self) -> None:
        """Write all records of the operator, unless the store is down."""
        if not self.is_down:
            self.store.write(
                feeds.Feed.DESIRED, 'config', b'%d' % self.version
            )
            for name in self.evacuations:
                self._write_evacuation(name)

    def evacuate(self, number: int, is_evacuated: bool) -> None:
        """Evacuate a data centre or withdraw that."""
        name = evacuation_builders.DATA_CENTRES[number % 3]
        if not self.is_down:
            self.evacuations[name] = is_evacuated
            self._write_evacuation(name)

    def _write_evacuation(self, name: str) -> None:
        self.store.write(
            feeds.Feed.DESIRED,
            f'evacuate/{name}',
            b'{}' if self.evacuations[name] else None,
        )

    def start_target(self, number: int) -> None:
        """Start a target, unless it runs."""
        key = f't{number}'
        self.sequence_by_target.setdefault(
            key, self._last_sequence_by_target.get(key, 0)
        )
        self._renew_at = 0.0

    def end_target(self, number: int) -> None:
        """End a target; its entry is removed."""
        key = f't{number}'
        sequence = self.sequence_by_target.pop(key, None)
        if sequence is not None:
            self._last_sequence_by_target[key] = sequence
            self.draining.discard(key)
            if not self.is_down:
                self.store.write(feeds.Feed.TARGETS, key, None)

    def return_older(self) -> None:
        """Let the store return from its copy; the operator writes again."""
        # First, as the reads that wait are answered at once.
        self.store_era += 1
        self.store.return_older()
        self.clock.callLater(1.0, self.write_desired)
        self.clock.callLater(EXPIRY_S, self._remove_ended_targets)

    def _remove_ended_targets(self) -> None:
        """Remove the entries of the copy whose targets have ended."""
        for key in KEYS:
            if key not in self.sequence_by_target and not self.is_down:
                self.store.write(feeds.Feed.TARGETS, key, None)

    def outage(self, seconds: float) -> None:
        """Let the store be down, and the entries of all targets lapse."""
        self.is_down = True
        self.store.lose_held_reads()
        self.clock.callLater(seconds, self._end_outage)

    def _end_outage(self) -> None:
        if self.is_down:
            self.is_down = False
            for key in KEYS:
                self.store.write(feeds.Feed.TARGETS, key, None)
            self.write_desired()

    def advance(self, seconds: float) -> None:
        """Advance the clock; renew entries and deliver messages."""
        for _ in range(round(seconds / STEP_S)):
            self._steps += 1
            self.clock.advance(STEP_S)
            now = self.clock.seconds()
            if now >= self._renew_at and not self.is_down:
                self._renew_at = now + RENEWAL_S
                self._renew()
            for follower in self.follower_by_name.values():
                follower.tick()
            if self._steps % HEARTBEAT_STEPS == 0:
                self._send_heartbeats()
            self._deliver()

    def _renew(self) -> None:
        for key in self.sequence_by_target:
            self.sequence_by_target[key] += 1
            value = b'%d' % self.sequence_by_target[key]
            if key in self.draining:
                value += b'd'
            self.store.write(feeds.Feed.TARGETS, key, value)

    def _is_linked(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.unlinked

    def _send_heartbeats(self) -> None:
        for name, follower in self.follower_by_name.items():
            registry = follower.registry
            beat = fleet_messages.Heartbeat(
                follower.desired_version,
                registry.era,
                registry.changes_end_offset,
                min(999.0, follower.store_age_s()),
                True,
                False,
                evacuations_end=follower.evacuations.state.end,
                desired_age_s=min(999.0, follower.desired_read_age_s()),
                reads_targets=follower.reads_targets,
            )
            for other in HOSTS:
                if other == name:
                    continue
                peers = self.mesh_by_name[other].peer_by_name
                if not self._is_linked(name, other):
                    peers.pop(name, None)
                    continue
                peers[name] = types.SimpleNamespace(
                    reachable=True,
                    heartbeat=beat,
                    record=self.mesh_by_name[name].own_record,
                )
                self.follower_by_name[other].handle_message(name, beat)

    def _deliver(self) -> None:
        for name in HOSTS:
            mesh = self.mesh_by_name[name]
            sent, mesh.sent = mesh.sent, []
            for receiver, message in sent:
                for other in HOSTS if receiver == 'all' else (receiver,):
                    if other != name and self._is_linked(name, other):
                        self.follower_by_name[other].handle_message(
                            name, message
                        )


def apply(fleet: Fleet, kind: str, number: int) -> None:
    """Apply one trouble; those of hosts and links are taken back later."""
    name = HOSTS[number]
    if kind == 'restart':
        fleet.start_host(name)
    elif kind == 'refuse':
        fleet.refused.add(name)
        fleet.clock.callLater(2.5, fleet.refused.discard, name)
    elif kind == 'unlink':
        pair = frozenset((name, HOSTS[(number + 1) % 4]))
        fleet.unlinked.add(pair)
        fleet.clock.callLater(2.5, fleet.unlinked.discard, pair)
    elif kind == 'copy':
        fleet.store.take_copy()
    elif kind == 'return' and not fleet.is_down:
        fleet.return_older()
    elif kind == 'outage':
        fleet.outage(1.0 + number)
    elif kind == 'start_target':
        fleet.start_target(number)
    elif kind == 'end_target':
        fleet.end_target(number)
    elif kind == 'drain_target':
        if f't{number}' in fleet.sequence_by_target:
            fleet.draining.add(f't{number}')
    elif kind in ('evacuate', 'withdraw'):
        fleet.evacuate(number, kind == 'evacuate')
    elif kind == 'desired' and not fleet.is_down:
        fleet.version += 1
        fleet.write_desired()


def check_agreement(troubles: list[tuple[str, int, float]]) -> None:
    """Apply troubles and check that all hosts agree with the store."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        fleet = Fleet(monkeypatch)
        for kind, number, pause_s in troubles:
            apply(fleet, kind, number)
            fleet.advance(pause_s)
        fleet.advance(LAST_TROUBLE_S + SETTLE_S)
        for name, follower in fleet.follower_by_name.items():
            targets = follower.registry.targets
            assert set(targets) == set(fleet.sequence_by_target), name
            assert {
                key for key, found in targets.items() if found.draining
            } == fleet.draining, name
            assert follower.desired_version == fleet.version, name
            assert follower.era == fleet.store_era, name
            assert set(follower.evacuations.state.names) == {
                data_centre
                for data_centre, is_evacuated in fleet.evacuations.items()
                if is_evacuated
            }, name


@pytest.mark.parametrize('name', SEQUENCES)
def test_hosts_agree_after_known_troubles(name):
    """Guards against targets that some hosts keep after they have ended."""
    check_agreement(SEQUENCES[name])


@hypothesis.given(TROUBLES)
def test_hosts_agree_after_troubles(troubles):
    """Guards against a host that believes something else for ever."""
    check_agreement(troubles)
