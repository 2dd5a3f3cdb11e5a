"""Writes catalogue snapshots to the log and exchanges state with peers."""

import collections
import dataclasses
import logging
import secrets

from twisted.internet import defer

from walnutport.catalogue import follower
from walnutport.catalogue import records
from walnutport.catalogue import snapshot
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport import interfaces
from walnutport.membership import hosts
from walnutport.peer import messages
from walnutport.service.records import log_reader

__all__ = ['CatalogueKeeper', 'SnapshotWriter']

LOG = logging.getLogger(__name__)
PREFIX = 'catalogue:'

_WRITE_RETRY_S = 10.0
_BEHIND_S = 1.0
_PART_TIMEOUT_S = 0.5
_PART_TRIES = 3
_MAX_SERVED = 8
_MAX_PARTS = 1_500
# A host that took its state from a peer does not know when the newest
# snapshot of the log was written; it assumes this share of the retention.
_ASSUMED_AGE_SHARE = 0.4


class SnapshotWriter:
    """Rewrites the snapshot before a needed record expires.

    Several hosts may write one; a snapshot changes nothing in the fold.
    """

    def __init__(
        self,
        settings: config.HostSettings,
        catalogue: follower.CatalogueFollower,
        reader: log_reader.LogReader,
        log: interfaces.LogService,
        clock: interfaces.Clock,
    ) -> None:
        self._reader = reader
        self._host_id = settings.host_id
        self._retention_s = settings.platform.retention_s
        self._catalogue = catalogue
        self._log = log
        self._clock = clock
        self._next_try = 0.0
        self.written = 0

    def advance(self) -> None:
        """Write a snapshot if it is the turn of this host."""
        now = self._clock.monotonic()
        oldest_ms = self._catalogue.oldest_needed_ms
        if not self._reader.available or now < self._next_try:
            return
        if oldest_ms is None:
            return
        age_s = self._clock.wall() - oldest_ms / 1000
        if age_s < snapshot.snapshot_due_age_s(
            self._host_id, oldest_ms, self._retention_s
        ):
            return
        found = self._catalogue.take_snapshot()
        if found is None:
            return
        self._next_try = now + min(_WRITE_RETRY_S, self._retention_s / 20)
        writing = defer.Deferred.fromCoroutine(self._write(found, age_s))
        writing.addErrback(
            lambda failure: LOG.error('%s snapshot: %s', PREFIX, failure)
        )

    async def _write(self, found: snapshot.Snapshot, age_s: float) -> None:
        payload = snapshot.encode_snapshot(found)
        result = await self._log.append(records.CATALOGUE_STREAM, payload)
        if result.is_error():
            LOG.warning('%s snapshot: %s', PREFIX, result.error)
            return
        self.written += 1
        LOG.info(
            '%s snapshot of offset %d written, %d bytes, oldest record %d s',
            PREFIX,
            found.base_offset,
            len(payload),
            age_s,
        )


@dataclasses.dataclass(slots=True)
class _Query:
    """A running request for the state of a peer."""

    query_id: str
    host_id: str
    sent: float
    tries: int = 1
    offset: int = -1
    parts: list[bytes] = dataclasses.field(default_factory=list)


