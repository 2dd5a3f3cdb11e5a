"""Specification of the stages of a caller's request."""

import math

from walnutport.gateway.entry import calls
from walnutport.stages import pieces

__all__ = ['job_spec']

# Before the caller of a stream leaves, its first event must be on its way.
EVENT_PATIENCE_MARGIN_S = 0.1


def job_spec(
    call: calls.CallerCall,
    piece_counts: tuple[int, ...],
    job_id: str,
    final_s: float,
    now: float,
    was_admitted: bool,
    limit_s: float = math.inf,
) -> pieces.JobSpec:
    """Return the specification of the stages of a request.

    :param job_id: unique over all hosts and runs of the stages.
    :param final_s: expected duration of the request after its stages.
    :param now: present time of the monotonic clock.
    :param was_admitted: whether the stages ran before, for this call.
    :param limit_s: time after which the first event is of no use any more, as
        the host ends before the stream.
    """
    # The patience counts from the last event that the caller got.
    idle_since = now if call.request.head_sent else call.arrived_at
    leaves_at = idle_since + call.route.event_patience_s
    return pieces.JobSpec(
        job_id=job_id,
        request_id=call.request_id,
        piece_key=call.fields.piece_key,
        stages=call.route.stages,
        piece_counts=piece_counts,
        urgency=call.priority,
        aim_s=call.aim_at - now,
        deadline_s=min(
            call.deadline_at - now,
            leaves_at - EVENT_PATIENCE_MARGIN_S - now,
            limit_s,
        ),
        final_s=final_s,
        team=call.team or '',
        final_service=call.service,
        prompt=call.fields.prompt,
        content=call.digest,
        spent_s=call.spent_s,
        final_version=call.origin_version,
        route=call.route.name,
        continues=call.request.head_sent or call.holds_part,
        was_admitted=was_admitted,
        kind_urgency=call.kind_priority,
    )
