"""An in-memory log whose calls complete at once, and a reference fold."""

from collections.abc import Callable
import json

from expression import Error
from expression import Ok
from twisted.internet import defer

from walnutport.catalogue import records
from walnutport.catalogue import snapshot
from walnutport import exceptions
from walnutport import interfaces

__all__ = ['FakeLog', 'reference_fold', 'run', 'sleep']


class FakeLog:
    """Log with one stream that keeps expired records for the test.

    :param before_append: called before each append, to simulate another
        operator.
    """

    def __init__(self) -> None:
        self.records: list[interfaces.LogRecord] = []
        self.first = 0
        self.unavailable = False
        self.lost_replies = 0
        self.lost_appends = 0
        self.before_append: Callable[[], None] = lambda: None

    def page(self, offset: int, limit: int = 10_000) -> interfaces.StreamPage:
        """Return a page of records from an offset."""
        start = max(offset, self.first)
        found = tuple(self.records[start : start + limit])
        return interfaces.StreamPage(
            found,
            self.first,
            start + len(found),
            len(self.records),
            offset < self.first,
        )

    def put(self, payload: bytes) -> int:
        """Append a record regardless of the injected faults."""
        offset = len(self.records)
        self.records.append(interfaces.LogRecord(offset, offset, payload))
        return offset

    def append(self, stream: str, payload: bytes) -> defer.Deferred:
        """Append one record, subject to the injected faults."""
        if self.unavailable:
            return defer.succeed(Error(exceptions.LogUnavailable('down')))
        self.before_append()
        if self.lost_appends:
            self.lost_appends -= 1
            return defer.succeed(Error(exceptions.AppendAmbiguous('lost')))
        offset = self.put(payload)
        if self.lost_replies:
            self.lost_replies -= 1
            return defer.succeed(Error(exceptions.AppendAmbiguous('lost')))
        return defer.succeed(Ok(offset))

    def read(self, offsets, wait_s: float) -> defer.Deferred:
        """Read the stream."""
        if self.unavailable:
            return defer.succeed(Error(exceptions.LogUnavailable('down')))
        pages = {name: self.page(start) for name, start in offsets.items()}
        return defer.succeed(Ok(pages))


def reference_fold(found: list[interfaces.LogRecord]):
    """Fold all records from the first one, without snapshots.

    :returns: ``(version, change id, body)`` by kind and name, and the ids of
        the accepted changes.
    """
    entries: dict[tuple[str, str], tuple[int, str, str]] = {}
    accepted: set[str] = set()
    for record in found:
        if snapshot.is_snapshot(record.payload):
            continue
        change = json.loads(record.payload)
        key = (change['kind'], change['name'])
        version, change_id, _ = entries.get(key, (0, '', ''))
        if change['change_id'] == change_id:
            continue
        if change['expected_version'] == version and is_valid(change['body']):
            accepted.add(change['change_id'])
            entries[key] = (version + 1, change['change_id'], change['body'])
    return entries, accepted


def is_valid(body: str) -> bool:
    """Return whether a body is a deletion or a valid service class."""
    return not body or set(json.loads(body)) <= {'class_id', 'weight'}


def run(coroutine):
    """Run a coroutine that never has to wait, and return its result."""
    results: list = []
    deferred = defer.Deferred.fromCoroutine(coroutine)
    deferred.addBoth(results.append)
    return results[0]


async def sleep(wait_s: float) -> None:
    """Return at once."""


class StepClock:
    """Clock that advances by one second at each reading."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        self.now += 1.0
        return self.now

    def wall(self) -> float:
        return self.now


def change_record(
    change_id: str, name: str, expected: int, body: str
) -> records.ChangeRecord:
    """Return a change of a service class."""
    kind = records.EntryKind.SERVICE_CLASS
    return records.ChangeRecord(change_id, kind, name, expected, 'op', body)
