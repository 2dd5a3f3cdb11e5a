"""Bounded, weighted fair queue in front of resources with changing capacity.

A ticket takes ``cost`` units of each resource that it needs, and it is
granted only when all of them are free. A pool queue has a single resource,
the host's share of the slots; the entry queue has one for the limit of each
entry and one for the admission window of each pool.

Three rules keep the queue from holding work that is going to be late:

* a ticket that could not finish in time even without any wait is refused;
* a ticket that has to wait is refused at once if the wait, estimated from
  the measured drain rate, leaves too little time for the stages;
* queued tickets are reviewed against the same estimate as the rate changes.

Without measurements nothing is refused on an estimate.
"""

from collections.abc import Sequence
import math

from walnutport.admission import flows
from walnutport.admission import queue_rules
from walnutport.admission import waits
from walnutport import interfaces
from walnutport.lifecycle import answers

__all__ = ['FairQueue']

_REVIEW_S = 0.1
# An arriving ticket is measured against more than the estimated wait and a
# queued one against the estimate itself, so that a small change of the
# drain rate does not refuse what was accepted a moment before.
_ARRIVAL_MARGIN = 1.25
_DEFAULT_RETRY_S = 1.0


class FairQueue:
    """Queue for tickets; implements ``interfaces.AdmissionQueue``.

    Work that has passed stages goes before new work. Within each of the two
    groups the order is class weight, member weight, deadline.

    :param max_queued: bound on waiting tickets. In a full queue the member
        with the longest queue for its weight loses its latest ticket.
    :param capacity: units of a resource whose capacity was never set.

    >>> queue = FairQueue(max_queued=10, capacity=1)
    >>> ticket = interfaces.Ticket('t1', 'e', 'm', 'c', deadline=5.0)
    >>> queue.offer(ticket, now=0.0).kind.value
    'granted'
    """

    def __init__(
        self,
        *,
        max_queued: int,
        capacity: float = math.inf,
        rules: queue_rules.QueueRules = queue_rules.QueueRules(),
    ) -> None:
        self._max_queued = max_queued
        self._default_capacity = capacity
        self._rules = rules
        self._resources_by_key: dict[str, waits.Resource] = {}
        self._granted_by_id: dict[str, tuple[int, list[waits.Resource]]] = {}
        self._waiting_by_id: dict[str, flows.Waiting] = {}
        self._counts_by_units: dict[tuple[str, ...], waits.UnitSet] = {}
        self._started = self._new_tree()
        self._fresh = self._new_tree()
        self._outbox: list[interfaces.Decision] = []
        self._sequence = 0
        self._review_at = -math.inf

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def set_capacity(self, key: str, capacity: float) -> None:
        """Change the units of a resource; ``advance`` grants what is free."""
        self._resource(key).capacity = capacity

    def capacity(self, key: str) -> float:
        """Return the units of a resource."""
        return self._resource(key).capacity

    def keys(self) -> list[str]:
        """Return the keys of the resources that are known."""
        return list(self._resources_by_key)

    def in_use(self, key: str) -> int:
        """Return the units of a resource that are granted."""
        found = self._resources_by_key.get(key)
        return found.in_use if found else 0

    def waiting(self, key: str) -> int:
        """Return the units of a resource that waiting tickets ask for."""
        found = self._resources_by_key.get(key)
        return found.waiting if found else 0

    def offer(
        self, ticket: interfaces.Ticket, now: float
    ) -> interfaces.Decision:
        """Ask for leave; a queued ticket is granted or refused later.

        :raises ValueError: if a ticket with this id is held already.
        """
        if (
            ticket.ticket_id in self._granted_by_id
            or ticket.ticket_id in self._waiting_by_id
        ):
            raise ValueError(f'ticket {ticket.ticket_id!r} is held already')
        tree = self._tree(ticket)
        flow = tree.flow_of(ticket)
        units = tuple(
            self._resource(key) for key in self._rules.units_of(ticket)
        )
        self._sequence += 1
        item = flows.Waiting(ticket, units, self._sequence, flow)
        refusal = self._check_arrival(item, now)
        if refusal is not None:
            return refusal
        if len(self._waiting_by_id) >= self._max_queued:
            victim = self._longest_flow(flow)
            if victim is None:
                return queue_rules.refuse(ticket, *self._full(item))
            self._outbox.append(
                queue_rules.refuse(victim.ticket, *self._full(item))
            )
            self._drop(victim)
        self._enqueue(item, tree)
        return self._decide_offered(ticket, now)

    def release(
        self, ticket_id: str, now: float
    ) -> Sequence[interfaces.Decision]:
        """End a granted ticket or withdraw a queued one."""
        if ticket_id in self._granted_by_id:
            cost, held = self._granted_by_id.pop(ticket_id)
            for resource in held:
                self._give_back(resource, cost, now)
        elif ticket_id in self._waiting_by_id:
            self._drop(self._waiting_by_id[ticket_id])
        return self._grant(now)

    def release_units(
        self, ticket_id: str, key: str, now: float
    ) -> Sequence[interfaces.Decision]:
        """Give back one resource of a granted ticket ahead of the rest."""
        cost, held = self._granted_by_id.get(ticket_id, (0, []))
        for resource in held:
            if resource.key == key:
                held.remove(resource)
                self._give_back(resource, cost, now)
                return self._grant(now)
        return ()

    def advance(self, now: float) -> Sequence[interfaces.Decision]:
        """Grant what is free and refuse what will be late."""
        if now >= self._review_at:
            self._review_at = now + _REVIEW_S
            self._review(now)
        return self._grant(now)

    def estimate_wait_s(self, ticket: interfaces.Ticket) -> float:
        """Return the estimated wait of a ticket that arrives now."""
        flow = self._tree(ticket).flow_of(ticket)
        units = tuple(
            self._resource(key) for key in self._rules.units_of(ticket)
        )
        ahead = flow.ahead_of(ticket.deadline)
        return self._wait(flows.Waiting(ticket, units, 0, flow), ahead).seconds

    def _new_tree(self) -> flows.FlowTree:
        return flows.FlowTree(
            self._rules.class_weight, self._rules.member_weight
        )

    def _tree(self, ticket: interfaces.Ticket) -> flows.FlowTree:
        return self._started if ticket.stages_completed else self._fresh

    def _resource(self, key: str) -> waits.Resource:
        found = self._resources_by_key.get(key)
        if found is None:
            found = waits.Resource(key, self._default_capacity)
            self._resources_by_key[key] = found
        return found

    def _check_arrival(
        self, item: flows.Waiting, now: float
    ) -> interfaces.Decision | None:
        ticket = item.ticket
        need = self._rules.time_needed(ticket)
        left_s = ticket.deadline - now
        if left_s <= need.least_s:
            return queue_rules.refuse(
                ticket, answers.Reason.DEADLINE_INFEASIBLE, 0.0
            )
        if ticket.stages_completed:
            return None
        wait = self._wait(item, item.flow.ahead_of(ticket.deadline))
        late_s = wait.seconds * _ARRIVAL_MARGIN + need.likely_s - left_s
        if wait.seconds > 0 and late_s > 0:
            return queue_rules.refuse(ticket, self._reason(wait.key), late_s)
        return None

    def _wait(self, item: flows.Waiting, ahead: int) -> waits.Wait:
        return waits.estimate(
            item, ahead, lambda: self._tree(item.ticket).share_of(item.flow)
        )

    def _reason(self, key: str) -> answers.Reason:
        if self._rules.is_limit(key):
            return answers.Reason.LIMIT
        return answers.Reason.OVERLOAD

    def _full(self, item: flows.Waiting) -> tuple[answers.Reason, float]:
        wait = self._wait(item, item.flow.count)
        retry_after_s = wait.seconds or _DEFAULT_RETRY_S
        return answers.Reason.OVERLOAD, retry_after_s

    def _longest_flow(
        self, newcomer: flows.MemberFlow
    ) -> flows.Waiting | None:
        """Return the latest ticket of the flow that is furthest over.

        None if the newcomer's own flow is the longest for its weight.
        """
        longest = max(
            self._fresh.active_flows(),
            key=lambda flow: (flow.count / flow.weight, *flow.name()),
            default=None,
        )
        if longest is None or longest is newcomer:
            return None
        if longest.count / longest.weight <= (
            (newcomer.count + 1) / newcomer.weight
        ):
            return None
        return longest.in_order()[-1]

    def _enqueue(self, item: flows.Waiting, tree: flows.FlowTree) -> None:
        tree.add(item)
        self._waiting_by_id[item.ticket.ticket_id] = item
        for resource in item.units:
            resource.waiting += item.ticket.cost
        keys = tuple(resource.key for resource in item.units)
        self._counts_by_units.setdefault(
            keys, waits.UnitSet(item.units)
        ).count += 1

    def _drop(self, item: flows.Waiting) -> None:
        self._tree(item.ticket).remove(item)
        self._forget(item)

    def _forget(self, item: flows.Waiting) -> None:
        del self._waiting_by_id[item.ticket.ticket_id]
        for resource in item.units:
            resource.waiting -= item.ticket.cost
        keys = tuple(resource.key for resource in item.units)
        found = self._counts_by_units[keys]
        found.count -= 1
        if not found.count:
            del self._counts_by_units[keys]

    def _may_grant(self) -> bool:
        """Return whether a waiting ticket of cost 1 would find room.

        The check takes time by kinds of work instead of by members, and it
        is what every call in a full queue comes down to.
        """
        for found in self._counts_by_units.values():
            for resource in found.units:
                if resource.in_use >= resource.capacity:
                    break
            else:
                return True
        return False

    def _decide_offered(
        self, ticket: interfaces.Ticket, now: float
    ) -> interfaces.Decision:
        decision = interfaces.Decision(
            ticket.ticket_id, interfaces.DecisionKind.QUEUED
        )
        # Nothing that waited before has room, or it would not wait.
        if not self._waiting_by_id[ticket.ticket_id].has_room():
            return decision
        for made in self._grant(now):
            if made.ticket_id == ticket.ticket_id:
                decision = made
            else:
                self._outbox.append(made)
        return decision

    def _give_back(
        self, resource: waits.Resource, cost: int, now: float
    ) -> None:
        saturated = not resource.has_room(1)
        resource.meter.observe(now, saturated=saturated)
        if saturated:
            resource.meter.release(cost)
        resource.in_use -= cost

    def _grant(self, now: float) -> Sequence[interfaces.Decision]:
        made, self._outbox = self._outbox, []
        for tree in (self._started, self._fresh):
            while tree.active and self._may_grant():
                item = tree.first_with_room()
                if item is None:
                    break
                made.append(self._serve(tree, item, now))
        return made

    def _serve(
        self, tree: flows.FlowTree, item: flows.Waiting, now: float
    ) -> interfaces.Decision:
        ticket = item.ticket
        left_s = ticket.deadline - now
        if left_s <= self._rules.time_needed(ticket).least_s:
            self._drop(item)
            return queue_rules.refuse(ticket, answers.Reason.OVERLOAD, 0.0)
        tree.serve(item)
        self._forget(item)
        held = []
        for resource in item.units:
            assert isinstance(resource, waits.Resource)
            resource.meter.observe(now, saturated=not resource.has_room(1))
            resource.in_use += ticket.cost
            held.append(resource)
        self._granted_by_id[ticket.ticket_id] = (ticket.cost, held)
        return interfaces.Decision(
            ticket.ticket_id, interfaces.DecisionKind.GRANTED
        )

    def _review(self, now: float) -> None:
        for resource in self._resources_by_key.values():
            resource.meter.observe(now, saturated=not resource.has_room(1))
        for tree in (self._started, self._fresh):
            flows_now = sorted(tree.active_flows(), key=flows.MemberFlow.name)
            for flow in flows_now:
                self._review_flow(flow, now)
            tree.forget_idle()

    def _review_flow(self, flow: flows.MemberFlow, now: float) -> None:
        ahead = 0
        for item in flow.in_order():
            ticket = item.ticket
            need = self._rules.time_needed(ticket)
            left_s = ticket.deadline - now
            late_s = 0.0
            if not ticket.stages_completed:
                wait = self._wait(item, ahead)
                if wait.seconds > 0:
                    late_s = wait.seconds + need.likely_s - left_s
            if left_s > need.least_s and late_s <= 0:
                ahead += 1
                continue
            self._drop(item)
            self._outbox.append(
                queue_rules.refuse(ticket, answers.Reason.OVERLOAD, late_s)
            )
