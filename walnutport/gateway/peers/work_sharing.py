"""Which hosts take work of others, and which ones this host links with."""

from collections.abc import Callable

from walnutport.gateway.peers import peers
from walnutport.membership import ranking

__all__ = ['WorkSharing']


class WorkSharing:
    """Shares of the hosts in the work of the fleet, as this host knows them.

    :param accepts_work: returns whether this host takes work of others.
    :param cell_count: returns the number of cells.
    """

    def __init__(
        self,
        mesh: peers.PeerMesh,
        accepts_work: Callable[[], bool],
        cell_count: Callable[[], int],
    ) -> None:
        self._mesh = mesh
        self._accepts_work = accepts_work
        self._cell_count = cell_count

    def work_shares(self) -> dict[str, float]:
        """Return the work shares of the hosts that accept work of others.

        If there is none, this host does its own work.
        """
        own = self._mesh.own_record
        shares = {own.name: own.work_share} if self._accepts_work() else {}
        for name, peer in self._mesh.peer_by_name.items():
            if peer.accepts_work:
                shares[name] = peer.record.work_share
        return shares or {own.name: 1.0}

    def untried_shares(self) -> dict[str, float]:
        """Return the work shares of the hosts whose links are not up yet."""
        peer_by_name = self._mesh.peer_by_name
        return {
            name: peer_by_name[name].record.work_share
            for name in self._mesh.chosen_names()
            if name in peer_by_name and peer_by_name[name].is_untried
        }

    def choose_peers(self) -> set[str]:
        """Return the peers to link with in a large installation.

        Hosts that cannot be reached are replaced by the next ones, but dialled
        as well, since their links may fail in one direction only.
        """
        own = self._mesh.own_record
        record_by_name = {
            name: peer.record for name, peer in self._mesh.peer_by_name.items()
        }
        record_by_name[own.name] = own
        reachable_names = {own.name} | {
            name
            for name, peer in self._mesh.peer_by_name.items()
            if peer.failing_since is None
        }
        chosen: set[str] = set()
        for names in (record_by_name.keys(), reachable_names):
            chosen |= ranking.hosts_to_link(
                own.name,
                {name: record_by_name[name].work_share for name in names},
                self._cell_count(),
            )
            data_centres = {
                name: record_by_name[name].data_centre for name in names
            }
            for shard in range(ranking.origin_shards(len(data_centres))):
                chosen.update(ranking.origin_keepers(shard, data_centres))
            if len(reachable_names) == len(record_by_name):
                break
        return chosen
