"""Gets the stages of requests run, here or at the host that owns a cell."""

from collections.abc import Callable
import dataclasses
import itertools
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.gateway import cell_owner
from walnutport.http1 import channel_pool
from walnutport.membership import ranking
from walnutport.peer import fleet_messages
from walnutport.routing import engines
from walnutport.stages import pieces
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['StageClient', 'StageRun']

# Attempts to get the stages of one request run by an owner.
MAX_SUBMITS = 3
# Wait after the loss of several owners in a row; their successors are known
# by then.
RETRY_OWNERS_LOST_S = 0.3


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
        pool: channel_pool.ChannelPool,
        shares: Callable[[], dict[str, float]],
        send: Callable[[str, fleet_messages.FleetMessage], bool],
        place: Callable[
            [pieces.JobSpec, pieces.JobResult, engines.PrefillTracker], str
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
        self._owner_by_cell: dict[int, cell_owner.CellOwner] = {}
        self._pending: dict[str, tuple[str, defer.Deferred]] = {}
        self._cells = 1
        self._known_owner: dict[int, str] = {}
        self._rules: dict[str, routes.BatchRules] = {}
        self._targets: list[registrations.RegisteredTarget] = []

    @property
    def cell_count(self) -> int:
        """Cells that share the stage targets."""
        return self._cells

    def new_job_id(self) -> str:
        """Return a name for a job that no other host uses."""
        return f'{self._own}/{self._incarnation}/{next(self._numbers)}'

    def update(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        targets: list[registrations.RegisteredTarget],
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
        able = ranking.eligible_hosts(self._shares())
        ranked = ranking.rank_hosts(ranking.cell_key(cell), able)
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

        :raises StagesRefused: when they are refused or given up.
        """
        order = run.order
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
                raise exceptions.StagesRefused(
                    reply.reason,
                    reply.retry_after_s,
                    reply.forecast_s,
                    reply.standing,
                )
            if isinstance(reply, pieces.JobFailure):
                raise exceptions.StagesRefused(
                    reply.reason, reply.retry_after_s
                )
            # The owner is lost; the stages start again elsewhere.
            self._log.notable(
                'stages_resubmitted', id=order.request_id, lost_owner=owner
            )
        raise exceptions.StagesRefused('owners_lost', RETRY_OWNERS_LOST_S)

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

    def local_owners(self) -> list[cell_owner.CellOwner]:
        """Return the cells that this host has run jobs for."""
        return list(self._owner_by_cell.values())

    async def _submit(
        self, order: pieces.JobSpec, cell: int, owner: str
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

    def _local(self, cell: int) -> cell_owner.CellOwner:
        found = self._owner_by_cell.get(cell)
        if found is None:
            found = cell_owner.CellOwner(
                cell, self._reactor, self._log, self._pool, self._place
            )
            self._owner_by_cell[cell] = found
            found.update(self._rules, self._of_cell(cell))
        return found

    def _cell_of(self, order: pieces.JobSpec) -> int:
        if self._cells == 1:
            return 0
        shares = {str(cell): 1.0 for cell in range(self._cells)}
        return int(ranking.rank_hosts(order.request_id, shares)[0])

    def _of_cell(self, cell: int) -> list[registrations.RegisteredTarget]:
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

    def __init__(self, client: StageClient, order: pieces.JobSpec) -> None:
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

        :raises StagesRefused: when they are refused or given up.
        """
        return await self._client.run(self)

    def release(self) -> None:
        """Give the job and its results up."""
        if self.owner and not self._released:
            self._released = True
            self._client.release(self.order.job_id, self.cell, self.owner)
