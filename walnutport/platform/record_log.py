"""Log of records without keys in the platform's store."""

from collections.abc import Sequence
import dataclasses

import msgspec

from walnutport import exceptions
from walnutport.http1 import messages
from walnutport import json_input
from walnutport.platform import record_pages
from walnutport.platform import store as platform_store
from walnutport.platform import wire

__all__ = ['PlatformRecordLog']

# Size of the first page of a partition whose end is not known. A short log is
# read whole with it; otherwise it shows the end and the size of records.
PROBE_KB = 64
# Size of the other pages.
PAGE_KB = 1024
# The newest records that are read of a partition, some 20,000 ids of streams;
# with those of four partitions, the table of a host is nearly full. Less than
# a page, as these records may be larger than those that show their size.
TAIL_BYTES = 768 << 10
# With less than this, the records before the tail are read as well.
MIN_TAIL_BYTES = TAIL_BYTES // 2
# Calls of one read of a partition. Usually there is one, and three if the
# first records have expired and the log is long.
MAX_CALLS = 6
# Responses that say that a topic or a partition does not exist.
MISSING_STATUSES = (400, 404)
MAX_REFUSAL_BYTES = 64 << 10


class _Expired(msgspec.Struct):
    """Body of the refusal of a read before the first record."""

    first: json_input.Position


_EXPIRED_DECODER = json_input.Decoder(_Expired, MAX_REFUSAL_BYTES)


@dataclasses.dataclass(slots=True)
class _Position:
    """Where the next read of a partition begins.

    :param era: era of the store that the offset belongs to.
    :param max_kb: largest size of the next page.
    """

    era: int
    offset: int = 0
    max_kb: int = PROBE_KB


@dataclasses.dataclass(slots=True)
class _Tail:
    """Newest records of a partition, as far as they were read.

    :param read_from: offset up to which all records were read before.
    :param begin: offset of the first record of the tail.
    :ivar count: records of the tail that were read.
    :ivar size: their encoded size in bytes.
    """

    read_from: int
    begin: int
    count: int = 0
    size: int = 0

    def add(self, contents: Sequence[bytes]) -> None:
        """Count records that were read."""
        self.count += len(contents)
        self.size += len(record_pages.encode_records(contents))

    def count_of(self, size: int) -> int:
        """Return how many records of the mean size fill some bytes."""
        return max(1, size * self.count // max(1, self.size))


class PlatformRecordLog:
    """A topic of raw records; see ``feeds.RecordLog``.

    :param topic: name of the topic, which its first append creates.
    """

    def __init__(
        self, store: platform_store.PlatformStore, topic: str
    ) -> None:
        self._store = store
        self._topic = topic
        self._position_by_part: dict[int, _Position] = {}
        # Partitions that the topic does not have; the first always exists.
        self._missing_parts: set[int] = set()

    async def append(self, part: int, records: Sequence[bytes]) -> None:
        """Append records to a partition, all or none.

        If the topic has fewer partitions, they go to the first one.
        """
        body = record_pages.encode_records(records)
        if part in self._missing_parts:
            part = 0
        response = await self._append(part, body)
        if part and response.status in MISSING_STATUSES:
            self._missing_parts.add(part)
            response = await self._append(0, body)
        if response.status != 200:
            raise exceptions.LogUnavailable(
                f'append returned status {response.status}'
            )

    async def read_latest(self, part: int) -> list[bytes]:
        """Return the newest records that no earlier call has returned."""
        before = self._position_by_part.get(part)
        era = self._store.era
        if before is None or before.era != era:
            before = _Position(era)
        position = dataclasses.replace(before)
        records: list[bytes] = []
        tail = _Tail(position.offset, position.offset)
        calls_left = MAX_CALLS
        while calls_left:
            calls_left -= 1
            response = await self._read(part, position)
            if self._store.era != position.era:
                is_first = position.era == 0
                position.era = self._store.era
                if not is_first:
                    # The offset is of an era before.
                    position = _Position(position.era)
                    tail = _Tail(0, 0)
                    continue
            if response.status in MISSING_STATUSES:
                break
            if response.status == 410:
                position.offset = _first_offset(response)
                position.max_kb = PROBE_KB
                continue
            if response.status != 200:
                raise exceptions.LogUnavailable(
                    f'read returned status {response.status}'
                )
            page = record_pages.decode_page(response.body)
            tail.add(page.contents)
            records += page.contents
            if page.end < position.offset:
                # The store has fewer records than it had, and names no era.
                position = _Position(position.era)
                continue
            position.offset += len(page.contents)
            position.max_kb = PAGE_KB
            if position.offset >= page.end:
                break
            if page.contents:
                newest = page.end - tail.count_of(TAIL_BYTES)
                if newest > position.offset:
                    tail = _Tail(position.offset, newest)
                    position.offset = newest
        tail_at = len(records) - tail.count
        records[tail_at:tail_at] = await self._read_back(
            part, position, tail, calls_left
        )
        # Only now, as records that an error discards have to be read again.
        self._position_by_part[part] = position
        return records

    async def _read_back(
        self, part: int, position: _Position, tail: _Tail, calls_left: int
    ) -> list[bytes]:
        """Return records before a tail that turned out to be short.

        The first records of a partition may be much larger than its newest.
        """
        records: list[bytes] = []
        while calls_left and tail.count and tail.size < MIN_TAIL_BYTES:
            if tail.begin <= tail.read_from:
                break
            calls_left -= 1
            begin = max(
                tail.read_from,
                tail.begin - tail.count_of(TAIL_BYTES - tail.size),
            )
            response = await self._read(
                part, _Position(position.era, begin, PAGE_KB)
            )
            if response.status != 200 or self._store.era != position.era:
                break
            contents = record_pages.decode_page(response.body).contents
            older = contents[: tail.begin - begin]
            records[:0] = older
            tail.add(older)
            tail.begin = begin
        return records

    async def _append(self, part: int, body: bytes) -> messages.Response:
        return await self._store.call(
            b'POST',
            wire.LOG_APPEND_PATH,
            {'topic': self._topic, 'part': str(part)},
            body=body,
        )

    async def _read(self, part: int, position: _Position) -> messages.Response:
        return await self._store.call(
            b'GET',
            wire.LOG_READ_PATH,
            {
                'topic': self._topic,
                'part': str(part),
                'from': str(position.offset),
                'maxKb': str(position.max_kb),
                'waitMs': '0',
            },
        )


def _first_offset(response: messages.Response) -> int:
    """Return the first offset that the store holds.

    :raises LogUnavailable: if the response does not name it.
    """
    try:
        return _EXPIRED_DECODER.decode(response.body).first
    except exceptions.WireError as problem:
        raise exceptions.LogUnavailable(
            f'cannot decode the first offset: {problem}'
        ) from problem
