"""Operators' views of a host: status, gauges and counters."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from walnutport.service import host

__all__ = ['HostView']


class HostView:
    """Reads the state of a host for operators.

    :param entry_host: the host whose state is shown.
    """

    def __init__(self, entry_host: 'host.EntryHost') -> None:
        self._host = entry_host
        self._parts = entry_host.parts

    def status(self) -> dict[str, object]:
        """Return the host's own view as plain JSON values."""
        parts = self._parts
        now = parts.clock.monotonic()
        last_read = parts.log_reader.last_success
        lag_s = None if last_read is None else round(now - last_read, 3)
        membership = parts.coordination.heartbeats.membership
        return {
            'host_id': self._host.settings.host_id,
            'data_centre': self._host.settings.data_centre,
            'incarnation': parts.incarnation,
            'ready': self._host.is_ready(),
            'stopping': self._host.stopping,
            'calls_in_flight': len(self._host.callers.in_flight_by_id),
            'catalogue_offset': parts.catalogue.start_offset(),
            'log': {
                'available': parts.log_reader.available,
                'last_read_s_ago': lag_s,
            },
            'hosts': {
                host_id: str(membership.state(host_id, now))
                for host_id in sorted(membership.known_ids())
            },
            'targets': self._targets(),
        }

    def gauges(self) -> dict[str, float]:
        """Return the values that rise and fall."""
        parts = self._parts
        return {
            'ready': float(self._host.is_ready()),
            'calls_in_flight': len(self._host.callers.in_flight_by_id),
            'catalogue_offset': parts.catalogue.start_offset(),
            'log_available': float(parts.log_reader.available),
            'live_hosts': parts.coordination.heartbeats.live_count(),
            'caller_connections': self._host.caller_site.connections,
        }

    def counters(self) -> dict[str, float]:
        """Return the values that only rise."""
        parts = self._parts
        hedges = parts.stages.hedges.counts
        stream = parts.engines.counters
        counters: dict[str, float] = {
            'refused_connections': self._host.caller_site.refused_connections,
            'hedges_started': hedges.started,
            'hedges_won': hedges.won,
            'hedges_late_dropped': hedges.late_dropped,
            'stream_events': stream.events,
            'stream_attempts_resumed': stream.resumed,
            'stream_events_abandoned': stream.abandoned_events,
            'stream_events_repeated': stream.repeated_events,
            'cost_batches_appended': parts.cost_flusher.appended_batches,
            'cost_appends_failed': parts.cost_flusher.failed_appends,
            'target_confirm_polls': parts.watch.confirm_polls,
            'target_confirm_polls_failed': parts.watch.confirm_polls_failed,
        }
        for name, count in parts.coordination.network.counts.items():
            counters[f'peer_{name}'] = count
        if parts.cache_follower is not None:
            counters['cache_polls'] = parts.cache_follower.polls
            counters['cache_bytes'] = parts.cache_follower.bytes_read
        if parts.suspects.watch is not None:
            counters['target_deaths'] = parts.suspects.watch.deaths
        return counters

    def _targets(self) -> dict[str, object]:
        membership = self._parts.watch.membership
        now = self._parts.clock.monotonic()
        usable = membership.usable(now)
        return {
            target_id: {
                'service': target.service,
                'data_centre': target.data_centre,
                'state': 'live' if target_id in usable else 'leaving',
            }
            for target_id, target in sorted(
                self._parts.watch.listed_by_id.items()
            )
        }
