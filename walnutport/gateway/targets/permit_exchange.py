"""Obtains permits to send to cold targets, and issues those of this host."""

from collections.abc import Callable
import dataclasses
import itertools
import math
import time
from typing import Any

from twisted.internet import defer

from walnutport.gateway.peers import peers
from walnutport.gateway.peers import work_sharing
from walnutport.gateway.targets import cold_watch
from walnutport.peer import capabilities
from walnutport.peer import fleet_messages
from walnutport.routing import permit_issuers
from walnutport.routing import send_permits
from walnutport.world import registrations

__all__ = ['PermitExchange']

# Offers to a cold target for each permit that falls to a host on average, so
# that hosts with more requests than others find unused permits.
OFFERS_PER_PERMIT = 2
# How often the issuers are determined; it takes a millisecond with 700 peers.
UPDATE_INTERVAL_S = 0.3


@dataclasses.dataclass(slots=True)
class _Line:
    """Requests of this host that wait for one cold target."""

    target: registrations.RegisteredTarget
    holder: send_permits.PermitHolder
    timer: Any = None


class PermitExchange:
    """Permits for the sends of this host, and for those of its peers.

    :param cold: until when targets are cold.
    :param sharing: which hosts accept work of others.
    :param cell_count: returns the number of cells.
    :param find_target: returns the registered target with an id, or None.
    :param accepts_work: returns whether a target may get new work.
    """

    def __init__(
        self,
        reactor,
        mesh: peers.PeerMesh,
        cold: cold_watch.ColdWatch,
        sharing: work_sharing.WorkSharing,
        cell_count: Callable[[], int],
        find_target: Callable[[str], registrations.RegisteredTarget | None],
        accepts_work: Callable[[registrations.RegisteredTarget], bool],
    ) -> None:
        self._reactor = reactor
        self._mesh = mesh
        self._cold = cold
        self._sharing = sharing
        self._cell_count = cell_count
        self._find_target = find_target
        self._accepts_work = accepts_work
        self._own_name = mesh.own_record.name
        self._ranking = permit_issuers.IssuerRanking(self._own_name)
        self._issuer = send_permits.PermitIssuer()
        self._pacer = send_permits.OfferPacer()
        self._line_by_id: dict[str, _Line] = {}
        self._waiters: dict[int, defer.Deferred] = {}
        self._waiter_ids = itertools.count(1)
        # Owners by cell that all hosts link with, as of a change of the mesh.
        self._owners_by_cell: dict[int, frozenset[str]] = {}
        self._owners_change = -1
        # Whether this host has ever known a peer.
        self._had_peers = False
        self._expired_count = 0
        self._next_update_at = 0.0

    @property
    def may_be_needed(self) -> bool:
        """Whether any target is cold."""
        return self._cold.count > 0

    def is_needed(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether a request needs a permit to be sent to a target."""
        return self._cold.is_cold(target)

    def may_send(
        self,
        target: registrations.RegisteredTarget,
        permit: send_permits.SendPermit | None,
    ) -> bool:
        """Return whether the bytes of a request may be written now."""
        if not self._cold.is_cold(target):
            return True
        is_valid = permit is not None and permit.is_valid(
            target.target_id, time.monotonic()
        )
        self._expired_count += permit is not None and not is_valid
        return is_valid

    async def acquire(
        self, target: registrations.RegisteredTarget, wait_s: float
    ) -> send_permits.WaiterEnd:
        """Wait for a permit, or for the reply that there is none.

        A target that has left in the meantime counts as a denial.

        :param wait_s: how long the request can wait for a permit.
        """
        now = time.monotonic()
        line = self._line_for(target)
        waiter = next(self._waiter_ids)
        denial = line.holder.add(waiter, wait_s, now)
        if denial is not None:
            return denial
        done: defer.Deferred = defer.Deferred()
        self._waiters[waiter] = done
        self._advance(line)
        try:
            end = await done
            current = self._find_target(target.target_id)
            if (
                current is None
                or not self._accepts_work(current)
                or current.incarnation_key != target.incarnation_key
            ):
                return send_permits.WaiterEnd(waiter)
            return end
        finally:
            self._waiters.pop(waiter, None)
            line.holder.remove(waiter)

    def expected_wait_s(self, target: registrations.RegisteredTarget) -> float:
        """Return the time until a permit for one more request is due."""
        line = self._line_by_id.get(target.target_id)
        if line is None:
            return 0.0
        return line.holder.expected_wait_s(time.monotonic())

    def retry_after_s(self, target: registrations.RegisteredTarget) -> float:
        """Return when a refused request may come back for a target."""
        return min(self.expected_wait_s(target), self._cold.left_s(target))

    def may_offer(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether a request that could go elsewhere may be offered."""
        return self._pacer.is_due(target.target_id, time.monotonic())

    def record_offer(self, target: registrations.RegisteredTarget) -> None:
        """Record that a request that could go elsewhere is offered."""
        interval_s = len(self._mesh.live_names()) / OFFERS_PER_PERMIT
        self._record_offer(target.target_id, target, interval_s)

    def may_recommend(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether the owner of a cell may recommend an engine."""
        return self._pacer.is_due(
            _recommendation_key(target), time.monotonic()
        )

    def record_recommendation(
        self, target: registrations.RegisteredTarget
    ) -> None:
        """Record that the owner of a cell recommends an engine."""
        if self.is_needed(target):
            self._record_offer(_recommendation_key(target), target, 1.0)

    def handle_message(
        self, name: str, message: fleet_messages.FleetMessage
    ) -> None:
        """Answer a request for a permit, or take a reply."""
        if isinstance(message, fleet_messages.SendPermitRequest):
            self._issue(name, message)
        elif isinstance(message, fleet_messages.SendPermitReply):
            self._replied(message)

    def tick(self) -> None:
        """Follow changes of the issuers, and end waits for warm targets."""
        if not self._cold.is_active:
            return
        now = time.monotonic()
        if now >= self._next_update_at:
            self._next_update_at = now + UPDATE_INTERVAL_S
            self._had_peers = self._had_peers or bool(self._mesh.peer_by_name)
            self._ranking.update(self._issuer_shares(), now)
        self._issuer.drop_idle(now)
        for target_id, line in list(self._line_by_id.items()):
            self._advance(line)
            if line.holder.is_idle and not self._cold.is_cold(line.target):
                del self._line_by_id[target_id]
                self._expired_count += line.holder.expired_count
                self._pacer.forget(target_id)
                self._pacer.forget(_recommendation_key(line.target))

    def describe(
        self, target: registrations.RegisteredTarget
    ) -> dict[str, object]:
        """Return the cold time of a target, as shown to operators."""
        if not self._cold.is_cold(target):
            return {}
        return {
            'cold_s': round(self._cold.left_s(target), 2),
            'permits_by': self._issuer_of(target.target_id) or None,
        }

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        expired = self._expired_count + sum(
            line.holder.expired_count for line in self._line_by_id.values()
        )
        return {
            'send_permits_issued_total': self._issuer.issued_count,
            'send_permits_denied_total': self._issuer.denied_count,
            'send_permits_expired_total': expired,
            'target_cold_times_invalid_total': self._cold.invalid_count,
        }

    def _line_for(self, target: registrations.RegisteredTarget) -> _Line:
        line = self._line_by_id.get(target.target_id)
        if line is None:
            line = _Line(
                target,
                send_permits.PermitHolder(
                    target.target_id, self._cold.permit_rate(target.service)
                ),
            )
            self._line_by_id[target.target_id] = line
        return line

    def _advance(self, line: _Line) -> None:
        """Ask for a permit if it is time to, and end waits that are over."""
        now = time.monotonic()
        if not self._cold.is_cold(line.target):
            for waiter in line.holder.take_all():
                self._end_wait(send_permits.WaiterEnd(waiter, is_warm=True))
        for denial in line.holder.take_denied(now):
            self._end_wait(denial)
        ask = line.holder.next_ask(now)
        if ask is not None:
            self._ask(line, ask, now)
        if line.timer is not None:
            line.timer.cancel()
            line.timer = None
        wake_at = line.holder.wake_at()
        if not math.isinf(wake_at):
            line.timer = self._reactor.callLater(
                max(0.0, wake_at - now), self._wake, line
            )

    def _wake(self, line: _Line) -> None:
        line.timer = None
        self._advance(line)

    def _ask(self, line: _Line, ask: send_permits.Ask, now: float) -> None:
        target = line.target
        request = fleet_messages.SendPermitRequest(
            target.target_id, target.incarnation, ask.number, ask.wait_s
        )
        issuer = self._issuer_of(target.target_id)
        if issuer == self._own_name:
            # Called later, as a reply may come at once.
            self._reactor.callLater(0, self._issue, '', request)
        elif not issuer or not self._mesh.send(issuer, request):
            line.holder.no_issuer(now)
            for denial in line.holder.take_denied(now):
                self._end_wait(denial)

    def _replied(self, reply: fleet_messages.SendPermitReply) -> None:
        line = self._line_by_id.get(reply.target_id)
        if line is None:
            return
        granted = line.holder.replied(
            reply.number,
            reply.is_granted,
            reply.retry_after_s,
            time.monotonic(),
        )
        if granted is not None:
            self._end_wait(granted)
        self._advance(line)

    def _end_wait(self, end: send_permits.WaiterEnd) -> None:
        done = self._waiters.pop(end.waiter, None)
        if done is not None and not done.called:
            done.callback(end)

    def _issue(
        self, name: str, request: fleet_messages.SendPermitRequest
    ) -> None:
        """Decide on a request for a permit and reply.

        :param name: host that asks, empty for this one.
        """
        now = time.monotonic()
        decision = self._decide(name, request, now)
        reply = fleet_messages.SendPermitReply(
            request.target_id,
            request.incarnation,
            request.number,
            decision.is_granted,
            0.0 if decision.is_granted else round(decision.delay_s, 4),
        )
        delay_s = decision.delay_s if decision.is_granted else 0.0
        if delay_s:
            self._reactor.callLater(delay_s, self._reply, name, reply)
        else:
            self._reply(name, reply)

    def _reply(self, name: str, reply: fleet_messages.SendPermitReply) -> None:
        if name:
            self._mesh.send(name, reply)
        else:
            self._replied(reply)

    def _decide(
        self,
        name: str,
        request: fleet_messages.SendPermitRequest,
        now: float,
    ) -> send_permits.IssuerDecision:
        target = self._find_target(request.target_id)
        cell = permit_issuers.cell_of_target(
            request.target_id, self._cell_count()
        )
        if (
            target is None
            or not self._has_links()
            or not self._is_linked_owner(cell, self._own_name)
            or not self._ranking.is_settled(cell, now)
        ):
            return self._issuer.deny(send_permits.NO_ISSUER_RETRY_S)
        return self._issuer.request(
            request.target_id,
            name,
            request.wait_s,
            self._cold.permit_rate(target.service),
            now,
        )

    def _has_links(self) -> bool:
        """Return whether this host is linked well enough to issue permits.

        A host that has lost all its peers cannot tell whether they have ended
        or whether it is cut off.
        """
        if not self._mesh.peer_by_name:
            return not self._had_peers and not self._mesh.awaits_peers
        return self._mesh.links_with_most

    def _issuer_of(self, target_id: str) -> str:
        cell = permit_issuers.cell_of_target(target_id, self._cell_count())
        name = self._ranking.issuer(cell)
        return name if self._is_linked_owner(cell, name) else ''

    def _is_linked_owner(self, cell: int, name: str) -> bool:
        """Return whether all hosts link with a host as owner of a cell."""
        mesh = self._mesh
        if not mesh.is_partial:
            return True
        if self._owners_change != mesh.change_count:
            self._owners_change = mesh.change_count
            self._owners_by_cell.clear()
        owners = self._owners_by_cell.get(cell)
        if owners is None:
            shares = {
                name: peer.record.work_share
                for name, peer in mesh.peer_by_name.items()
            }
            shares[self._own_name] = mesh.own_record.work_share
            owners = permit_issuers.linked_owners(
                cell, shares, mesh.live_names()
            )
            self._owners_by_cell[cell] = owners
        return name in owners

    def _issuer_shares(self) -> dict[str, float]:
        """Return the work shares of the hosts that issue permits."""
        peer_by_name = self._mesh.peer_by_name
        shares = self._sharing.work_shares() | self._sharing.untried_shares()
        return {
            name: share
            for name, share in shares.items()
            if name == self._own_name
            or name in peer_by_name
            and peer_by_name[name].supports(
                capabilities.Capability.SEND_PERMITS
            )
        }

    def _record_offer(
        self,
        key: str,
        target: registrations.RegisteredTarget,
        permits: float,
    ) -> None:
        rate = self._cold.permit_rate(target.service)
        if rate > 0:
            self._pacer.record(key, permits / rate, time.monotonic())


def _recommendation_key(target: registrations.RegisteredTarget) -> str:
    return f'{target.target_id}/recommended'
