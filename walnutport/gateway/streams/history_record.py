"""Keeps in the store what has served streams lately.

After all hosts were killed at once, the record tells where streams can have
begun. The hosts that read the targets for the others write it.
"""

from collections.abc import Callable
from collections.abc import Mapping
import time
import traceback
from typing import Annotated

import msgspec
from twisted.internet import defer
from twisted.internet import task

from walnutport import exceptions
from walnutport import json_input
from walnutport.routing import origin_history
from walnutport.world import feeds

__all__ = ['HistoryRecord']

# A change is written within this time after the host has seen it.
CHECK_INTERVAL_S = 0.5
# Pauses after failed calls, each twice the one before.
MIN_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 8.0
# Records with more names could exceed the longest one that the store takes;
# their route or service then has no record.
MAX_NAMES = 200
# The store encodes the length of a key in one byte.
MAX_KEY_BYTES = 255
# Longer times are no timeouts of routes.
MAX_RETENTION_S = 86_400.0
# The store limits records to less.
MAX_ENTRY_BYTES = 4 << 20
# Keys in one log line.
MAX_LOGGED_KEYS = 20
# Only this many characters at the end of a traceback are logged.
MAX_TRACE_CHARACTERS = 1500

_ROUTE_PREFIX = 'route/'
_SERVICE_PREFIX = 'service/'


class _Entry(msgspec.Struct, frozen=True):
    """Record of a route or a service.

    :param names: services or versions, sorted.
    :param era: era of the store in which it was written. After the store has
        returned from an older copy, it may lack what was written since.
    """

    names: tuple[str, ...]
    era: json_input.Position
    retention_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RETENTION_S)]


_ENTRY_DECODER = json_input.Decoder(_Entry, MAX_ENTRY_BYTES)


