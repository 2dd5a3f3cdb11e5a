"""Admission control of one host: queues, fleet limits and deadlines.

The entry queue holds requests before their first stage. A request is granted
when its contract and the window of every pool of its pipeline have free units;
it releases the window of a pool as soon as it has passed that pool. Each pool
has a queue for this host's share of its slots.

============================  ===========================================
Key of a resource             Units
============================  ===========================================
``entry/<entry>``             share of ``max_in_flight`` of the contract
``window/<service>``          admitted requests that have not passed the pool
``pool/<service>``            share of the slots of the pool
============================  ===========================================
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import math

from walnutport.admission import fair_queue
from walnutport.admission import limits
from walnutport.admission import queue_rules
from walnutport.admission import stage_latencies
from walnutport.admission import windows
from walnutport import interfaces
from walnutport.peer import messages
from walnutport import world

__all__ = ['AdmissionControl', 'POOL_OVERCOMMIT_FACTOR', 'QueueState']

# A target may hold more requests than it has slots, so that no slot is idle
# between two requests. The factor applies to the share of each host, since
# rounding the total would give hosts uneven shares of a small pool.
POOL_OVERCOMMIT_FACTOR = 1.25
_ADJUST_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """Usage of a resource that requests wait for."""

    key: str
    capacity: float
    in_use: int
    waiting: int


class AdmissionControl:
    """Owns the queues of a host and updates their capacities.

    :param max_queued: maximum number of waiting tickets in each queue.
    """

    def __init__(self, host_id: str, max_queued: int) -> None:
        self.limits = limits.FleetLimits(host_id)
        self._latencies = stage_latencies.LatencyTracker()
        self._estimator = windows.AdmissionEstimator(self._latencies)
        self._max_queued = max_queued
        self._contracts_by_id: Mapping[str, world.Contract] = {}
        self._pipelines_by_id: Mapping[str, world.Pipeline] = {}
        self._classes_by_id: Mapping[str, world.ServiceClass] = {}
        self._members_by_id: Mapping[str, world.Member] = {}
        self._targets_by_id: Mapping[str, world.Target] = {}
        self._slots_by_target: dict[str, int] = {}
        self._leaving_ids: set[str] = set()
        self._slots_by_service: dict[str, int] = {}
        self._pool_queues_by_service: dict[str, fair_queue.FairQueue] = {}
        self._time_needed_by_progress: dict[
            tuple[str, int], queue_rules.TimeNeeded
        ] = {}
        # Entries with current or recent usage. All others are skipped until
        # their next ticket, as a fleet may have thousands of entries.
        self._active_entries: dict[str, None] = {}
        self._entries_by_pipeline: dict[str, list[str]] = {}
        self._measured_at_by_entry: dict[str, float] = {}
        self._next_adjust_at = -math.inf
        self._now = 0.0
        self.entry_queue = fair_queue.FairQueue(
            max_queued=max_queued, rules=self._rules(self._entry_resource_keys)
        )

    def pool_queue(self, service: str) -> fair_queue.FairQueue:
        """Return the queue in front of a pool."""
        is_new = service not in self._pool_queues_by_service
        queue = self._find_or_create_queue(service)
        if is_new:
            self._adjust(self._now)
        return queue

    def _find_or_create_queue(self, service: str) -> fair_queue.FairQueue:
        queue = self._pool_queues_by_service.get(service)
        if queue is None:
            key = f'pool/{service}'
            queue = fair_queue.FairQueue(
                max_queued=self._max_queued,
                rules=self._rules(lambda _: (key,)),
            )
            self._pool_queues_by_service[service] = queue
        return queue

    def catalogue_changed(
        self,
        contracts_by_id: Mapping[str, world.Contract],
        pipelines_by_id: Mapping[str, world.Pipeline],
        classes_by_id: Mapping[str, world.ServiceClass],
        members_by_id: Mapping[str, world.Member],
    ) -> None:
        """Replace the contracts and the definitions that they refer to."""
        for entry_id in set(self._contracts_by_id) - set(contracts_by_id):
            self.limits.drop_limit(f'entry/{entry_id}')
            # The share of a deleted entry must not limit a later one with the
            # same id.
            self.entry_queue.set_capacity(f'entry/{entry_id}', math.inf)
            self._active_entries.pop(entry_id, None)
        # Tickets of an entry that was deleted and recreated may still be held.
        for entry_id in set(contracts_by_id) - set(self._contracts_by_id):
            self._active_entries[entry_id] = None
        self._contracts_by_id = contracts_by_id
        self._pipelines_by_id = pipelines_by_id
        self._classes_by_id = classes_by_id
        self._members_by_id = members_by_id
        self._latencies.retain_entries(set(contracts_by_id))
        self._entries_by_pipeline = {}
        for contract in contracts_by_id.values():
            self._entries_by_pipeline.setdefault(
                contract.pipeline_id, []
            ).append(contract.entry_id)
            self.limits.set_limit(
                f'entry/{contract.entry_id}', contract.limits.max_in_flight
            )
        self._next_adjust_at = -math.inf

    def targets_changed(
        self, targets_by_id: Mapping[str, world.Target], now: float
    ) -> None:
        """Replace the targets by those of the platform's list."""
        self._targets_by_id = dict(targets_by_id)
        self._leaving_ids &= set(targets_by_id)
        for target_id in set(self._slots_by_target) - set(targets_by_id):
            del self._slots_by_target[target_id]
        self._count_slots()

    def load_reported(
        self, target_id: str, load: world.LoadReport, now: float
    ) -> None:
        """Update the slots and the state that a target reports."""
        if target_id not in self._targets_by_id:
            return
        leaving = load.state is world.TargetState.LEAVING
        known = self._slots_by_target.get(target_id)
        if known == load.slots and leaving == (target_id in self._leaving_ids):
            return
        self._slots_by_target[target_id] = load.slots
        (self._leaving_ids.add if leaving else self._leaving_ids.discard)(
            target_id
        )
        self._count_slots()

    def release_window(
        self, ticket_id: str, service: str, now: float
    ) -> Sequence[interfaces.Decision]:
        """Release the window of a pool that a request has passed."""
        return self.entry_queue.release_units(
            ticket_id, f'window/{service}', now
        )

    def min_remaining_s(self, ticket: interfaces.Ticket) -> float:
        """Return a low quantile of the time of the remaining stages.

        Stages without recent measurements count as zero.
        """
        return self._time_needed(ticket).min_s

    def record_stage_time(
        self,
        entry_id: str,
        stage: str,
        waited_s: float,
        held_s: float,
        now: float,
    ) -> None:
        """Record how long a stage waited for its slot and held it."""
        key = stage_latencies.StageKey(entry_id, stage)
        self._measured_at_by_entry[entry_id] = now
        self._latencies.record(key, waited_s, held_s, now)

    def advance(self, now: float) -> None:
        """Update the capacities from shares and latencies."""
        self._now = now
        if now >= self._next_adjust_at:
            self._adjust(now)

    def _adjust(self, now: float) -> None:
        self._now = now
        self._next_adjust_at = now + _ADJUST_INTERVAL_S
        self._time_needed_by_progress.clear()
        self._report_usage()
        for entry_id in self._active_entries:
            key = f'entry/{entry_id}'
            self.entry_queue.set_capacity(key, self.limits.share(key, now))
        slots_by_service = {}
        for service in self._slots_by_service:
            key = f'pool/{service}'
            if not self._slots_by_service[service]:
                # Requests are not queued; the caller is told that there is no
                # target.
                self._find_or_create_queue(service).set_capacity(key, math.inf)
                self.entry_queue.set_capacity(f'window/{service}', math.inf)
                continue
            # Arrivals vary within the duration of a lease, so a host keeps
            # its base even while it has lent part of it. A target with one
            # request too many is better than a host that queues requests
            # while the pool is idle.
            share = max(1, self.limits.base(key), self.limits.share(key, now))
            slots_by_service[service] = share
            self._find_or_create_queue(service).set_capacity(
                key, int(share * POOL_OVERCOMMIT_FACTOR + 0.5)
            )
        window_by_service = self._estimator.windows(
            self._representative_entries(now), slots_by_service, now
        )
        for service, units in window_by_service.items():
            self.entry_queue.set_capacity(f'window/{service}', units)

    def demands(self, now: float) -> tuple[messages.LimitDemand, ...]:
        """Return demands and loans for the next heartbeat."""
        self._report_usage()
        demands = self.limits.demands(now)
        # Lent units must be unavailable on this host before a peer can learn
        # of the loan.
        self._adjust(now)
        return demands

    def demands_received(
        self,
        host_id: str,
        demands: Sequence[messages.LimitDemand],
        now: float,
    ) -> None:
        """Process the demands and loans of a peer's heartbeat."""
        self.limits.demands_received(host_id, demands, now)
        self._adjust(now)

    def hosts_changed(
        self, live: Iterable[str], known: Iterable[str], now: float
    ) -> None:
        """Replace the sets of live hosts and of all known hosts."""
        self.limits.hosts_changed(live, known, now)
        self._next_adjust_at = -math.inf

    def queue_states(self) -> list[QueueState]:
        """Return the usage of each resource, ordered by key."""
        queues = [self.entry_queue, *self._pool_queues_by_service.values()]
        return sorted(
            (
                QueueState(
                    key,
                    queue.capacity(key),
                    queue.in_use(key),
                    queue.waiting(key),
                )
                for queue in queues
                for key in queue.resource_keys()
            ),
            key=lambda state: state.key,
        )

    def _report_usage(self) -> None:
        for entry_id in list(self._active_entries):
            key = f'entry/{entry_id}'
            self.limits.set_usage(
                key,
                self.entry_queue.in_use(key),
                self.entry_queue.waiting(key),
            )
            if self.limits.is_idle(key):
                del self._active_entries[entry_id]
        for service in self._slots_by_service:
            key = f'pool/{service}'
            queue = self._find_or_create_queue(service)
            # Requests that wait in the entry queue also need the pool.
            waiting = queue.waiting(key) + self.entry_queue.waiting(
                f'window/{service}'
            )
            in_use = math.ceil(queue.in_use(key) / POOL_OVERCOMMIT_FACTOR)
            self.limits.set_usage(key, in_use, waiting)

    def _count_slots(self) -> None:
        slots_by_service: dict[str, int] = {}
        for target in self._targets_by_id.values():
            is_leaving = (
                target.state is world.TargetState.LEAVING
                or target.target_id in self._leaving_ids
            )
            slots = self._slots_by_target.get(target.target_id, target.slots)
            slots_by_service[target.service] = slots_by_service.get(
                target.service, 0
            ) + (0 if is_leaving else slots)
        # A pool that lost its last target keeps a capacity of zero.
        for service in self._slots_by_service:
            slots_by_service.setdefault(service, 0)
        self._slots_by_service = slots_by_service
        for service, slots in slots_by_service.items():
            self.limits.set_limit(f'pool/{service}', slots)
        self._next_adjust_at = -math.inf

    def _representative_entries(
        self, now: float
    ) -> list[tuple[world.Contract, world.Pipeline]]:
        """Return the entries with latencies, and one without per pipeline.

        Entries without latencies differ only in their pipelines.
        """
        self._measured_at_by_entry = {
            entry_id: at
            for entry_id, at in self._measured_at_by_entry.items()
            if now - at <= stage_latencies.STALE_S
            and entry_id in self._contracts_by_id
        }
        entry_ids = list(self._measured_at_by_entry)
        for siblings in self._entries_by_pipeline.values():
            unmeasured = (
                entry_id
                for entry_id in siblings
                if entry_id not in self._measured_at_by_entry
            )
            entry_ids += itertools.islice(unmeasured, 1)
        contracts = [self._contracts_by_id[key] for key in entry_ids]
        return [
            (contract, self._pipelines_by_id[contract.pipeline_id])
            for contract in contracts
            if contract.pipeline_id in self._pipelines_by_id
        ]

    def _rules(self, resource_keys) -> queue_rules.QueueRules:
        return queue_rules.QueueRules(
            resource_keys=resource_keys,
            time_needed=self._time_needed,
            class_weight=self._class_weight,
            member_weight=self._member_weight,
            is_limit=lambda key: key.startswith('entry/'),
        )

    def _entry_resource_keys(
        self, ticket: interfaces.Ticket
    ) -> tuple[str, ...]:
        entry_id = ticket.entry_id
        if (
            entry_id not in self._active_entries
            and entry_id in self._contracts_by_id
        ):
            self._active_entries[entry_id] = None
            key = f'entry/{entry_id}'
            share = self.limits.share(key, self._now)
            self.entry_queue.set_capacity(key, share)
        pipeline = self._pipeline(entry_id)
        # A pool that runs several stages has only one window, which is
        # released after the last of them.
        services = dict.fromkeys(
            stage.service for stage in (pipeline.stages if pipeline else ())
        )
        return (
            f'entry/{entry_id}',
            *(f'window/{service}' for service in services),
        )

    def _pipeline(self, entry_id: str) -> world.Pipeline | None:
        contract = self._contracts_by_id.get(entry_id)
        if contract is None:
            return None
        return self._pipelines_by_id.get(contract.pipeline_id)

    def _time_needed(
        self, ticket: interfaces.Ticket
    ) -> queue_rules.TimeNeeded:
        progress = (ticket.entry_id, ticket.stages_completed)
        time_needed = self._time_needed_by_progress.get(progress)
        if time_needed is None:
            pipeline = self._pipeline(ticket.entry_id)
            if pipeline is None:
                return queue_rules.TimeNeeded()
            contract = self._contracts_by_id[ticket.entry_id]
            time_needed = self._estimator.time_needed(
                contract, pipeline, ticket.stages_completed, self._now
            )
            self._time_needed_by_progress[progress] = time_needed
        return time_needed

    def _class_weight(self, class_id: str) -> float:
        service_class = self._classes_by_id.get(class_id)
        return (
            service_class.weight
            if service_class and service_class.weight > 0
            else 1.0
        )

    def _member_weight(self, member_id: str) -> float:
        member = self._members_by_id.get(member_id)
        return member.weight if member and member.weight > 0 else 1.0
