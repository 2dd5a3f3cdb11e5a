"""Compares the first desired state of a started host with its peers."""

from collections.abc import Callable
import time

from twisted.internet import task

from walnutport.gateway.peers import peers
from walnutport.membership import first_state

__all__ = ['FirstComparison']

COMPARISON_INTERVAL_S = 0.02


class FirstComparison:
    """Waits for evidence that the desired state of the store is current.

    ``membership.first_state`` decides what is evidence.

    :param is_first_start: whether the whole installation starts for the first
        time.
    :param request_update: asks a peer that has a newer desired state for it.
    """

    def __init__(
        self,
        reactor,
        log,
        mesh: peers.PeerMesh,
        is_first_start: bool,
        request_update: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._mesh = mesh
        self._is_first_start = is_first_start
        self._request_update = request_update

    async def confirm(
        self,
        version: int,
        store_era: Callable[[], int],
        is_wanted: Callable[[], bool],
    ) -> None:
        """Wait until a state may be in force, or is wanted no more.

        :param version: version that the store shows.
        :param store_era: returns the current era of the store.
        :param is_wanted: returns whether this host still has no desired state.
        """
        started_at = time.monotonic()
        while is_wanted():
            version_by_peer = {
                name: peer.heartbeat.desired_version
                for name, peer in self._mesh.peer_by_name.items()
                if peer.heartbeat is not None
            }
            waited_s = time.monotonic() - started_at
            verdict = first_state.judge(
                version,
                store_era(),
                self._is_first_start,
                first_state.Peers(
                    tuple(version_by_peer.values()),
                    tuple(
                        peer.record.era
                        for peer in self._mesh.peer_by_name.values()
                    ),
                    self._mesh.awaits_peers,
                ),
                waited_s,
            )
            ahead = [
                name
                for name, known in version_by_peer.items()
                if known > version
            ]
            if verdict is not first_state.Verdict.WAIT:
                self._log.notable(
                    'desired_confirmed'
                    if verdict is first_state.Verdict.CONFIRMED
                    else 'desired_unconfirmed',
                    version=version,
                    era=store_era(),
                    waited_s=round(waited_s, 3),
                    peers=len(version_by_peer),
                    ahead=ahead,
                )
                return
            if ahead:
                self._request_update()
            await task.deferLater(self._reactor, COMPARISON_INTERVAL_S)
