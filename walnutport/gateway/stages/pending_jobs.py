"""Jobs of this host that owners of cells have not answered yet.

An owner answers a refusal at once and a job that it admits only at its end.
When the owner is lost in between, the host has to know which of its jobs had
been admitted.
"""

from collections.abc import Callable
import dataclasses
import time

from twisted.internet import defer

__all__ = ['LostOwner', 'PendingJobs']

# An owner has decided on a job when it sends a message so long after the job
# was sent. Messages of a link keep their order, so that a refusal would have
# come before that message.
DECISION_LIMIT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LostOwner:
    """Reply in place of an owner that was lost, or that cannot serve.

    :param was_admitted: whether the owner had admitted the job.
    """

    was_admitted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingJob:
    """A job and the owner whose reply is awaited.

    :param sent_at: time of the monotonic clock.
    """

    owner: str
    cell: int
    reply: defer.Deferred
    sent_at: float


class PendingJobs:
    """Jobs whose reply is awaited, by id.

    :param own_name: name of this host, which decides at once on jobs of its
        own cells.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._job_by_id: dict[str, _PendingJob] = {}
        self._heard_at: dict[str, float] = {}

    def add(self, job_id: str, cell: int, owner: str) -> defer.Deferred:
        """Add a job that is sent now, and return its reply."""
        reply: defer.Deferred = defer.Deferred()
        self._job_by_id[job_id] = _PendingJob(
            owner, cell, reply, time.monotonic()
        )
        return reply

    def remove(self, job_id: str) -> None:
        """Remove a job whose reply is not awaited any more."""
        self._job_by_id.pop(job_id, None)

    def resolve(self, job_id: str, reply: object, owner: str) -> None:
        """Answer a job, unless another owner runs it by now."""
        job = self._job_by_id.get(job_id)
        if job is None or job.owner != owner:
            return
        del self._job_by_id[job_id]
        if not job.reply.called:
            job.reply.callback(reply)

    def heard_from(self, owner: str) -> None:
        """Record that a host has sent a message."""
        self._heard_at[owner] = time.monotonic()

    def owner_lost(
        self,
        owner: str,
        before_reply: Callable[[str, int], None] = lambda job_id, cell: None,
    ) -> None:
        """Answer all jobs of an owner with ``LostOwner``.

        :param before_reply: called with the id and the cell of each job.
        """
        heard_at = self._heard_at.pop(owner, 0.0)
        for job_id, job in list(self._job_by_id.items()):
            if job.owner != owner:
                continue
            before_reply(job_id, job.cell)
            self.resolve(
                job_id,
                LostOwner(
                    owner == self._own_name
                    or job.sent_at <= heard_at - DECISION_LIMIT_S
                ),
                owner,
            )
