"""Handles the requests of callers, from routing to the response."""

import time

from twisted.internet import defer
from twisted.python import failure as twisted_failure

from walnutport import exceptions
from walnutport.gateway.entry import calls
from walnutport.gateway.entry import remaining_time
from walnutport.gateway.entry import responses
from walnutport.gateway.entry import route_matcher
from walnutport.gateway.entry import stop_decisions
from walnutport.gateway.entry import stream_server
from walnutport.gateway.entry import unserved_calls
from walnutport.gateway.operations import metrics
from walnutport.gateway.peers import peer_relay
from walnutport.gateway.stages import stage_client
from walnutport.gateway.streams import origin_exchange
from walnutport.gateway.streams import stream_claims
from walnutport.gateway.targets import attempts
from walnutport.gateway.targets import forwarding
from walnutport.gateway.targets import target_selector
from walnutport.http1 import server
from walnutport.relay import resumable

__all__ = ['RequestHandler']

# Only this many characters at the end of a traceback are logged.
MAX_TRACE_CHARACTERS = 1500


class RequestHandler:
    """Serves the requests of callers.

    :param remaining: forecast of the end of requests.
    :param stop: decides which requests a host that stops can still serve.
    :ivar in_flight: calls whose response is not complete.
    """

    def __init__(
        self,
        reactor,
        log,
        matcher: route_matcher.RouteMatcher,
        selector: target_selector.TargetSelector,
        forwarder: forwarding.Forwarder,
        responder: responses.Responder,
        stages: stage_client.StageClient,
        origins: origin_exchange.OriginExchange,
        claims: stream_claims.StreamClaims,
        relay: peer_relay.PeerRelay,
        entry_metrics: metrics.EntryMetrics,
        remaining: remaining_time.RemainingTime,
        stop: stop_decisions.StopDecisions,
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._matcher = matcher
        self._selector = selector
        self._forwarder = forwarder
        self._responder = responder
        self._origins = origins
        self._claims = claims
        self._metrics = entry_metrics
        self._remaining = remaining
        self._stop = stop
        self._unserved = unserved_calls.UnservedCalls(
            selector, forwarder, responder, relay
        )
        self._streams = stream_server.StreamServer(
            selector,
            forwarder,
            self._unserved,
            stages,
            origins,
            claims,
            entry_metrics,
            remaining,
            stop,
        )
        self.in_flight: set[calls.CallerCall] = set()
        self._task_by_call: dict[calls.CallerCall, defer.Deferred] = {}

    def handle(
        self, request: server.ServerRequest, relayed_by: str = ''
    ) -> None:
        """Serve one request.

        :param relayed_by: name of the peer that relays it; empty for a caller
            of this host.
        """
        try:
            call = self._matcher.match(request)
        except exceptions.WireError as problem:
            self._log.notable('request_malformed', problem=str(problem))
            request.respond(400, [], b'')
            return
        if call is None:
            return
        call.relayed_by = relayed_by
        if relayed_by:
            self._log.routine(
                'relay_received',
                id=call.request_id,
                peer=relayed_by,
                elapsed_s=round(time.monotonic() - call.arrived_at, 3),
            )
        self._metrics.started(call)
        self.in_flight.add(call)
        task = defer.Deferred.fromCoroutine(self._serve(call))
        self._task_by_call[call] = task
        timer = self._reactor.callLater(
            max(0.0, call.deadline_at - time.monotonic()),
            self._expire,
            call,
            task,
        )
        request.on_disconnect = lambda: self._caller_disconnected(call, task)
        task.addErrback(self._handle_error, call)
        task.addBoth(lambda result: self._finish(call, timer))

    def tick(self) -> None:
        """End work for calls that no target can serve any more.

        While the host stops, calls that wait and would be cut off are refused.
        """
        self._streams.tick()
        for call, task in list(self._task_by_call.items()):
            if self._waits(call) and self._stop.turn_away(
                call, stop_decisions.Place.WAIT
            ):
                task.cancel()

    def cut_off(self) -> None:
        """Respond to all calls that are unfinished, as the host ends."""
        for call, task in list(self._task_by_call.items()):
            if not call.request.response_ended:
                self._responder.cut_off(call)
                task.cancel()

    @staticmethod
    def _waits(call: calls.CallerCall) -> bool:
        """Return whether neither a target nor a peer works on a call."""
        return not (
            call.request.response_ended
            or call.request.disconnected
            or call.is_underway
            and call.may_have_run
        )

    async def _serve(self, call: calls.CallerCall) -> None:
        if call.time_left_s() <= 0:
            self._responder.refuse(call, 'deadline')
            return
        if not self._forwarder.admit(call):
            self._unserved.refuse_quarantined(call)
            return
        if self._stop.turn_away(call, stop_decisions.Place.ARRIVAL):
            return
        if self._unserved.goes_by_peer(call):
            await self._unserved.serve_by_peer(call)
            return
        if call.continues:
            await self._find_origin(call)
            if call.request.response_ended:
                return
            if call.route.stages:
                call.holds_part = await self._claims.may_be_true(call)
        self._forwarder.record_request(call)
        if call.route.stages:
            await self._streams.serve_staged(call)
        elif call.is_stream:
            relay = resumable.EventRelay(call.fields.last_event_id)
            await self._streams.serve(call, relay)
        else:
            await self._serve_plain(call)

    async def _find_origin(self, call: calls.CallerCall) -> None:
        """Bind a stream that a caller takes up to where it began.

        The caller is refused if that is not known, or if no target of that
        service and version is left.
        """
        call.origin = await self._origins.resolve(call)
        if call.origin is None:
            self._responder.refuse(call, 'origin_unknown')
            return
        call.service = call.origin.service
        if self._selector.is_evacuated(call):
            self._unserved.refuse_evacuated(call)
        elif (
            call.service not in call.route.weight_by_service
            or self._selector.stated_delay_s(call) is None
        ):
            self._responder.refuse(call, 'origin_gone')

    async def _serve_plain(self, call: calls.CallerCall) -> None:
        result = None
        while True:
            if self._stop.turn_away(
                call, stop_decisions.Place.ATTEMPT, result
            ):
                return
            if self._unserved.goes_by_peer(call):
                await self._unserved.serve_by_peer(call)
                return
            target = self._selector.select_target(call)
            if target is None:
                break
            begun_at = time.monotonic()
            attempt = await self._forwarder.attempt(call, target)
            if attempt.status is attempts.AttemptStatus.NO_PERMIT:
                continue
            result = attempt
            if result.is_final:
                if result.head.status < 300:
                    self._remaining.answered(call, time.monotonic() - begun_at)
                break
            if self._stop.turn_away(call, stop_decisions.Place.RETRY, result):
                return
            if not self._forwarder.try_acquire_retry(call, result):
                break
        await self._unserved.give_up(call, result)

    def _expire(self, call: calls.CallerCall, task: defer.Deferred) -> None:
        if not call.request.response_ended:
            self._responder.expire(call)
            task.cancel()

    def _caller_disconnected(
        self, call: calls.CallerCall, task: defer.Deferred
    ) -> None:
        call.outcome = 'caller_left'
        task.cancel()

    def _handle_error(
        self, failure: twisted_failure.Failure, call: calls.CallerCall
    ) -> None:
        if not failure.check(defer.CancelledError):
            self._responder.fail(
                call,
                failure.getErrorMessage(),
                failure.getTraceback()[-MAX_TRACE_CHARACTERS:],
            )

    def _finish(self, call: calls.CallerCall, timer) -> None:
        if timer.active():
            timer.cancel()
        self.in_flight.discard(call)
        self._task_by_call.pop(call, None)
        self._forwarder.end_probe(call)
        if call.outcome != 'streamed':
            self._remaining.stream_broken_off(call, time.monotonic())
        self._responder.finish(call)