class HistoryRecord:
    """The record of an ``OriginHistory`` in the store.

    :param history: is seeded with the record, which it then determines.
    :param may_write: returns whether this host writes the record.
    :param on_read: called after the history was seeded.
    :ivar has_read: whether the record was read since the start.
    """

    def __init__(
        self,
        reactor,
        log,
        store: feeds.FeedStore,
        history: origin_history.OriginHistory,
        may_write: Callable[[], bool],
        on_read: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._store = store
        self._history = history
        self._may_write = may_write
        self._on_read = on_read
        # What the store holds, as last read or written; None for a record that
        # could not be decoded.
        self._entry_by_key: dict[str, _Entry | None] = {}
        # Where the feed ended then, and the era of the store.
        self._end = 0
        self._era = 0
        # Whether the record was not written since the store came back older.
        self._is_new_era = False
        self._must_read = True
        # Whether the last calls have failed, and been logged.
        self._is_unavailable = False
        self._has_failed = False
        self._delay_s = MIN_RETRY_DELAY_S
        self._is_stopped = False
        self._waiting: list[defer.Deferred] = []
        self._read_count = 0
        self._write_count = 0
        self._unreadable_count = 0
        self.has_read = False

    def start(self) -> None:
        """Read the record, and write it from then on when it has changed."""
        defer.Deferred.fromCoroutine(self._follow())

    def stop(self) -> None:
        """Stop once the call in flight is complete."""
        self._is_stopped = True

    async def wait_until_read(self, limit_s: float) -> None:
        """Wait until the record was read, or for some time."""
        if self.has_read:
            return
        was_read: defer.Deferred = defer.Deferred()
        self._waiting.append(was_read)
        timer = self._reactor.callLater(limit_s, was_read.callback, None)
        try:
            await was_read
        finally:
            self._waiting.remove(was_read)
            if timer.active():
                timer.cancel()

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            'origin_history_read': int(self.has_read),
            'origin_history_unsure_routes': len(
                self._history.unsure_routes(time.monotonic())
            ),
        }

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'origin_history_reads_total': self._read_count,
            'origin_history_writes_total': self._write_count,
            'origin_history_unreadable_total': self._unreadable_count,
        }

    async def _follow(self) -> None:
        while not self._is_stopped:
            try:
                if not self.has_read:
                    await self._read()
                if self._may_write() and self._changes():
                    await self._write()
                self._delay_s = MIN_RETRY_DELAY_S
                self._is_unavailable = False
                self._has_failed = False
                pause_s = CHECK_INTERVAL_S
            except exceptions.AppendConflict:
                # Another host has written; its record is read before the next
                # write.
                self._must_read = True
                pause_s = CHECK_INTERVAL_S
            except exceptions.LogServiceError as problem:
                # The response to an append may be lost.
                self._must_read = True
                if not self._is_unavailable:
                    self._log.notable(
                        'origin_history_unavailable', problem=str(problem)
                    )
                self._is_unavailable = True
                pause_s = self._next_delay_s()
            except Exception as problem:
                # Whatever it is, the host must not end up without the record.
                self._must_read = True
                if not self._has_failed:
                    self._log.notable(
                        'origin_history_failed',
                        problem=repr(problem),
                        trace=traceback.format_exc()[-MAX_TRACE_CHARACTERS:],
                    )
                self._has_failed = True
                pause_s = self._next_delay_s()
            await task.deferLater(self._reactor, pause_s)

    def _next_delay_s(self) -> float:
        """Return the pause after a failed call, twice the one before."""
        delay_s = self._delay_s
        self._delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
        return delay_s

    async def _read(self) -> None:
        """Read the record, and seed the history with what is new in it."""
        page = await self._store.read_newest(feeds.Feed.ORIGIN_HISTORY)
        new = [
            record
            for record in page.records
            if page.era != self._era or record.offset >= self._end
        ]
        known = self._entry_by_key
        read = {record.key: self._decode(record) for record in new}
        # Entries of an earlier era may lack what was written since.
        current = {
            key: entry
            for key, entry in read.items()
            if entry is not None and entry.era == page.era
        }
        unreadable = sum(entry is None for entry in read.values())
        self._history.seed(
            _recent_use(
                {
                    # The others are known, with the time of their removal.
                    key: frozenset(entry.names).difference(
                        _names(known.get(key))
                    )
                    for key, entry in current.items()
                },
                max(
                    (entry.retention_s for entry in read.values() if entry),
                    default=0.0,
                ),
            ),
            time.monotonic(),
        )
        # Only now, as records that were not counted have to be read again.
        self._entry_by_key = {
            record.key: read.get(record.key, known.get(record.key))
            for record in page.records
        }
        if self.has_read and page.era != self._era:
            self._is_new_era = True
        self._end = page.end
        self._era = page.era
        self._must_read = False
        self._read_count += 1
        self.has_read = True
        self._log.notable(
            'origin_history_read',
            records=len(page.records),
            new=len(new),
            unreadable=unreadable,
            earlier=len(read) - len(current) - unreadable,
            era=page.era,
            end=page.end,
        )
        self._on_read()
        for was_read in self._waiting:
            if not was_read.called:
                was_read.callback(None)

    async def _write(self) -> None:
        """Write what has changed, in one call."""
        if self._must_read or self._store.era != self._era:
            await self._read()
            if not self._may_write():
                return
        changes = self._changes()
        if not changes:
            self._is_new_era = False
            return
        era = self._era
        use = self._history.recent_use(time.monotonic())
        end = await self._store.publish_all(
            feeds.Feed.ORIGIN_HISTORY,
            {
                key: msgspec.json.encode(entry) if entry else b''
                for key, entry in changes.items()
            },
            self._end,
        )
        self._end = end
        self._is_new_era = False
        for key, entry in changes.items():
            if entry is None:
                del self._entry_by_key[key]
            else:
                self._entry_by_key[key] = entry
        # From now on these are known, also if a longer timeout makes the
        # history of this host incomplete.
        self._history.mark_recorded(use)
        self._write_count += 1
        self._log.notable(
            'origin_history_written',
            records=len(changes),
            keys=sorted(changes)[:MAX_LOGGED_KEYS],
            era=era,
            end=end,
        )

    def _changes(self) -> dict[str, _Entry | None]:
        """Return the entries to write by key, None for those to remove.

        What was only seeded is kept, but not added again after another host
        has removed it; otherwise two hosts could seed each other for ever.
        """
        now = time.monotonic()
        era = self._store.era
        adds_seeded = self._is_new_era or era != self._era
        retention_s = self._history.retention_s
        use = _names_by_key(self._history.recent_use(now))
        observed = _names_by_key(self._history.observed_use(now))
        wanted: dict[str, _Entry] = {}
        for key, names in use.items():
            entry = self._entry_by_key.get(key)
            if not adds_seeded:
                names = names.intersection(_names(entry))
                names |= observed.get(key, frozenset())
            if (
                names
                and len(names) <= MAX_NAMES
                and len(key.encode()) <= MAX_KEY_BYTES
            ):
                wanted[key] = _Entry(tuple(sorted(names)), era, retention_s)
        changes: dict[str, _Entry | None] = {
            key: entry
            for key, entry in wanted.items()
            if self._entry_by_key.get(key) != entry
        }
        is_complete = self._history.is_complete(now)
        for key in self._entry_by_key.keys() - wanted.keys():
            # Otherwise this host does not know whether it is out of use.
            if is_complete or key in use:
                changes[key] = None
        return changes

    def _decode(self, record: feeds.FeedRecord) -> _Entry | None:
        try:
            if not record.key.startswith((_ROUTE_PREFIX, _SERVICE_PREFIX)):
                raise exceptions.CodecError('unknown key')
            return _ENTRY_DECODER.decode(record.value or b'')
        except (exceptions.CodecError, exceptions.WireError) as problem:
            self._unreadable_count += 1
            self._log.notable(
                'origin_history_unreadable',
                key=record.key,
                problem=str(problem),
            )
            return None


def _names(entry: _Entry | None) -> tuple[str, ...]:
    return () if entry is None else entry.names


def _names_by_key(
    use: origin_history.RecentUse,
) -> dict[str, frozenset[str]]:
    return {
        prefix + name: names
        for prefix, names_by_name in (
            (_ROUTE_PREFIX, use.services_by_route),
            (_SERVICE_PREFIX, use.versions_by_service),
        )
        for name, names in names_by_name.items()
    }


def _recent_use(
    names_by_key: Mapping[str, frozenset[str]], retention_s: float
) -> origin_history.RecentUse:
    def with_prefix(prefix: str) -> dict[str, frozenset[str]]:
        return {
            key.removeprefix(prefix): names
            for key, names in names_by_key.items()
            if key.startswith(prefix)
        }

    return origin_history.RecentUse(
        with_prefix(_ROUTE_PREFIX), with_prefix(_SERVICE_PREFIX), retention_s
    )
