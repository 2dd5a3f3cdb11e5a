"""Resources that tickets wait for, and estimates of the queueing time."""

from collections.abc import Callable
import dataclasses

from walnutport.admission import drain
from walnutport.admission import flows

__all__ = ['Resource', 'ResourceSet', 'Wait', 'estimate_wait']

# Expected time until a loan increases a share of zero.
_LOAN_WAIT_S = 2.0


@dataclasses.dataclass(slots=True)
class Resource(flows.ResourceUsage):
    """Resource with a measured drain rate."""

    meter: drain.DrainMeter = dataclasses.field(
        default_factory=drain.DrainMeter
    )


@dataclasses.dataclass(slots=True)
class ResourceSet:
    """Set of resources and the number of waiting tickets that need it."""

    resources: tuple[flows.ResourceUsage, ...]
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Estimated wait and the resource that causes it."""

    seconds: float = 0.0
    key: str = ''


def estimate_wait(
    item: flows.WaitingTicket, ahead: int, share_of: Callable[[], float]
) -> Wait:
    """Estimate the wait behind ``ahead`` tickets of the same flow.

    The flow drains at its fair share of the drain rate, or earlier if the
    whole queue drains first. The longest wait over all resources counts.

    :param share_of: returns the fair share of the flow.
    """
    longest = Wait()
    share = 0.0
    for resource in item.resources:
        assert isinstance(resource, Resource)
        # Tickets wait for another resource if this one has free units for all.
        free = max(0.0, resource.capacity - resource.in_use)
        if resource.waiting < free and resource.has_room(item.ticket.cost):
            continue
        rate = resource.meter.rate_per_s()
        if resource.capacity < item.ticket.cost:
            longest = max(
                longest,
                Wait(_LOAN_WAIT_S, resource.key),
                key=lambda wait: wait.seconds,
            )
            continue
        if rate is None:
            continue
        share = share or share_of()
        position = min((ahead + 1) / share, resource.waiting + 1) - free
        if position / rate > longest.seconds:
            longest = Wait(position / rate, resource.key)
    return longest
