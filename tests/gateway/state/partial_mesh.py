"""A fleet in a partial mesh, whose store and links a test controls.

Hosts link with those that ``membership.ranking`` names and learn only from
these; what a host sends leaves it over one link of a given rate.
"""

import types

from twisted.internet import task

from tests.gateway.state import evacuation_builders
from tests.gateway.state import test_convergence
from tests.gateway.state import test_feed_follower
from tests.gateway.state import test_store_era
from walnutport import exceptions
from walnutport.gateway.peers import peers
from walnutport.gateway.state import feed_follower
from walnutport.membership import ranking
from walnutport.peer import fleet_messages
from walnutport.platform import store as platform_store
from walnutport.world import feeds

__all__ = ['PartialMeshFleet']

STEP_S = 1 / 64
TICK_S = 0.1
RENEWAL_S = 1.25
ENTRY_BYTES = 300
# Every message but a desired state, and a list of targets without entries.
SMALL_MESSAGE_BYTES = 300


class HostStore:
    """The store as one host reaches it.

    A call that is not answered ends with the time limit of the client.
    """

    def __init__(self, fleet: 'PartialMeshFleet', name: str) -> None:
        self._fleet = fleet
        self._name = name
        self.era = 0

    async def read_newest(self, feed: feeds.Feed) -> feeds.FeedPage:
        await self._reach(feed, platform_store.RESPONSE_TIMEOUT_S)
        page = await self._fleet.store.read_newest(feed)
        self.era = page.era
        return page

    async def read(
        self, feed: feeds.Feed, offset: int, wait_s: float
    ) -> feeds.FeedPage:
        limit_s = (
            wait_s + platform_store.HELD_RESPONSE_TIMEOUT_S
            if wait_s
            else platform_store.RESPONSE_TIMEOUT_S
        )
        await self._reach(feed, limit_s)
        page = await self._fleet.store.read(feed, offset, wait_s)
        self.era = page.era
        return page

    async def _reach(self, feed: feeds.Feed, limit_s: float) -> None:
        if (
            feed in self._fleet.silent_feeds
            or self._name in self._fleet.unanswered
        ):
            await task.deferLater(self._fleet.clock, limit_s)
            raise exceptions.LogUnavailable('no response')


class Mesh(test_convergence.Mesh):
    """Links of one host, which leave it over one link of some rate."""

    def __init__(self, fleet: 'PartialMeshFleet', name: str) -> None:
        super().__init__(name)
        self._fleet = fleet
        self.is_partial = True
        self.free_at = 0.0
        self.bytes_sent = 0

    def send(self, name: str, message) -> bool:
        if name not in self.peer_by_name:
            return False
        size = SMALL_MESSAGE_BYTES
        if isinstance(message, fleet_messages.DesiredStateUpdate):
            size += len(message.record.value)
        elif isinstance(message, fleet_messages.TargetUpdate):
            size += ENTRY_BYTES * len(message.records)
        self.bytes_sent += size
        now = self._fleet.clock.seconds()
        self.free_at = max(now, self.free_at) + (
            8 * size / self._fleet.link_bits_per_s
        )
        self._fleet.clock.callLater(
            self.free_at - now + STEP_S,
            self._fleet.deliver,
            self.own_record.name,
            name,
            message,
        )
        return True

    def broadcast(self, message, except_names=()) -> None:
        for name in self.peer_by_name.keys() - set(except_names):
            self.send(name, message)

    def send_heartbeat(self) -> None:
        """Tell the linked peers at once what has changed."""
        self.broadcast(self._fleet.heartbeat(self.own_record.name))


