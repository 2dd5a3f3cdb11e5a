"""Writes to the streams of the log service at a bounded rate.

All components of a host share one writer, as the log service accepts only
several hundred appends per second from all hosts together.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Generic, TypeVar

from expression import Error
from expression import Result
from twisted.internet import defer

from walnutport import exceptions
from walnutport import interfaces

__all__ = ['AppendRateLimiter', 'Batcher', 'LogWriter']

Item = TypeVar('Item')
AppendResult = Result[int, exceptions.LogServiceError]

_MAX_QUEUED_RECORDS = 1_000
_MIN_WAIT_S = 0.001
# Share of a second's appends that may be made without a pause between them.
_BURST_SHARE = 0.1


class AppendRateLimiter:
    """Token bucket that limits the number of appends in any second.

    The bucket refills at the rate minus its size, so that a full bucket and
    the refill of one second together do not exceed the rate.

    :param per_s: most appends in any second, at least 2.

    >>> limiter = AppendRateLimiter(20.0, now=0.0)
    >>> [limiter.try_acquire(0.0) for _ in range(3)]
    [True, True, False]
    >>> round(limiter.wait_s(0.0), 3)
    0.056
    """

    def __init__(self, per_s: float, now: float) -> None:
        self._size = max(1.0, per_s * _BURST_SHARE)
        self._refill_per_s = max(per_s - self._size, per_s / 2)
        self._tokens = self._size
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        """Take a token if there is one; return whether there was."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Return the time until the next token in seconds."""
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self._refill_per_s)

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled_at) * self._refill_per_s
        self._tokens = min(self._size, self._tokens + gained)
        self._refilled_at = now


class LogWriter:
    """Appends records in the order of submission.

    :param max_appends_per_s: most appends in any second.
    """

    def __init__(
        self,
        log: interfaces.LogService,
        clock: interfaces.Clock,
        reactor,
        max_appends_per_s: float,
    ) -> None:
        self._log = log
        self._clock = clock
        self._reactor = reactor
        self._rate_limiter = AppendRateLimiter(
            max_appends_per_s, clock.monotonic()
        )
        self._queue: collections.deque[
            tuple[
                str,
                Callable[[], bytes | None],
                defer.Deferred[AppendResult],
            ]
        ] = collections.deque()
        self._timer = None
        self.appends = 0
        self.failures = 0

    @property
    def queued(self) -> int:
        """Return the number of records that wait to be sent."""
        return len(self._queue)

    def submit(
        self, stream: str, payload: bytes
    ) -> defer.Deferred[AppendResult]:
        """Append one record; the result is that of ``LogService.append``.

        If the queue is full, the result is ``LogUnavailable``.
        """
        return self.schedule(stream, lambda: payload)

    def schedule(
        self, stream: str, make_payload: Callable[[], bytes | None]
    ) -> defer.Deferred[AppendResult]:
        """Append a record that is encoded just before it is sent.

        :param make_payload: returns the record, or None if there is nothing
            left to append.
        """
        if len(self._queue) >= _MAX_QUEUED_RECORDS:
            return defer.succeed(
                Error(exceptions.LogUnavailable('append queue is full'))
            )
        done: defer.Deferred[AppendResult] = defer.Deferred()
        self._queue.append((stream, make_payload, done))
        self._send_queued()
        return done

    def _send_queued(self) -> None:
        while self._queue and self._timer is None:
            wait_s = self._rate_limiter.wait_s(self._clock.monotonic())
            if wait_s > 0:
                # A rounded wait could be too short for the clock to advance.
                delay_s = max(wait_s, _MIN_WAIT_S)
                self._timer = self._reactor.callLater(delay_s, self._resume)
                return
            stream, make_payload, done = self._queue.popleft()
            payload = make_payload()
            if payload is None:
                done.callback(
                    Error(exceptions.LogUnavailable('nothing to append'))
                )
            else:
                self._rate_limiter.try_acquire(self._clock.monotonic())
                self._append(stream, payload, done)

    def _resume(self) -> None:
        self._timer = None
        self._send_queued()

    def _append(
        self,
        stream: str,
        payload: bytes,
        done: defer.Deferred[AppendResult],
    ) -> None:
        def on_result(result: AppendResult) -> None:
            self.failures += result.is_error()
            done.callback(result)

        def failed(failure) -> AppendResult:
            # The record may have been sent before the failure.
            return Error(exceptions.AppendAmbiguous(repr(failure.value)))

        self.appends += 1
        appending = self._log.append(stream, payload)
        appending.addErrback(failed)
        appending.addCallback(on_result)


