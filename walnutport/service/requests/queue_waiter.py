"""Waits for the decisions of an admission queue."""

from collections.abc import Sequence

from twisted.internet import defer

from walnutport import interfaces

__all__ = ['QueueWaiter']


class QueueWaiter:
    """Asynchronous interface to an ``AdmissionQueue``.

    :param queue: decides whether tickets are granted or refused.
    """

    def __init__(
        self, queue: interfaces.AdmissionQueue, clock: interfaces.Clock
    ) -> None:
        self.queue = queue
        self._clock = clock
        self._waits_by_ticket: dict[
            str, defer.Deferred[interfaces.Decision]
        ] = {}

    async def acquire(self, ticket: interfaces.Ticket) -> interfaces.Decision:
        """Wait until the ticket is granted or refused.

        Cancelling the wait withdraws the ticket.
        """
        decision = self.queue.offer(ticket, self._clock.monotonic())
        if decision.kind is not interfaces.DecisionKind.QUEUED:
            return decision
        decided: defer.Deferred[interfaces.Decision] = defer.Deferred(
            lambda _: self._withdraw(ticket.ticket_id)
        )
        self._waits_by_ticket[ticket.ticket_id] = decided
        return await decided

    def release(self, ticket_id: str) -> None:
        """Release a granted ticket or withdraw a queued one."""
        self.deliver(self.queue.release(ticket_id, self._clock.monotonic()))

    def advance(self) -> None:
        """Deliver the queue decisions that are due by now."""
        self.deliver(self.queue.advance(self._clock.monotonic()))

    def _withdraw(self, ticket_id: str) -> None:
        self._waits_by_ticket.pop(ticket_id, None)
        self.release(ticket_id)

    def deliver(self, decisions: Sequence[interfaces.Decision]) -> None:
        """Resolve the waits for the tickets that were decided."""
        for decision in decisions:
            decided = self._waits_by_ticket.pop(decision.ticket_id, None)
            if decided is not None:
                decided.callback(decision)
