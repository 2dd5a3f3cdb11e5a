"""Operators' view of a host: what ``walnutport status`` shows."""

import math

from walnutport.admission import control
from walnutport import interfaces
from walnutport.quarantine import suspects
from walnutport.service.operations import host_state
from walnutport.service.operations import samples

__all__ = ['HostView']

_DIGESTS_SHOWN = 20
_DIGEST_BYTES = 8


class HostView:
    """Reads the state of a host for operators.

    :param entry_host: the host whose state is shown.
    """

    def __init__(self, entry_host: host_state.HostState) -> None:
        self._host = entry_host
        self._parts = entry_host.parts

    def status(self) -> dict[str, object]:
        """Return the host's own view as plain JSON values."""
        parts = self._parts
        now = parts.clock.monotonic()
        membership = parts.coordination.heartbeats.membership
        return {
            'host_id': self._host.settings.host_id,
            'data_centre': self._host.settings.data_centre,
            'incarnation': parts.incarnation,
            'ready': self._host.is_ready(),
            'stopping': self._host.stopping,
            'calls_in_flight': len(self._host.callers.in_flight_by_id),
            'claimed_runs': parts.runner.claimed_runs,
            'catalogue_offset': parts.catalogue.start_offset(),
            'log': self._log(now),
            'hosts': {
                host_id: str(membership.state(host_id, now))
                for host_id in sorted(membership.known_ids())
            },
            'targets': samples.target_states(
                parts.watch.listed_by_id,
                parts.watch.membership.usable(now),
                parts.policies.router,
            ),
            'queues': self._queues(),
            'suspects': self._suspects(now),
        }

    def _log(self, now: float) -> dict[str, object]:
        reader, writer = self._parts.log_reader, self._parts.log_writer
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
        """Return the busiest queues; ``capacity`` is None if unbounded."""
        admission = self._parts.policies.admission
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
        """Return counts, and the latest digests in hexadecimal form."""
        book = self._parts.policies.quarantine
        if not isinstance(book, suspects.SuspectTable):
            return {}
        digests = book.digests_by_state(now)
        quarantined = digests[interfaces.SuspicionState.QUARANTINED]
        return {
            'suspect': len(digests[interfaces.SuspicionState.SUSPECT]),
            'quarantined': len(quarantined),
            'quarantined_digests': [
                digest[:_DIGEST_BYTES].hex()
                for digest in quarantined[:_DIGESTS_SHOWN]
            ],
        }
