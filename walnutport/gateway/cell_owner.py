"""Drives the stage targets of one cell for the whole fleet.

A cell is a share of the targets of every stage service. Its owner assembles
the calls to these targets.
"""

from collections.abc import Callable
import dataclasses
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.http1 import channel_pool
from walnutport.http1 import messages
from walnutport.platform import headers
from walnutport.platform import stage_calls
from walnutport.routing import engines
from walnutport.stages import pieces
from walnutport.stages import scheduler
from walnutport.stages import stage_targets
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['CellOwner']

# Results of a host that was lost are kept this long, as a target may just be
# reading them for it.
ORPHAN_S = 3.0
# Results that are freed within this time share one call.
FREE_DELAY_S = 0.05
FREE_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class _Origin:
    """Where a job of a cell came from."""

    peer: str
    reply: Callable[[object], None]
    order: pieces.JobSpec


class CellOwner:
    """Drives the scheduler of one cell.

    :param cell: number of the cell.
    :param place: chooses where a request runs after its stages.
    """

    def __init__(
        self,
        cell: int,
        reactor,
        log,
        pool: channel_pool.ChannelPool,
        place: Callable[
            [pieces.JobSpec, pieces.JobResult, engines.PrefillTracker], str
        ],
    ) -> None:
        self.cell = cell
        self._reactor = reactor
        self._log = log
        self._pool = pool
        self._place = place
        self._engines = engines.PrefillTracker()
        self.scheduler = scheduler.StageScheduler()
        self._origin_by_job: dict[str, _Origin] = {}
        self._free_timer = None
        self.batches = 0
        self.batched_pieces = 0

    def update(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        targets: list[registrations.RegisteredTarget],
    ) -> None:
        """Take over the targets of the cell."""
        self.scheduler.update_targets(
            rules_by_service, targets, time.monotonic()
        )
        self._pump()

    def tick(self) -> None:
        """Give up what is late and start what became possible."""
        if self.scheduler.job_count or self.scheduler.call_count:
            self.scheduler.expire_jobs(time.monotonic())
            self._pump()

    def run(
        self,
        order: pieces.JobSpec,
        peer: str,
        reply: Callable[[object], None],
    ) -> None:
        """Take a job.

        :param peer: host that sent it, empty for this one.
        :param reply: called with the refusal, the result or the failure.
        """
        now = time.monotonic()
        refusal = self.scheduler.submit(order, now)
        if refusal is not None:
            reply(refusal)
            return
        self._log.routine(
            'stages_taken',
            id=order.request_id,
            cell=self.cell,
            peer=peer,
            pieces=order.piece_counts,
            forecast_s=round(self.scheduler.forecast_s(order.job_id), 3),
            aim_s=round(order.aim_s, 3),
        )
        self._origin_by_job[order.job_id] = _Origin(peer, reply, order)
        self._pump()

    def release(self, job_id: str) -> None:
        """Give up a job and its results."""
        self._origin_by_job.pop(job_id, None)
        self._engines.remove(job_id)
        self.scheduler.release(job_id)
        self._pump()

    def peer_lost(self, peer: str) -> None:
        """Give up the jobs of a host that is gone."""
        for job_id, origin in list(self._origin_by_job.items()):
            if origin.peer == peer:
                self._reactor.callLater(ORPHAN_S, self.release, job_id)

    def _pump(self) -> None:
        now = time.monotonic()
        for call in self.scheduler.next_calls(now):
            self.batches += 1
            self.batched_pieces += len(call.work)
            defer.Deferred.fromCoroutine(self._call(call))
        for outcome in self.scheduler.take_outcomes():
            origin = self._origin_by_job.get(outcome.job_id)
            if isinstance(outcome, pieces.JobFailure):
                self._origin_by_job.pop(outcome.job_id, None)
            if origin is None:
                continue
            if isinstance(outcome, pieces.JobResult):
                outcome = dataclasses.replace(
                    outcome,
                    target_id=self._place(
                        origin.order, outcome, self._engines
                    ),
                )
            origin.reply(outcome)
        if self._free_timer is None:
            self._free_timer = self._reactor.callLater(
                FREE_DELAY_S, self._free
            )

    async def _call(self, call: pieces.StageCall) -> None:
        started_at = time.monotonic()
        failure: stage_targets.CallFailure | None = None
        outcomes: list[str | pieces.PieceFailure] = []
        try:
            answer = await channel_pool.fetch(
                self._reactor,
                self._pool,
                call.address,
                stage_calls.encode_run(
                    call.address, call.target_id, list(call.work)
                ),
                call.timeout_s,
            )
            failure, outcomes = _read_outcomes(answer, len(call.work))
        except exceptions.ChannelError as problem:
            failure = (
                stage_targets.CallFailure.TIMEOUT
                if problem.timed_out
                else stage_targets.CallFailure.LOST
            )
        now = time.monotonic()
        if failure is not None:
            self._log.notable(
                'stage_call_failed',
                target=call.target_id,
                pieces=len(call.work),
                failure=failure.value,
                took_s=round(now - started_at, 3),
                ids=[item.request_id for item in call.work[:4]],
            )
            self.scheduler.call_failed(call.call_id, failure, now)
        else:
            self._log.routine(
                'stage_call',
                target=call.target_id,
                pieces=len(call.work),
                took_s=round(now - started_at, 3),
                ids=sorted({item.request_id for item in call.work}),
            )
            self.scheduler.call_done(call.call_id, outcomes, now)
        self._pump()

    def _free(self) -> None:
        self._free_timer = None
        for target, handles in self.scheduler.take_freed_handles():
            defer.Deferred.fromCoroutine(self._free_at(target, handles))

    async def _free_at(
        self, target: registrations.RegisteredTarget, handles: list[str]
    ) -> None:
        try:
            await channel_pool.fetch(
                self._reactor,
                self._pool,
                target.address,
                stage_calls.encode_free(
                    target.address, target.target_id, handles
                ),
                FREE_TIMEOUT_S,
            )
        except exceptions.ChannelError as problem:
            # The target drops the results by itself after a while.
            self._log.notable(
                'stage_free_failed',
                target=target.target_id,
                handles=len(handles),
                problem=str(problem),
            )


def _read_outcomes(
    answer: messages.Response, expected: int
) -> tuple[stage_targets.CallFailure | None, list[str | pieces.PieceFailure]]:
    fields = headers.decode_response_headers(answer.head)
    if answer.status == 421:
        return stage_targets.CallFailure.WRONG_TARGET, []
    if answer.status == 503 and fields.not_run:
        return stage_targets.CallFailure.BUSY, []
    if answer.status != 200:
        return stage_targets.CallFailure.ERROR, []
    try:
        return None, stage_calls.decode_outcomes(answer.body, expected)
    except exceptions.WireError:
        return stage_targets.CallFailure.ERROR, []
