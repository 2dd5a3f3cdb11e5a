"""Stand-in of the log service: streams in memory, faults on request."""

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

    :param retention_s: records older than this expire; 0 keeps all.
    """

    port: int
    ip: str = '127.0.0.1'
    retention_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogFaults:
    """Faults that are in force.

    :param down: every call fails without effect.
    :param delay_s: every call takes this much longer.
    :param lose_appends: count of coming appends that take effect while
        their answer is lost.
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
    first: int = 0
    records: list[tuple[int, int, bytes]] = dataclasses.field(
        default_factory=list
    )

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class LogServer:
    """Append-only streams with offsets over HTTP."""

    app = klein.Klein()

    def __init__(self, settings: LogServerSettings) -> None:
        self._settings = settings
        self._streams_by_name: dict[str, _Stream] = {}
        self._faults = LogFaults()
        self._waiting: list[defer.Deferred[None]] = []
        self.appends = 0

    @app.route('/v1/streams/<string:name>/records', methods=['POST'])
    async def append(self, request, name: str) -> bytes:
        """Append the body as one record."""
        payload = request.content.read()
        await self._delay()
        if self._faults.down:
            request.setResponseCode(503)
            return b'{}'
        stream = self._stream(name)
        offset = stream.end
        stream.records.append((offset, int(time.time() * 1000), payload))
        self.appends += 1
        self._wake()
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
        """Read several streams, waiting for news if there are none."""
        wanted = msgspec.json.decode(request.content.read(), type=_ReadRequest)
        await self._delay()
        deadline = time.monotonic() + wanted.wait_ms / 1000
        while not self._faults.down and not self._has_news(wanted):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            await self._wait(remaining)
        if self._faults.down:
            request.setResponseCode(503)
            return b'{}'
        pages = {
            name: self._page(name, offset, wanted.max)
            for name, offset in wanted.offsets.items()
        }
        return msgspec.json.encode({'streams': pages})

    @app.route('/control', methods=['POST'])
    def control(self, request) -> bytes:
        """Set the faults that are in force."""
        self._faults = msgspec.json.decode(
            request.content.read(), type=LogFaults
        )
        self._wake()
        return b'{}'

    @app.route('/stats')
    def stats(self, request) -> bytes:
        """Return the count of appends."""
        return msgspec.json.encode({'appends': self.appends})

    @app.route('/expire', methods=['POST'])
    def expire(self, request) -> bytes:
        """Expire every record below the given offset of a stream."""
        wanted = msgspec.json.decode(
            request.content.read(), type=dict[str, int]
        )
        for name, first in wanted.items():
            self._expire_before(self._stream(name), first)
        return b'{}'

    def _stream(self, name: str) -> _Stream:
        stream = self._streams_by_name.setdefault(name, _Stream())
        if self._settings.retention_s > 0:
            oldest = (time.time() - self._settings.retention_s) * 1000
            while stream.records and stream.records[0][1] < oldest:
                self._expire_before(stream, stream.first + 1)
        return stream

    def _expire_before(self, stream: _Stream, first: int) -> None:
        count = max(0, min(first, stream.end) - stream.first)
        del stream.records[:count]
        stream.first += count

    def _has_news(self, wanted: _ReadRequest) -> bool:
        return any(
            self._stream(name).end > offset
            for name, offset in wanted.offsets.items()
        )

    def _page(self, name: str, offset: int, limit: int) -> dict:
        stream = self._stream(name)
        start = max(offset, stream.first)
        index = start - stream.first
        records = stream.records[index : index + limit]
        return {
            'records': records,
            'first': stream.first,
            'next': start + len(records),
            'end': stream.end,
            'expired': offset < stream.first,
        }

    async def _delay(self) -> None:
        if self._faults.delay_s > 0:
            await task.deferLater(reactor, self._faults.delay_s)

    async def _wait(self, timeout_s: float) -> None:
        waiting: defer.Deferred[None] = defer.Deferred()
        waiting.addTimeout(timeout_s, reactor)
        self._waiting.append(waiting)
        try:
            await waiting
        except defer.TimeoutError:
            self._waiting.remove(waiting)

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)
