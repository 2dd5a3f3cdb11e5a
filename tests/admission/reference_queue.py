"""Reference fair queue: one list of tickets that is scanned in full."""

import dataclasses
import math

from walnutport.admission import drain
from walnutport.admission import queue_rules
from walnutport import interfaces

__all__ = ['ReferenceQueue']

_GRANTED = interfaces.DecisionKind.GRANTED
_QUEUED = interfaces.DecisionKind.QUEUED
_REFUSED = interfaces.DecisionKind.REFUSED


@dataclasses.dataclass
class _FlowTags:
    """Tags and virtual times of both levels of start-time fair queueing."""

    virtual: float = 0.0
    tags_by_class: dict = dataclasses.field(default_factory=dict)
    virtual_by_class: dict = dataclasses.field(default_factory=dict)
    tags_by_member: dict = dataclasses.field(default_factory=dict)


class ReferenceQueue:
    """Reference implementation of ``FairQueue``.

    It makes the same decisions in the same order, but without retry times.
    """

    def __init__(self, max_queued: int, rules: queue_rules.QueueRules) -> None:
        self.max_queued = max_queued
        self.rules = rules
        self.capacity_by_key: dict[str, float] = {}
        self.meters: dict[str, drain.DrainMeter] = {}
        self.held: dict[str, tuple[interfaces.Ticket, list[str]]] = {}
        self.queue: list[interfaces.Ticket] = []
        self.tags_by_started = {True: _FlowTags(), False: _FlowTags()}
        self.pending_decisions: list[tuple[str, interfaces.DecisionKind]] = []
        self.next_review_at = -math.inf

    def offer(self, ticket: interfaces.Ticket, now: float):
        for key in self.rules.resource_keys(ticket):
            self.meters.setdefault(key, drain.DrainMeter())
        need = self.rules.time_needed(ticket)
        left_s = ticket.deadline - now
        if left_s <= need.min_s:
            return (ticket.ticket_id, _REFUSED)
        if not ticket.stages_completed:
            same_flow = self._same_flow(ticket)
            ahead = [t for t in same_flow if t.deadline <= ticket.deadline]
            wait = self._wait(ticket, len(ahead))
            if wait > 0 and wait * 1.25 + need.likely_s > left_s:
                return (ticket.ticket_id, _REFUSED)
        if len(self.queue) >= self.max_queued:
            dropped = self._ticket_to_drop(ticket)
            if dropped is None:
                return (ticket.ticket_id, _REFUSED)
            self.queue.remove(dropped)
            self.pending_decisions.append((dropped.ticket_id, _REFUSED))
        self._activate(ticket)
        self.queue.append(ticket)
        if not self._has_room(ticket):
            return (ticket.ticket_id, _QUEUED)
        own_decision = (ticket.ticket_id, _QUEUED)
        for decision in self._grant(now):
            if decision[0] == ticket.ticket_id:
                own_decision = decision
            else:
                self.pending_decisions.append(decision)
        return own_decision

    def set_capacity(self, key: str, capacity: float) -> None:
        self.meters.setdefault(key, drain.DrainMeter())
        self.capacity_by_key[key] = capacity

    def release(self, ticket_id: str, now: float):
        if ticket_id in self.held:
            for key in list(self.held[ticket_id][1]):
                self._release_resource(ticket_id, key, now)
            del self.held[ticket_id]
        self.queue = [t for t in self.queue if t.ticket_id != ticket_id]
        return self._grant(now)

    def release_units(self, ticket_id: str, key: str, now: float):
        if ticket_id in self.held and key in self.held[ticket_id][1]:
            self._release_resource(ticket_id, key, now)
            return self._grant(now)
        return []

    def advance(self, now: float):
        if now >= self.next_review_at:
            self.next_review_at = now + 0.1
            self._observe(self.meters, now)
            self._review(now)
        return self._grant(now)

    def in_use(self, key: str) -> int:
        return sum(t.cost for t, keys in self.held.values() if key in keys)

    def waiting(self, key: str) -> int:
        return sum(
            t.cost for t in self.queue if key in self.rules.resource_keys(t)
        )

    def _room(self, key: str, cost: int) -> bool:
        capacity = self.capacity_by_key.get(key, math.inf)
        return self.in_use(key) + cost <= capacity

    def _has_room(self, ticket: interfaces.Ticket) -> bool:
        keys = self.rules.resource_keys(ticket)
        return all(self._room(key, ticket.cost) for key in keys)

    def _observe(self, keys, now: float) -> None:
        for key in list(keys):
            self.meters[key].observe(now, saturated=not self._room(key, 1))

    def _release_resource(self, ticket_id: str, key: str, now: float) -> None:
        ticket, keys = self.held[ticket_id]
        self._observe([key], now)
        if not self._room(key, 1):
            self.meters[key].release(ticket.cost)
        keys.remove(key)

    def _same_flow(self, ticket: interfaces.Ticket):
        return [t for t in self.queue if _flow(t) == _flow(ticket)]

    def _activate(self, ticket: interfaces.Ticket) -> None:
        tags = self.tags_by_started[bool(ticket.stages_completed)]
        peers = [
            t for t in self.queue if _has_started(t) == _has_started(ticket)
        ]
        name, member = ticket.class_id, (ticket.class_id, ticket.member_id)
        if not any(t.class_id == name for t in peers):
            tag = tags.tags_by_class.get(name, 0.0)
            tags.tags_by_class[name] = max(tag, tags.virtual)
        if not self._same_flow(ticket):
            virtual = tags.virtual_by_class.setdefault(name, 0.0)
            tag = tags.tags_by_member.get(member, 0.0)
            tags.tags_by_member[member] = max(tag, virtual)

    def _grant(self, now: float):
        decisions, self.pending_decisions = self.pending_decisions, []
        while True:
            ready = [t for t in self._heads() if self._has_room(t)]
            if not ready:
                return decisions
            ticket = min(ready, key=self._order)
            self.queue.remove(ticket)
            need = self.rules.time_needed(ticket)
            if ticket.deadline - now <= need.min_s:
                decisions.append((ticket.ticket_id, _REFUSED))
                continue
            self._charge(ticket)
            keys = list(self.rules.resource_keys(ticket))
            self._observe(keys, now)
            self.held[ticket.ticket_id] = (ticket, keys)
            decisions.append((ticket.ticket_id, _GRANTED))

    def _heads(self):
        """Return the first ticket of each member, class and entry.

        A small ticket does not overtake a large one of the same entry, as
        the large one could otherwise starve.
        """
        heads: dict = {}
        for ticket in sorted(self.queue, key=lambda t: t.deadline):
            heads.setdefault((_flow(ticket), ticket.entry_id), ticket)
        return heads.values()

    def _order(self, ticket: interfaces.Ticket):
        tags = self.tags_by_started[bool(ticket.stages_completed)]
        member = (ticket.class_id, ticket.member_id)
        return (
            not ticket.stages_completed,
            tags.tags_by_class[ticket.class_id],
            ticket.class_id,
            tags.tags_by_member[member],
            ticket.member_id,
            ticket.deadline,
            self.queue.index(ticket),
        )

    def _charge(self, ticket: interfaces.Ticket) -> None:
        tags = self.tags_by_started[bool(ticket.stages_completed)]
        name, member = ticket.class_id, (ticket.class_id, ticket.member_id)
        class_tag = tags.tags_by_class[name]
        tags.virtual = max(tags.virtual, class_tag)
        weight = self.rules.class_weight(name)
        tags.tags_by_class[name] = class_tag + ticket.cost / weight
        member_tag = tags.tags_by_member[member]
        tags.virtual_by_class[name] = max(
            tags.virtual_by_class[name], member_tag
        )
        weight = self.rules.member_weight(ticket.member_id)
        tags.tags_by_member[member] = member_tag + ticket.cost / weight

    def _wait(self, ticket: interfaces.Ticket, ahead: int) -> float:
        longest = 0.0
        for key in self.rules.resource_keys(ticket):
            waiting = self.waiting(key)
            capacity = self.capacity_by_key.get(key, math.inf)
            free = max(0.0, capacity - self.in_use(key))
            if waiting < free and self._room(key, ticket.cost):
                continue
            if self.capacity_by_key.get(key, math.inf) < ticket.cost:
                longest = max(longest, 2.0)
                continue
            rate = self.meters[key].rate_per_s()
            if rate is not None:
                position = (ahead + 1) / self._share(ticket)
                behind = min(position, waiting + 1) - free
                longest = max(longest, behind / rate)
        return longest

    def _share(self, ticket: interfaces.Ticket) -> float:
        peers = [
            t for t in self.queue if _has_started(t) == _has_started(ticket)
        ]
        classes = {t.class_id for t in peers} | {ticket.class_id}
        members = {t.member_id for t in peers if t.class_id == ticket.class_id}
        members |= {ticket.member_id}
        class_weight = self.rules.class_weight
        member_weight = self.rules.member_weight
        return (
            class_weight(ticket.class_id)
            / sum(map(class_weight, classes))
            * member_weight(ticket.member_id)
            / sum(map(member_weight, members))
        )

    def _ticket_to_drop(self, new_ticket: interfaces.Ticket):
        def excess(ticket: interfaces.Ticket, more: int = 0) -> float:
            count = len(self._same_flow(ticket)) + more
            return count / self.rules.member_weight(ticket.member_id)

        fresh = [t for t in self.queue if not t.stages_completed]
        if not fresh:
            return None
        dropped = max(
            fresh,
            key=lambda t: (
                excess(t),
                *_flow(t),
                t.deadline,
                self.queue.index(t),
            ),
        )
        same_flow = _flow(dropped) == _flow(new_ticket)
        if same_flow or excess(dropped) <= excess(new_ticket, 1):
            return None
        return dropped

    def _review(self, now: float) -> None:
        flows = dict.fromkeys(_flow(t) for t in self.queue)
        for flow in sorted(flows, key=lambda f: (not f[0], *f[1:])):
            ahead = 0
            waiting = [t for t in self.queue if _flow(t) == flow]
            for ticket in sorted(waiting, key=lambda t: t.deadline):
                need = self.rules.time_needed(ticket)
                left_s = ticket.deadline - now
                late = left_s <= need.min_s
                if not ticket.stages_completed:
                    wait = self._wait(ticket, ahead)
                    late |= wait > 0 and wait + need.likely_s > left_s
                if late:
                    self.queue.remove(ticket)
                    self.pending_decisions.append((ticket.ticket_id, _REFUSED))
                else:
                    ahead += 1


def _has_started(ticket: interfaces.Ticket) -> bool:
    return bool(ticket.stages_completed)


def _flow(ticket: interfaces.Ticket) -> tuple[bool, str, str]:
    return (_has_started(ticket), ticket.class_id, ticket.member_id)
