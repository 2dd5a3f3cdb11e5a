"""Writes the cost counters of a host to the log."""

from collections.abc import Callable
import logging

from expression import Result
from twisted.internet import defer
from twisted.internet import task

from walnutport.cost import ledger
from walnutport.cost import records
from walnutport import exceptions

__all__ = ['AppendFunction', 'CostFlusher']

LOG = logging.getLogger(__name__)
PREFIX = 'cost:'

_FINAL_RETRY_DELAY_S = 0.2

AppendFunction = Callable[
    [str, bytes], defer.Deferred[Result[int, exceptions.LogServiceError]]
]


class CostFlusher:
    """Appends batches of cost counters to the log at a regular interval.

    A context manager that flushes from enter to exit.

    :param append: has the signature of ``interfaces.LogService.append``.
    """

    def __init__(
        self,
        cost: ledger.CostLedger,
        append: AppendFunction,
        reactor,
        interval_s: float,
    ) -> None:
        self._cost = cost
        self._append = append
        self._reactor = reactor
        self._interval_s = interval_s
        self._lock = defer.DeferredLock()
        self._loop = task.LoopingCall(self._flush_deferred)
        self._loop.clock = reactor
        self._failing = False
        self.appended_batches = 0
        self.failed_appends = 0

    def __enter__(self) -> 'CostFlusher':
        self._loop.start(self._interval_s, now=False).addErrback(
            lambda failure: LOG.error('%s loop failed: %s', PREFIX, failure)
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._loop.running:
            self._loop.stop()

    async def flush(self) -> bool:
        """Append batches until none is left or an append fails.

        :returns: whether every counter is in the log.
        """
        await self._lock.acquire()
        try:
            while (batch := self._cost.next_batch()) is not None:
                if not await self._append_batch(batch):
                    return False
            return True
        finally:
            self._lock.release()

    async def final_flush(self, timeout_s: float) -> bool:
        """Flush at the end of a drain, retrying for up to ``timeout_s``.

        :returns: whether every counter is in the log.
        """
        flushed = defer.Deferred.fromCoroutine(self._flush_until_done())
        try:
            await flushed.addTimeout(timeout_s, self._reactor)
        except defer.TimeoutError:
            LOG.error(
                '%s counters not flushed within %.1f s and lost',
                PREFIX,
                timeout_s,
            )
            return False
        return True

    async def _flush_until_done(self) -> None:
        while not await self.flush():
            await task.deferLater(self._reactor, _FINAL_RETRY_DELAY_S)

    def _flush_deferred(self) -> defer.Deferred[bool]:
        return defer.Deferred.fromCoroutine(self.flush())

    async def _append_batch(self, batch: records.CostBatch) -> bool:
        payload = records.encode_batch(batch)
        try:
            result = await self._append(records.COST_STREAM, payload)
        except BaseException:
            # A cancelled append may have taken effect.
            self._cost.append_ambiguous()
            raise
        if result.is_ok():
            self._cost.append_succeeded()
            self.appended_batches += 1
            self._failing = False
            return True
        if isinstance(result.error, exceptions.LogUnavailable):
            self._cost.append_refused()
        else:
            self._cost.append_ambiguous()
        self.failed_appends += 1
        if not self._failing:
            LOG.warning('%s append failed: %s', PREFIX, result.error)
        self._failing = True
        return False
