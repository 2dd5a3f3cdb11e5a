"""Follows the desired state and the targets.

A few hosts read the targets from the store and pass the records on; a host
that the store turns away learns everything from its peers.
"""

from collections.abc import Callable
import time

from twisted.internet import defer
from twisted.internet import task

from walnutport import exceptions
from walnutport.gateway import peers
from walnutport.membership import ranking
from walnutport.membership import registry
from walnutport.peer import fleet_messages
from walnutport.world import feeds
from walnutport.world import routes

__all__ = ['NewsFollower']

# A leaving target must get no new work two seconds after its word is in the
# store; this leaves time for one failed read.
TARGETS_POLL_S = 0.7
# Hosts that read the targets at the same time, so that the loss of one costs
# nothing.
READERS = 2
# A reader whose last read is older than this does not count as one.
READER_STALE_S = 1.6
# How long the store holds back the answer of a read of the desired state.
DESIRED_WAIT_S = 25.0
# A host that stays behind a peer this long asks for its news. Most hosts read
# the store themselves within that time, and a desired state of many routes
# sent to everybody fills the links of small hosts.
ASK_AFTER_S = 0.35
ASK_EVERY_S = 0.6
FIRST_RETRY_S = 0.25
LONGEST_RETRY_S = 1.0


class NewsFollower:
    """Desired state and targets as this host knows them.

    :param store: the installation's store.
    :param decode_desired: decodes a desired state; raises WireError.
    :param desired_key: key of the desired state in its feed.
    :param decode_target: decodes an entry of a target; raises WireError.
    :param on_change: called after each change of the desired state or the
        targets.
    :param mesh: links to the other hosts.
    """

    def __init__(
        self,
        reactor,
        log,
        store: feeds.FeedStore,
        desired_key: str,
        decode_desired: Callable[[bytes], routes.DesiredState],
        decode_target,
        on_change: Callable[[], None],
        mesh: peers.PeerMesh,
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._store = store
        self._desired_key = desired_key
        self._decode_desired = decode_desired
        self._on_change = on_change
        self.desired: routes.DesiredState | None = None
        self.desired_at = 0.0
        self.registry = registry.TargetRegistry(decode_target)
        self._mesh = mesh
        self._desired_record: feeds.FeedRecord | None = None
        self._desired_end = -1
        self._targets_known = False
        self._targets_read_at = 0.0
        self._store_lost_at: float | None = None
        self._stopped = False
        # Peer that is known to be ahead, since when, and when to ask next.
        self._ahead = ''
        self._behind_since = 0.0
        self._ask_at = 0.0

    @property
    def is_informed(self) -> bool:
        """Whether the desired state and the targets are known."""
        return self.desired is not None and self._targets_known

    @property
    def desired_end(self) -> int:
        """Offset up to which the desired state is known."""
        return self._desired_end

    def store_age_s(self) -> float:
        """Return the seconds since targets were read from the store."""
        return time.monotonic() - self._targets_read_at

    def start(self) -> None:
        """Begin to follow both feeds."""
        defer.Deferred.fromCoroutine(self._follow_desired())
        defer.Deferred.fromCoroutine(self._follow_targets())

    def stop(self) -> None:
        """Stop after the calls under way."""
        self._stopped = True

    def heard(self, name: str, message: fleet_messages.FleetMessage) -> None:
        """Take news of a peer, and give it what it lacks."""
        now = time.monotonic()
        if isinstance(message, fleet_messages.DesiredStateUpdate):
            self._take_desired(message.record, message.end, f'peer {name}')
        elif isinstance(message, fleet_messages.TargetUpdate):
            self._take_targets(name, message, now)
        elif isinstance(message, fleet_messages.Heartbeat):
            self._compare(name, message)
        elif isinstance(message, fleet_messages.UpdateRequest):
            self._tell(name, message)

    def _take_targets(
        self, name: str, message: fleet_messages.TargetUpdate, now: float
    ) -> None:
        """Apply changes of targets, also those that leave a gap.

        After a gap this host stays behind its peers, as their heartbeats
        show, and asks for what it lacks.
        """
        self.registry.extend_grace(message.grace_s, now)
        if message.after > self.registry.changed_end:
            found = self.registry.apply_partial(message.records, now)
        else:
            page = feeds.FeedPage(message.records, message.end)
            found = self.registry.apply(page, now)
            self.registry.mark_caught_up(message.changed_end)
            self._targets_known = True
        self._report(*found, source=name)

    def _compare(self, name: str, pulse: fleet_messages.Heartbeat) -> None:
        """Ask a peer for its news if this host stays behind it."""
        now = time.monotonic()
        behind = (
            pulse.desired_end > self._desired_end
            or pulse.targets_end > self.registry.changed_end
        )
        if not behind:
            if self._ahead == name:
                self._ahead = ''
            return
        if not self._ahead:
            self._ahead = name
            self._behind_since = now
        if now - self._behind_since < ASK_AFTER_S or now < self._ask_at:
            return
        self._ask_at = now + ASK_EVERY_S
        self._mesh.send(
            name,
            fleet_messages.UpdateRequest(
                self._desired_end, self.registry.changed_end
            ),
        )

    def _tell(self, name: str, ask: fleet_messages.UpdateRequest) -> None:
        """Give a peer the news that it lacks."""
        if (
            self._desired_record is not None
            and ask.desired_end < self._desired_end
        ):
            self._mesh.send(
                name,
                fleet_messages.DesiredStateUpdate(
                    self._desired_record, self._desired_end
                ),
            )
        if ask.targets_end < self.registry.changed_end:
            self._mesh.send(name, self._target_news(ask.targets_end))

    def _target_news(self, after: int) -> fleet_messages.TargetUpdate:
        return fleet_messages.TargetUpdate(
            self.registry.changes_after(after),
            self.registry.end,
            self.registry.changed_end,
            self.registry.grace_left_s(time.monotonic()),
            after,
        )

    async def _follow_desired(self) -> None:
        retry_s = FIRST_RETRY_S
        fresh = True
        while not self._stopped:
            try:
                if fresh or self._desired_end < 0:
                    page = await self._store.newest(feeds.Feed.DESIRED)
                    fresh = False
                else:
                    page = await self._store.read(
                        feeds.Feed.DESIRED, self._desired_end, DESIRED_WAIT_S
                    )
            except exceptions.RecordsExpired:
                self._log.notable('desired_expired', offset=self._desired_end)
                fresh = True
                continue
            except exceptions.LogServiceError as problem:
                self._store_failed(problem)
                await self._pause(retry_s)
                retry_s = min(LONGEST_RETRY_S, retry_s * 2)
                continue
            retry_s = FIRST_RETRY_S
            self._store_answered()
            for record in page.records:
                if (
                    record.key == self._desired_key
                    and record.value is not None
                ):
                    self._take_desired(record, page.end, 'store')
            self._desired_end = max(self._desired_end, page.end)
            if self.desired is None:
                await self._pause(FIRST_RETRY_S)

    async def _follow_targets(self) -> None:
        fresh = True
        while not self._stopped:
            if self._targets_known and not self._should_read():
                await self._pause(TARGETS_POLL_S / 2)
                continue
            try:
                await self._read_targets(fresh or not self._targets_known)
                fresh = False
            except exceptions.RecordsExpired:
                self._log.notable('targets_expired', offset=self.registry.end)
                fresh = True
                continue
            except exceptions.LogServiceError as problem:
                self._store_failed(problem)
            await self._pause(TARGETS_POLL_S)

    async def _read_targets(self, fresh: bool) -> None:
        if fresh:
            page = await self._store.newest(feeds.Feed.TARGETS)
        else:
            page = await self._store.read(
                feeds.Feed.TARGETS, self.registry.end, 0.0
            )
        self._store_answered()
        now = time.monotonic()
        before = self.registry.changed_end
        self._targets_read_at = now
        self._targets_known = True
        if fresh:
            found = self.registry.replace(page, now)
        else:
            found = self.registry.apply(page, now)
        self._report(*found, source='store')
        if found[0]:
            self._mesh.broadcast(self._target_news(before))

    def _should_read(self) -> bool:
        """Whether this host is one of those that read the targets."""
        shares = {self._mesh.own.name: 1.0}
        for name, view in self._mesh.view_by_name.items():
            pulse = view.pulse
            if (
                view.reachable
                and pulse is not None
                and not pulse.draining
                and pulse.store_age_s < READER_STALE_S
            ):
                shares[name] = 1.0
        ranked = ranking.rank_hosts(ranking.TARGETS_READER, shares)
        return self._mesh.own.name in ranked[:READERS]

    def _take_desired(
        self, record: feeds.FeedRecord, end: int, source: str
    ) -> None:
        known = self._desired_record
        if known is not None and record.offset <= known.offset:
            return
        try:
            desired = self._decode_desired(record.value or b'')
        except exceptions.WireError as problem:
            self._log.notable(
                'desired_unreadable',
                offset=record.offset,
                problem=str(problem),
            )
            return
        self._desired_record = record
        self._desired_end = max(self._desired_end, end)
        self.desired = desired
        self.desired_at = time.monotonic()
        self._log.notable(
            'desired_applied',
            version=desired.version,
            offset=record.offset,
            source=source,
            routes=len(desired.routes),
        )
        self._on_change()

    def expire(self) -> None:
        """Remove targets whose lapsed entries did not come back."""
        changes = self.registry.expire(time.monotonic())
        if changes:
            self._report(changes, [], source='lapse')

    def _report(
        self,
        changes: list[registry.RegistryChange],
        problems: list[str],
        source: str,
    ) -> None:
        for problem in problems:
            self._log.notable('target_unreadable', problem=problem)
        for change in changes:
            self._log.notable(
                'target_' + change.change,
                target=change.target_id,
                offset=change.offset,
                source=source,
            )
        if changes:
            self._on_change()

    def _store_failed(self, problem: Exception) -> None:
        if self._store_lost_at is None:
            self._store_lost_at = time.monotonic()
            self._log.notable('store_lost', problem=str(problem))

    def _store_answered(self) -> None:
        if self._store_lost_at is None:
            return
        now = time.monotonic()
        outage_s = now - self._store_lost_at
        self._store_lost_at = None
        self.registry.store_recovered(outage_s, now)
        self._log.notable('store_regained', outage_s=round(outage_s, 3))

    async def _pause(self, delay_s: float) -> None:
        await task.deferLater(self._reactor, delay_s)
