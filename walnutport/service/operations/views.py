"""Status of a host as shown by ``walnutport status``."""

import math

from walnutport.admission import control
from walnutport import interfaces
from walnutport.quarantine import suspects
from walnutport.service.operations import host_state
from walnutport.service.operations import samples

__all__ = ['HostView']

_MAX_DIGESTS_SHOWN = 20
_DIGEST_PREFIX_BYTES = 8


class HostView:
    """Collects the status of a host for operators.

    :param entry_host: the host whose status is shown.
    """

    def __init__(self, entry_host: host_state.HostState) -> None:
        self._host = entry_host
        self._components = entry_host.components

    def status(self) -> dict[str, object]:
        """Return the status as plain JSON values."""
        components = self._components
        now = components.clock.monotonic()
        membership = components.coordination.heartbeats.membership
        return {
            'host_id': self._host.settings.host_id,
            'data_centre': self._host.settings.data_centre,
            'incarnation': components.incarnation,
            'ready': self._host.is_ready(),
            'stopping': self._host.stopping,
            'calls_in_flight': len(self._host.callers.in_flight_by_id),
            'claimed_runs': components.pipeline_runner.claimed_runs,
            'catalogue_offset': components.catalogue.start_offset(),
            'log': self._log(now),
            'hosts': {
                host_id: str(membership.state(host_id, now))
                for host_id in sorted(membership.known_ids())
            },
            'targets': samples.target_states(
                components.target_watch.listed_by_id,
                components.target_watch.membership.usable(now),
                components.policies.router,
            ),
            'queues': self._queues(),
            'suspects': self._suspects(now),
        }

    def _log(self, now: float) -> dict[str, object]:
        reader, writer = (
            self._components.log_reader,
            self._components.log_writer,
        )
        last = reader.last_success
        return {
            'available': reader.available,
            'last_read_s_ago': None if last is None else round(now - last, 3),
            'read_failures': reader.failures,
            'appends': writer.appends,
            'append_failures': writer.failures,
            'appends_queued': writer.queued,
        }

    def _queues(self) -> dict[str, object]:
        """Return the busiest queues; ``capacity`` is None if unlimited."""
        admission = self._components.policies.admission
        if not isinstance(admission, control.AdmissionControl):
            return {}
        states = sorted(
            admission.queue_states(),
            key=lambda state: (-state.waiting, -state.in_use, state.key),
        )
        return {
            state.key: {
                'capacity': (
                    state.capacity if math.isfinite(state.capacity) else None
                ),
                'in_use': state.in_use,
                'waiting': state.waiting,
            }
            for state in states[: samples.QUEUES_SHOWN]
        }

    def _suspects(self, now: float) -> dict[str, object]:
        """Return counts, and the latest quarantined digests as hex."""
        table = self._components.policies.quarantine
        if not isinstance(table, suspects.SuspectTable):
            return {}
        digests = table.digests_by_state(now)
        quarantined = digests[interfaces.SuspicionState.QUARANTINED]
        return {
            'suspect': len(digests[interfaces.SuspicionState.SUSPECT]),
            'quarantined': len(quarantined),
            'quarantined_digests': [
                digest[:_DIGEST_PREFIX_BYTES].hex()
                for digest in quarantined[:_MAX_DIGESTS_SHOWN]
            ],
        }
