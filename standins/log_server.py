"""Stand-in for the log service, with streams in memory and faults."""

import dataclasses
import time

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

__all__ = ['LogFaults', 'LogServer', 'LogServerSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class LogServerSettings:
    """Settings of the log server.

    :param retention_s: age at which records expire; 0 keeps all.
    """

    port: int
    ip: str = '127.0.0.1'
    retention_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogFaults:
    """Faults of the log server.

    :param down: calls fail without effect.
    :param delay_s: calls take longer by this time.
    :param lose_appends: number of next appends that take effect but lose
        their response.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_appends: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadRequest:
    offsets: dict[str, int]
    wait_ms: int = 0
    max: int = 1_000


@dataclasses.dataclass(slots=True)
class _Stream:
    first_offset: int = 0
    records: list[tuple[int, int, bytes]] = dataclasses.field(
        default_factory=list
    )

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.records)


class LogServer:
    """Serves append-only streams with offsets over HTTP."""

    app = klein.Klein()

    def __init__(self, settings: LogServerSettings) -> None:
        self._settings = settings
        self._streams_by_name: dict[str, _Stream] = {}
        self._faults = LogFaults()
        self._waiting_readers: list[defer.Deferred[None]] = []
        self.appends = 0

    @app.route('/v1/streams/<string:name>/records', methods=['POST'])
    async def append(self, request, name: str) -> bytes:
        """Append the body as one record."""
        payload = request.content.read()
        await self._apply_delay()
        if self._faults.down:
            request.setResponseCode(503)
            return b'{}'
        stream = self._stream(name)
        offset = stream.end_offset
        stream.records.append((offset, int(time.time() * 1000), payload))
        self.appends += 1
        self._wake_readers()
        if self._faults.lose_appends > 0:
            self._faults = dataclasses.replace(
                self._faults, lose_appends=self._faults.lose_appends - 1
            )
            request.transport.abortConnection()
            return b''
        request.setResponseCode(201)
        return msgspec.json.encode({'offset': offset})

    @app.route('/v1/read', methods=['POST'])
    async def read(self, request) -> bytes:
        """Read several streams; wait if none has new records."""
        read_request = msgspec.json.decode(
            request.content.read(), type=_ReadRequest
        )
        await self._apply_delay()
        deadline = time.monotonic() + read_request.wait_ms / 1000
        while not self._faults.down and not self._has_new_records(
            read_request
        ):
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            await self._wait_for_change(remaining_s)
        if self._faults.down:
            request.setResponseCode(503)
            return b'{}'
        pages = {
            name: self._page(name, offset, read_request.max)
            for name, offset in read_request.offsets.items()
        }
        return msgspec.json.encode({'streams': pages})

    @app.route('/control', methods=['POST'])
    def set_faults(self, request) -> bytes:
        """Set the faults."""
        self._faults = msgspec.json.decode(
            request.content.read(), type=LogFaults
        )
        self._wake_readers()
        return b'{}'

    @app.route('/stats')
    def stats(self, request) -> bytes:
        """Return the count of appends."""
        return msgspec.json.encode({'appends': self.appends})

    @app.route('/expire', methods=['POST'])
    def expire(self, request) -> bytes:
        """Expire the records below the given offset of each named stream."""
        first_by_stream = msgspec.json.decode(
            request.content.read(), type=dict[str, int]
        )
        for name, first in first_by_stream.items():
            self._expire_before(self._stream(name), first)
        return b'{}'

    def _stream(self, name: str) -> _Stream:
        stream = self._streams_by_name.setdefault(name, _Stream())
        if self._settings.retention_s > 0:
            oldest = (time.time() - self._settings.retention_s) * 1000
            while stream.records and stream.records[0][1] < oldest:
                self._expire_before(stream, stream.first_offset + 1)
        return stream

    def _expire_before(self, stream: _Stream, first: int) -> None:
        count = max(0, min(first, stream.end_offset) - stream.first_offset)
        del stream.records[:count]
        stream.first_offset += count

    def _has_new_records(self, read_request: _ReadRequest) -> bool:
        return any(
            self._stream(name).end_offset > offset
            for name, offset in read_request.offsets.items()
        )

    def _page(self, name: str, offset: int, limit: int) -> dict:
        stream = self._stream(name)
        start = max(offset, stream.first_offset)
        index = start - stream.first_offset
        records = stream.records[index : index + limit]
        return {
            'records': records,
            'first': stream.first_offset,
            'next': start + len(records),
            'end': stream.end_offset,
            'expired': offset < stream.first_offset,
        }

    async def _apply_delay(self) -> None:
        if self._faults.delay_s > 0:
            await task.deferLater(reactor, self._faults.delay_s)

    async def _wait_for_change(self, timeout_s: float) -> None:
        waiting: defer.Deferred[None] = defer.Deferred()
        waiting.addTimeout(timeout_s, reactor)
        self._waiting_readers.append(waiting)
        try:
            await waiting
        except defer.TimeoutError:
            self._waiting_readers.remove(waiting)

    def _wake_readers(self) -> None:
        waiting_readers, self._waiting_readers = self._waiting_readers, []
        for deferred in waiting_readers:
            deferred.callback(None)
