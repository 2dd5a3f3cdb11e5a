"""Asks peers for what they know and this host does not."""

from collections.abc import Callable
import time

from walnutport.gateway.peers import peers
from walnutport.peer import fleet_messages

__all__ = ['UpdateRequests']

# A host that lags behind a peer for this long asks it for an update. Most
# hosts read the store themselves within that time, and broadcasting a desired
# state with many routes would saturate the links of small hosts.
REQUEST_UPDATE_AFTER_S = 0.35
REQUEST_UPDATE_INTERVAL_S = 0.6


class UpdateRequests:
    """Requests of this host for updates of its peers.

    :param create_request: returns the request for what is newer than what this
        host knows.
    :ivar desired_request_count: requests for a newer desired state.
    :ivar targets_request_count: requests for targets only.
    """

    def __init__(
        self,
        log,
        mesh: peers.PeerMesh,
        create_request: Callable[[], fleet_messages.UpdateRequest],
    ) -> None:
        self._log = log
        self._mesh = mesh
        self._create_request = create_request
        self.desired_request_count = 0
        self.targets_request_count = 0
        # Latest version that a peer has named, and when it was first named.
        self._newest_version = 0
        self._newest_since = 0.0
        # Peer that is known to be ahead, when this host first noticed, and
        # when it may next ask a peer.
        self._peer_ahead = ''
        self._behind_since = 0.0
        self._next_request_at = 0.0
        # The same for requests to peers with a newer desired state. A peer
        # that is ahead in targets only must not take their turn.
        self._next_desired_at = 0.0

    def version_named(
        self, name: str, version: int, read_age_s: float
    ) -> None:
        """Record the version of the desired state that a peer has in force.

        :param read_age_s: age of the read of the desired state in flight.
        """
        own = self._create_request().desired_version
        if version <= max(self._newest_version, own):
            return
        self._newest_version = version
        self._newest_since = time.monotonic()
        self._log.notable(
            'desired_behind',
            version=version,
            in_force=own,
            peer=name,
            read_age_s=round(read_age_s, 2),
        )

    def behind_s(self) -> float:
        """Return for how long a peer has had a newer desired state."""
        if self._newest_version <= self._create_request().desired_version:
            return 0.0
        return time.monotonic() - self._newest_since

    def is_behind(self, heartbeat: fleet_messages.Heartbeat) -> bool:
        """Return whether a peer knows more than this host."""
        own = self._create_request()
        return heartbeat.desired_version > own.desired_version or (
            heartbeat.era,
            heartbeat.targets_end,
        ) > (own.era, own.targets_end)

    def peer_behind(self, name: str) -> None:
        """Record that a peer knows no more than this host."""
        if self._peer_ahead == name:
            self._peer_ahead = ''

    def peer_ahead(self, name: str, has_desired: bool) -> None:
        """Ask a peer for an update if this host still lags behind it.

        :param has_desired: whether it has a newer desired state.
        """
        now = time.monotonic()
        if not self._peer_ahead:
            self._peer_ahead = name
            self._behind_since = now
        if now - self._behind_since < REQUEST_UPDATE_AFTER_S:
            return
        if has_desired and now >= self._next_desired_at:
            self._next_desired_at = now + REQUEST_UPDATE_INTERVAL_S
            self._send(name)
        elif not has_desired:
            self.request_from(name)

    def request_from(self, name: str) -> None:
        """Ask a peer for what is newer, unless a request is on its way."""
        now = time.monotonic()
        if now >= self._next_request_at:
            self._next_request_at = now + REQUEST_UPDATE_INTERVAL_S
            self._send(name)

    def _send(self, name: str) -> None:
        request = self._create_request()
        is_sent = self._mesh.send(name, request)
        self._record_request(name, request, is_sent)

    def _record_request(
        self, name: str, request: fleet_messages.UpdateRequest, is_sent: bool
    ) -> None:
        lacks_desired = self._newest_version > request.desired_version
        if lacks_desired:
            self.desired_request_count += 1
        else:
            self.targets_request_count += 1
        self._log.routine(
            'update_requested',
            peer=name,
            lacks='desired' if lacks_desired else 'targets',
            in_force=request.desired_version,
            newest=self._newest_version,
            behind_s=round(self.behind_s(), 2),
            sent=is_sent,
        )

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'update_requests_total{lacks="desired"}': (
                self.desired_request_count
            ),
            'update_requests_total{lacks="targets"}': (
                self.targets_request_count
            ),
        }

    def request_all_targets(self) -> None:
        """Ask the peer that has read the targets last for all of them.

        Entries that it has seen again may change nothing for it, as it has
        started since, so that it has told nobody. Nothing is asked while a
        request is on its way.
        """
        now = time.monotonic()
        age_by_name = {
            name: peer.heartbeat.store_age_s
            for name, peer in self._mesh.peer_by_name.items()
            if peer.heartbeat is not None
        }
        if not age_by_name or now < self._next_request_at:
            return
        self._next_request_at = now + REQUEST_UPDATE_INTERVAL_S
        own = self._create_request()
        self._mesh.send(
            min(age_by_name, key=age_by_name.__getitem__),
            fleet_messages.UpdateRequest(own.desired_version, own.era, 0),
        )
