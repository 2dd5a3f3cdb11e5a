"""Bounded, weighted fair queue for resources with changing capacity.

A ticket takes ``cost`` units of each resource that it needs, and it is
granted only when all of them are free. A pool queue has a single resource,
the host's share of the slots; the entry queue has one resource for the limit
of each entry and one for the admission window of each pool.

Three rules prevent the queue from holding work that would miss its deadline:

* a ticket that could not finish in time even without waiting is refused;
* a ticket that has to wait is refused immediately if the wait, estimated from
  the measured drain rate, leaves too little time for the stages;
* queued tickets are checked periodically against the same estimate, as the
  drain rate changes.

Without measurements no ticket is refused because of an estimate.
"""

from collections.abc import Sequence
import math

from walnutport.admission import flows
from walnutport.admission import queue_rules
from walnutport.admission import waits
from walnutport import interfaces
from walnutport.lifecycle import answers

__all__ = ['FairQueue']

_REVIEW_INTERVAL_S = 0.1
# The estimated wait of an arriving ticket is multiplied by this factor, that
# of a queued one is not, so that a small change of the drain rate does not
# refuse a ticket that was just accepted.
_ARRIVAL_WAIT_FACTOR = 1.25
_DEFAULT_RETRY_AFTER_S = 1.0


class FairQueue:
    """Queue for tickets; implements ``interfaces.AdmissionQueue``.

    Requests that have completed stages are granted before new ones. Within
    each of the two groups the order is class weight, member weight, deadline.

    :param max_queued: maximum number of waiting tickets. When the queue is
        full, the member with the longest queue relative to its weight loses
        its ticket with the latest deadline.
    :param capacity: default capacity of resources without a set capacity.

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
        self._waiting_by_id: dict[str, flows.WaitingTicket] = {}
        self._resource_sets_by_keys: dict[
            tuple[str, ...], waits.ResourceSet
        ] = {}
        self._started_tree = self._new_tree()
        self._fresh_tree = self._new_tree()
        self._pending_decisions: list[interfaces.Decision] = []
        self._sequence = 0
        self._next_review_at = -math.inf

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def set_capacity(self, key: str, capacity: float) -> None:
        """Set the capacity of a resource; ``advance`` grants free units."""
        self._resource(key).capacity = capacity

    def capacity(self, key: str) -> float:
        """Return the capacity of a resource in units."""
        return self._resource(key).capacity

    def resource_keys(self) -> list[str]:
        """Return the keys of all known resources."""
        return list(self._resources_by_key)

    def in_use(self, key: str) -> int:
        """Return the units of a resource that are granted."""
        resource = self._resources_by_key.get(key)
        return resource.in_use if resource else 0

    def waiting(self, key: str) -> int:
        """Return the units of a resource that waiting tickets ask for."""
        resource = self._resources_by_key.get(key)
        return resource.waiting if resource else 0

    def offer(
        self, ticket: interfaces.Ticket, now: float
    ) -> interfaces.Decision:
        """Grant, queue or refuse a ticket.

        A queued ticket is granted or refused by a later call.

        :raises ValueError: if a ticket with this id is granted or queued.
        """
        if (
            ticket.ticket_id in self._granted_by_id
            or ticket.ticket_id in self._waiting_by_id
        ):
            raise ValueError(
                f'ticket {ticket.ticket_id!r} is already granted or queued'
            )
        tree = self._tree(ticket)
        flow = tree.flow_of(ticket)
        resources = tuple(
            self._resource(key) for key in self._rules.resource_keys(ticket)
        )
        self._sequence += 1
        item = flows.WaitingTicket(ticket, resources, self._sequence, flow)
        refusal = self._check_arrival(item, now)
        if refusal is not None:
            return refusal
        if len(self._waiting_by_id) >= self._max_queued:
            dropped = self._ticket_to_drop(flow)
            if dropped is None:
                return queue_rules.refuse(
                    ticket, *self._queue_full_refusal(item)
                )
            self._pending_decisions.append(
                queue_rules.refuse(
                    dropped.ticket, *self._queue_full_refusal(item)
                )
            )
            self._remove(dropped)
        self._enqueue(item, tree)
        return self._decide_new_ticket(ticket, now)

    def release(
        self, ticket_id: str, now: float
    ) -> Sequence[interfaces.Decision]:
        """Release a granted ticket or withdraw a queued one."""
        if ticket_id in self._granted_by_id:
            cost, held = self._granted_by_id.pop(ticket_id)
            for resource in held:
                self._release_resource(resource, cost, now)
        elif ticket_id in self._waiting_by_id:
            self._remove(self._waiting_by_id[ticket_id])
        return self._grant(now)

    def release_units(
        self, ticket_id: str, key: str, now: float
    ) -> Sequence[interfaces.Decision]:
        """Release one resource of a granted ticket before the others."""
        cost, held = self._granted_by_id.get(ticket_id, (0, []))
        for resource in held:
            if resource.key == key:
                held.remove(resource)
                self._release_resource(resource, cost, now)
                return self._grant(now)
        return ()

    def advance(self, now: float) -> Sequence[interfaces.Decision]:
        """Grant tickets that fit and refuse those that would be late."""
        if now >= self._next_review_at:
            self._next_review_at = now + _REVIEW_INTERVAL_S
            self._review(now)
        return self._grant(now)

    def estimate_wait_s(self, ticket: interfaces.Ticket) -> float:
        """Return the estimated wait of a ticket that arrives now."""
        flow = self._tree(ticket).flow_of(ticket)
        resources = tuple(
            self._resource(key) for key in self._rules.resource_keys(ticket)
        )
        ahead = flow.count_ahead_of(ticket.deadline)
        return self._estimate_wait(
            flows.WaitingTicket(ticket, resources, 0, flow), ahead
        ).seconds

    def _new_tree(self) -> flows.FlowTree:
        return flows.FlowTree(
            self._rules.class_weight, self._rules.member_weight
        )

    def _tree(self, ticket: interfaces.Ticket) -> flows.FlowTree:
        return (
            self._started_tree if ticket.stages_completed else self._fresh_tree
        )

    def _resource(self, key: str) -> waits.Resource:
        resource = self._resources_by_key.get(key)
        if resource is None:
            resource = waits.Resource(key, self._default_capacity)
            self._resources_by_key[key] = resource
        return resource

    def _check_arrival(
        self, item: flows.WaitingTicket, now: float
    ) -> interfaces.Decision | None:
        ticket = item.ticket
        need = self._rules.time_needed(ticket)
        left_s = ticket.deadline - now
        if left_s <= need.min_s:
            return queue_rules.refuse(
                ticket, answers.Reason.DEADLINE_INFEASIBLE, 0.0
            )
        if ticket.stages_completed:
            return None
        wait = self._estimate_wait(
            item, item.flow.count_ahead_of(ticket.deadline)
        )
        late_s = wait.seconds * _ARRIVAL_WAIT_FACTOR + need.likely_s - left_s
        if wait.seconds > 0 and late_s > 0:
            return queue_rules.refuse(ticket, self._reason(wait.key), late_s)
        return None

    def _estimate_wait(
        self, item: flows.WaitingTicket, ahead: int
    ) -> waits.Wait:
        return waits.estimate_wait(
            item, ahead, lambda: self._tree(item.ticket).share_of(item.flow)
        )

    def _reason(self, key: str) -> answers.Reason:
        if self._rules.is_limit(key):
            return answers.Reason.LIMIT
        return answers.Reason.OVERLOAD

    def _queue_full_refusal(
        self, item: flows.WaitingTicket
    ) -> tuple[answers.Reason, float]:
        wait = self._estimate_wait(item, item.flow.count)
        retry_after_s = wait.seconds or _DEFAULT_RETRY_AFTER_S
        return answers.Reason.OVERLOAD, retry_after_s

    def _ticket_to_drop(
        self, new_flow: flows.MemberFlow
    ) -> flows.WaitingTicket | None:
        """Return the last ticket of the flow with the longest queue.

        The last ticket is the one with the latest deadline, and queue lengths
        are relative to the weights of the flows. The result is None if the
        flow of the new ticket would be the longest.
        """
        longest = max(
            self._fresh_tree.active_flows(),
            key=lambda flow: (flow.count / flow.weight, *flow.sort_key()),
            default=None,
        )
        if longest is None or longest is new_flow:
            return None
        if longest.count / longest.weight <= (
            (new_flow.count + 1) / new_flow.weight
        ):
            return None
        return longest.in_order()[-1]

    def _enqueue(
        self, item: flows.WaitingTicket, tree: flows.FlowTree
    ) -> None:
        tree.add(item)
        self._waiting_by_id[item.ticket.ticket_id] = item
        for resource in item.resources:
            resource.waiting += item.ticket.cost
        keys = tuple(resource.key for resource in item.resources)
        self._resource_sets_by_keys.setdefault(
            keys, waits.ResourceSet(item.resources)
        ).count += 1

    def _remove(self, item: flows.WaitingTicket) -> None:
        self._tree(item.ticket).remove(item)
        self._remove_counts(item)

    def _remove_counts(self, item: flows.WaitingTicket) -> None:
        del self._waiting_by_id[item.ticket.ticket_id]
        for resource in item.resources:
            resource.waiting -= item.ticket.cost
        keys = tuple(resource.key for resource in item.resources)
        resource_set = self._resource_sets_by_keys[keys]
        resource_set.count -= 1
        if not resource_set.count:
            del self._resource_sets_by_keys[keys]

    def _may_grant(self) -> bool:
        """Return whether a waiting ticket of cost 1 could be granted.

        The check is linear in the number of distinct resource sets instead of
        members, and it dominates the cost of every call on a full queue.
        """
        for resource_set in self._resource_sets_by_keys.values():
            for resource in resource_set.resources:
                if resource.in_use >= resource.capacity:
                    break
            else:
                return True
        return False

    def _decide_new_ticket(
        self, ticket: interfaces.Ticket, now: float
    ) -> interfaces.Decision:
        decision = interfaces.Decision(
            ticket.ticket_id, interfaces.DecisionKind.QUEUED
        )
        # Tickets that were already waiting cannot be granted now, so only the
        # new one is checked.
        if not self._waiting_by_id[ticket.ticket_id].has_room():
            return decision
        for other in self._grant(now):
            if other.ticket_id == ticket.ticket_id:
                decision = other
            else:
                self._pending_decisions.append(other)
        return decision

    def _release_resource(
        self, resource: waits.Resource, cost: int, now: float
    ) -> None:
        saturated = not resource.has_room(1)
        resource.meter.observe(now, saturated=saturated)
        if saturated:
            resource.meter.release(cost)
        resource.in_use -= cost

    def _grant(self, now: float) -> Sequence[interfaces.Decision]:
        decisions, self._pending_decisions = self._pending_decisions, []
        for tree in (self._started_tree, self._fresh_tree):
            while tree.ticket_count and self._may_grant():
                item = tree.first_grantable()
                if item is None:
                    break
                decisions.append(self._grant_or_refuse(tree, item, now))
        return decisions

    def _grant_or_refuse(
        self, tree: flows.FlowTree, item: flows.WaitingTicket, now: float
    ) -> interfaces.Decision:
        ticket = item.ticket
        left_s = ticket.deadline - now
        if left_s <= self._rules.time_needed(ticket).min_s:
            self._remove(item)
            return queue_rules.refuse(ticket, answers.Reason.OVERLOAD, 0.0)
        tree.serve(item)
        self._remove_counts(item)
        held = []
        for resource in item.resources:
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
        for tree in (self._started_tree, self._fresh_tree):
            active_flows = sorted(
                tree.active_flows(), key=flows.MemberFlow.sort_key
            )
            for flow in active_flows:
                self._review_flow(flow, now)
            tree.remove_idle()

    def _review_flow(self, flow: flows.MemberFlow, now: float) -> None:
        ahead = 0
        for item in flow.in_order():
            ticket = item.ticket
            need = self._rules.time_needed(ticket)
            left_s = ticket.deadline - now
            late_s = 0.0
            if not ticket.stages_completed:
                wait = self._estimate_wait(item, ahead)
                if wait.seconds > 0:
                    late_s = wait.seconds + need.likely_s - left_s
            if left_s > need.min_s and late_s <= 0:
                ahead += 1
                continue
            self._remove(item)
            self._pending_decisions.append(
                queue_rules.refuse(ticket, answers.Reason.OVERLOAD, late_s)
            )
