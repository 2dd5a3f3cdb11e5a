"""Asks peers where a stream began."""

from collections.abc import Iterable
import dataclasses

from twisted.internet import defer

from walnutport.gateway.peers import peers
from walnutport.peer import fleet_messages
from walnutport.routing import stream_origins

__all__ = ['QUERY_LIMIT_S', 'OriginAnswer', 'OriginQuestions']

#: Peers answer within some milliseconds, unless they stand still.
QUERY_LIMIT_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class OriginAnswer:
    """Where a stream began, as a peer says.

    :param is_inferred: whether the peer knows no record of the host that began
        the stream.
    """

    origin: stream_origins.StreamOrigin
    is_inferred: bool = False

    @property
    def is_final(self) -> bool:
        """Whether no other peer can know better."""
        return not self.is_inferred and self.origin.is_version_known


@dataclasses.dataclass(slots=True, eq=False)
class _Query:
    """A question to the peers.

    :param awaited: names of the peers that have not answered.
    :param answers: those after which another peer may know better.
    """

    attempt_id: str
    awaited: set[str]
    answered: defer.Deferred
    answers: set[OriginAnswer] = dataclasses.field(default_factory=set)

    def best_answer(self) -> OriginAnswer | None:
        """Return the answer that counts; none if inferred ones differ."""
        final = {each for each in self.answers if each.is_final}
        begun = {each for each in self.answers if not each.is_inferred}
        found = final or begun or self.answers
        return next(iter(found)) if len(found) == 1 else None


class OriginQuestions:
    """Questions of this host that peers have not answered yet."""

    def __init__(self, reactor, mesh: peers.PeerMesh) -> None:
        self._reactor = reactor
        self._mesh = mesh
        self._queries: list[_Query] = []

    async def ask(
        self,
        names: Iterable[str],
        attempt_id: str,
        route_name: str,
        only_recorded: bool = False,
    ) -> OriginAnswer | None:
        """Return where a stream began, as the first peer that knows it says.

        An answer that was inferred counts once no other peer can know better.

        :param names: peers to ask.
        :param attempt_id: attempt that began it; if it is empty, peers only
            know a sole origin.
        :param only_recorded: whether peers need not look for a sole origin.
        :returns: None if no peer knows it, or none answers in time.
        """
        question = fleet_messages.OriginQuery(
            attempt_id, route_name, only_recorded
        )
        asked = {name for name in names if self._mesh.send(name, question)}
        if not asked:
            return None
        answered: defer.Deferred = defer.Deferred()
        query = _Query(attempt_id, asked, answered)
        self._queries.append(query)
        timer = self._reactor.callLater(QUERY_LIMIT_S, self._end, query)
        try:
            return await answered
        finally:
            self._queries.remove(query)
            if timer.active():
                timer.cancel()

    def reply_received(
        self, name: str, reply: fleet_messages.OriginReply
    ) -> None:
        """Handle the answer of a peer."""
        answer = OriginAnswer(
            stream_origins.StreamOrigin(reply.service, reply.version),
            reply.is_inferred,
        )
        for query in list(self._queries):
            if query.attempt_id != reply.attempt_id:
                continue
            if reply.is_known:
                query.answers.add(answer)
            if reply.is_known and (answer.is_final or not query.attempt_id):
                self._end(query)
            else:
                self._expect_none(query, name)

    def peer_lost(self, name: str) -> None:
        """Expect no answer of a lost peer."""
        for query in list(self._queries):
            self._expect_none(query, name)

    def _expect_none(self, query: _Query, name: str) -> None:
        """Expect no more of a peer."""
        query.awaited.discard(name)
        if not query.awaited:
            self._end(query)

    @staticmethod
    def _end(query: _Query) -> None:
        if not query.answered.called:
            query.answered.callback(query.best_answer())
