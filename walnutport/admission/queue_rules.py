"""Policy functions of a queue and the refusals that it returns."""

from collections.abc import Callable
import dataclasses

from walnutport import interfaces
from walnutport.lifecycle import answers

__all__ = ['QueueRules', 'TimeNeeded', 'refuse']

_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class TimeNeeded:
    """Time that a ticket needs after its grant, in seconds.

    :param min_s: a low quantile; with less time left the deadline cannot be
        met.
    :param likely_s: a high quantile.
    """

    min_s: float = 0.0
    likely_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRules:
    """Functions that give a queue the properties of tickets and weights.

    :param units_of: returns the keys of the resources that a ticket needs.
    :param is_limit: returns whether a resource is a limit of a contract, which
        selects the refusal reason ``limit`` instead of ``overload``.
    """

    resource_keys: Callable[[interfaces.Ticket], tuple[str, ...]] = lambda _: (
        '',
    )
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

    :param wait_s: time in seconds after which the same request could be
        granted. It is ignored for work that needs more time than its deadline
        allows.
    """
    retry_after_s = 0.0
    if reason is not answers.Reason.DEADLINE_INFEASIBLE:
        retry_after_s = min(
            _MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s)
        )
    return interfaces.Decision(
        ticket.ticket_id,
        interfaces.DecisionKind.REFUSED,
        reason.value,
        retry_after_s,
    )
