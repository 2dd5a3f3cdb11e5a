"""Fetches the answer of a claimed run from the host that owns it."""

from collections.abc import Callable
import secrets

from twisted.internet import defer

from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.peer import messages

__all__ = ['MAX_OUTPUT_BYTES', 'ClaimPeers', 'Lookup']

# An envelope between hosts holds at most 64 KiB.
MAX_OUTPUT_BYTES = 60_000
_REPLY_LIMIT_S = 1.0
_ASK_AGAIN_S = 1.0
_MAX_ASKERS = 10_000

Lookup = Callable[[str], tuple[messages.AnswerState, answers.Answer | None]]


class ClaimPeers:
    """Both ends of ``answer_request`` and ``answer_reply``.

    :param bus: sends messages to other hosts.
    :param lookup: returns what this host knows of a claim of its own.
    """

    def __init__(
        self,
        bus: interfaces.PeerBus,
        lookup: Lookup,
        clock: interfaces.Clock,
        reactor,
    ) -> None:
        self._bus = bus
        self._lookup = lookup
        self._clock = clock
        self._reactor = reactor
        self._reply_by_query: dict[
            str, defer.Deferred[messages.AnswerReply | None]
        ] = {}
        self._askers_by_claim: dict[str, dict[str, str]] = {}
        self._asker_count = 0
        bus.subscribe(messages.AnswerRequest, self._asked)
        bus.subscribe(messages.AnswerReply, self._replied)

    async def ask(
        self, host_id: str, claim_id: str, deadline: float
    ) -> answers.Answer | None:
        """Return the answer of a run of another host.

        The question is repeated while the run lasts, so that the death of
        the owner ends the wait.

        :returns: None if the owner does not know it or does not reply, or
            at the deadline.
        """
        query_id = secrets.token_hex(8)
        try:
            while self._clock.monotonic() < deadline:
                reply = await self._exchange(
                    host_id, query_id, claim_id, deadline
                )
                if reply is None:
                    return None
                if reply.state is not messages.AnswerState.RUNNING:
                    return _to_answer(reply)
                reply = await self._next_reply(
                    query_id, min(deadline, self._now_plus(_ASK_AGAIN_S))
                )
                if reply and reply.state is messages.AnswerState.FINISHED:
                    return _to_answer(reply)
        finally:
            self._reply_by_query.pop(query_id, None)
        return None

    def finished(self, claim_id: str) -> None:
        """Send the answer of a run to the hosts that asked for it."""
        askers = self._askers_by_claim.pop(claim_id, {})
        self._asker_count -= len(askers)
        for query_id, host_id in askers.items():
            self._bus.send(host_id, self._reply(query_id, claim_id))

    async def _exchange(
        self, host_id: str, query_id: str, claim_id: str, deadline: float
    ) -> messages.AnswerReply | None:
        until = min(deadline, self._now_plus(_REPLY_LIMIT_S))
        waiting = self._next_reply(query_id, until)
        request = messages.AnswerRequest(query_id, claim_id)
        if not self._bus.send(host_id, request):
            self._reply_by_query.pop(query_id, None)
            waiting.callback(None)
        return await waiting

    def _now_plus(self, delay_s: float) -> float:
        return self._clock.monotonic() + delay_s

    def _next_reply(
        self, query_id: str, until: float
    ) -> defer.Deferred[messages.AnswerReply | None]:
        """Return the next reply to a query, or None at a time limit."""
        waiting: defer.Deferred[messages.AnswerReply | None] = defer.Deferred()
        self._reply_by_query[query_id] = waiting
        limit_s = max(0.0, until - self._clock.monotonic())
        return waiting.addTimeout(
            limit_s, self._reactor, onTimeoutCancel=lambda *_: None
        )

    def _replied(
        self, origin: messages.PeerOrigin, reply: messages.AnswerReply
    ) -> None:
        waiting = self._reply_by_query.pop(reply.query_id, None)
        if waiting is not None:
            waiting.callback(reply)

    def _asked(
        self, origin: messages.PeerOrigin, request: messages.AnswerRequest
    ) -> None:
        reply = self._reply(request.query_id, request.claim_id)
        if reply.state is messages.AnswerState.RUNNING:
            self._remember(origin.host_id, request)
        self._bus.send(origin.host_id, reply)

    def _remember(self, host_id: str, request: messages.AnswerRequest) -> None:
        askers = self._askers_by_claim.setdefault(request.claim_id, {})
        if request.query_id in askers:
            return
        if self._asker_count < _MAX_ASKERS:
            askers[request.query_id] = host_id
            self._asker_count += 1

    def _reply(self, query_id: str, claim_id: str) -> messages.AnswerReply:
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
