"""A log in memory whose calls end at once, and a naive fold."""

from collections.abc import Callable
import json

from expression import Error
from expression import Ok
from twisted.internet import defer

from walnutport.catalogue import records
from walnutport.catalogue import snapshot
from walnutport import exceptions
from walnutport import interfaces

__all__ = ['FakeLog', 'naive_fold', 'run', 'sleep']


class FakeLog:
    """Keeps one stream; expired records stay known to the test.

    :param before_append: called before each append, as another operator.
    """

    def __init__(self) -> None:
        self.records: list[interfaces.LogRecord] = []
        self.first = 0
        self.down = False
        self.lose_answers = 0
        self.lose_records = 0
        self.before_append: Callable[[], None] = lambda: None

    def page(self, offset: int, limit: int = 10_000) -> interfaces.StreamPage:
        """Return the records from an offset on."""
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
        """Append a record whatever the faults."""
        offset = len(self.records)
        self.records.append(interfaces.LogRecord(offset, offset, payload))
        return offset

    def append(self, stream: str, payload: bytes) -> defer.Deferred:
        """Append one record."""
        if self.down:
            return defer.succeed(Error(exceptions.LogUnavailable('down')))
        self.before_append()
        if self.lose_records:
            self.lose_records -= 1
            return defer.succeed(Error(exceptions.AppendAmbiguous('lost')))
        offset = self.put(payload)
        if self.lose_answers:
            self.lose_answers -= 1
            return defer.succeed(Error(exceptions.AppendAmbiguous('lost')))
        return defer.succeed(Ok(offset))

    def read(self, offsets, wait_s: float) -> defer.Deferred:
        """Read the stream."""
        if self.down:
            return defer.succeed(Error(exceptions.LogUnavailable('down')))
        pages = {name: self.page(start) for name, start in offsets.items()}
        return defer.succeed(Ok(pages))


def naive_fold(found: list[interfaces.LogRecord]):
    """Fold all records from the first one on, the obvious way.

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
        if change['expected_version'] == version and valid(change['body']):
            accepted.add(change['change_id'])
            entries[key] = (version + 1, change['change_id'], change['body'])
    return entries, accepted


def valid(body: str) -> bool:
    """Return whether a body is a deletion or a class."""
    return not body or set(json.loads(body)) <= {'class_id', 'weight'}


def run(coroutine):
    """Run a coroutine whose awaited results are all there at once."""
    results: list = []
    deferred = defer.Deferred.fromCoroutine(coroutine)
    deferred.addBoth(results.append)
    return results[0]


async def sleep(wait_s: float) -> None:
    """Do not wait."""


class StepClock:
    """Clock that goes on by a second at each look."""

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
    """Return a change of a class."""
    kind = records.EntryKind.SERVICE_CLASS
    return records.ChangeRecord(change_id, kind, name, expected, 'op', body)
