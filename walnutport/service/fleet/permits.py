"""Asks the owner of a digest for permits and grants own ones to others."""

from collections.abc import Callable
from collections.abc import Collection
import secrets

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet import defer

from walnutport import interfaces
from walnutport.peer import messages
from walnutport.quarantine import permits

__all__ = ['LEASE_MARGIN_S', 'MAX_RUN_S', 'PermitService']

REPLY_TIMEOUT_S = 0.5
NO_REPLY_RETRY_S = 1.0
# Time for a cancelled run to end on its target.
LEASE_MARGIN_S = 1.0
MAX_RUN_S = permits.MAX_LEASE_S - LEASE_MARGIN_S


class PermitService:
    """Shell around the ``PermitTable``; see ``interfaces.PermitGate``.

    :param live_hosts: returns the ids of the live peers.
    """

    def __init__(
        self,
        host_id: str,
        clock: interfaces.Clock,
        reactor,
        bus: interfaces.PeerBus | None = None,
        live_hosts: Callable[[], Collection[str]] = tuple,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._reactor = reactor
        self._bus = bus
        self._live_hosts = live_hosts
        self.table = permits.PermitTable(host_id)
        self._waiting_by_permit: dict[
            str, defer.Deferred[messages.PermitReply]
        ] = {}
        self._owners_by_permit: dict[str, str] = {}
        self.late_replies = 0
        if bus is not None:
            bus.subscribe(messages.PermitRequest, self._on_request)
            bus.subscribe(messages.PermitReply, self._on_reply)
            bus.subscribe(messages.PermitRelease, self._on_release)

    def acquire(
        self, digest: bytes, deadline: float
    ) -> defer.Deferred[Result[str, interfaces.PermitRefusal]]:
        """Ask for a permit; the result is its id."""
        return defer.Deferred.fromCoroutine(self._acquire(digest, deadline))

    def release(self, permit_id: str, digest: bytes) -> None:
        """End the run under a permit.

        A release that gets lost costs the rest of the lease.
        """
        owner = self._owners_by_permit.pop(permit_id, self._host_id)
        if owner == self._host_id:
            self.table.release(permit_id, digest, self._clock.monotonic())
        elif self._bus is not None:
            self._bus.send(owner, messages.PermitRelease(permit_id, digest))

    def advance(self) -> None:
        """Take over the current set of live hosts."""
        self.table.hosts_changed(self._live_hosts(), self._clock.monotonic())

    async def _acquire(
        self, digest: bytes, deadline: float
    ) -> Result[str, interfaces.PermitRefusal]:
        self.advance()
        now = self._clock.monotonic()
        permit_id = secrets.token_hex(8)
        lease_s = max(0.0, deadline - now) + LEASE_MARGIN_S
        owner = self.table.owner(digest)
        if owner == self._host_id:
            grant = self.table.request(permit_id, digest, lease_s, now)
        else:
            request = messages.PermitRequest(permit_id, digest, lease_s)
            grant = await self._ask(owner, request)
        if not grant.granted:
            return Error(interfaces.PermitRefusal(grant.retry_after_s))
        self._owners_by_permit[permit_id] = owner
        return Ok(permit_id)

    async def _ask(
        self, owner: str, request: messages.PermitRequest
    ) -> permits.PermitDecision:
        refused = permits.PermitDecision(False, NO_REPLY_RETRY_S)
        if self._bus is None:
            return refused
        waiting: defer.Deferred[messages.PermitReply] = defer.Deferred()
        self._waiting_by_permit[request.permit_id] = waiting
        if not self._bus.send(owner, request):
            del self._waiting_by_permit[request.permit_id]
            return refused
        try:
            reply = await waiting.addTimeout(REPLY_TIMEOUT_S, self._reactor)
            return permits.PermitDecision(reply.granted, reply.retry_after_s)
        except (defer.TimeoutError, defer.CancelledError) as error:
            # The owner may have granted it; nothing will run under it.
            release = messages.PermitRelease(request.permit_id, request.digest)
            self._bus.send(owner, release)
            if isinstance(error, defer.CancelledError):
                raise
            return refused
        finally:
            self._waiting_by_permit.pop(request.permit_id, None)

    def _on_request(
        self, origin: messages.PeerOrigin, message: messages.PermitRequest
    ) -> None:
        assert self._bus is not None
        self.advance()
        grant = self.table.request(
            message.permit_id,
            message.digest,
            message.lease_s,
            self._clock.monotonic(),
        )
        self._bus.send(
            origin.host_id,
            messages.PermitReply(
                message.permit_id, grant.granted, grant.retry_after_s
            ),
        )

    def _on_reply(
        self, origin: messages.PeerOrigin, message: messages.PermitReply
    ) -> None:
        waiting = self._waiting_by_permit.pop(message.permit_id, None)
        if waiting is None:
            self.late_replies += 1
        else:
            waiting.callback(message)

    def _on_release(
        self, origin: messages.PeerOrigin, message: messages.PermitRelease
    ) -> None:
        self.table.release(
            message.permit_id, message.digest, self._clock.monotonic()
        )
