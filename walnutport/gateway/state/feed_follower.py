"""Follows the feeds of the desired state, the evacuations and the targets.

A few hosts read the targets from the store and forward the records to their
peers; a host that the store refuses gets everything from its peers.
"""

from collections.abc import Callable
import time

from twisted.internet import defer
from twisted.internet import task

from walnutport import exceptions
from walnutport.gateway.peers import peers
from walnutport.gateway.state import desired_reader
from walnutport.gateway.state import desired_state
from walnutport.gateway.state import evacuation_feed
from walnutport.gateway.state import feed_failures
from walnutport.gateway.state import first_comparison
from walnutport.gateway.state import store_contact
from walnutport.gateway.state import target_confirmation
from walnutport.gateway.state import target_log
from walnutport.gateway.state import update_requests
from walnutport.membership import ranking
from walnutport.membership import registry
from walnutport.peer import fleet_messages
from walnutport.world import feeds
from walnutport.world import routes

__all__ = ['FeedFollower']

# A target that drains must get no new work two seconds after its record is in
# the store; this interval leaves time for one failed read.
TARGETS_POLL_INTERVAL_S = 0.7
# Number of hosts that read the targets at the same time, so that the loss of
# one causes no delay.
READER_COUNT = 2
# A host whose last read is older than this does not read on from its end: too
# many heartbeats of targets may have come since.
MAX_READ_ON_AGE_S = 5.0
# Pages of a read beyond the first; the next read goes on from there.
MAX_PAGES = 10
# A host whose last read of a feed is older than this does not count as one of
# its readers. The store may serve one feed and not the other.
READER_TIMEOUT_S = 1.6
EXPIRED_RETRY_DELAY_S = 0.25
# Shortest time between two messages that only tell the version in force.
NOTICE_INTERVAL_S = 0.3
# A copy of the desired state is not sent again to a peer within this time.
REPEAT_COPY_AFTER_S = 2.0
# Before a host removes targets whose entries have not come back, it asks a
# peer that reads the targets; entries come back within two seconds.
CONFIRM_LAPSE_WITHIN_S = 1.3


