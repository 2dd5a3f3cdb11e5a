"""Decides which requests a host that stops can still serve.

From the stop signal on it is known when the host cuts off what is unfinished.
A request whose response will not be complete by then is refused as soon as
that is known, so that its caller goes to another host.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import math
import time

from walnutport.gateway.entry import calls
from walnutport.gateway.entry import remaining_time
from walnutport.gateway.entry import responses
from walnutport.gateway.operations import metrics
from walnutport.gateway.peers import peer_state
from walnutport.gateway.targets import attempts
from walnutport.lifecycle import host_end

__all__ = ['Place', 'StopDecisions', 'has_host_for_callers']


class Place(enum.StrEnum):
    """Where a decision is taken on the way of a request."""

    ARRIVAL = 'arrival'
    #: Before the stages are submitted, for the first or the second time.
    STAGES = 'stages'
    #: Before a target is selected.
    ATTEMPT = 'attempt'
    #: Before the budget of retries is asked for another attempt.
    RETRY = 'retry'
    #: Directly before the request is written to a target.
    SEND = 'send'
    #: At each tick, while the request waits.
    WAIT = 'wait'
    #: Before the first event of a stream is forwarded.
    FIRST_EVENT = 'first_event'


class StopDecisions:
    """Compares the expected end of requests with that of the host.

    :param end: end of the host.
    :param remaining: forecast of the end of requests.
    :param others_take_callers: returns whether another host takes callers.
    """

    def __init__(
        self,
        log,
        end: host_end.HostEnd,
        remaining: remaining_time.RemainingTime,
        responder: responses.Responder,
        entry_metrics: metrics.EntryMetrics,
        others_take_callers: Callable[[], bool],
    ) -> None:
        self._log = log
        self._end = end
        self._remaining = remaining
        self._responder = responder
        self._metrics = entry_metrics
        self._others_take_callers = others_take_callers

    def can_end(self, call: calls.CallerCall, place: Place) -> bool:
        """Return whether a request will end before the host.

        A stream that has begun goes on as long as it can, as its caller may
        take it up at another host.
        """
        if not self._end.is_set or call.request.head_sent:
            return True
        now = time.monotonic()
        expected_s = self._needed_s(call, now)
        if place is Place.WAIT and self._end.fits(expected_s, now):
            # This is asked at each tick.
            return True
        return self._check(call, place, expected_s, now)

    def can_deliver(self, call: calls.CallerCall) -> bool:
        """Return whether a stream whose first event is here ends in time.

        The events may have come later than expected. Until the first one is
        forwarded, a caller that may repeat the request can still be told to;
        afterwards its stream would be cut off.
        """
        if (
            not self._end.is_set
            or call.request.head_sent
            or not call.route.repeatable
        ):
            return True
        now = time.monotonic()
        expected_s = min(self._remaining.events_s(call), call.time_left_s())
        return self._check(call, Place.FIRST_EVENT, expected_s, now)

    def _needed_s(self, call: calls.CallerCall, now: float) -> float:
        """Return the time that a request needs to end for sure.

        One that may run once only, and whose response is short, needs all the
        time that it has: if it is cut off, its caller can neither repeat it
        nor know whether it ran. Until it is sent, another host can serve it.
        """
        if not call.is_stream and not call.route.repeatable:
            return max(0.0, call.deadline_at - now)
        return self._remaining.expected_s(call, now)

    def _check(
        self,
        call: calls.CallerCall,
        place: Place,
        expected_s: float,
        now: float,
    ) -> bool:
        """Return whether a response ends in time, and record the decision."""
        fits = self._end.fits(expected_s, now)
        self._metrics.stop_checked(place, fits)
        self._log.routine(
            'stop_checked',
            id=call.request_id,
            place=place.value,
            fits=fits,
            expected_s=round(expected_s, 3),
            host_left_s=round(self._end.left_s(now), 3),
        )
        return fits

    def turn_away(
        self,
        call: calls.CallerCall,
        place: Place,
        result: attempts.AttemptResult | None = None,
    ) -> bool:
        """Respond to a request that will not end before the host.

        :param result: outcome of the last attempt, None without one.
        :returns: whether it was responded to.
        """
        if self.can_end(call, place):
            return False
        self.refuse(call, result)
        return True

    def refuse(
        self,
        call: calls.CallerCall,
        result: attempts.AttemptResult | None = None,
    ) -> None:
        """Respond that the request did not run, unless it may have run."""
        if call.request.head_sent or call.may_have_run:
            self._responder.give_up(call, result)
            return
        now = time.monotonic()
        self._responder.refuse(
            call,
            'stopping',
            self._retry_after_s(now),
            expected_s=round(self._needed_s(call, now), 3),
            host_left_s=round(self._end.left_s(now), 3),
        )

    def first_event_limit_s(self, call: calls.CallerCall) -> float:
        """Return the time in which the first event of a stream must come.

        :returns: ``math.inf`` if the stream has begun, or if its deadline ends
            it before the host.
        """
        now = time.monotonic()
        if call.request.head_sent or self._end.fits(call.time_left_s(), now):
            return math.inf
        return (
            self._end.left_s(now)
            - host_end.DELIVERY_MARGIN_S
            - self._remaining.events_s(call)
        )

    def _retry_after_s(self, now: float) -> float:
        """Return the time until another host, or the next one, takes callers.

        The jitter of the responder does not bring it before the end.
        """
        if self._others_take_callers():
            return responses.STOPPING_RETRY_AFTER_S
        left_s = max(responses.STOPPING_RETRY_AFTER_S, self._end.left_s(now))
        return left_s / (1 - responses.RETRY_AFTER_JITTER)


def has_host_for_callers(peers: Iterable[peer_state.PeerState]) -> bool:
    """Return whether any of the peers may take callers.

    A peer without a link may do so unless it could not be reached.
    """
    return any(
        peer.failing_since is None
        and (peer.heartbeat is None or not peer.heartbeat.draining)
        for peer in peers
    )
