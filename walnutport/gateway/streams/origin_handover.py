"""Tells peers where the streams began that they have not been told about."""

from collections.abc import Callable
import time

from walnutport.gateway.peers import peers
from walnutport.gateway.streams import begun_batches
from walnutport.routing import stream_origins

__all__ = ['OriginHandover']

# Ids that are considered for one batch; their messages take some 40 kB and a
# millisecond of the receiver's processor.
BATCH_IDS = 1000
# Time between two batches to a peer: all hosts of a full mesh may send to the
# same one, which has to serve requests beside.
BATCH_INTERVAL_S = 0.02


class OriginHandover:
    """Sends peers the origins that this host has told or was told, in batches.

    Origins that no host was told about are left out. They are of routes whose
    origin is not ambiguous as far as this host knows, and all peers are told
    when it becomes so.

    :param keeps: returns whether a peer, by its name, should hold the origin
        of the stream that an attempt began.
    :ivar sent_count: origins that were sent; those of two peers count twice.
    """

    def __init__(
        self,
        reactor,
        mesh: peers.PeerMesh,
        origins: stream_origins.StreamOrigins,
        keeps: Callable[[str, str], bool],
    ) -> None:
        self._reactor = reactor
        self._mesh = mesh
        self._origins = origins
        self._keeps = keeps
        self._left_by_peer: dict[str, list[str]] = {}
        self._is_scheduled = False
        self.sent_count = 0

    def begin(self, name: str) -> None:
        """Send a peer what it should hold, from the oldest origin on."""
        told_ids = self._origins.told_ids(time.monotonic())
        # The next ids are taken from the end.
        told_ids.reverse()
        if told_ids:
            self._left_by_peer[name] = told_ids
            self._schedule(0.0)

    def _schedule(self, delay_s: float) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(delay_s, self._send_batches)

    def _send_batches(self) -> None:
        self._is_scheduled = False
        for name, left in list(self._left_by_peer.items()):
            batch = left[: -BATCH_IDS - 1 : -1]
            del left[-BATCH_IDS:]
            is_linked = self._send(name, batch)
            # A change of the fleet may have begun another handover meanwhile.
            is_same = self._left_by_peer.get(name) is left
            if is_same and not (is_linked and left):
                # A peer whose link is lost is told when it joins again.
                del self._left_by_peer[name]
        if self._left_by_peer:
            self._schedule(BATCH_INTERVAL_S)

    def _send(self, name: str, attempt_ids: list[str]) -> bool:
        """Send the origins that a peer should hold.

        :returns: False if no link to the peer is up.
        """
        kept_ids = [
            attempt_id
            for attempt_id in attempt_ids
            if self._keeps(name, attempt_id)
        ]
        for source, ids in self._origins.ids_by_source(kept_ids).items():
            for message in begun_batches.split(
                self._origins.group(ids), source.writer, source.is_inferred
            ):
                if not self._mesh.send(name, message):
                    return False
                self.sent_count += len(message.attempt_ids)
        return True
