"""Writes catalogue snapshots to the log and exchanges them with peers."""

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

__all__ = ['CatalogueSync', 'SnapshotWriter']

LOG = logging.getLogger(__name__)
PREFIX = 'catalogue:'

_WRITE_RETRY_S = 10.0
_MAX_LAG_S = 1.0
_PART_TIMEOUT_S = 0.5
_MAX_PART_TRIES = 3
_MAX_SERVED_QUERIES = 8
_MAX_PARTS = 1_500
# A host that took its catalogue from a peer does not know the age of the
# newest snapshot in the log; it assumes this share of the retention time.
_ASSUMED_AGE_SHARE = 0.4


class SnapshotWriter:
    """Writes a snapshot to the log before a record that is needed expires.

    Several hosts may write one; a snapshot does not change the catalogue.
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
        self._next_try_at = 0.0
        self.snapshots_written = 0

    def advance(self) -> None:
        """Write a snapshot if it is due on this host."""
        now = self._clock.monotonic()
        oldest_ms = self._catalogue.oldest_needed_ms
        if not self._reader.available or now < self._next_try_at:
            return
        if oldest_ms is None:
            return
        age_s = self._clock.wall() - oldest_ms / 1000
        if age_s < snapshot.snapshot_due_age_s(
            self._host_id, oldest_ms, self._retention_s
        ):
            return
        catalogue_snapshot = self._catalogue.take_snapshot()
        if catalogue_snapshot is None:
            return
        self._next_try_at = now + min(_WRITE_RETRY_S, self._retention_s / 20)
        writing = defer.Deferred.fromCoroutine(
            self._write(catalogue_snapshot, age_s)
        )
        writing.addErrback(
            lambda failure: LOG.error(
                '%s snapshot failed: %s', PREFIX, failure
            )
        )

    async def _write(
        self, catalogue_snapshot: snapshot.Snapshot, age_s: float
    ) -> None:
        payload = snapshot.encode_snapshot(catalogue_snapshot)
        result = await self._log.append(records.CATALOGUE_STREAM, payload)
        if result.is_error():
            LOG.warning('%s snapshot not written: %s', PREFIX, result.error)
            return
        self.snapshots_written += 1
        LOG.info(
            '%s snapshot of offset %d written, %d bytes, '
            'oldest needed record %d s old',
            PREFIX,
            catalogue_snapshot.base_offset,
            len(payload),
            age_s,
        )


@dataclasses.dataclass(slots=True)
class _Query:
    """A query in progress for the catalogue of a peer.

    :param offset: offset of the snapshot, -1 before the first reply.
    """

    query_id: str
    host_id: str
    sent_at: float
    tries: int = 1
    offset: int = -1
    parts: list[bytes] = dataclasses.field(default_factory=list)


class CatalogueSync:
    """Serves the catalogue to peers and fetches it from one when needed.

    It is needed when this host has no catalogue because the log has been
    unavailable since its start, when records have expired unread, or when a
    peer has been ahead for ``_MAX_LAG_S``, a time in which the log reader
    should have caught up.
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
        self._lagging_since: float | None = None
        self._query_count = 0
        self._snapshots_by_query: collections.OrderedDict[
            str, tuple[int, tuple[bytes, ...]]
        ] = collections.OrderedDict()
        self.snapshots_merged = 0
        bus.subscribe(messages.StateRequest, self._on_request)
        bus.subscribe(messages.StateReply, self._on_reply)

    def advance(self) -> None:
        """Query a peer if its catalogue is needed; repeat lost requests."""
        now = self._clock.monotonic()
        if self._query is not None:
            self._retry(self._query, now)
        elif self._needs_catalogue(now):
            self._start_query(now)

    def _needs_catalogue(self, now: float) -> bool:
        catalogue = self._catalogue
        ahead = self._membership.ids_ahead_of(catalogue.folded_offset, now)
        if catalogue.synced and not catalogue.has_gap and not ahead:
            self._lagging_since = None
            return False
        if self._lagging_since is None:
            self._lagging_since = now
        lags_too_long = now - self._lagging_since >= _MAX_LAG_S
        # While the log is unavailable, the reader cannot catch up.
        return lags_too_long or (
            not catalogue.synced
            and not self._reader.available
            and self._reader.failures > 0
        )

    def _start_query(self, now: float) -> None:
        candidates = self._membership.ids_ahead_of(
            self._catalogue.folded_offset, now
        ) or self._membership.recently_heard_ids(now)
        if not candidates:
            return
        self._query_count += 1
        host_id = candidates[self._query_count % len(candidates)]
        self._query = _Query(secrets.token_hex(8), host_id, now)
        self._send_request(self._query)

    def _send_request(self, query: _Query) -> None:
        self._bus.send(
            query.host_id,
            messages.StateRequest(query.query_id, len(query.parts)),
        )

    def _retry(self, query: _Query, now: float) -> None:
        if now - query.sent_at < _PART_TIMEOUT_S:
            return
        if query.tries >= _MAX_PART_TRIES:
            LOG.warning('%s no catalogue from %s', PREFIX, query.host_id)
            self._query = None
            return
        query.tries += 1
        query.sent_at = now
        self._send_request(query)

    def _on_request(
        self, origin: messages.PeerOrigin, request: messages.StateRequest
    ) -> None:
        """Reply with one part; a query gets all parts of one snapshot."""
        key = f'{origin.host_id}/{request.query_id}'
        if key not in self._snapshots_by_query:
            catalogue_snapshot = self._catalogue.take_snapshot()
            if catalogue_snapshot is None:
                return
            parts = snapshot.split_parts(
                snapshot.encode_snapshot(catalogue_snapshot)
            )
            self._snapshots_by_query[key] = (
                catalogue_snapshot.base_offset,
                parts,
            )
            while len(self._snapshots_by_query) > _MAX_SERVED_QUERIES:
                self._snapshots_by_query.popitem(last=False)
        offset, parts = self._snapshots_by_query[key]
        if 0 <= request.part < len(parts):
            reply = messages.StateReply(
                request.query_id,
                offset,
                request.part,
                len(parts),
                parts[request.part],
            )
            self._bus.send(origin.host_id, reply)

    def _on_reply(
        self, origin: messages.PeerOrigin, reply: messages.StateReply
    ) -> None:
        query = self._query
        if query is None or reply.query_id != query.query_id:
            return
        if reply.part != len(query.parts) or reply.parts > _MAX_PARTS:
            return
        if query.offset not in (-1, reply.offset):
            # The peer no longer holds the snapshot that this query began with.
            self._query = None
            return
        query.offset = reply.offset
        query.parts.append(reply.snapshot)
        query.tries, query.sent_at = 1, self._clock.monotonic()
        if len(query.parts) < reply.parts:
            self._send_request(query)
            return
        self._query = None
        self._merge(origin.host_id, snapshot.join_parts(query.parts))

    def _merge(self, host_id: str, payload: bytes) -> None:
        try:
            catalogue_snapshot = snapshot.decode_snapshot(payload)
        except exceptions.CodecError as error:
            LOG.warning(
                '%s invalid catalogue from %s: %s', PREFIX, host_id, error
            )
            return
        since_s = self._clock.wall() - self._assumed_age_s
        before = self._catalogue.folded_offset
        self._catalogue.merge_snapshot(catalogue_snapshot, int(since_s * 1000))
        self.snapshots_merged += 1
        LOG.info(
            '%s state of %s taken, offset %d to %d',
            PREFIX,
            host_id,
            before,
            self._catalogue.folded_offset,
        )
