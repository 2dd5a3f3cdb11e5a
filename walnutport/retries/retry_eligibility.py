"""Whether a request may be retried at another target after an attempt.

Targets may reset connections while requests run. A request that is not
repeatable is never sent again once it may have run. All others are sent to a
limited number of targets, so that a request that crashes targets cannot take
down the whole fleet.
"""

import dataclasses
import enum

__all__ = [
    'MAX_UNREACHABLE',
    'AttemptEnd',
    'RetryState',
    'retry_denial_reason',
]

# A request that finds more unreachable targets than this is refused. Targets
# often crash in groups, and each one tried costs up to a connect timeout.
MAX_UNREACHABLE = 3


class AttemptEnd(enum.Enum):
    """Whether a request may have run, as known after an attempt."""

    #: No byte was written to the target.
    UNSENT = 'unsent'
    #: The target reports that it did not run the request.
    NOT_RUN = 'not_run'
    #: As NOT_RUN, because results that the request needs no longer exist.
    INPUTS_GONE = 'inputs_gone'
    #: The request may have run.
    MAY_HAVE_RUN = 'may_have_run'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryState:
    """State of a request after an attempt.

    :param wanted: whether the caller still waits and the deadline is ahead.
    :param repeatable: whether the request may run more than once.
    :param sent_count: number of targets that the request was sent to and that
        do not get it again.
    :param max_targets: limit of the route on ``sent_count``.
    :param unreachable_count: number of targets that could not be connected.
    :param quarantined: whether the request is suspected to crash targets.
    """

    caller_waiting: bool
    repeatable: bool
    sent_count: int
    max_targets: int
    unreachable_count: int
    quarantined: bool


def retry_denial_reason(end: AttemptEnd, state: RetryState) -> str:
    """Return why a request must not be retried, or '' if it may be.

    For attempts that were sent, the caller checks the retry budget as well.
    """
    if not state.caller_waiting:
        return 'not_wanted'
    if state.quarantined:
        return 'quarantined'
    if end is AttemptEnd.UNSENT:
        if state.unreachable_count > MAX_UNREACHABLE:
            return 'unreachable'
        return ''
    if state.sent_count >= state.max_targets:
        return 'max_targets'
    if end is AttemptEnd.MAY_HAVE_RUN and not state.repeatable:
        return 'not_repeatable'
    if end is AttemptEnd.INPUTS_GONE:
        return 'inputs_gone'
    return ''
