"""Whether a request may go to a further target after an attempt.

Load pattern: a target that resets channels while requests run. A request that
must not run twice is never sent again once it may have run, and the others
stop after a bounded number of targets, so that one bad request does not take
the fleet down target by target.
"""

import dataclasses
import enum

__all__ = [
    'MOST_UNREACHABLE',
    'AttemptEnd',
    'RetryState',
    'retry_denial_reason',
]

# Targets that may refuse a connection before the request is refused. Crashed
# targets come in groups; each one costs a connect timeout at worst.
MOST_UNREACHABLE = 3


class AttemptEnd(enum.Enum):
    """What the end of an attempt says about the request."""

    #: Nothing was written.
    UNSENT = 'unsent'
    #: The target says that it did not run the request.
    NOT_RUN = 'not_run'
    #: As NOT_RUN, because results that the request needs are gone.
    INPUTS_GONE = 'inputs_gone'
    #: The request may have run.
    MAY_HAVE_RUN = 'may_have_run'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryState:
    """State of a request after an attempt.

    :param wanted: whether the caller still waits and time is left.
    :param repeatable: whether the request may run more than once.
    :param sent: targets that the request was sent to.
    :param max_targets: bound of the route on ``sent``.
    :param unreachable: targets that could not be connected.
    :param quarantined: whether the request is suspected to kill targets.
    """

    wanted: bool
    repeatable: bool
    sent: int
    max_targets: int
    unreachable: int
    quarantined: bool


def retry_denial_reason(end: AttemptEnd, state: RetryState) -> str:
    """Return why a request goes to no further target, empty if it may.

    The retry budget is asked by the caller for attempts that were sent.
    """
    if not state.wanted:
        return 'not_wanted'
    if end is AttemptEnd.UNSENT:
        if state.unreachable > MOST_UNREACHABLE:
            return 'unreachable'
        return ''
    if state.sent >= state.max_targets:
        return 'max_targets'
    if end is AttemptEnd.MAY_HAVE_RUN and not state.repeatable:
        return 'not_repeatable'
    if end is AttemptEnd.INPUTS_GONE:
        return 'inputs_gone'
    if state.quarantined:
        return 'quarantined'
    return ''
