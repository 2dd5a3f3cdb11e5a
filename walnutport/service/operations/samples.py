"""Values of the metrics that come from the components of a host."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from walnutport.admission import control
from walnutport.metrics import families
from walnutport.quarantine import suspects
from walnutport.routing import router
from walnutport.service.operations import host_state
from walnutport import world

__all__ = ['HostSamples', 'QUEUES_SHOWN', 'target_states']

# A catalogue may have thousands of entries; the queues beyond this number are
# summed, so that a scrape stays small.
QUEUES_SHOWN = 200
_MAX_SERVICES = 100
_OTHER_LABEL = '*'

_Sample = families.Sample


class HostSamples:
    """Reads counters and gauges of a host; see ``metrics.families``.

    :param entry_host: the host that is measured.
    """

    def __init__(self, entry_host: host_state.HostState) -> None:
        self._host = entry_host
        self._components = entry_host.components

    def collect(self) -> Iterator[families.Sample]:
        """Yield the current values."""
        yield from self._host_samples()
        yield from self._queues()
        yield from self._targets()
        yield from self._attempts()
        yield from self._suspect_samples()
        yield from self._log()
        yield from self._records()
        yield from self._peers()

    def _host_samples(self) -> Iterator[families.Sample]:
        components, site = self._components, self._host.caller_site
        yield _Sample('ready', float(self._host.is_ready()))
        yield _Sample(
            'calls_in_flight', len(self._host.callers.in_flight_by_id)
        )
        yield _Sample(
            'live_hosts', components.coordination.heartbeats.live_count()
        )
        yield _Sample('catalogue_offset', components.catalogue.folded_offset)
        yield _Sample('caller_connections', site.connections)
        yield _Sample('refused_connections', site.refused_connections)
        yield _Sample('calls_stopped', self._host.callers.stopping_count)

    def _queues(self) -> Iterator[families.Sample]:
        admission = self._components.policies.admission
        if not isinstance(admission, control.AdmissionControl):
            return
        yield _Sample('queued_requests', len(admission.entry_queue))
        for state in _limit_queues(admission.queue_states()):
            labels = (families.bounded_label(state.key),)
            yield _Sample('queue_capacity', state.capacity, labels)
            yield _Sample('queue_in_use', state.in_use, labels)
            yield _Sample('queue_waiting', state.waiting, labels)

    def _targets(self) -> Iterator[families.Sample]:
        policy = self._components.policies.router
        if not isinstance(policy, router.StandardRouter):
            return
        services_by_id = {
            target.target_id: target.service
            for target in policy.known_targets()
        }
        counts: dict[tuple[str, ...], float] = {}
        for target_id, state in policy.health_states().items():
            key = services_by_id[target_id], state.value
            counts[key] = counts.get(key, 0) + 1
        in_flight: dict[str, float] = {}
        for target_id, count in policy.in_flight_counts().items():
            service = services_by_id[target_id]
            in_flight[service] = in_flight.get(service, 0) + count
        service_labels = _ServiceLabels(services_by_id.values())
        yield from service_labels.sum_by_service('targets', counts)
        yield from service_labels.sum_by_service(
            'target_attempts_in_flight',
            {(service,): count for service, count in in_flight.items()},
        )
        yield from service_labels.sum_by_service(
            'target_ejections',
            {
                (service,): count
                for service, count in policy.ejections_by_service().items()
            },
        )
        yield _Sample('prefix_index_gaps', policy.prefixes.gaps)

    def _attempts(self) -> Iterator[families.Sample]:
        watch = self._components.target_watch
        yield _Sample('target_confirm_polls', watch.confirm_polls)
        yield _Sample(
            'target_confirm_polls_failed', watch.confirm_polls_failed
        )
        cache = self._components.cache_follower
        if cache is not None:
            yield _Sample('cache_polls', cache.polls)
            yield _Sample('cache_bytes', cache.bytes_read)
        hedges = self._components.stage_runner.hedged_runner.counts
        yield _Sample('hedges_started', hedges.started)
        yield _Sample('hedges_won', hedges.won)
        yield _Sample('hedges_cancelled', hedges.cancelled)
        yield _Sample('hedges_late_dropped', hedges.late_dropped)
        streams = self._components.engine_client.counters
        yield _Sample('stream_attempts', streams.attempts)
        yield _Sample('stream_attempts_resumed', streams.resumed)
        yield _Sample('stream_events', streams.events)
        yield _Sample('stream_events_abandoned', streams.abandoned_events)
        yield _Sample('stream_events_repeated', streams.repeated_events)

    def _suspect_samples(self) -> Iterator[families.Sample]:
        components = self._components.suspect_components
        if components.crash_detector is not None:
            yield _Sample('target_deaths', components.crash_detector.crashes)
            yield _Sample(
                'verdicts_dropped', components.crash_detector.verdicts_dropped
            )
        if components.permits is not None:
            yield _Sample(
                'permit_late_replies', components.permits.late_replies
            )
        table = self._components.policies.quarantine
        if isinstance(table, suspects.SuspectTable):
            now = self._components.clock.monotonic()
            for state, digests in table.digests_by_state(now).items():
                yield _Sample('suspects', len(digests), (state.value,))

    def _log(self) -> Iterator[families.Sample]:
        reader, writer = (
            self._components.log_reader,
            self._components.log_writer,
        )
        last = reader.last_success
        age_s = (
            -1.0 if last is None else self._components.clock.monotonic() - last
        )
        yield _Sample('log_available', float(reader.available))
        yield _Sample('log_last_read_seconds', age_s)
        yield _Sample('log_read_failures', reader.failures)
        yield _Sample('log_appends', writer.appends)
        yield _Sample('log_append_failures', writer.failures)
        yield _Sample('log_appends_queued', writer.queued)

    def _records(self) -> Iterator[families.Sample]:
        components = self._components
        if components.claims is not None:
            yield _Sample('claims_unsettled', components.claims.unsettled)
            for result, count in sorted(components.claims.counts.items()):
                yield _Sample('claims', count, (result,))
        flusher = components.cost_flusher
        yield _Sample('cost_batches_appended', flusher.appended_batches)
        yield _Sample('cost_appends_failed', flusher.failed_appends)
        yield _Sample(
            'snapshots_written',
            components.coordination.snapshot_writer.snapshots_written,
        )
        yield _Sample(
            'catalogue_states_taken',
            components.coordination.catalogue_sync.snapshots_merged,
        )
        if components.orders is not None:
            orders = components.orders
            yield _Sample(
                'orders_lease_held', float(orders.lease_manager.is_holder)
            )
            yield _Sample('orders_sent', orders.orders_sent)
            yield _Sample('orders_refused', orders.orders_refused)
            yield _Sample('order_lease_changes', orders.lease_changes)

    def _peers(self) -> Iterator[families.Sample]:
        for (
            name,
            count,
        ) in self._components.coordination.network.counts.items():
            yield _Sample(f'peer_{name}', count)


class _ServiceLabels:
    """Names of pools as labels; those beyond the limit share one label."""

    def __init__(self, services: Iterable[str]) -> None:
        self._shown = set(sorted(set(services))[:_MAX_SERVICES])

    def sum_by_service(
        self, name: str, values_by_labels: Mapping[tuple[str, ...], float]
    ) -> Iterator[families.Sample]:
        """Yield sums over values whose first label is a service."""
        sums: dict[tuple[str, ...], float] = {}
        for (service, *rest), value in values_by_labels.items():
            shown = service if service in self._shown else _OTHER_LABEL
            key = (families.bounded_label(shown), *rest)
            sums[key] = sums.get(key, 0) + value
        for labels, value in sorted(sums.items()):
            yield _Sample(name, value, labels)


def _limit_queues(
    states: list[control.QueueState],
) -> Iterator[control.QueueState]:
    yield from states[:QUEUES_SHOWN]
    rest = states[QUEUES_SHOWN:]
    if rest:
        yield control.QueueState(
            _OTHER_LABEL,
            sum(state.capacity for state in rest),
            sum(state.in_use for state in rest),
            sum(state.waiting for state in rest),
        )


def target_states(
    targets: Mapping[str, world.Target],
    usable: Mapping[str, world.Target],
    target_router: object,
) -> dict[str, dict[str, object]]:
    """Return state, health and attempts in flight of each target.

    Only attempts of this host count. A target outside the subset of this
    host has health ``not_used``.
    """
    health, in_flight = {}, {}
    if isinstance(target_router, router.StandardRouter):
        health = target_router.health_states()
        in_flight = target_router.in_flight_counts()
    return {
        target_id: {
            'service': target.service,
            'data_centre': target.data_centre,
            'state': 'live' if target_id in usable else 'leaving',
            'health': str(health.get(target_id, 'not_used')),
            'in_flight': in_flight.get(target_id, 0),
        }
        for target_id, target in sorted(targets.items())
    }