class PartialMeshFleet:
    """Hosts in a partial mesh that follow one store.

    :param host_count: number of hosts.
    :param state_bytes: size of each desired state.
    :param link_bits_per_s: rate of the link of each host.
    :ivar silent_feeds: feeds whose calls are not answered.
    :ivar unanswered: hosts whose calls to the store are not answered.
    """

    def __init__(
        self,
        monkeypatch,
        host_count: int = 30,
        state_bytes: int = 30_000,
        link_bits_per_s: float = 100e6,
    ) -> None:
        self.clock = task.Clock()
        monkeypatch.setattr(
            feed_follower.time, 'monotonic', lambda: self.clock.seconds()
        )
        monkeypatch.setattr(test_store_era, 'MAX_CALLS', 1_000_000)
        self.store = test_store_era.FakeStore(self.clock)
        self.link_bits_per_s = link_bits_per_s
        self.silent_feeds: set[feeds.Feed] = set()
        self.unanswered: set[str] = set()
        self.version = 0
        self._state_bytes = state_bytes
        self._renew_at = 0.0
        self._sequence = 0
        self._tick_at = 0.0
        names = [f'host-{number:02}' for number in range(host_count)]
        self.follower_by_name: dict[str, feed_follower.FeedFollower] = {}
        self.mesh_by_name: dict[str, Mesh] = {}
        self._next_heartbeat_at: dict[str, float] = {}
        interval_s = peers.PARTIAL_MESH_HEARTBEAT_INTERVAL_S
        for number, name in enumerate(names):
            self._start_host(name)
            self._next_heartbeat_at[name] = interval_s * number / host_count
        self._link(names)
        self.write_desired()
        for follower in self.follower_by_name.values():
            follower.start()
        self.advance(5.0)
        assert not self.lagging_names()

    def _start_host(self, name: str) -> None:
        mesh = Mesh(self, name)
        self.mesh_by_name[name] = mesh
        self.follower_by_name[name] = feed_follower.FeedFollower(
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

    def _link(self, names: list[str]) -> None:
        shares = dict.fromkeys(names, 1.0)
        for name in names:
            for other in ranking.hosts_to_link(name, shares, 1) - {name}:
                for one, two in ((name, other), (other, name)):
                    self.mesh_by_name[one].peer_by_name[two] = (
                        types.SimpleNamespace(
                            reachable=False,
                            heartbeat=None,
                            record=self.mesh_by_name[two].own_record,
                        )
                    )

    def write_desired(self) -> None:
        """Write the next desired state."""
        self.version += 1
        self.store.write(
            feeds.Feed.DESIRED,
            'config',
            b'%d' % self.version + b' ' * self._state_bytes,
        )

    def heartbeat(self, name: str) -> fleet_messages.Heartbeat:
        """Return the heartbeat that a host sends now."""
        follower = self.follower_by_name[name]
        return fleet_messages.Heartbeat(
            follower.desired_version,
            follower.registry.era,
            follower.registry.changes_end_offset,
            min(999.0, follower.store_age_s()),
            True,
            False,
            peers.PARTIAL_MESH_HEARTBEAT_INTERVAL_S,
            evacuations_end=follower.evacuations.state.end,
            desired_age_s=min(999.0, follower.desired_read_age_s()),
            reads_targets=follower.reads_targets,
        )

    def deliver(self, sender: str, receiver: str, message) -> None:
        """Deliver a message over a link."""
        if isinstance(message, fleet_messages.Heartbeat):
            peer = self.mesh_by_name[receiver].peer_by_name[sender]
            peer.heartbeat = message
            peer.reachable = True
        self.follower_by_name[receiver].handle_message(sender, message)

    def advance(self, seconds: float) -> None:
        """Advance the clock; renew entries and send heartbeats."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.seconds()
            if now >= self._renew_at:
                self._renew_at = now + RENEWAL_S
                self._sequence += 1
                self.store.write(
                    feeds.Feed.TARGETS, 't0', b'%d' % self._sequence
                )
            if now >= self._tick_at:
                self._tick_at = now + TICK_S
                for follower in self.follower_by_name.values():
                    follower.tick()
            for name, at in self._next_heartbeat_at.items():
                if now >= at:
                    self._next_heartbeat_at[name] = (
                        at + peers.PARTIAL_MESH_HEARTBEAT_INTERVAL_S
                    )
                    self.mesh_by_name[name].send_heartbeat()

    def lagging_names(self) -> list[str]:
        """Return the hosts that go by an older desired state."""
        return [
            name
            for name, follower in self.follower_by_name.items()
            if follower.desired_version < self.version
        ]

    def longest_queue_s(self) -> float:
        """Return how long the link of a host takes for what waits there."""
        now = self.clock.seconds()
        return max(mesh.free_at - now for mesh in self.mesh_by_name.values())

    def lose_held_reads(self) -> None:
        """Let the reads that the store holds now never be answered."""
        self.store.lose_held_reads()
