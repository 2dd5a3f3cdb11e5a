"""Which peers are told and asked where a stream began."""

from collections.abc import Callable

from walnutport.gateway.peers import peers
from walnutport.membership import ranking

__all__ = ['OriginKeepers']


class OriginKeepers:
    """Peers that keep the origin of a stream.

    In a full mesh these are all peers; in a partial one, two hosts that the
    id of the stream selects.

    :param on_chosen: called with the name of a host that has become a keeper
        of some ids.
    """

    def __init__(
        self, mesh: peers.PeerMesh, on_chosen: Callable[[str], None]
    ) -> None:
        self._mesh = mesh
        self._on_chosen = on_chosen
        # Valid for one state of the fleet, as the ranking takes a while.
        self._names_by_shard: dict[int, list[str]] = {}
        self._host_count = 0
        self._fleet_change_count = -1

    def names(self, attempt_id: str) -> list[str]:
        """Return the names of the peers that keep an origin.

        :param attempt_id: id of the attempt that began the stream.
        """
        if not self._mesh.is_partial:
            return list(self._mesh.peer_by_name)
        self.update()
        shard = ranking.origin_shard(attempt_id, self._host_count)
        return self._names_by_shard[shard]

    def includes(self, name: str, attempt_id: str) -> bool:
        """Return whether a peer keeps an origin."""
        return not self._mesh.is_partial or name in self.names(attempt_id)

    def update(self) -> None:
        """Follow the fleet of a partial mesh, and name the new keepers.

        Those that are not linked yet are told when they join.
        """
        if (
            not self._mesh.is_partial
            or self._mesh.change_count == self._fleet_change_count
        ):
            return
        self._fleet_change_count = self._mesh.change_count
        before = self._names_by_shard
        self._rank()
        if not before:
            # In the full mesh of the time before, all peers were told.
            return
        is_spread_anew = len(before) != len(self._names_by_shard)
        changed = {
            name
            for shard, names in self._names_by_shard.items()
            for name in names
            if is_spread_anew or name not in before[shard]
        }
        for name in sorted(changed):
            self._on_chosen(name)

    def _rank(self) -> None:
        data_centres = self._mesh.data_centre_by_live_host()
        own_name = self._mesh.own_record.name
        self._host_count = len(data_centres)
        self._names_by_shard = {
            shard: [
                name
                for name in ranking.origin_keepers(shard, data_centres)
                if name != own_name
            ]
            for shard in range(ranking.origin_shards(self._host_count))
        }
