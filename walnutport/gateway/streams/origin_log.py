"""Keeps where streams began in a log of the store that outlives all hosts."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.gateway.streams import begun_batches
from walnutport.gateway.streams import begun_queue
from walnutport.gateway.streams import origin_reader
from walnutport.gateway.streams import recent_misses
from walnutport.peer import fleet_messages
from walnutport.routing import stream_origins
from walnutport.world import feeds

__all__ = ['LOG_PARTS', 'OriginLog']

#: Partitions of the log: one takes some hundred appends a second.
LOG_PARTS = 4
# Time between two appends of a host. Streams of the time before an append are
# lost if all hosts are killed at once. The 16 hosts of a full mesh make 80
# calls a second at most, a fifth of the writes that the smallest store takes.
APPEND_INTERVAL_S = 0.2
# The same in a partial mesh, whose hosts share the write rate of the store.
PARTIAL_MESH_APPEND_INTERVAL_S = 1.0
# The interval doubles with each failed append, up to this many times as long:
# the store may refuse calls since they are too many.
MAX_RETRY_FACTOR = 4
# Bound of the ids of one append.
MAX_APPEND_BYTES = 128_000
# Bound of the ids that are kept to be written, or to be written again.
MAX_KEPT_IDS = 100_000
# Time for which an id that the log does not contain, or does not settle, is
# not looked up again.
# Callers that were refused come back after a second or more, and peers tell
# what they learn meanwhile.
MISS_KEPT_S = 2.0
# Bound of these ids, at most 100 bytes each beside the id.
MAX_MISSES = 10_000


class OriginLog:
    """Writes the origins of this host's streams, and finds those of others.

    :param own_name: name of this host, which selects its partition.
    :param is_partial: returns whether this host links with some hosts only.
    :ivar retention_s: time for which origins are kept.
    """

    def __init__(
        self,
        reactor,
        log,
        record_log: feeds.RecordLog,
        own_name: str,
        is_partial: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._record_log = record_log
        self._is_partial = is_partial
        self._reader = origin_reader.OriginReader(
            reactor, log, record_log, LOG_PARTS, is_partial
        )
        self._misses = recent_misses.RecentMisses(MISS_KEPT_S, MAX_MISSES)
        # Stable over runs and builds, so that a host keeps its partition.
        digest = hashlib.blake2b(own_name.encode(), digest_size=8).digest()
        self._hash = int.from_bytes(digest, 'big')
        self.retention_s = stream_origins.RETENTION_MARGIN_S
        self._waiting = begun_queue.BegunQueue()
        # Kept to be written again if the store loses them.
        self._written = begun_queue.BegunQueue()
        self._append_at = 0.0
        self._timer = None
        self._is_appending = False
        # Appends that have failed since the last one that did not.
        self._failures_in_turn = 0
        self._appended_count = 0
        self._failed_count = 0
        self._dropped_count = 0

    def add(
        self,
        ids_by_origin: Mapping[
            tuple[str, stream_origins.StreamOrigin], Iterable[str]
        ],
        is_inferred: bool = False,
    ) -> None:
        """Write the origins of streams.

        :param ids_by_origin: ids by route and origin.
        :param is_inferred: whether the origin was inferred when callers took
            the streams up.
        """
        now = time.monotonic()
        self._waiting.append_all(
            begun_queue.Entry(now, message)
            for message in begun_batches.split(
                ids_by_origin, is_inferred=is_inferred
            )
        )
        self._drop_old(now)
        self._schedule()

    def store_returned_older(self) -> None:
        """Write again what the store may have lost."""
        now = time.monotonic()
        self._misses.clear()
        self._waiting.put_back(self._written.take_all())
        self._drop_old(now)
        # All hosts notice it at about the same time.
        delay_s = self._interval_s() * (self._hash % 997) / 997
        self._append_at = max(self._append_at, now + delay_s)
        self._schedule()

    def known(
        self, attempt_id: str, may_be_inferred: bool = True
    ) -> stream_origins.StreamOrigin | None:
        """Return an origin that was read before, None if it was not.

        :param may_be_inferred: whether an origin counts that no host has
            recorded when the stream began.
        """
        return self._reader.known(
            attempt_id, self.retention_s, may_be_inferred
        )

    async def find(
        self, attempt_id: str
    ) -> stream_origins.StreamOrigin | None:
        """Return an origin, after reading the newest records if needed.

        One that was inferred, or of an unknown version, may be replaced by a
        later record.

        :returns: None if the log does not contain it, did not lately, or
            cannot be read.
        """
        if not self._is_settled(attempt_id) and not self._misses.contains(
            attempt_id, time.monotonic()
        ):
            is_whole = await self._reader.read()
            if is_whole and not self._is_settled(attempt_id):
                self._misses.add(attempt_id, time.monotonic())
        return self.known(attempt_id)

    def _is_settled(self, attempt_id: str) -> bool:
        """Return whether no later record of an id can count."""
        origin = self.known(attempt_id, may_be_inferred=False)
        return origin is not None and origin.is_version_known

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            'stream_origins_unwritten': self._waiting.id_count,
            'stream_origins_missed': len(self._misses),
        }

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'stream_origin_records_appended_total': self._appended_count,
            'stream_origin_appends_failed_total': self._failed_count,
            'stream_origins_not_written_total': self._dropped_count,
            **self._reader.totals(),
        }

    def _interval_s(self) -> float:
        if self._is_partial():
            return PARTIAL_MESH_APPEND_INTERVAL_S
        return APPEND_INTERVAL_S

    def _schedule(self) -> None:
        if self._waiting and self._timer is None and not self._is_appending:
            self._timer = self._reactor.callLater(
                max(0.0, self._append_at - time.monotonic()), self._begin
            )

    def _begin(self) -> None:
        self._timer = None
        self._drop_old(time.monotonic())
        if self._waiting:
            defer.Deferred.fromCoroutine(self._append())

    async def _append(self) -> None:
        entries = self._take_waiting()
        delay_s = self._interval_s()
        self._is_appending = True
        try:
            await self._record_log.append(
                self._hash % LOG_PARTS,
                [
                    fleet_messages.encode_begun(entry.message)
                    for entry in entries
                ],
            )
        except Exception as problem:
            # What was not written is kept, whatever the reason.
            self._waiting.put_back(entries)
            self._append_failed(
                str(problem)
                if isinstance(problem, exceptions.LogServiceError)
                else repr(problem)
            )
            delay_s *= min(MAX_RETRY_FACTOR, 2**self._failures_in_turn)
        else:
            self._written.append_all(entries)
            self._appended_count += len(entries)
            if self._failures_in_turn:
                self._failures_in_turn = 0
                self._log.notable(
                    'origins_written', waiting=self._waiting.id_count
                )
        finally:
            self._is_appending = False
        now = time.monotonic()
        self._append_at = now + delay_s
        self._drop_old(now)
        self._schedule()

    def _take_waiting(self) -> list[begun_queue.Entry]:
        """Take the entries of one append, oldest first."""
        entries: list[begun_queue.Entry] = []
        left = MAX_APPEND_BYTES
        while self._waiting:
            left -= sum(map(len, self._waiting.first.message.attempt_ids))
            if entries and left < 0:
                break
            entries.append(self._waiting.take_first())
        return entries

    def _append_failed(self, problem: str) -> None:
        self._failed_count += 1
        self._failures_in_turn += 1
        if self._failures_in_turn == 1:
            self._log.notable(
                'origins_unwritten',
                problem=problem,
                waiting=self._waiting.id_count,
            )

    def _drop_old(self, now: float) -> None:
        """Drop what is old, and the oldest of what is too much."""
        for entries in (self._written, self._waiting):
            while entries and now - entries.first.added_at >= self.retention_s:
                self._drop_first(entries)
        while self._written.id_count + self._waiting.id_count > MAX_KEPT_IDS:
            # What is written first: it was the store that had to lose it.
            self._drop_first(self._written or self._waiting)

    def _drop_first(self, entries: begun_queue.BegunQueue) -> None:
        entry = entries.take_first()
        if entries is self._waiting:
            self._dropped_count += len(entry.message.attempt_ids)
