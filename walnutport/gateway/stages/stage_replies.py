"""Replies of the owners of cells to the hosts that submit jobs."""

import dataclasses

from walnutport import exceptions
from walnutport.gateway.stages import pending_jobs
from walnutport.peer import fleet_messages
from walnutport.stages import pieces

__all__ = ['Reply', 'decode', 'encode', 'next_spec', 'result_of']

Reply = (
    pieces.JobResult | pieces.JobFailure | pieces.JobHandover | pieces.Refusal
)


def encode(job_id: str, reply: Reply) -> fleet_messages.FleetMessage:
    """Return the message that brings a reply to the host of a job."""
    match reply:
        case pieces.JobResult():
            return fleet_messages.StagesDone(reply)
        case pieces.JobFailure():
            return fleet_messages.StagesFailed(reply)
        case pieces.JobHandover():
            return fleet_messages.StagesHandedOver(reply)
    return fleet_messages.StagesRefused(job_id, reply)


def decode(
    message: fleet_messages.FleetMessage,
) -> tuple[str, Reply] | None:
    """Return the id of a job and its reply, None for other messages."""
    match message:
        case fleet_messages.StagesDone():
            return message.result.job_id, message.result
        case fleet_messages.StagesFailed():
            return message.failure.job_id, message.failure
        case fleet_messages.StagesHandedOver():
            return message.handover.job_id, message.handover
        case fleet_messages.StagesRefused():
            return message.job_id, message.refusal
    return None


def result_of(reply: object) -> pieces.JobResult | None:
    """Return the result of a job, None if it has to be submitted again.

    :raises StagesRefused: when the job was refused or abandoned.
    """
    if isinstance(reply, pieces.JobResult):
        return reply
    if isinstance(reply, pieces.Refusal):
        raise exceptions.StagesRefused(
            reply.reason,
            reply.retry_after_s,
            reply.forecast_s,
            reply.standing,
            reply.spent_s,
            reply.reserved,
            reply.kind_standing,
        )
    if isinstance(reply, pieces.JobFailure):
        raise exceptions.StagesRefused(
            reply.reason,
            reply.retry_after_s,
            reserved=reply.reserved,
        )
    return None


def next_spec(spec: pieces.JobSpec, reply: object) -> pieces.JobSpec:
    """Return a job as it is submitted to the successor of an owner.

    :param reply: reply of an owner that was lost or that stops.
    """
    if isinstance(reply, pieces.JobHandover):
        was_admitted, held = reply.was_admitted, reply.results
    elif isinstance(reply, pending_jobs.LostOwner):
        was_admitted, held = reply.was_admitted, ()
    else:
        return spec
    return dataclasses.replace(
        spec, was_admitted=spec.was_admitted or was_admitted, held=held
    )
