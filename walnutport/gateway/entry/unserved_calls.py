"""Ends calls that this host does not serve at a target.

A peer serves them if this host reaches no target; otherwise they are refused,
or answered with what the last target sent.
"""

import time

from walnutport import exceptions
from walnutport.gateway.entry import calls
from walnutport.gateway.entry import responses
from walnutport.gateway.peers import peer_relay
from walnutport.gateway.stages import stage_client
from walnutport.gateway.targets import attempts
from walnutport.gateway.targets import forwarding
from walnutport.gateway.targets import target_selector

__all__ = ['UnservedCalls']


class UnservedCalls:
    """Gives calls to peers, or responds to them with the reason."""

    def __init__(
        self,
        selector: target_selector.TargetSelector,
        forwarder: forwarding.Forwarder,
        responder: responses.Responder,
        relay: peer_relay.PeerRelay,
    ) -> None:
        self._selector = selector
        self._forwarder = forwarder
        self._responder = responder
        self._relay = relay

    def goes_by_peer(self, call: calls.CallerCall) -> bool:
        """Return whether a peer has to serve a call."""
        return self._relay.applies(call)

    async def serve_by_peer(self, call: calls.CallerCall) -> None:
        """Let a peer serve a request, as this host reaches no target."""
        call.is_underway = True
        try:
            if await self._relay.serve(call):
                return
        finally:
            call.is_underway = False
        if call.may_have_run:
            call.send_local_response(502, 'lost')
        else:
            self._responder.refuse(
                call, 'cut_off', responses.NO_TARGET_RETRY_AFTER_S
            )

    async def give_up(
        self, call: calls.CallerCall, result: attempts.AttemptResult | None
    ) -> None:
        """Respond to a call that gets no further attempt."""
        if (
            not call.request.head_sent
            and not call.may_have_run
            and self._forwarder.is_quarantined(call)
        ):
            self.refuse_quarantined(call)
            return
        if (
            result is not None
            and result.failed_to_connect
            and await self._relay.verify(call, call.last_attempt_at)
        ):
            await self.serve_by_peer(call)
            return
        was_answered = result is not None and result.has_response
        if (
            not call.request.head_sent
            and not call.may_have_run
            and not was_answered
            and self._selector.is_evacuated(call)
        ):
            self.refuse_evacuated(call)
            return
        delay_s = self._selector.stated_delay_s(call)
        if result is None and not self._selector.has_target(call):
            # Those that accept requests are beyond the limit of the route.
            delay_s = None
        was_sent = result is not None and not result.is_deferred
        if was_sent or call.may_have_run or delay_s is None:
            self._responder.give_up(call, result)
        elif call.cold_denied:
            self.refuse_cold(call, self._selector.cold_retry_after_s(call))
        else:
            self.refuse_by_targets(call, delay_s)

    def refuse_stages(
        self,
        call: calls.CallerCall,
        stage_run: stage_client.StageRun,
        problem: exceptions.StagesRefused,
    ) -> None:
        """End a call whose stages are refused."""
        call.record_earlier_attempts(problem.spent_s)
        if call.request.head_sent or call.may_have_run:
            self._responder.give_up(call, None)
            return
        self._responder.refuse(
            call,
            problem.reason,
            problem.retry_after_s,
            is_exact=problem.reserved,
            cell=stage_run.cell,
            owner=stage_run.owner,
            forecast_s=round(problem.forecast_s, 3),
            aim_left_s=round(call.aim_at - time.monotonic(), 3),
            returned=call.spent_s > 0,
            team_standing=problem.team_standing,
            kind_standing=problem.kind_standing,
            reserved=problem.reserved,
        )

    def missing_target_reason(self, call: calls.CallerCall) -> str:
        """Return why no target is left for a call."""
        if self._selector.is_evacuated(call):
            return 'evacuated'
        return 'origin_gone' if call.continues else 'no_target'

    def refuse_without_target(self, call: calls.CallerCall) -> None:
        """End a call for which no target is left."""
        if call.request.head_sent or call.may_have_run:
            self._responder.give_up(call, None)
            return
        self._responder.refuse(
            call,
            self.missing_target_reason(call),
            responses.NO_TARGET_RETRY_AFTER_S,
        )

    def refuse_quarantined(self, call: calls.CallerCall) -> None:
        """Refuse a call that may crash its targets."""
        decision = self._forwarder.check_parts(call)
        self._responder.refuse(
            call,
            'quarantined',
            max(decision.retry_after_s, self._forwarder.content_delay_s(call)),
            part=decision.blocked_by,
            deaths=decision.deaths,
        )

    def refuse_evacuated(self, call: calls.CallerCall) -> None:
        """Refuse a call for which evacuations have left no target."""
        self._responder.refuse(
            call, 'evacuated', responses.NO_TARGET_RETRY_AFTER_S
        )

    def refuse_by_targets(
        self, call: calls.CallerCall, delay_s: float
    ) -> None:
        """Refuse a call because its targets accept no more requests now.

        :param delay_s: time until one of them accepts the next one, for which
            other callers wait as well.
        """
        self._responder.refuse(
            call,
            'targets_held_back',
            max(delay_s, responses.DEFAULT_RETRY_AFTER_S),
        )

    def refuse_cold(self, call: calls.CallerCall, delay_s: float) -> None:
        """Refuse a call; a permit or a warm target is due after a delay."""
        self._forwarder.retract_request(call)
        self._responder.refuse(
            call,
            'targets_cold',
            max(delay_s, responses.DEFAULT_RETRY_AFTER_S),
            cold_targets=sorted(call.cold_denied),
        )