@dataclasses.dataclass(slots=True)
class _Batch(Generic[Item]):
    entries: list[tuple[Item, defer.Deferred[AppendResult]]] = (
        dataclasses.field(default_factory=list)
    )
    is_encoded: bool = False


class Batcher(Generic[Item]):
    """Batches items into records of one stream.

    Items are collected until the writer can append, and at least for
    ``interval_s`` after the previous record.

    :param encode: returns the record that holds the items.
    :param is_wanted: returns whether an item is still to be appended; called
        just before the append. Other items get ``LogUnavailable``.
    :param max_items: largest number of items in a record.
    """

    def __init__(
        self,
        writer: LogWriter,
        stream: str,
        encode: Callable[[Sequence[Item]], bytes],
        clock: interfaces.Clock,
        reactor,
        *,
        is_wanted: Callable[[Item], bool] = lambda item: True,
        interval_s: float = 0.01,
        max_items: int = 200,
    ) -> None:
        self._writer = writer
        self._stream = stream
        self._encode = encode
        self._clock = clock
        self._reactor = reactor
        self._is_wanted = is_wanted
        self._interval_s = interval_s
        self._max_items = max_items
        self._waiting: collections.deque[
            tuple[Item, defer.Deferred[AppendResult]]
        ] = collections.deque()
        self._is_scheduled = False
        self._next_at = clock.monotonic()

    def add(self, item: Item) -> defer.Deferred[AppendResult]:
        """Append an item; the result is that of the record that holds it."""
        done: defer.Deferred[AppendResult] = defer.Deferred()
        self._waiting.append((item, done))
        self._schedule_next()
        return done

    def _schedule_next(self) -> None:
        if self._is_scheduled or not self._waiting:
            return
        self._is_scheduled = True
        delay_s = max(0.0, self._next_at - self._clock.monotonic())
        self._reactor.callLater(delay_s, self._schedule_record)

    def _schedule_record(self) -> None:
        batch: _Batch[Item] = _Batch()
        appending = self._writer.schedule(
            self._stream, lambda: self._make_payload(batch)
        )
        appending.addCallback(lambda result: self._on_result(batch, result))

    def _make_payload(self, batch: _Batch[Item]) -> bytes | None:
        """Move items into the batch and return the record of them."""
        batch.is_encoded = True
        unwanted: list[tuple[Item, defer.Deferred[AppendResult]]] = []
        while self._waiting and len(batch.entries) < self._max_items:
            entry = self._waiting.popleft()
            wanted = self._is_wanted(entry[0])
            (batch.entries if wanted else unwanted).append(entry)
        self._is_scheduled = False
        self._next_at = self._clock.monotonic() + self._interval_s
        self._schedule_next()
        withdrawn = exceptions.LogUnavailable(
            'item withdrawn before the append'
        )
        for _, done in unwanted:
            done.callback(Error(withdrawn))
        if not batch.entries:
            return None
        return self._encode([item for item, _ in batch.entries])

    def _on_result(self, batch: _Batch[Item], result: AppendResult) -> None:
        if not batch.is_encoded:
            # The queue of the writer was full, so no record was encoded.
            batch.entries.extend(self._waiting)
            self._waiting.clear()
            self._is_scheduled = False
        for _, done in batch.entries:
            done.callback(result)
