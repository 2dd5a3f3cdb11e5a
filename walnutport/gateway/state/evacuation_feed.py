"""Follows the evacuations of data centres, from the store and from peers."""

from collections.abc import Callable
import time

from walnutport import exceptions
from walnutport.gateway.peers import peers
from walnutport.gateway.state import unreadable_records
from walnutport.membership import evacuations as membership_evacuations
from walnutport.peer import capabilities
from walnutport.peer import fleet_messages
from walnutport.world import evacuations
from walnutport.world import feeds

__all__ = ['EvacuationFeed']

# A peer that lags behind is told again after this time. Its next heartbeat may
# have been sent before it was told.
REPEAT_UPDATE_S = 0.6
# A peer that read the store longer ago says nothing about what it has now.
MAX_CONFIRMING_AGE_S = 1.6


class EvacuationFeed:
    """Evacuated data centres as far as this host knows them.

    :param mesh: links to the other hosts.
    :param find_name: returns the data centre that a key names, None if the
        record is not about an evacuation.
    :param decode: returns whether a record evacuates the data centre that it
        names, from its value; raises WireError.
    :param on_change: called after an evacuation has started or ended.
    :ivar state: the evacuations.
    :ivar unreadable: records of evacuations that are unusable.
    """

    def __init__(
        self,
        log,
        mesh: peers.PeerMesh,
        find_name: Callable[[str], str | None],
        decode: Callable[[str, bytes | None], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._log = log
        self._mesh = mesh
        self._find_name = find_name
        self._decode = decode
        self._on_change = on_change
        self.state = membership_evacuations.Evacuations()
        self.unreadable = unreadable_records.UnreadableRecords('evacuations')
        # When each peer that lags behind may be told again.
        self._next_update_at: dict[str, float] = {}

    def enter_era(self, era: int) -> None:
        """Follow the store into a new era, after it returned from a copy.

        Peers that had not heard of an evacuation when the store lost it are
        told what is held over.
        """
        now = time.monotonic()
        self.state.enter_era(era, now)
        if self.state.has_records:
            self._mesh.broadcast(self._create_update(now))

    def apply_page(self, page: feeds.FeedPage) -> None:
        """Apply the records of evacuations of a page from the store."""
        if page.era != self.state.era:
            return
        now = time.monotonic()
        end = self.state.end
        records = []
        unusable = []
        for record in page.records:
            name = self._find_name(record.key)
            if name is None:
                continue
            try:
                is_evacuated = self._decode(name, record.value)
            except exceptions.WireError as problem:
                unusable.append(name)
                self._log_unusable(record, problem)
                continue
            records.append(
                evacuations.EvacuationRecord(name, is_evacuated, record.offset)
            )
        if page.lists_all:
            changes = self.state.apply_list(records, unusable, page.end, now)
        else:
            changes = self.state.apply(records, now)
        self.state.confirm(now)
        self._log_changes(changes, 'store')
        if changes or self.state.end != end:
            self._mesh.broadcast(self._create_update(now))

    def merge_update(
        self, name: str, message: fleet_messages.EvacuationUpdate
    ) -> None:
        """Apply what a peer knows.

        In a partial mesh, the hosts that are linked with this one may have no
        link to the peer, so that what is new is passed on.
        """
        if message.era != self.state.era:
            return
        now = time.monotonic()
        end = self.state.end
        changes = self.state.apply(message.records, now)
        self._log_changes(changes, f'peer {name}')
        if (changes or self.state.end != end) and self._mesh.is_partial:
            self._mesh.broadcast(self._create_update(now))

    def heartbeat_received(
        self, name: str, heartbeat: fleet_messages.Heartbeat
    ) -> None:
        """Send a peer the update if its heartbeat shows that it lacks it."""
        now = time.monotonic()
        known = (heartbeat.era, heartbeat.evacuations_end)
        own = (self.state.era, self.state.end)
        if (
            heartbeat.era == self.state.era
            and known <= own
            and heartbeat.store_age_s < MAX_CONFIRMING_AGE_S
        ):
            self.state.confirm(now)
        if known < own and now >= self._next_update_at.get(name, 0.0):
            self._next_update_at[name] = now + REPEAT_UPDATE_S
            self.send_update(name)

    def send_update(self, name: str) -> None:
        """Tell a peer all evacuations, if it understands that."""
        peer = self._mesh.peer_by_name.get(name)
        if (
            peer is not None
            and self.state.has_records
            and capabilities.is_supported(
                capabilities.Capability.EVACUATIONS, peer.record.capabilities
            )
        ):
            self._mesh.send(name, self._create_update(time.monotonic()))

    def expire(self) -> None:
        """End evacuations that a store without them has confirmed."""
        self._log_changes(self.state.expire(time.monotonic()), 'lapse')

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the evacuated data centres, as shown to operators."""
        now = time.monotonic()
        return {
            name: {
                'offset': self.state.offset(name),
                'known_s': round(now - since, 1),
            }
            for name, since in self.state.known_since.items()
        }

    def _create_update(self, now: float) -> fleet_messages.EvacuationUpdate:
        return fleet_messages.EvacuationUpdate(
            self.state.era, self.state.end, self.state.records(now)
        )

    def _log_changes(
        self,
        changes: list[membership_evacuations.EvacuationChange],
        source: str,
    ) -> None:
        for change in changes:
            self._log.notable(
                'evacuation_started'
                if change.is_evacuated
                else 'evacuation_ended',
                data_centre=change.data_centre,
                offset=change.offset,
                era=change.era,
                age_s=change.age_s,
                source=source,
            )
        if changes:
            self._on_change()

    def _log_unusable(
        self, record: feeds.FeedRecord, problem: exceptions.WireError
    ) -> None:
        """Log an unusable record once, also if lists show it again."""
        if self.unreadable.add(record.key, problem):
            self._log.notable(
                'evacuation_unusable',
                offset=record.offset,
                problem=str(problem),
            )
