"""Slots that go to the highest priority first."""

import heapq
import itertools

from twisted.internet import defer

__all__ = ['PrioritySlots']


class PrioritySlots:
    """A fixed count of slots; equal priorities are first come first served."""

    def __init__(self, count: int) -> None:
        self._free = count
        self._order = itertools.count()
        self._waiting: list[tuple[float, int, defer.Deferred[None]]] = []

    def acquire(self, priority: float) -> defer.Deferred[None]:
        """Wait for a slot; cancelling the wait gives up the place."""
        waiting: defer.Deferred[None] = defer.Deferred(self._leave)
        heapq.heappush(self._waiting, (-priority, next(self._order), waiting))
        self._serve()
        return waiting

    def release(self) -> None:
        """Give a slot back."""
        self._free += 1
        self._serve()

    def _leave(self, waiting: defer.Deferred[None]) -> None:
        self._waiting = [
            item for item in self._waiting if item[2] is not waiting
        ]
        heapq.heapify(self._waiting)

    def _serve(self) -> None:
        while self._free and self._waiting:
            self._free -= 1
            heapq.heappop(self._waiting)[2].callback(None)
