"""Waits for the decision of an admission queue."""

from collections.abc import Sequence

from twisted.internet import defer

from walnutport import interfaces

__all__ = ['QueueWaiter']


class QueueWaiter:
    """Connects an ``AdmissionQueue`` to Deferreds.

    :param queue: decides about tickets.
    :param clock: source of time.
    """

    def __init__(
        self, queue: interfaces.AdmissionQueue, clock: interfaces.Clock
    ) -> None:
        self.queue = queue
        self._clock = clock
        self._waiting_by_ticket: dict[
            str, defer.Deferred[interfaces.Decision]
        ] = {}

    async def acquire(self, ticket: interfaces.Ticket) -> interfaces.Decision:
        """Wait until the ticket is granted or refused.

        Cancelling the wait withdraws the ticket.
        """
        decision = self.queue.offer(ticket, self._clock.monotonic())
        if decision.kind is not interfaces.DecisionKind.QUEUED:
            return decision
        waiting: defer.Deferred[interfaces.Decision] = defer.Deferred(
            lambda _: self._withdraw(ticket.ticket_id)
        )
        self._waiting_by_ticket[ticket.ticket_id] = waiting
        return await waiting

    def release(self, ticket_id: str) -> None:
        """End a granted ticket."""
        self.deliver(self.queue.release(ticket_id, self._clock.monotonic()))

    def advance(self) -> None:
        """Deliver decisions that follow from the passing of time."""
        self.deliver(self.queue.advance(self._clock.monotonic()))

    def _withdraw(self, ticket_id: str) -> None:
        self._waiting_by_ticket.pop(ticket_id, None)
        self.release(ticket_id)

    def deliver(self, decisions: Sequence[interfaces.Decision]) -> None:
        """Wake those who wait for the decisions."""
        for decision in decisions:
            waiting = self._waiting_by_ticket.pop(decision.ticket_id, None)
            if waiting is not None:
                waiting.callback(decision)
