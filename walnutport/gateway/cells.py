"""Runs the stages of requests, here or at the host that owns a cell.

A cell is a share of the targets of every stage service. Its owner assembles
the calls to these targets for the whole fleet.
"""

from collections.abc import Callable
import dataclasses
import itertools
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.http1 import client
from walnutport.http1 import messages
from walnutport.membership import ranking
from walnutport.peer import fleet_messages
from walnutport.platform import headers
from walnutport.platform import stage_calls
from walnutport.routing import engines
from walnutport.stages import pieces
from walnutport.stages import scheduler
from walnutport.stages import stage_targets
from walnutport.world import routes
from walnutport.world import workers

__all__ = ['CellOwner', 'StageClient', 'StageRun', 'StagesRefusedError']

# Results of a host that was lost are kept this long, as a target may just be
# reading them for it.
ORPHAN_S = 3.0
FREE_DELAY_S = 0.05
FREE_TIMEOUT_S = 1.0
TICK_S = 0.1
# Attempts to get the stages of one request run by an owner.
MAX_SUBMITS = 3


class StagesRefusedError(exceptions.WalnutportError):
    """The stages of a request were refused or given up.

    :param started: whether any stage was taken on before.
    :param forecast_s: when the owner expected the answer; 0 if unknown.
    """

    def __init__(
        self,
        reason: str,
        retry_after_s: float,
        started: bool,
        forecast_s: float = 0.0,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.forecast_s = forecast_s
        self.retry_after_s = retry_after_s
        self.started = started


@dataclasses.dataclass(slots=True)
class _Origin:
    """Where a job of a cell came from."""

    peer: str
    reply: Callable[[object], None]
    order: pieces.JobOrder


class CellOwner:
    """Drives the scheduler of one cell.

    :param place: chooses where a request runs after its stages.
    """

    def __init__(
        self,
        reactor,
        log,
        pool: client.ChannelPool,
        place: Callable[
            [pieces.JobOrder, pieces.JobResult, engines.EngineBook], str
        ],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._pool = pool
        self._place = place
        self._engines = engines.EngineBook()
        self.scheduler = scheduler.StageScheduler()
        self._origin_by_job: dict[str, _Origin] = {}
        self._free_timer = None
        self.batches = 0
        self.batched_pieces = 0

    def update(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        targets: list[workers.RegisteredTarget],
    ) -> None:
        """Take over the targets of the cell."""
        self.scheduler.update_targets(
            rules_by_service, targets, time.monotonic()
        )
        self._pump()

    def tick(self) -> None:
        """Give up what is late and start what became possible."""
        if self.scheduler.job_count or self.scheduler.call_count:
            self.scheduler.expire(time.monotonic())
            self._pump()

    def run(
        self,
        order: pieces.JobOrder,
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
        self._origin_by_job[order.job_id] = _Origin(peer, reply, order)
        self._pump()

    def release(self, job_id: str) -> None:
        """Give up a job and its results."""
        self._origin_by_job.pop(job_id, None)
        self._engines.read(job_id)
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
            answer = await client.fetch(
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
        for target, handles in self.scheduler.take_freed():
            defer.Deferred.fromCoroutine(self._free_at(target, handles))

    async def _free_at(
        self, target: workers.RegisteredTarget, handles: list[str]
    ) -> None:
        try:
            await client.fetch(
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


class StageClient:
    """Gets the stages of the requests of this host run.

    :param own: name of this host.
    :param shares: returns the processor share of each host that takes work,
        this one included while it does.
    :param send: sends a message to a host; False when it is not linked.
    :param place: chooses where a request runs after its stages.
    """

    def __init__(
        self,
        reactor,
        log,
        own: str,
        incarnation: str,
        pool: client.ChannelPool,
        shares: Callable[[], dict[str, float]],
        send: Callable[[str, fleet_messages.FleetMessage], bool],
        place: Callable[
            [pieces.JobOrder, pieces.JobResult, engines.EngineBook], str
        ],
    ) -> None:
        self._place = place
        self._reactor = reactor
        self._log = log
        self._own = own
        self._incarnation = incarnation
        self._pool = pool
        self._shares = shares
        self._send = send
        self._numbers = itertools.count(1)
        self._owner_by_cell: dict[int, CellOwner] = {}
        self._pending: dict[str, tuple[str, defer.Deferred]] = {}
        self._cells = 1
        self._known_owner: dict[int, str] = {}
        self._rules: dict[str, routes.BatchRules] = {}
        self._targets: list[workers.RegisteredTarget] = []

    def new_job_id(self) -> str:
        """Return a name for a job that no other host uses."""
        return f'{self._own}/{self._incarnation}/{next(self._numbers)}'

    def update(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        targets: list[workers.RegisteredTarget],
    ) -> None:
        """Take over the stage services and their targets."""
        self._rules = rules_by_service
        self._targets = targets
        self._cells = ranking.cell_count(len(targets))
        for cell, owner in self._owner_by_cell.items():
            owner.update(rules_by_service, self._of_cell(cell))

    def tick(self) -> None:
        """Let the cells of this host give up what is late."""
        for owner in self._owner_by_cell.values():
            owner.tick()

    def owner_name(self, cell: int) -> str:
        """Return the host that owns a cell."""
        able = ranking.able_hosts(self._shares())
        ranked = ranking.rank_hosts(f'cell-{cell}', able)
        name = ranked[0] if ranked else self._own
        if self._known_owner.get(cell) != name:
            self._log.notable(
                'cell_owner',
                cell=cell,
                owner=name,
                before=self._known_owner.get(cell, ''),
            )
            self._known_owner[cell] = name
        return name

    async def run(self, run: 'StageRun') -> pieces.JobResult:
        """Run the stages of a request.

        :raises StagesRefusedError: when they are refused or given up.
        """
        order = run.order
        started = False
        ends_at = time.monotonic() + order.deadline_s
        aim_at = time.monotonic() + order.aim_s
        for _ in range(MAX_SUBMITS):
            now = time.monotonic()
            cell = self._cell_of(order)
            owner = self.owner_name(cell)
            order = dataclasses.replace(
                order, deadline_s=ends_at - now, aim_s=aim_at - now
            )
            run.cell = cell
            run.owner = owner
            reply = await self._submit(order, cell, owner)
            if isinstance(reply, pieces.JobResult):
                return reply
            if isinstance(reply, pieces.Refusal):
                raise StagesRefusedError(
                    reply.reason,
                    reply.retry_after_s,
                    started,
                    reply.forecast_s,
                )
            if isinstance(reply, pieces.JobFailure):
                raise StagesRefusedError(
                    reply.reason, reply.retry_after_s, True
                )
            # The owner is lost; the stages start again elsewhere.
            started = True
            self._log.notable(
                'stages_resubmitted', id=order.request_id, lost_owner=owner
            )
        raise StagesRefusedError('owners_lost', 0.3, True)

    def release(self, job_id: str, cell: int, owner: str) -> None:
        """Give up a job and its results."""
        self._pending.pop(job_id, None)
        if owner == self._own:
            local = self._owner_by_cell.get(cell)
            if local is not None:
                local.release(job_id)
        else:
            self._send(owner, fleet_messages.ReleaseStages(job_id, cell))

    def heard(self, name: str, message: fleet_messages.FleetMessage) -> None:
        """Take a message of another host."""
        if isinstance(message, fleet_messages.RunStages):
            self._run_for(name, message)
        elif isinstance(message, fleet_messages.ReleaseStages):
            local = self._owner_by_cell.get(message.cell)
            if local is not None:
                local.release(message.job_id)
        elif isinstance(message, fleet_messages.StagesDone):
            self._answered(message.result.job_id, message.result)
        elif isinstance(message, fleet_messages.StagesFailed):
            self._answered(message.failure.job_id, message.failure)
        elif isinstance(message, fleet_messages.StagesRefused):
            self._answered(message.job_id, message.refusal)

    def peer_lost(self, name: str) -> None:
        """Start the jobs that a lost host owned elsewhere."""
        for job_id, (owner, _) in list(self._pending.items()):
            if owner == name:
                self._answered(job_id, None)
        for local in self._owner_by_cell.values():
            local.peer_lost(name)

    def known_owners(self) -> dict[int, str]:
        """Return the owner of each cell that this host has used."""
        return dict(self._known_owner)

    def local_owners(self) -> list[CellOwner]:
        """Return the cells that this host has run jobs for."""
        return list(self._owner_by_cell.values())

    async def _submit(
        self, order: pieces.JobOrder, cell: int, owner: str
    ) -> object:
        waiting: defer.Deferred = defer.Deferred()
        self._pending[order.job_id] = (owner, waiting)
        if owner == self._own:
            self._local(cell).run(
                order, '', lambda reply: self._answered(order.job_id, reply)
            )
        elif not self._send(owner, fleet_messages.RunStages(order, cell)):
            self._pending.pop(order.job_id, None)
            return None
        return await waiting

    def _answered(self, job_id: str, reply: object) -> None:
        _, waiting = self._pending.pop(job_id, ('', None))
        if waiting is not None and not waiting.called:
            waiting.callback(reply)

    def _run_for(self, name: str, message: fleet_messages.RunStages) -> None:
        job_id = message.order.job_id

        def reply(found: object) -> None:
            if isinstance(found, pieces.JobResult):
                self._send(name, fleet_messages.StagesDone(found))
            elif isinstance(found, pieces.JobFailure):
                self._send(name, fleet_messages.StagesFailed(found))
            elif isinstance(found, pieces.Refusal):
                self._send(name, fleet_messages.StagesRefused(job_id, found))

        self._local(message.cell).run(message.order, name, reply)

    def _local(self, cell: int) -> CellOwner:
        found = self._owner_by_cell.get(cell)
        if found is None:
            found = CellOwner(
                self._reactor, self._log, self._pool, self._place
            )
            self._owner_by_cell[cell] = found
            found.update(self._rules, self._of_cell(cell))
        return found

    def _cell_of(self, order: pieces.JobOrder) -> int:
        if self._cells == 1:
            return 0
        shares = {str(cell): 1.0 for cell in range(self._cells)}
        return int(ranking.rank_hosts(order.request_id, shares)[0])

    def _of_cell(self, cell: int) -> list[workers.RegisteredTarget]:
        if self._cells == 1:
            return self._targets
        ids_by_service: dict[str, list[str]] = {}
        for target in self._targets:
            ids_by_service.setdefault(target.service, []).append(
                target.target_id
            )
        chosen: set[str] = set()
        for ids in ids_by_service.values():
            chosen |= ranking.cell_targets(ids, cell, self._cells)
        return [
            target for target in self._targets if target.target_id in chosen
        ]


class StageRun:
    """Stages of one request; the end of the context gives their results up.

    :param client: where the stages are run.
    """

    def __init__(self, client: StageClient, order: pieces.JobOrder) -> None:
        self.order = order
        self.cell = 0
        # Host that runs the stages, empty while there is none.
        self.owner = ''
        self._client = client
        self._released = False

    def __enter__(self) -> 'StageRun':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()

    async def results(self) -> pieces.JobResult:
        """Run the stages.

        :raises StagesRefusedError: when they are refused or given up.
        """
        return await self._client.run(self)

    def release(self) -> None:
        """Give the job and its results up."""
        if self.owner and not self._released:
            self._released = True
            self._client.release(self.order.job_id, self.cell, self.owner)


def _read_outcomes(
    answer: messages.WholeAnswer, expected: int
) -> tuple[stage_targets.CallFailure | None, list[str | pieces.PieceFailure]]:
    fields = headers.answer_fields(answer.head)
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
