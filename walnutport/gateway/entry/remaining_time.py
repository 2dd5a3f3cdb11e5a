"""Forecast of the time until the response to a caller is complete."""

from collections.abc import Callable
from collections.abc import Mapping

from walnutport.gateway.entry import calls
from walnutport.routing import durations
from walnutport.routing import first_event
from walnutport.stages import timing
from walnutport.world import routes

__all__ = ['RemainingTime']

# Values before the first measurements.
INITIAL_STAGES_S = 0.3
INITIAL_STREAM_S = 1.0
INITIAL_TOKEN_S = 0.02
INITIAL_PLAIN_S = 0.2


class RemainingTime:
    """Forecasts from the durations that this host has measured.

    :param rules_by_service: returns the batch rules of the stage services.
    :ivar first_events: forecast of the time to the first event of a stream.
    """

    def __init__(
        self,
        rules_by_service: Callable[[], Mapping[str, routes.BatchRules]],
    ) -> None:
        self._rules_by_service = rules_by_service
        self.first_events = first_event.FirstEventForecast()
        # Stages by route. The others by route and service: the routes of a
        # service can differ in length, and the longest are cut off otherwise.
        self._stages = durations.DurationForecast(INITIAL_STAGES_S)
        self._streams = durations.DurationForecast(
            INITIAL_STREAM_S, INITIAL_TOKEN_S
        )
        self._plain = durations.DurationForecast(INITIAL_PLAIN_S)

    def expected_s(self, call: calls.CallerCall, now: float) -> float:
        """Return the time in which the response is all but sure to complete.

        :param now: present time of the monotonic clock.
        :returns: at most the time until the deadline of the request, which
            ends it.
        """
        if call.is_stream:
            expected_s = (
                self._stages_s(call, now)
                + self.first_events.expected_s(call.fields.prompt)
                + self.events_s(call)
            )
        else:
            expected_s = self._plain.expected_s(
                call.route.name, group=call.service
            )
        return min(expected_s, max(0.0, call.deadline_at - now))

    def events_s(self, call: calls.CallerCall) -> float:
        """Return the time from the first event of a stream to its end."""
        return self._streams.expected_s(
            call.route.name, _output_tokens(call), call.service
        )

    def stages_ended(self, call: calls.CallerCall, took_s: float) -> None:
        """Add the measured duration of the stages of a request."""
        self._stages.observe(call.route.name, took_s)

    def stream_ended(self, call: calls.CallerCall, now: float) -> None:
        """Add the measured duration of a stream that has ended.

        A stream that its caller takes up has only some of the events.
        """
        if call.first_event_at and not call.continues:
            self._streams.observe(
                call.route.name,
                now - call.first_event_at,
                _output_tokens(call),
                call.service,
            )

    def stream_broken_off(self, call: calls.CallerCall, now: float) -> None:
        """Add the time after which a stream that has begun was broken off."""
        if call.first_event_at and not call.continues:
            self._streams.observe_unfinished(
                call.route.name,
                now - call.first_event_at,
                _output_tokens(call),
                call.service,
            )

    def answered(self, call: calls.CallerCall, took_s: float) -> None:
        """Add the measured duration of a request without a stream."""
        self._plain.observe(call.route.name, took_s, group=call.service)

    def _stages_s(self, call: calls.CallerCall, now: float) -> float:
        """Return the remaining time of the stages, 0 after their end."""
        is_running = call.stages_begun_at > 0
        counts = call.fields.piece_counts
        if not counts or not is_running and call.inputs is not None:
            return 0.0
        expected_s = max(
            timing.idle_chain_s(
                call.route.stages, counts, self._rules_by_service()
            ),
            self._stages.expected_s(call.route.name),
        )
        if is_running:
            expected_s -= now - call.stages_begun_at
        return max(0.0, expected_s)


def _output_tokens(call: calls.CallerCall) -> int:
    """Return the number of output tokens that a request allows, or 0."""
    prompt = call.fields.prompt
    return 0 if prompt is None else prompt.max_output_tokens
