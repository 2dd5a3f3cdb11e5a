"""Scheduling order of waiting tickets: class, then member, then deadline.

Both levels use start-time fair queueing: each flow has a start tag, the flow
with the lowest tag is served next, and serving a ticket of cost c increases
the tag by c / weight. A flow that becomes active starts at the virtual time of
its parent, so idle time earns no credit (Goyal, Vin, Cheng: Start-time Fair
Queuing, SIGCOMM 1996). Within a member the earliest deadline goes first.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import heapq
import math

from walnutport import interfaces

__all__ = [
    'ClassFlow',
    'FlowTree',
    'MemberFlow',
    'ResourceUsage',
    'WaitingTicket',
]


@dataclasses.dataclass(slots=True)
class ResourceUsage:
    """Usage and capacity of one resource in units.

    :param capacity: maximum number of units in use; infinite if unbounded.
    :param waiting: units that waiting tickets need.
    """

    key: str
    capacity: float = math.inf
    in_use: int = 0
    waiting: int = 0

    def has_room(self, cost: int) -> bool:
        """Return whether the resource has at least ``cost`` free units."""
        return self.in_use + cost <= self.capacity


@dataclasses.dataclass(slots=True)
class WaitingTicket:
    """Queued ticket with the resources it needs and its queue position."""

    ticket: interfaces.Ticket
    resources: tuple[ResourceUsage, ...]
    sequence: int
    flow: 'MemberFlow'

    def sort_key(self) -> tuple[float, int]:
        """Return the sort key within a member: deadline, then arrival."""
        return (self.ticket.deadline, self.sequence)

    def has_room(self) -> bool:
        """Return whether all resources have enough free units."""
        cost = self.ticket.cost
        for resource in self.resources:
            if resource.in_use + cost > resource.capacity:
                return False
        return True


@dataclasses.dataclass(slots=True)
class MemberFlow:
    """Waiting tickets of one member in one class.

    :param start_tag: virtual start time of the next ticket.
    :param heap_item: current item of the flow in the heap of its class; other
        items of the flow there are outdated.
    :param waiting_by_entry: tickets of each entry, ordered by deadline.
    """

    member_id: str
    parent: 'ClassFlow'
    weight: float
    start_tag: float = 0.0
    count: int = 0
    heap_item: tuple[float, str, int, 'MemberFlow'] | None = None
    waiting_by_entry: dict[str, list[WaitingTicket]] = dataclasses.field(
        default_factory=dict
    )

    def sort_key(self) -> tuple[str, str]:
        """Return class and member ids, which break ties between flows."""
        return (self.parent.class_id, self.member_id)

    def first_grantable(self) -> WaitingTicket | None:
        """Return the grantable ticket with the earliest deadline, or None.

        Only the first ticket of each entry is considered.
        """
        heads = [
            waiting[0]
            for waiting in self.waiting_by_entry.values()
            if waiting and waiting[0].has_room()
        ]
        return min(heads, key=WaitingTicket.sort_key, default=None)

    def count_ahead_of(self, deadline: float) -> int:
        """Return the number of tickets with an earlier or equal deadline."""
        return sum(
            bisect.bisect_right(
                waiting, deadline, key=lambda item: item.ticket.deadline
            )
            for waiting in self.waiting_by_entry.values()
        )

    def in_order(self) -> list[WaitingTicket]:
        """Return the tickets ordered by deadline."""
        merged = heapq.merge(
            *self.waiting_by_entry.values(), key=WaitingTicket.sort_key
        )
        return list(merged)


@dataclasses.dataclass(slots=True)
class ClassFlow:
    """Members of one class and their scheduling state.

    :param start_tag: virtual start time of the next ticket of the class.
    :param virtual_time: virtual time of the members of the class.
    :param active_weight: total weight of members with waiting tickets.
    :param active_count: number of members with waiting tickets.
    """

    class_id: str
    weight: float
    start_tag: float = 0.0
    virtual_time: float = 0.0
    active_weight: float = 0.0
    active_count: int = 0
    push_count: int = 0
    heap: list[tuple[float, str, int, MemberFlow]] = dataclasses.field(
        default_factory=list
    )
    members_by_id: dict[str, MemberFlow] = dataclasses.field(
        default_factory=dict
    )

    def activate(self, flow: MemberFlow, weight: float) -> None:
        """Add a member that had no waiting tickets to the active ones."""
        flow.weight = weight
        flow.start_tag = max(flow.start_tag, self.virtual_time)
        self.active_count += 1
        self.active_weight += weight
        self.push(flow)

    def push(self, flow: MemberFlow) -> None:
        """Push a member onto the heap under its current start tag."""
        self.push_count += 1
        flow.heap_item = (
            flow.start_tag,
            flow.member_id,
            self.push_count,
            flow,
        )
        heapq.heappush(self.heap, flow.heap_item)

    def deactivate(self, flow: MemberFlow) -> None:
        """Remove a member without waiting tickets from the active ones."""
        flow.heap_item = None
        flow.waiting_by_entry.clear()
        self.active_count -= 1
        # The sum is reset when no member is active, so that rounding errors
        # do not accumulate.
        self.active_weight = (
            self.active_weight - flow.weight if self.active_count else 0.0
        )

    def first_grantable(self) -> WaitingTicket | None:
        """Return the ticket of this class to grant next, or None."""
        skipped = []
        next_ticket = None
        while self.heap and next_ticket is None:
            item = self.heap[0]
            flow = item[3]
            if flow.heap_item is not item:
                heapq.heappop(self.heap)
                continue
            next_ticket = flow.first_grantable()
            if next_ticket is None:
                skipped.append(heapq.heappop(self.heap))
        for item in skipped:
            heapq.heappush(self.heap, item)
        return next_ticket

    def remove_idle(self) -> None:
        """Remove members without tickets whose start tag has been reached."""
        for member_id, flow in list(self.members_by_id.items()):
            if not flow.count and flow.start_tag <= self.virtual_time:
                del self.members_by_id[member_id]


class FlowTree:
    """Waiting tickets in the order in which they are granted.

    ``ticket_count`` is the number of waiting tickets.
    """

    def __init__(
        self,
        class_weight: Callable[[str], float],
        member_weight: Callable[[str], float],
    ) -> None:
        self._class_weight = class_weight
        self._member_weight = member_weight
        self._virtual_time = 0.0
        self.ticket_count = 0
        self._classes_by_id: dict[str, ClassFlow] = {}

    def flow_of(self, ticket: interfaces.Ticket) -> MemberFlow:
        """Return the flow that a ticket belongs to."""
        parent = self._classes_by_id.get(ticket.class_id)
        if parent is None:
            weight = self._class_weight(ticket.class_id)
            parent = ClassFlow(ticket.class_id, weight)
            self._classes_by_id[ticket.class_id] = parent
        flow = parent.members_by_id.get(ticket.member_id)
        if flow is None:
            weight = self._member_weight(ticket.member_id)
            flow = MemberFlow(ticket.member_id, parent, weight)
            parent.members_by_id[ticket.member_id] = flow
        return flow

    def add(self, item: WaitingTicket) -> None:
        """Add a waiting ticket."""
        flow, parent = item.flow, item.flow.parent
        if not parent.active_count:
            parent.weight = self._class_weight(parent.class_id)
            parent.start_tag = max(parent.start_tag, self._virtual_time)
        if not flow.count:
            parent.activate(flow, self._member_weight(flow.member_id))
        waiting = flow.waiting_by_entry.setdefault(item.ticket.entry_id, [])
        bisect.insort(waiting, item, key=WaitingTicket.sort_key)
        flow.count += 1
        self.ticket_count += 1

    def remove(self, item: WaitingTicket) -> None:
        """Remove a waiting ticket without charging its flows."""
        flow = item.flow
        waiting = flow.waiting_by_entry[item.ticket.entry_id]
        index = bisect.bisect_left(
            waiting, item.sort_key(), key=WaitingTicket.sort_key
        )
        del waiting[index]
        if not waiting:
            del flow.waiting_by_entry[item.ticket.entry_id]
        flow.count -= 1
        self.ticket_count -= 1
        if not flow.count:
            flow.parent.deactivate(flow)

    def serve(self, item: WaitingTicket) -> None:
        """Remove a ticket and charge its cost to its flows."""
        flow, parent = item.flow, item.flow.parent
        self._virtual_time = max(self._virtual_time, parent.start_tag)
        parent.start_tag += item.ticket.cost / parent.weight
        parent.virtual_time = max(parent.virtual_time, flow.start_tag)
        flow.start_tag += item.ticket.cost / flow.weight
        self.remove(item)
        if flow.count:
            parent.push(flow)

    def first_grantable(self) -> WaitingTicket | None:
        """Return the ticket to grant next, or None if none can be granted."""
        active = [
            item for item in self._classes_by_id.values() if item.active_count
        ]
        for parent in sorted(active, key=lambda c: (c.start_tag, c.class_id)):
            next_ticket = parent.first_grantable()
            if next_ticket is not None:
                return next_ticket
        return None

    def share_of(self, flow: MemberFlow) -> float:
        """Return the fraction of the total service that a flow is due."""
        class_weight = sum(
            item.weight
            for item in self._classes_by_id.values()
            if item.active_count or item is flow.parent
        )
        member_weight = flow.parent.active_weight
        if not flow.count:
            member_weight += flow.weight
        return flow.parent.weight / class_weight * flow.weight / member_weight

    def active_flows(self) -> Iterator[MemberFlow]:
        """Return the members with waiting tickets, class by class."""
        for parent in self._classes_by_id.values():
            for flow in parent.members_by_id.values():
                if flow.count:
                    yield flow

    def remove_idle(self) -> None:
        """Remove flows without tickets whose start tags have been reached."""
        for class_id, parent in list(self._classes_by_id.items()):
            parent.remove_idle()
            if (
                not parent.members_by_id
                and parent.start_tag <= self._virtual_time
            ):
                del self._classes_by_id[class_id]
