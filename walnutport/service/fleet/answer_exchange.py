"""Fetches answers of claimed runs from their owners, and serves own ones."""

from collections.abc import Callable
import secrets

from twisted.internet import defer

from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.peer import messages

__all__ = ['MAX_OUTPUT_BYTES', 'AnswerExchange', 'AnswerLookup']

# A message between hosts holds at most 64 KiB, envelope included.
MAX_OUTPUT_BYTES = 60_000
_REPLY_TIMEOUT_S = 1.0
_QUERY_INTERVAL_S = 1.0
_MAX_PENDING_QUERIES = 10_000

AnswerLookup = Callable[
    [str], tuple[messages.AnswerState, answers.Answer | None]
]


class AnswerExchange:
    """Client and server side of ``answer_request`` and ``answer_reply``.

    :param bus: sends messages to other hosts.
    :param lookup: returns the state, and the answer if there is one, of a
        claim that this host owns.
    """

    def __init__(
        self,
        bus: interfaces.PeerBus,
        lookup: AnswerLookup,
        clock: interfaces.Clock,
        reactor,
    ) -> None:
        self._bus = bus
        self._lookup = lookup
        self._clock = clock
        self._reactor = reactor
        self._waiting_by_query: dict[
            str, defer.Deferred[messages.AnswerReply | None]
        ] = {}
        self._queries_by_claim: dict[str, dict[str, str]] = {}
        self._query_count = 0
        bus.subscribe(messages.AnswerRequest, self._on_request)
        bus.subscribe(messages.AnswerReply, self._on_reply)

    async def fetch_answer(
        self, host_id: str, claim_id: str, deadline: float
    ) -> answers.Answer | None:
        """Return the answer of a run that another host owns.

        The query is repeated while the run is in progress, so that a crash
        of the owner ends the wait.

        :returns: None if the owner does not know the claim or does not
            reply, or at the deadline.
        """
        query_id = secrets.token_hex(8)
        try:
            while self._clock.monotonic() < deadline:
                reply = await self._query_owner(
                    host_id, query_id, claim_id, deadline
                )
                if reply is None:
                    return None
                if reply.state is not messages.AnswerState.RUNNING:
                    return _to_answer(reply)
                reply = await self._next_reply(
                    query_id,
                    min(deadline, self._deadline_after(_QUERY_INTERVAL_S)),
                )
                if reply and reply.state is messages.AnswerState.FINISHED:
                    return _to_answer(reply)
        finally:
            self._waiting_by_query.pop(query_id, None)
        return None

    def send_answer(self, claim_id: str) -> None:
        """Send the answer of a finished run to the hosts that wait for it."""
        queries = self._queries_by_claim.pop(claim_id, {})
        self._query_count -= len(queries)
        for query_id, host_id in queries.items():
            self._bus.send(host_id, self._make_reply(query_id, claim_id))

    async def _query_owner(
        self, host_id: str, query_id: str, claim_id: str, deadline: float
    ) -> messages.AnswerReply | None:
        until = min(deadline, self._deadline_after(_REPLY_TIMEOUT_S))
        waiting = self._next_reply(query_id, until)
        request = messages.AnswerRequest(query_id, claim_id)
        if not self._bus.send(host_id, request):
            self._waiting_by_query.pop(query_id, None)
            waiting.callback(None)
        return await waiting

    def _deadline_after(self, delay_s: float) -> float:
        return self._clock.monotonic() + delay_s

    def _next_reply(
        self, query_id: str, until: float
    ) -> defer.Deferred[messages.AnswerReply | None]:
        """Return the next reply to a query, or None after a timeout."""
        waiting: defer.Deferred[messages.AnswerReply | None] = defer.Deferred()
        self._waiting_by_query[query_id] = waiting
        timeout_s = max(0.0, until - self._clock.monotonic())
        return waiting.addTimeout(
            timeout_s, self._reactor, onTimeoutCancel=lambda *_: None
        )

    def _on_reply(
        self, origin: messages.PeerOrigin, reply: messages.AnswerReply
    ) -> None:
        waiting = self._waiting_by_query.pop(reply.query_id, None)
        if waiting is not None:
            waiting.callback(reply)

    def _on_request(
        self, origin: messages.PeerOrigin, request: messages.AnswerRequest
    ) -> None:
        reply = self._make_reply(request.query_id, request.claim_id)
        if reply.state is messages.AnswerState.RUNNING:
            self._add_query(origin.host_id, request)
        self._bus.send(origin.host_id, reply)

    def _add_query(
        self, host_id: str, request: messages.AnswerRequest
    ) -> None:
        queries = self._queries_by_claim.setdefault(request.claim_id, {})
        if request.query_id in queries:
            return
        if self._query_count < _MAX_PENDING_QUERIES:
            queries[request.query_id] = host_id
            self._query_count += 1

    def _make_reply(
        self, query_id: str, claim_id: str
    ) -> messages.AnswerReply:
        state, answer = self._lookup(claim_id)
        if answer is None:
            return messages.AnswerReply(query_id, state)
        if len(answer.output) + len(answer.detail) > MAX_OUTPUT_BYTES:
            return messages.AnswerReply(query_id, messages.AnswerState.UNKNOWN)
        return messages.AnswerReply(
            query_id,
            state,
            answer.outcome.value,
            answer.reason.value,
            answer.output,
            answer.detail,
        )


def _to_answer(reply: messages.AnswerReply) -> answers.Answer | None:
    if reply.state is not messages.AnswerState.FINISHED:
        return None
    try:
        return answers.Answer(
            answers.Outcome(reply.outcome),
            answers.Reason(reply.reason),
            reply.output,
            reply.detail,
        )
    except ValueError:
        return None
