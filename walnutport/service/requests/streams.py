"""Runs a streaming stage: one session that spans all its attempts."""

from collections.abc import Callable
import dataclasses

from walnutport.adapters import engine_client
from walnutport.adapters import stage_client
from walnutport.lifecycle import answers
from walnutport.relay import stream
from walnutport.service.requests import calls
from walnutport import world

__all__ = ['StreamedStage', 'open_stream']


class StreamedStage:
    """Runs the attempts of one streaming stage of one call.

    ``session.started`` tells whether an event was sent to the caller; from
    then on the stage must not be hedged.
    """

    def __init__(
        self, client: engine_client.EngineClient, sink: calls.StreamSink
    ) -> None:
        self._client = client
        self._sink = sink
        self._events_by_attempt: dict[str, int] = {}
        self.session = stream.StreamSession()

    async def perform(
        self,
        target: world.Target,
        call: stage_client.StageCall,
        on_sent: Callable[[], None],
    ) -> stage_client.StageReply:
        """Run an attempt that starts at the next event the caller needs."""
        resuming_call = dataclasses.replace(
            call, resume_from=self.session.next_event
        )
        counters = self._client.counters
        counters.attempts += 1
        counters.resumed += self.session.started
        attempt_stream = self.session.open_attempt()
        try:
            return await self._client.stream(
                target, resuming_call, attempt_stream, self._sink, on_sent
            )
        finally:
            self._events_by_attempt[call.attempt_id] = (
                attempt_stream.event_count
            )
            attempt_stream.close()
            counters.events += attempt_stream.event_count
            counters.abandoned_events += attempt_stream.abandoned_events
            counters.repeated_events += attempt_stream.repeated_events

    def event_count(self, attempt_id: str) -> int:
        """Return how many events an attempt received, however it ended."""
        return self._events_by_attempt.get(attempt_id, 0)

    def failure_reason(self, reason: answers.Reason) -> answers.Reason:
        """Return the reason of a final failure to report to the caller."""
        if self.session.started:
            return answers.Reason.STREAM_INCOMPLETE
        return reason


def open_stream(
    client: engine_client.EngineClient, call: calls.Call, stage: world.Stage
) -> StreamedStage | None:
    """Return the stream of a stage, or None if it does not stream."""
    last = call.pipeline.stages[-1]
    if call.sink is None or not call.streams or stage is not last:
        return None
    return StreamedStage(client, call.sink)
