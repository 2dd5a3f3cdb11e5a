"""Asks peers for what they know and this host does not."""

from collections.abc import Callable
import time

from walnutport.gateway.peers import peers
from walnutport.membership import ranking
from walnutport.peer import fleet_messages

__all__ = ['UpdateRequests']

# A host that lags behind a peer for this long asks for an update. Most hosts
# read the store themselves within that time, and broadcasting a desired state
# with many routes would saturate the links of small hosts.
REQUEST_UPDATE_AFTER_S = 0.35
# Time between two requests, which doubles up to the second figure for the
# desired state: a copy may take seconds over a slow link, and each request
# brings another one.
REQUEST_UPDATE_INTERVAL_S = 0.6
MAX_REQUEST_INTERVAL_S = 4.8
# A host reads the desired state anew before it asks a peer: the answer to a
# held read may be lost, and the store has more capacity than a peer's link.
READ_AGAIN_AFTER_S = 0.15


class UpdateRequests:
    """Requests of this host for updates of its peers.

    The desired state and the targets are asked for independently of each
    other, as one peer may be ahead in one and another one in the other.

    :param create_request: returns the request for what is newer than what this
        host knows.
    :param read_again: reads the desired state from the store anew.
    :ivar desired_request_count: requests for a newer desired state.
    :ivar targets_request_count: requests for targets.
    """

    def __init__(
        self,
        log,
        mesh: peers.PeerMesh,
        create_request: Callable[[], fleet_messages.UpdateRequest],
        read_again: Callable[[], None],
    ) -> None:
        self._log = log
        self._mesh = mesh
        self._create_request = create_request
        self._read_again = read_again
        self.desired_request_count = 0
        self.targets_request_count = 0
        # Latest version that a peer has named, and whether the store was read
        # since.
        self._newest_version = 0
        self._has_read_again = False
        # Since when some peer has had a newer version than this host.
        self._behind_since: float | None = None
        self._next_desired_at = 0.0
        self._desired_interval_s = REQUEST_UPDATE_INTERVAL_S
        # Peers that were asked since this host has lagged behind.
        self._asked: set[str] = set()
        # Peer that is known to be ahead in targets, when this host first
        # noticed, and when it may next ask a peer.
        self._peer_ahead = ''
        self._peer_ahead_since = 0.0
        self._next_targets_at = 0.0

    def behind_s(self) -> float:
        """Return for how long a peer has had a newer desired state."""
        own = self._create_request().desired_version
        if self._behind_since is None or self._newest_version <= own:
            return 0.0
        return time.monotonic() - self._behind_since

    def heartbeat_received(
        self,
        name: str,
        heartbeat: fleet_messages.Heartbeat,
        read_age_s: float,
    ) -> None:
        """Compare what a peer knows with what this host knows.

        :param read_age_s: age of the read of the desired state in flight, for
            the log.
        """
        own = self._create_request()
        if heartbeat.desired_version > max(
            self._newest_version, own.desired_version
        ):
            self._record_version(name, heartbeat, own, read_age_s)
        if (heartbeat.era, heartbeat.targets_end) > (own.era, own.targets_end):
            self._peer_ahead_in_targets(name)
        elif self._peer_ahead == name:
            self._peer_ahead = ''

    def tick(self) -> None:
        """Look for the newer desired state that a peer has named."""
        own = self._create_request()
        if self._newest_version <= own.desired_version:
            self._behind_since = None
            return
        behind_s = self.behind_s()
        if behind_s >= READ_AGAIN_AFTER_S and not self._has_read_again:
            self._has_read_again = True
            self._read_again()
        if behind_s >= REQUEST_UPDATE_AFTER_S:
            self.request_desired()

    def request_desired(self) -> None:
        """Ask a peer that has a newer desired state, at most at intervals.

        Each host prefers other peers, by their shares, so that the first ones
        to have it do not send it to all.
        """
        now = time.monotonic()
        own = self._create_request()
        share_by_name = {
            name: peer.record.work_share
            for name, peer in self._mesh.peer_by_name.items()
            if peer.heartbeat is not None
            and peer.heartbeat.desired_version > own.desired_version
        }
        if not share_by_name or now < self._next_desired_at:
            return
        if share_by_name.keys() <= self._asked:
            self._asked.clear()
        ranked = ranking.rank_hosts(
            f'update-{self._mesh.own_record.name}',
            {
                name: share
                for name, share in share_by_name.items()
                if name not in self._asked
            },
        )
        self._next_desired_at = now + self._desired_interval_s
        self._desired_interval_s = min(
            MAX_REQUEST_INTERVAL_S, 2 * self._desired_interval_s
        )
        self._asked.add(ranked[0])
        self.desired_request_count += 1
        self._send(ranked[0], own, 'desired')

    def request_all_targets(self) -> None:
        """Ask the peer that has read the targets last for all of them.

        Entries that it has seen again may change nothing for it, as it has
        started since, so that it has told nobody. Nothing is asked while a
        request is on its way.
        """
        age_by_name = {
            name: peer.heartbeat.store_age_s
            for name, peer in self._mesh.peer_by_name.items()
            if peer.heartbeat is not None
        }
        if age_by_name:
            self._request_targets(
                min(age_by_name, key=age_by_name.__getitem__), lists_all=True
            )

    def _record_version(
        self,
        name: str,
        heartbeat: fleet_messages.Heartbeat,
        own: fleet_messages.UpdateRequest,
        read_age_s: float,
    ) -> None:
        """Record that a peer has named a version that is new to this host."""
        now = time.monotonic()
        self._newest_version = heartbeat.desired_version
        self._has_read_again = False
        if self._behind_since is None:
            self._behind_since = now
            self._next_desired_at = 0.0
            self._desired_interval_s = REQUEST_UPDATE_INTERVAL_S
            self._asked.clear()
        self._log.notable(
            'desired_behind',
            version=heartbeat.desired_version,
            in_force=own.desired_version,
            peer=name,
            read_age_s=round(read_age_s, 2),
        )

    def _peer_ahead_in_targets(self, name: str) -> None:
        """Ask a peer for targets if this host still lags behind it."""
        now = time.monotonic()
        if not self._peer_ahead:
            self._peer_ahead = name
            self._peer_ahead_since = now
        if now - self._peer_ahead_since >= REQUEST_UPDATE_AFTER_S:
            self._request_targets(name)

    def _request_targets(self, name: str, lists_all: bool = False) -> None:
        now = time.monotonic()
        if now < self._next_targets_at:
            return
        self._next_targets_at = now + REQUEST_UPDATE_INTERVAL_S
        own = self._create_request()
        self.targets_request_count += 1
        self._send(
            name,
            fleet_messages.UpdateRequest(
                # The desired state is asked for by itself.
                max(own.desired_version, self._newest_version),
                own.era,
                0 if lists_all else own.targets_end,
            ),
            'targets',
        )

    def _send(
        self, name: str, request: fleet_messages.UpdateRequest, lacks: str
    ) -> None:
        is_sent = self._mesh.send(name, request)
        self._log.routine(
            'update_requested',
            peer=name,
            lacks=lacks,
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
