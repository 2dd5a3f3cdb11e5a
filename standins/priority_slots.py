"""Slots that are granted to the highest priority first."""

import heapq
import itertools

from twisted.internet import defer

__all__ = ['PrioritySlots']


class PrioritySlots:
    """A fixed number of slots; equal priorities are served in order."""

    def __init__(self, count: int) -> None:
        self._free = count
        self._arrival_numbers = itertools.count()
        self._waiters: list[tuple[float, int, defer.Deferred[None]]] = []

    def acquire(self, priority: float) -> defer.Deferred[None]:
        """Wait for a slot; cancelling the wait removes it from the queue."""
        waiting: defer.Deferred[None] = defer.Deferred(self._cancel_wait)
        heapq.heappush(
            self._waiters, (-priority, next(self._arrival_numbers), waiting)
        )
        self._grant_slots()
        return waiting

    def release(self) -> None:
        """Release a slot."""
        self._free += 1
        self._grant_slots()

    def _cancel_wait(self, waiting: defer.Deferred[None]) -> None:
        self._waiters = [
            item for item in self._waiters if item[2] is not waiting
        ]
        heapq.heapify(self._waiters)

    def _grant_slots(self) -> None:
        while self._free and self._waiters:
            self._free -= 1
            heapq.heappop(self._waiters)[2].callback(None)