class CatalogueKeeper:
    """Serves the catalogue to peers and takes it from one when needed.

    It is needed when this host has no catalogue, as the log is down since
    its start, when records have expired unread, or when a peer has been
    ahead for ``_BEHIND_S``, which the log reader should have made up by
    then.
    """

    def __init__(
        self,
        settings: config.HostSettings,
        catalogue: follower.CatalogueFollower,
        reader: log_reader.LogReader,
        membership: hosts.HostMembership,
        bus: interfaces.PeerBus,
        clock: interfaces.Clock,
    ) -> None:
        self._assumed_age_s = (
            _ASSUMED_AGE_SHARE * settings.platform.retention_s
        )
        self._catalogue = catalogue
        self._reader = reader
        self._membership = membership
        self._bus = bus
        self._clock = clock
        self._query: _Query | None = None
        self._behind_since: float | None = None
        self._turn = 0
        self._served: collections.OrderedDict[
            str, tuple[int, tuple[bytes, ...]]
        ] = collections.OrderedDict()
        self.taken = 0
        bus.subscribe(messages.StateRequest, self._serve)
        bus.subscribe(messages.StateReply, self._replied)

    def advance(self) -> None:
        """Ask a peer if its state is needed; repeat lost requests."""
        now = self._clock.monotonic()
        if self._query is not None:
            self._repeat(self._query, now)
        elif self._needs_state(now):
            self._ask(now)

    def _needs_state(self, now: float) -> bool:
        catalogue = self._catalogue
        ahead = self._membership.ids_ahead_of(catalogue.offset, now)
        if catalogue.synced and not catalogue.has_gap and not ahead:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        waited = now - self._behind_since >= _BEHIND_S
        # Without a log there is nothing to wait for.
        return waited or (
            not catalogue.synced
            and not self._reader.available
            and self._reader.failures > 0
        )

    def _ask(self, now: float) -> None:
        candidates = self._membership.ids_ahead_of(
            self._catalogue.offset, now
        ) or self._membership.recently_heard_ids(now)
        if not candidates:
            return
        self._turn += 1
        host_id = candidates[self._turn % len(candidates)]
        self._query = _Query(secrets.token_hex(8), host_id, now)
        self._request(self._query)

    def _request(self, query: _Query) -> None:
        self._bus.send(
            query.host_id,
            messages.StateRequest(query.query_id, len(query.parts)),
        )

    def _repeat(self, query: _Query, now: float) -> None:
        if now - query.sent < _PART_TIMEOUT_S:
            return
        if query.tries >= _PART_TRIES:
            LOG.warning('%s no state from %s', PREFIX, query.host_id)
            self._query = None
            return
        query.tries += 1
        query.sent = now
        self._request(query)

    def _serve(
        self, origin: messages.PeerOrigin, wanted: messages.StateRequest
    ) -> None:
        """Answer with one part; the parts of a query are of one snapshot."""
        key = f'{origin.host_id}/{wanted.query_id}'
        if key not in self._served:
            found = self._catalogue.take_snapshot()
            if found is None:
                return
            parts = snapshot.split_parts(snapshot.encode_snapshot(found))
            self._served[key] = (found.base_offset, parts)
            while len(self._served) > _MAX_SERVED:
                self._served.popitem(last=False)
        offset, parts = self._served[key]
        if 0 <= wanted.part < len(parts):
            reply = messages.StateReply(
                wanted.query_id,
                offset,
                wanted.part,
                len(parts),
                parts[wanted.part],
            )
            self._bus.send(origin.host_id, reply)

    def _replied(
        self, origin: messages.PeerOrigin, reply: messages.StateReply
    ) -> None:
        query = self._query
        if query is None or reply.query_id != query.query_id:
            return
        if reply.part != len(query.parts) or reply.parts > _MAX_PARTS:
            return
        if query.offset not in (-1, reply.offset):
            # The peer lost the first snapshot of this query.
            self._query = None
            return
        query.offset = reply.offset
        query.parts.append(reply.snapshot)
        query.tries, query.sent = 1, self._clock.monotonic()
        if len(query.parts) < reply.parts:
            self._request(query)
            return
        self._query = None
        self._adopt(origin.host_id, snapshot.join_parts(query.parts))

    def _adopt(self, host_id: str, payload: bytes) -> None:
        try:
            found = snapshot.decode_snapshot(payload)
        except exceptions.CodecError as error:
            LOG.warning('%s state of %s: %s', PREFIX, host_id, error)
            return
        since_s = self._clock.wall() - self._assumed_age_s
        before = self._catalogue.offset
        self._catalogue.merge_snapshot(found, int(since_s * 1000))
        self.taken += 1
        LOG.info(
            '%s state of %s taken, offset %d to %d',
            PREFIX,
            host_id,
            before,
            self._catalogue.offset,
        )
