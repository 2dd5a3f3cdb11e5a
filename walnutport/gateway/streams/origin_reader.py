"""Reads where streams began from the log in the store."""

from collections.abc import Callable
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.peer import fleet_messages
from walnutport.routing import stream_origins
from walnutport.world import feeds

__all__ = ['OriginReader']

# Time from one read of all partitions to the next: four a second.
READ_INTERVAL_S = 0.25
# The same in a partial mesh, whose hosts share the read rate of the store.
PARTIAL_MESH_READ_INTERVAL_S = 1.0
# Longest time that a caller waits for a read, beyond the interval. A healthy
# store answers within some milliseconds.
READ_LIMIT_S = 1.0


class OriginReader:
    """Origins that were read from the log.

    Callers that wait share one read, which starts after the first of them has
    asked.

    :param part_count: partitions of the log.
    :param is_partial: returns whether this host links with some hosts only.
    """

    def __init__(
        self,
        reactor,
        log,
        record_log: feeds.RecordLog,
        part_count: int,
        is_partial: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._record_log = record_log
        self._part_count = part_count
        self._is_partial = is_partial
        self._origins = stream_origins.StreamOrigins()
        self._waiting: list[defer.Deferred] = []
        self._read_at = 0.0
        self._timer = None
        self._is_reading = False
        self._read_count = 0
        self._record_count = 0
        self._failed_count = 0
        self._unreadable_count = 0

    def known(
        self,
        attempt_id: str,
        retention_s: float,
        may_be_inferred: bool = True,
    ) -> stream_origins.StreamOrigin | None:
        """Return an origin that was read before, None if it was not.

        :param retention_s: time for which origins are kept.
        :param may_be_inferred: whether an origin counts that no host has
            recorded when the stream began.
        """
        self._origins.retention_s = retention_s
        return self._origins.find(
            attempt_id, time.monotonic(), may_be_inferred
        )

    async def read(self) -> bool:
        """Read the newest records, or wait for a read that is due.

        :returns: whether all partitions were read; False if the store does
            not answer in time.
        """
        done: defer.Deferred = defer.Deferred()
        self._waiting.append(done)
        self._schedule()
        timer = self._reactor.callLater(
            self._interval_s() + READ_LIMIT_S, _fire, done, False
        )
        try:
            return await done
        finally:
            if done in self._waiting:
                self._waiting.remove(done)
            if timer.active():
                timer.cancel()

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'stream_origin_reads_total': self._read_count,
            'stream_origin_reads_failed_total': self._failed_count,
            'stream_origin_records_read_total': self._record_count,
            'stream_origin_records_unreadable_total': self._unreadable_count,
        }

    def _interval_s(self) -> float:
        if self._is_partial():
            return PARTIAL_MESH_READ_INTERVAL_S
        return READ_INTERVAL_S

    def _schedule(self) -> None:
        if not self._waiting or self._timer is not None or self._is_reading:
            return
        delay_s = self._read_at - time.monotonic()
        if delay_s > 0:
            self._timer = self._reactor.callLater(delay_s, self._begin)
        else:
            self._begin()

    def _begin(self) -> None:
        self._timer = None
        if self._waiting:
            defer.Deferred.fromCoroutine(self._read_parts())

    async def _read_parts(self) -> None:
        """Read all partitions at once, for all callers that wait now."""
        waiting, self._waiting = self._waiting, []
        self._is_reading = True
        self._read_at = time.monotonic() + self._interval_s()
        self._read_count += 1
        is_whole = False
        try:
            problems = await defer.gatherResults(
                [
                    defer.Deferred.fromCoroutine(self._read_part(part))
                    for part in range(self._part_count)
                ]
            )
            is_whole = not any(problems)
            self._log_failures(problems)
        finally:
            self._is_reading = False
            for done in waiting:
                _fire(done, is_whole)
            self._schedule()

    def _log_failures(self, problems: list[str]) -> None:
        """Log and count the partitions that could not be read.

        :param problems: description for each partition, empty if it was read.
        """
        failed = [part for part, problem in enumerate(problems) if problem]
        if failed:
            self._failed_count += len(failed)
            self._log.notable(
                'origins_unread', parts=failed, problem=problems[failed[0]]
            )

    async def _read_part(self, part: int) -> str:
        """Read a partition.

        :returns: why it could not be read, empty if it was.
        """
        try:
            records = await self._record_log.read_latest(part)
        except exceptions.LogServiceError as problem:
            return str(problem) or type(problem).__name__
        except Exception as problem:
            # The other partitions and later reads may go well.
            return repr(problem)
        now = time.monotonic()
        self._record_count += len(records)
        problems = []
        for record in records:
            try:
                message = fleet_messages.decode_begun(record)
            except exceptions.CodecError as problem:
                problems.append(str(problem))
                continue
            origin = stream_origins.StreamOrigin(
                message.service, message.version
            )
            source = stream_origins.OriginSource(
                is_inferred=message.is_inferred
            )
            for attempt_id in message.attempt_ids:
                self._origins.record(
                    attempt_id,
                    origin,
                    message.route,
                    now,
                    is_own=False,
                    source=source,
                )
        if problems:
            self._unreadable_count += len(problems)
            self._log.notable(
                'origins_unreadable',
                part=part,
                count=len(problems),
                problem=problems[0],
            )
        return ''


def _fire(done: defer.Deferred, is_whole: bool) -> None:
    if not done.called:
        done.callback(is_whole)