class FeedFollower:
    """Desired state and targets as far as this host knows them.

    :param store: the installation's store.
    :param decode_desired: decodes a desired state; raises WireError.
    :param desired_key: key of the desired state in its feed.
    :param decode_target: decodes the record of a target; raises WireError.
    :param on_change: called after each change of the desired state or the
        targets.
    :param mesh: links to the other hosts.
    :param on_new_era: called when the store has returned from an older copy.
    :param evacuations: evacuated data centres, which share the feed of the
        desired state.
    :param is_first_start: whether the whole installation starts for the first
        time.
    :ivar confirmation: reads the targets when a decision needs them.
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
        on_new_era: Callable[[], None],
        evacuations: evacuation_feed.EvacuationFeed,
        is_first_start: bool = False,
    ) -> None:
        self.evacuations = evacuations
        self._reactor = reactor
        self._log = log
        self._store = store
        self._desired_key = desired_key
        self._desired = desired_state.DesiredState(log, decode_desired)
        self._on_change = on_change
        self._on_new_era = on_new_era
        self._requests = update_requests.UpdateRequests(
            log,
            mesh,
            lambda: fleet_messages.UpdateRequest(
                self.desired_version,
                self.registry.era,
                self.registry.changes_end_offset,
            ),
            lambda: self._desired_reader.read_again(),
        )
        self._first_comparison = first_comparison.FirstComparison(
            reactor,
            log,
            mesh,
            is_first_start,
            self._requests.request_desired,
        )
        # Era of the store as this host knows it, also from its peers.
        self.era = 0
        self.era_changes = 0
        self._target_log = target_log.TargetLog(log, on_change)
        self.registry = registry.TargetRegistry(
            decode_target, self._target_log.log_superseded
        )
        self._failures = feed_failures.FeedFailures(log, 'targets')
        self._mesh = mesh
        self._contact = store_contact.StoreContact(log, self.registry)
        self._desired_reader = desired_reader.DesiredReader(
            reactor, log, store, self._apply_desired_page, self._contact.failed
        )
        self.confirmation = target_confirmation.TargetConfirmation(
            reactor, self._read_targets_now
        )
        self._must_list = False
        self._targets_known = False
        self._is_reader = False
        # Whether the last read for the peers has failed. This host reads until
        # one succeeds, whoever else reads then.
        self._has_failed = False
        self._next_desired_check_at = 0.0
        self._next_notice_at = 0.0
        # Version that each peer was sent last, and when.
        self._copy_by_peer: dict[str, tuple[int, float]] = {}
        self._targets_read_at = 0.0
        self._stopped = False

    @property
    def is_initialized(self) -> bool:
        """Whether the desired state and the targets are known."""
        return self.desired is not None and self._targets_known

    @property
    def desired(self) -> routes.DesiredState | None:
        """Desired state in force, None if none is known."""
        return self._desired.current

    @property
    def desired_at(self) -> float:
        """When the desired state was applied."""
        return self._desired.applied_at

    @property
    def desired_version(self) -> int:
        """Version of the desired state, 0 if none is known."""
        return self._desired.version

    @property
    def reads_for_peers(self) -> bool:
        """Whether this host reads the targets for the others, and succeeds.

        A host that does not know the others yet is none of these.
        """
        return (
            self._is_reader
            and self._targets_known
            and not self._mesh.awaits_peers
            and self.store_age_s() < READER_TIMEOUT_S
        )

    @property
    def reads_targets(self) -> bool:
        """Whether this host reads the targets from the store."""
        return self._is_reader or self._has_failed

    def store_age_s(self) -> float:
        """Return the seconds since this host read targets from the store."""
        return time.monotonic() - self._targets_read_at

    def desired_read_age_s(self) -> float:
        """Return the seconds since the store answered for the desired state.

        A healthy store answers once a read has been held for its longest time.
        """
        return self._desired_reader.age_s()

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            'desired_behind_seconds': self._requests.behind_s(),
            'desired_held_read_seconds': self._desired_reader.read_age_s(),
        }

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'store_era_changes_total': self.era_changes,
            **self._target_log.totals(),
            **self._desired.unreadable.totals(),
            **self.evacuations.unreadable.totals(),
            **self._failures.totals(),
            **self._desired_reader.failures.totals(),
            **self._requests.totals(),
        }

    def start(self) -> None:
        """Start to follow both feeds."""
        self._desired_reader.start()
        defer.Deferred.fromCoroutine(self._follow_targets())

    def stop(self) -> None:
        """Stop once the calls in flight are complete."""
        self._stopped = True
        self._desired_reader.stop()

    def handle_message(
        self, name: str, message: fleet_messages.FleetMessage
    ) -> None:
        """Apply an update from a peer, or send it one that it requests."""
        now = time.monotonic()
        if isinstance(message, fleet_messages.DesiredStateUpdate):
            self._apply_desired(message.record, f'peer {name}')
        elif isinstance(message, fleet_messages.TargetUpdate):
            self._apply_targets(name, message, now)
        elif isinstance(message, fleet_messages.EvacuationUpdate):
            self._enter_era(message.era, f'peer {name}')
            self.evacuations.merge_update(name, message)
        elif isinstance(message, fleet_messages.Heartbeat):
            self.evacuations.heartbeat_received(name, message)
            self._contact.outages.record_read(now - message.store_age_s, now)
            self._requests.heartbeat_received(
                name, message, self._desired_reader.read_age_s()
            )
        elif isinstance(message, fleet_messages.UpdateRequest):
            self._send_updates(name, message)

    def _apply_targets(
        self, name: str, message: fleet_messages.TargetUpdate, now: float
    ) -> None:
        """Apply target changes, even if earlier ones are missing.

        After a gap the known offset does not advance, so the heartbeats of
        peers show that this host lags, and it asks for the missing changes.
        """
        if message.era < self.registry.era:
            return
        self._enter_era(message.era, f'peer {name}')
        if message.grace_s and self._contact.outages.is_recent(now):
            self.registry.extend_grace(message.grace_s, now)
        page = feeds.FeedPage(message.records, message.end)
        has_gap = message.after > self.registry.changes_end_offset
        if message.lists_all:
            applied = self.registry.replace(page, now)
        elif has_gap:
            applied = self.registry.apply_partial(message.records, now)
        else:
            applied = self.registry.apply(page, now)
        if message.lists_all or not has_gap:
            self.registry.mark_caught_up(message.changed_end)
            self._targets_known = True
        self._target_log.log_changes(*applied, source=name)

    def _send_updates(
        self, name: str, request: fleet_messages.UpdateRequest
    ) -> None:
        """Send a peer the updates that it lacks."""
        if request.desired_version < self.desired_version:
            self._send_desired(name)
        if request.era > self.registry.era:
            return
        after = request.targets_end if request.era == self.registry.era else 0
        if after < self.registry.changes_end_offset:
            self._mesh.send(name, self._target_update(after))

    def _send_desired(self, name: str) -> None:
        """Send a peer the desired state, unless a copy is on its way."""
        now = time.monotonic()
        version, sent_at = self._copy_by_peer.get(name, (0, 0.0))
        if (
            self._desired.record is None
            or version == self.desired_version
            and now - sent_at < REPEAT_COPY_AFTER_S
        ):
            return
        if self._mesh.send(
            name, fleet_messages.DesiredStateUpdate(self._desired.record)
        ):
            self._copy_by_peer[name] = (self.desired_version, now)

    def peer_joined(self, name: str) -> None:
        """Handle a new link, on which nothing is on its way."""
        self._copy_by_peer.pop(name, None)

    def _target_update(self, after: int) -> fleet_messages.TargetUpdate:
        lists_all = after < self.registry.listed_end_offset
        return fleet_messages.TargetUpdate(
            self.registry.changes_after(0 if lists_all else after),
            self.registry.era,
            self.registry.end_offset,
            self.registry.changes_end_offset,
            self.registry.grace_left_s(time.monotonic()),
            after,
            lists_all,
        )

    async def _apply_desired_page(self, page: feeds.FeedPage) -> None:
        self._contact.succeeded()
        self._enter_era(page.era, 'store')
        # Before the first desired state, without which nothing is sent.
        self.evacuations.apply_page(page)
        for record in page.records:
            if record.key == self._desired_key and record.value is not None:
                if self.desired is None:
                    await self._first_comparison.confirm(
                        self._desired.version_of(record),
                        lambda: self.era,
                        lambda: self.desired is None and not self._stopped,
                    )
                self._apply_desired(record, 'store')

    async def _follow_targets(self) -> None:
        needs_full_read = True
        while not self._stopped:
            self._is_reader = self._is_among_readers(
                lambda heartbeat: heartbeat.store_age_s
            )
            if (
                self._targets_known
                and not self._is_reader
                and not self._has_failed
            ):
                await self._pause(TARGETS_POLL_INTERVAL_S / 2)
                continue
            try:
                await self._read_targets(
                    needs_full_read
                    or not self._targets_known
                    or self._store.era != self.registry.era
                )
                needs_full_read = False
            except exceptions.RecordsExpired:
                self._log.notable(
                    'targets_expired', offset=self.registry.end_offset
                )
                needs_full_read = True
                await self._pause(EXPIRED_RETRY_DELAY_S)
                continue
            except exceptions.LogServiceError as problem:
                self._has_failed = True
                self._contact.failed(problem)
            except Exception as problem:
                # What was read is applied in part, or not at all.
                self._failures.add(problem)
                needs_full_read = True
            await self._pause(TARGETS_POLL_INTERVAL_S)

    async def _read_targets_now(self) -> None:
        """Read the targets for a decision.

        A host that learns from its peers does not know where the heartbeats
        in the feed end, so it lists the targets.
        """
        try:
            await self._read_targets(
                self._must_list
                or self.store_age_s() > MAX_READ_ON_AGE_S
                or self._store.era != self.registry.era
            )
        except exceptions.RecordsExpired:
            self._must_list = True
        except exceptions.LogServiceError as problem:
            self._contact.failed(problem)
        except Exception as problem:
            # What was read is applied in part, or not at all.
            self._failures.add(problem)
            self._must_list = True

    async def _read_targets(self, full_read: bool) -> None:
        """Read and apply all targets that are registered by now."""
        began_at = time.monotonic()
        page = await self._read_targets_page(full_read)
        if page is None:
            return
        # The feed grows meanwhile; what comes later need not be read.
        feed_end = page.feed_end
        for _ in range(MAX_PAGES):
            if page.end >= feed_end:
                self.confirmation.read_succeeded(began_at)
                return
            offset = page.end
            page = await self._read_targets_page(full_read=False)
            if page is None or page.end == offset:
                return

    async def _read_targets_page(
        self, full_read: bool
    ) -> feeds.FeedPage | None:
        """Read a page of the targets and apply it.

        :returns: None if it is not applied.
        """
        era = self.registry.era
        if full_read:
            page = await self._store.read_newest(feeds.Feed.TARGETS)
        else:
            page = await self._store.read(
                feeds.Feed.TARGETS, self.registry.end_offset, 0.0
            )
        self._contact.succeeded()
        if page.era < self.registry.era or (not full_read and page.era != era):
            # The offset of the read, or the whole page, is of an era before.
            return None
        self._enter_era(page.era, 'store')
        now = time.monotonic()
        before = self.registry.changes_end_offset
        self._targets_read_at = now
        self._must_list = self._must_list and not full_read
        self._contact.outages.record_read(now, now)
        self._targets_known = True
        if full_read:
            applied = self.registry.replace(page, now)
        else:
            applied = self.registry.apply(page, now)
        self._target_log.log_changes(*applied, source='store')
        was_away, self._has_failed = self._has_failed, False
        if self.registry.changes_end_offset != before:
            self._mesh.broadcast(
                self._target_update(before),
                self._readers_of_targets(was_away),
            )
        return page

    def _readers_of_targets(self, was_away: bool) -> set[str]:
        """Return the peers that read the targets themselves.

        After an outage of the store all hosts do, and what has changed
        meanwhile would fill the links between them. At other times, a peer
        whose reads fail is refused by the store alone.

        :param was_away: whether the store did not answer this host before.
        """
        return {
            name
            for name, peer in self._mesh.peer_by_name.items()
            if peer.heartbeat is not None
            and peer.heartbeat.reads_targets
            and (was_away or peer.heartbeat.store_age_s < READER_TIMEOUT_S)
        }

    def _enter_era(self, era: int, source: str) -> None:
        """Follow the store into a new era, after it returned from a copy.

        The desired state stays in force: its successor has a higher version,
        whatever its offset is.
        """
        if era <= self.era:
            return
        before = self.era
        self.era = era
        self.evacuations.enter_era(era)
        if before == 0:
            # The first era that this host sees replaces no other.
            self.registry.era = era
            return
        self._desired_reader.enter_era(era)
        self.registry.enter_era(era, time.monotonic())
        self.era_changes += 1
        self._log.notable(
            'store_returned_older', era=era, before=before, source=source
        )
        self._on_new_era()

    def _is_among_readers(
        self, age_s: Callable[[fleet_messages.Heartbeat], float]
    ) -> bool:
        """Return whether this host is among those that read a feed.

        :param age_s: returns the seconds since the sender of a heartbeat read
            the feed.
        """
        own = self._mesh.own_record
        shares = {own.name: own.work_share}
        for name, peer in self._mesh.peer_by_name.items():
            heartbeat = peer.heartbeat
            if (
                peer.reachable
                and heartbeat is not None
                and not heartbeat.draining
                and age_s(heartbeat) < READER_TIMEOUT_S
            ):
                shares[name] = peer.record.work_share
        return own.name in ranking.rank_readers(shares)[:READER_COUNT]

    def _apply_desired(self, record: feeds.FeedRecord, source: str) -> None:
        if self._desired.apply(
            record,
            self.era,
            source,
            self._requests.behind_s(),
            self._desired_reader.read_age_s(),
        ):
            self._notify_peers(source)
            self._on_change()

    def _notify_peers(self, source: str) -> None:
        """Tell peers the new version, if they may wait for this host.

        All others have it from the store at the same time.
        """
        now = time.monotonic()
        if now >= self._next_notice_at and (
            self._desired_reader.reads_for_peers or source != 'store'
        ):
            self._next_notice_at = now + NOTICE_INTERVAL_S
            self._mesh.send_heartbeat()

    def tick(self) -> None:
        """Do what is due, several times a second."""
        now = time.monotonic()
        if now >= self._next_desired_check_at:
            self._next_desired_check_at = now + TARGETS_POLL_INTERVAL_S / 2
            self._desired_reader.set_reads_for_peers(
                self._is_among_readers(_desired_age_s)
            )
        self._requests.tick()
        self.expire_targets()

    def expire_targets(self) -> None:
        """Remove targets whose lapsed records did not reappear."""
        self.evacuations.expire()
        now = time.monotonic()
        if self.registry.lapse_is_due(now, CONFIRM_LAPSE_WITHIN_S):
            self._requests.request_all_targets()
        changes = self.registry.remove_lapsed(now)
        if changes:
            self._target_log.log_changes(changes, [], source='lapse')

    async def _pause(self, delay_s: float) -> None:
        await task.deferLater(self._reactor, delay_s)


def _desired_age_s(heartbeat: fleet_messages.Heartbeat) -> float:
    """Return the seconds since a peer read the desired state."""
    if heartbeat.desired_age_s is None:
        return heartbeat.store_age_s
    return heartbeat.desired_age_s
