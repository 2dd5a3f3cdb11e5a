"""What a queue is told about its tickets, and the refusals it gives."""

from collections.abc import Callable
import dataclasses

from walnutport import interfaces
from walnutport.lifecycle import answers

__all__ = ['QueueRules', 'TimeNeeded', 'refuse']

_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class TimeNeeded:
    """Time that a ticket needs after its grant in seconds.

    :param least_s: a low quantile; with less time left the work is hopeless.
    :param likely_s: a high quantile.
    """

    min_s: float = 0.0
    likely_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRules:
    """What a queue needs to know of tickets, classes and members.

    :param units_of: keys of the resources that a ticket needs.
    :param is_limit: whether a resource is a limit of a contract, which
        decides between the reasons ``limit`` and ``overload``.
    """

    units_of: Callable[[interfaces.Ticket], tuple[str, ...]] = lambda _: ('',)
    time_needed: Callable[[interfaces.Ticket], TimeNeeded] = lambda _: (
        TimeNeeded()
    )
    class_weight: Callable[[str], float] = lambda _: 1.0
    member_weight: Callable[[str], float] = lambda _: 1.0
    is_limit: Callable[[str], bool] = lambda _: False


def refuse(
    ticket: interfaces.Ticket, reason: answers.Reason, wait_s: float
) -> interfaces.Decision:
    """Return the refusal of a ticket.

    :param wait_s: time after which the same request could be granted in
        seconds. It says nothing for work that needs more time than its
        deadline allows.
    """
    retry_after_s = 0.0
    if reason is not answers.Reason.DEADLINE_INFEASIBLE:
        retry_after_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
    return interfaces.Decision(
        ticket.ticket_id,
        interfaces.DecisionKind.REFUSED,
        reason.value,
        retry_after_s,
    )
