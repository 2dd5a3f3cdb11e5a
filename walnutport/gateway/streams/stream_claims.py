"""Checks whether callers that take streams up may hold a part of one.

While one version serves a route, its only origin is that of every stream, so
that nobody need know the id that a caller names. A caller could then name any
id to have its stages go before those of others. So the hosts are asked which
of them has begun the stream.
"""

import collections
import dataclasses
import time

from twisted.internet import defer

from walnutport.gateway.entry import calls
from walnutport.gateway.peers import peers
from walnutport.peer import fleet_messages
from walnutport.routing import stream_origins
from walnutport.world import routes

__all__ = ['StreamClaims']

# Peers answer within some milliseconds, unless they stand still.
QUERY_LIMIT_S = 0.25
# An id takes some 100 bytes.
MAX_IDS = 100_000


@dataclasses.dataclass(slots=True, eq=False)
class _Query:
    """A question to the peers.

    :param awaited: names of the peers that have not answered.
    :param answered: fires with whether one of them has begun the stream.
    """

    attempt_id: str
    awaited: set[str]
    answered: defer.Deferred


class StreamClaims:
    """Ids of the streams that this host has begun, and questions about others.

    Streams may be known to nobody for as long as they may be taken up after a
    host was lost or has started.
    """

    def __init__(self, reactor, log, mesh: peers.PeerMesh) -> None:
        self._reactor = reactor
        self._log = log
        self._mesh = mesh
        self._retention_s = stream_origins.RETENTION_MARGIN_S
        self._begun_at_by_id: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._queries: list[_Query] = []
        # Streams that began before may be known to nobody.
        self._complete_since = time.monotonic()

    def routes_changed(self, desired: routes.DesiredState) -> None:
        """Follow the longest time for which streams may be taken up."""
        self._retention_s = max(
            self._retention_s,
            *(
                route.timeout_s + stream_origins.RETENTION_MARGIN_S
                for route in desired.routes
                if route.kind is routes.RequestKind.STREAM
            ),
            0.0,
        )

    def begun(self, attempt_id: str) -> None:
        """Record that a stream has begun at this host."""
        now = time.monotonic()
        while self._begun_at_by_id:
            first_id, begun_at = next(iter(self._begun_at_by_id.items()))
            is_full = len(self._begun_at_by_id) >= MAX_IDS
            if not is_full and now - begun_at < self._retention_s:
                break
            if now - begun_at < self._retention_s:
                self._complete_since = now
            del self._begun_at_by_id[first_id]
        self._begun_at_by_id[attempt_id] = now

    async def may_be_true(self, call: calls.CallerCall) -> bool:
        """Return whether the caller may hold a part of the stream it names.

        This is so as well while a host is lost that could know it.
        """
        begun_by = call.fields.begun_by
        if begun_by in self._begun_at_by_id or not self._is_complete():
            return True
        if await self._ask_peers(begun_by) or not self._is_complete():
            return True
        self._log.notable(
            'stream_claim_refuted', id=call.request_id, begun_by=begun_by
        )
        return False

    def handle_message(
        self, name: str, message: fleet_messages.FleetMessage
    ) -> None:
        """Handle a message of a peer."""
        if isinstance(message, fleet_messages.ClaimQuery):
            self._mesh.send(
                name,
                fleet_messages.ClaimReply(
                    message.attempt_id,
                    message.attempt_id in self._begun_at_by_id,
                    self._incomplete_s(),
                ),
            )
        elif isinstance(message, fleet_messages.ClaimReply):
            self._reply_received(name, message)

    def peer_lost(self, name: str) -> None:
        """Take into account that nobody knows the streams of a lost host."""
        self._complete_since = time.monotonic()
        for query in list(self._queries):
            self._resolve(query, True)

    def _incomplete_s(self) -> float:
        """Return the time for which streams may be known to nobody."""
        since_s = time.monotonic() - self._complete_since
        return max(0.0, self._retention_s - since_s)

    def _is_complete(self) -> bool:
        """Return whether the linked hosts know all streams.

        Hosts of a partial mesh are not linked with all others.
        """
        return (
            self._incomplete_s() <= 0
            and not self._mesh.is_partial
            and all(
                peer.link is not None
                for peer in self._mesh.peer_by_name.values()
            )
        )

    async def _ask_peers(self, attempt_id: str) -> bool:
        """Return whether a peer may have begun a stream.

        A peer that does not answer, or does not understand the question, may.
        """
        names = list(self._mesh.peer_by_name)
        if not names:
            return False
        question = fleet_messages.ClaimQuery(attempt_id)
        for name in names:
            if not self._mesh.send(name, question):
                return True
        query = _Query(attempt_id, set(names), defer.Deferred())
        self._queries.append(query)
        timer = self._reactor.callLater(
            QUERY_LIMIT_S, self._resolve, query, True
        )
        try:
            return await query.answered
        finally:
            self._queries.remove(query)
            if timer.active():
                timer.cancel()

    def _reply_received(
        self, name: str, reply: fleet_messages.ClaimReply
    ) -> None:
        for query in list(self._queries):
            if query.attempt_id != reply.attempt_id:
                continue
            query.awaited.discard(name)
            if reply.is_known or reply.incomplete_s > 0:
                self._resolve(query, True)
            elif not query.awaited:
                self._resolve(query, False)

    @staticmethod
    def _resolve(query: _Query, may_be_begun: bool) -> None:
        if not query.answered.called:
            query.answered.callback(may_be_begun)
