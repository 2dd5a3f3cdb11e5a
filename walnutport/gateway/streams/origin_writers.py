"""Chooses which host writes the origins of a lost host to the store."""

import time

from walnutport.gateway.peers import peers
from walnutport.gateway.streams import origin_log
from walnutport.membership import ranking
from walnutport.routing import stream_origins

__all__ = ['OriginWriters']

# Time from the loss of a host to the choice. Hosts that are lost together
# cost one, and the links of a host that has just started are up by then.
CHOICE_DELAY_S = 0.5


class OriginWriters:
    """Lets one host in touch write what a lost host may not have written.

    That is the first keeper of the shard of an id. Hosts whose views differ
    may both write an origin, which does no harm.

    :ivar taken_count: origins that this host writes in place of lost ones.
    """

    def __init__(
        self,
        reactor,
        log,
        mesh: peers.PeerMesh,
        origins: stream_origins.StreamOrigins,
        stored: origin_log.OriginLog,
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._mesh = mesh
        self._origins = origins
        self._stored = stored
        self._is_scheduled = False
        self.taken_count = 0

    def peer_lost(self) -> None:
        """Choose soon who writes the origins of a lost host."""
        self._schedule()

    def handed_over(self) -> None:
        """Check soon whether the writers of told origins are up."""
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(CHOICE_DELAY_S, self._choose)

    def _choose(self) -> None:
        """Choose a writer for each origin whose writer is lost."""
        self._is_scheduled = False
        data_centres = self._mesh.data_centre_by_live_host()
        own_name = self._mesh.own_record.name
        # Without this host: peers may have chosen it without its knowledge.
        live_runs = {
            self._mesh.run_of(name)
            for name in data_centres
            if name != own_name
        }
        taken_count = 0
        lost_runs: set[str] = set()
        told_ids = self._origins.told_ids(time.monotonic())
        for source, ids in self._origins.ids_by_source(told_ids).items():
            if not source.writer or source.writer in live_runs:
                continue
            lost_runs.add(source.writer)
            for name, left in _by_first_keeper(ids, data_centres).items():
                is_own = name == own_name
                self._origins.set_writer(
                    left, '' if is_own else self._mesh.run_of(name)
                )
                if is_own:
                    taken_count += len(left)
                    self._stored.add(
                        self._origins.group(left), source.is_inferred
                    )
        if taken_count:
            self.taken_count += taken_count
            self._log.notable(
                'origins_taken_over',
                count=taken_count,
                lost=sorted(lost_runs),
            )


def _by_first_keeper(
    attempt_ids: list[str], data_centres: dict[str, str]
) -> dict[str, list[str]]:
    """Return ids by the first of their keepers.

    :param data_centres: data centre of each host that is up, by its name.
    """
    host_count = len(data_centres)
    ids_by_shard: dict[int, list[str]] = {}
    if ranking.origin_shards(host_count) == 1:
        # Without the hash of each id, which takes most of the time.
        ids_by_shard[0] = attempt_ids
    else:
        for attempt_id in attempt_ids:
            shard = ranking.origin_shard(attempt_id, host_count)
            ids_by_shard.setdefault(shard, []).append(attempt_id)
    ids_by_name: dict[str, list[str]] = {}
    for shard, ids in ids_by_shard.items():
        name = ranking.origin_keepers(shard, data_centres)[0]
        ids_by_name.setdefault(name, []).extend(ids)
    return ids_by_name
