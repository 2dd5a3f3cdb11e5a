"""Submits the stages of requests to the hosts that own the cells."""

from collections.abc import Callable
import dataclasses
import itertools
import time

from twisted.internet import task

from walnutport import exceptions
from walnutport.gateway.stages import cell_owner
from walnutport.gateway.stages import pending_jobs
from walnutport.gateway.stages import stage_replies
from walnutport.gateway.targets import target_reports
from walnutport.http1 import channel_pool
from walnutport.lifecycle import host_end
from walnutport.membership import ranking
from walnutport.peer import fleet_messages
from walnutport.routing import eligibility
from walnutport.routing import engines
from walnutport.stages import pieces
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['StageClient', 'StageRun']

# Maximum number of times that the stages of a request are submitted, each time
# to the current owner of the cell.
MAX_SUBMISSIONS = 3
# After a start, a host waits this long for its link to the owner of a cell. If
# each host assembled calls for itself meanwhile, they would refuse each other
# the targets.
OWNER_WAIT_S = 0.4
OWNER_POLL_INTERVAL_S = 0.03
# Retry delay after several owners in a row were lost; their successors are
# known by then.
OWNERS_LOST_RETRY_AFTER_S = 0.3


class StageClient:
    """Runs the stages of this host's requests, and the cells that it owns.

    :param host_name: name of this host.
    :param work_shares: returns the work share of each host that accepts work
        of others, which may include this host.
    :param untried_shares: returns the work share of each host to which the
        first link is not up yet.
    :param send: sends a message to a peer; returns False when no link to it
        is up.
    :param choose_engine: returns the id of the engine that should run a
        request after its stages.
    :param reports: evaluates what targets state in their responses.
    :param target_eligibility: decides which targets may get new work.
    :param end: end of this host.
    :param takes_handover: returns whether a peer submits a job again that it
        is handed.
    """

    def __init__(
        self,
        reactor,
        log,
        host_name: str,
        incarnation: str,
        pool: channel_pool.ChannelPool,
        work_shares: Callable[[], dict[str, float]],
        untried_shares: Callable[[], dict[str, float]],
        send: Callable[[str, fleet_messages.FleetMessage], bool],
        choose_engine: Callable[
            [pieces.JobSpec, pieces.JobResult, engines.PrefillTracker, str],
            str,
        ],
        reports: target_reports.TargetReports,
        target_eligibility: eligibility.Eligibility | None = None,
        end: host_end.HostEnd | None = None,
        takes_handover: Callable[[str], bool] = lambda name: False,
    ) -> None:
        self._end = end or host_end.HostEnd()
        self._takes_handover = takes_handover
        self._eligibility = target_eligibility or eligibility.Eligibility()
        self._choose_engine = choose_engine
        self._reports = reports
        self._reactor = reactor
        self._log = log
        self._host_name = host_name
        self._incarnation = incarnation
        self._pool = pool
        self._work_shares = work_shares
        self._untried_shares = untried_shares
        self._send = send
        self._job_numbers = itertools.count(1)
        self._local_owner_by_cell: dict[int, cell_owner.CellOwner] = {}
        self._pending = pending_jobs.PendingJobs(host_name)
        self._cell_count = 1
        self._owner_name_by_cell: dict[int, str] = {}
        self._rules_by_service: dict[str, routes.BatchRules] = {}
        self._targets: list[registrations.RegisteredTarget] = []

    @property
    def cell_count(self) -> int:
        """Number of cells that share the stage targets."""
        return self._cell_count

    @property
    def rules_by_service(self) -> dict[str, routes.BatchRules]:
        """Batch rules of the stage services."""
        return self._rules_by_service

    def new_job_id(self) -> str:
        """Return a job id that is unique among all hosts."""
        return (
            f'{self._host_name}/{self._incarnation}/{next(self._job_numbers)}'
        )

    def update_targets(
        self,
        rules_by_service: dict[str, routes.BatchRules],
        targets: list[registrations.RegisteredTarget],
    ) -> None:
        """Replace the batch rules and the stage targets."""
        self._rules_by_service = rules_by_service
        self._targets = targets
        self._cell_count = ranking.cell_count(len(targets))
        for cell, owner in self._local_owner_by_cell.items():
            owner.update_targets(rules_by_service, self._targets_of_cell(cell))

    def target_changed(self, target: registrations.RegisteredTarget) -> None:
        """Let the cells of this host follow what a target states now."""
        for owner in self._local_owner_by_cell.values():
            owner.target_changed(target)

    def tick(self) -> None:
        """Fail late jobs and start due calls in the cells of this host."""
        for owner in self._local_owner_by_cell.values():
            owner.tick()

    def host_stops(self) -> None:
        """Hand over the jobs that end after this host."""
        for owner in self.local_owners():
            owner.hand_over_jobs()

    def find_owner(self, cell: int) -> str | None:
        """Return the name of the host that owns a cell.

        :returns: None while the link to the owner is not up yet.
        """
        work_shares = self._work_shares()
        eligible = ranking.eligible_hosts(work_shares | self._untried_shares())
        ranked = ranking.rank_hosts(ranking.cell_key(cell), eligible)
        name = ranked[0] if ranked else self._host_name
        if name not in work_shares:
            return None
        if self._owner_name_by_cell.get(cell) != name:
            self._log.notable(
                'cell_owner',
                cell=cell,
                owner=name,
                before=self._owner_name_by_cell.get(cell, ''),
            )
            self._owner_name_by_cell[cell] = name
        return name

    async def run_stages(self, stage_run: 'StageRun') -> pieces.JobResult:
        """Run the stages of a request; submit them again if the owner is lost.

        :raises StagesRefused: when they are refused or abandoned.
        """
        spec = stage_run.spec
        deadline_at = time.monotonic() + spec.deadline_s
        aim_at = time.monotonic() + spec.aim_s
        for _ in range(MAX_SUBMISSIONS):
            cell = ranking.cell_for_content(spec.content, self._cell_count)
            owner = await self._wait_for_owner(cell)
            now = time.monotonic()
            spec = dataclasses.replace(
                spec, deadline_s=deadline_at - now, aim_s=aim_at - now
            )
            stage_run.cell = cell
            stage_run.owner = owner
            reply = await self._submit(spec, cell, owner)
            result = stage_replies.result_of(reply)
            if result is not None:
                return result
            # The owner was lost, or stops; its successor goes on.
            is_handover = isinstance(reply, pieces.JobHandover)
            spec = stage_replies.next_spec(spec, reply)
            self._log.notable(
                'stages_resubmitted',
                id=spec.request_id,
                lost_owner=owner,
                admitted=spec.was_admitted,
                handed_over=is_handover,
            )
            if is_handover and self.find_owner(cell) == owner:
                raise exceptions.StagesRefused(
                    'owner_stopping', OWNERS_LOST_RETRY_AFTER_S
                )
        raise exceptions.StagesRefused(
            'owners_lost', OWNERS_LOST_RETRY_AFTER_S
        )

    def release_job(
        self,
        job_id: str,
        cell: int,
        owner: str,
        is_resubmitted: bool = False,
    ) -> None:
        """Cancel a job and free its results.

        :param is_resubmitted: whether its reply is still awaited, as another
            host is to run it.
        """
        if not is_resubmitted:
            self._pending.remove(job_id)
        if owner == self._host_name:
            local = self._local_owner_by_cell.get(cell)
            if local is not None:
                local.release_job(job_id)
        else:
            self._send(owner, fleet_messages.ReleaseStages(job_id, cell))

    def abandon_job(self, owner: str, failure: pieces.JobFailure) -> None:
        """Let a job fail that is of no use any more, unless it is done."""
        self._pending.resolve(failure.job_id, failure, owner)

    def handle_message(
        self, name: str, message: fleet_messages.FleetMessage
    ) -> None:
        """Handle a message of a peer."""
        self._pending.heard_from(name)
        if isinstance(message, fleet_messages.RunStages):
            self._run_for_peer(name, message)
        elif isinstance(message, fleet_messages.ReleaseStages):
            local = self._local_owner_by_cell.get(message.cell)
            if local is not None:
                local.release_job(message.job_id)
        else:
            reply = stage_replies.decode(message)
            if reply is not None:
                self._pending.resolve(*reply, name)

    def owner_cut(self, name: str) -> None:
        """Resubmit the jobs of a host, or of this one, without any target."""
        self._pending.owner_lost(
            name,
            lambda job_id, cell: self.release_job(
                job_id, cell, name, is_resubmitted=True
            ),
        )

    def peer_lost(self, name: str) -> None:
        """Resubmit the jobs that a lost host ran, and release its own."""
        self._pending.owner_lost(name)
        for local in self._local_owner_by_cell.values():
            local.peer_lost(name)

    def known_owners(self) -> dict[int, str]:
        """Return the last known owner of each cell that this host has used."""
        return dict(self._owner_name_by_cell)

    def local_owners(self) -> list[cell_owner.CellOwner]:
        """Return the cells that this host owns or has owned."""
        return list(self._local_owner_by_cell.values())

    async def _wait_for_owner(self, cell: int) -> str:
        """Return the owner of a cell, once its link is up.

        :raises StagesRefused: if that takes too long.
        """
        give_up_at = time.monotonic() + OWNER_WAIT_S
        while True:
            owner = self.find_owner(cell)
            if owner is not None:
                return owner
            if time.monotonic() >= give_up_at:
                raise exceptions.StagesRefused(
                    'owner_unknown', OWNERS_LOST_RETRY_AFTER_S
                )
            await task.deferLater(self._reactor, OWNER_POLL_INTERVAL_S)

    async def _submit(
        self, spec: pieces.JobSpec, cell: int, owner: str
    ) -> object:
        reply = self._pending.add(spec.job_id, cell, owner)
        if owner == self._host_name:
            self._get_local_owner(cell).submit_job(
                spec,
                '',
                lambda found: self._pending.resolve(spec.job_id, found, owner),
            )
        elif not self._send(owner, fleet_messages.RunStages(spec, cell)):
            self._pending.remove(spec.job_id)
            return None
        return await reply

    def _run_for_peer(
        self, name: str, message: fleet_messages.RunStages
    ) -> None:
        job_id = message.order.job_id

        def reply(outcome: stage_replies.Reply) -> None:
            self._send(name, stage_replies.encode(job_id, outcome))

        self._get_local_owner(message.cell).submit_job(
            message.order, name, reply
        )

    def _get_local_owner(self, cell: int) -> cell_owner.CellOwner:
        owner = self._local_owner_by_cell.get(cell)
        if owner is None:
            owner = cell_owner.CellOwner(
                cell,
                self._host_name,
                self._reactor,
                self._log,
                self._pool,
                self._choose_engine,
                self._reports,
                self._eligibility,
                self._end,
                self._takes_handover,
            )
            self._local_owner_by_cell[cell] = owner
            owner.update_targets(
                self._rules_by_service, self._targets_of_cell(cell)
            )
        return owner

    def _targets_of_cell(
        self, cell: int
    ) -> list[registrations.RegisteredTarget]:
        if self._cell_count == 1:
            return self._targets
        ids_by_service: dict[str, list[str]] = {}
        evacuated_ids = set()
        for target in self._targets:
            ids_by_service.setdefault(target.service, []).append(
                target.target_id
            )
            if self._eligibility.is_evacuated(target):
                evacuated_ids.add(target.target_id)
        chosen: set[str] = set()
        for ids in ids_by_service.values():
            chosen |= ranking.cell_targets_left(
                ids, evacuated_ids, cell, self._cell_count
            )
        return [
            target for target in self._targets if target.target_id in chosen
        ]


class StageRun:
    """Stages of one request; leaving the context releases the results.

    :param client: runs the stages.
    """

    def __init__(self, client: StageClient, spec: pieces.JobSpec) -> None:
        self.spec = spec
        self.cell = 0
        # Name of the host that the stages were submitted to, empty before.
        self.owner = ''
        self._client = client
        self._released = False

    def __enter__(self) -> 'StageRun':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()

    async def run(self) -> pieces.JobResult:
        """Run the stages and return their results.

        :raises StagesRefused: when they are refused or abandoned.
        """
        return await self._client.run_stages(self)

    def abandon(self, reason: str, retry_after_s: float) -> None:
        """Let the stages fail, as their results are of no use any more.

        :param retry_after_s: time after which the caller may retry.
        """
        self._client.abandon_job(
            self.owner,
            pieces.JobFailure(self.spec.job_id, reason, retry_after_s),
        )

    def release(self) -> None:
        """Cancel the job and free its results; later calls do nothing."""
        if self.owner and not self._released:
            self._released = True
            self._client.release_job(self.spec.job_id, self.cell, self.owner)
