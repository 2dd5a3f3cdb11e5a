"""Serves streams: runs their stages, then forwards what engines send."""

from collections.abc import Callable
import functools
import time

from walnutport import exceptions
from walnutport.gateway.entry import calls
from walnutport.gateway.entry import job_specs
from walnutport.gateway.entry import remaining_time
from walnutport.gateway.entry import responses
from walnutport.gateway.entry import stop_decisions
from walnutport.gateway.entry import unserved_calls
from walnutport.gateway.operations import metrics
from walnutport.gateway.stages import stage_client
from walnutport.gateway.streams import origin_exchange
from walnutport.gateway.streams import stream_claims
from walnutport.gateway.targets import attempts
from walnutport.gateway.targets import forwarding
from walnutport.gateway.targets import target_selector
from walnutport.relay import resumable
from walnutport.routing import stream_origins
from walnutport.stages import pieces
from walnutport.world import registrations

__all__ = ['StreamServer']


class StreamServer:
    """Serves the streams of callers."""

    def __init__(
        self,
        selector: target_selector.TargetSelector,
        forwarder: forwarding.Forwarder,
        unserved: unserved_calls.UnservedCalls,
        stages: stage_client.StageClient,
        origins: origin_exchange.OriginExchange,
        claims: stream_claims.StreamClaims,
        entry_metrics: metrics.EntryMetrics,
        remaining: remaining_time.RemainingTime,
        stop: stop_decisions.StopDecisions,
    ) -> None:
        self._selector = selector
        self._forwarder = forwarder
        self._unserved = unserved
        self._stages = stages
        self._origins = origins
        self._claims = claims
        self._metrics = entry_metrics
        self._remaining = remaining
        self._stop = stop
        # Stages of streams that only targets of one version may go on with.
        self._continued_runs: dict[
            calls.CallerCall, stage_client.StageRun
        ] = {}

    def tick(self) -> None:
        """Abandon stages of streams whose version has no target left."""
        for call, stage_run in list(self._continued_runs.items()):
            if not self._selector.has_target(call):
                stage_run.abandon(
                    self._unserved.missing_target_reason(call),
                    responses.NO_TARGET_RETRY_AFTER_S,
                )

    async def serve_staged(self, call: calls.CallerCall) -> None:
        """Run the stages of a call, then forward its stream."""
        counts = call.fields.piece_counts
        if counts is None or len(counts) != len(call.route.stages):
            call.send_local_response(400, 'malformed')
            return
        if self._selector.is_evacuated(call):
            self._unserved.refuse_evacuated(call)
            return
        delay_s = self._selector.stated_delay_s(call)
        if delay_s is not None and delay_s > call.time_left_s():
            self._unserved.refuse_by_targets(call, delay_s)
            return
        delay_s = self._selector.permit_delay_s(call)
        if delay_s > max(0.0, call.aim_at - time.monotonic()):
            self._unserved.refuse_cold(call, delay_s)
            return
        relay = resumable.EventRelay(call.fields.last_event_id)
        if not await self._run_staged(call, counts, relay, is_repeat=False):
            return
        if self._selector.has_target(call):
            await self._run_staged(call, counts, relay, is_repeat=True)
        else:
            self._unserved.refuse_without_target(call)

    async def _run_staged(
        self,
        call: calls.CallerCall,
        piece_counts: tuple[int, ...],
        relay: resumable.EventRelay,
        is_repeat: bool,
    ) -> bool:
        """Run the stages of a request, then the request itself.

        :param relay: events that its caller has.
        :param is_repeat: whether the stages run for the second time.
        :returns: whether the stages are to run again, as their results were
            gone when the engine asked for them.
        """
        now = time.monotonic()
        call.stages_begun_at = now
        if self._stop.turn_away(call, stop_decisions.Place.STAGES):
            return False
        limit_s = self._stop.first_event_limit_s(call)
        spec = job_specs.job_spec(
            call,
            piece_counts,
            self._stages.new_job_id(),
            self._remaining.first_events.expected_s(call.fields.prompt),
            now,
            was_admitted=is_repeat,
            limit_s=limit_s,
        )
        with stage_client.StageRun(self._stages, spec) as stage_run:
            if call.origin is not None:
                self._continued_runs[call] = stage_run
            try:
                result = await stage_run.run()
            except exceptions.StagesRefused as problem:
                if problem.reason == 'deadline' and spec.deadline_s == limit_s:
                    # The end of the host is the deadline.
                    self._stop.refuse(call)
                else:
                    self._unserved.refuse_stages(call, stage_run, problem)
                return False
            finally:
                self._continued_runs.pop(call, None)
                call.stages_begun_at = 0.0
            took_s = time.monotonic() - now
            call.stages_s += took_s
            self._remaining.stages_ended(call, took_s)
            call.record_earlier_attempts(result.spent_s)
            call.engine_id = result.target_id
            call.inputs = tuple(
                piece_result.handle for piece_result in result.results
            )
            call.input_bytes_by_data_centre = pieces.bytes_by_data_centre(
                result.results
            )
            return await self.serve(
                call, relay, stage_run.release, may_run_stages=not is_repeat
            )

    async def serve(
        self,
        call: calls.CallerCall,
        relay: resumable.EventRelay,
        on_inputs_read: Callable[[], None] = lambda: None,
        may_run_stages: bool = False,
    ) -> bool:
        """Forward the stream of a call from one engine or several.

        :param relay: events that its caller has.
        :param may_run_stages: whether its stages may run again.
        :returns: whether its stages are to run again; nothing is forwarded
            until then.
        """
        result = None
        while True:
            if self._stop.turn_away(
                call, stop_decisions.Place.ATTEMPT, result
            ):
                return False
            if self._unserved.goes_by_peer(call):
                await self._unserved.serve_by_peer(call)
                return False
            target = self._selector.select_engine(call)
            if target is None:
                break
            on_first_event = functools.partial(
                self._first_event_received,
                call,
                target,
                time.monotonic(),
                on_inputs_read,
            )
            resume_after = relay.last_id if call.request.head_sent else None
            attempt = await self._forwarder.attempt(
                call, target, relay, on_first_event, resume_after
            )
            if attempt.status is attempts.AttemptStatus.NO_PERMIT:
                continue
            result = attempt
            if result.status is attempts.AttemptStatus.STREAMED:
                call.outcome = 'streamed'
                call.request.finish()
                self._remaining.stream_ended(call, time.monotonic())
                return False
            relay.discard_partial()
            if not result.is_final and self._stop.turn_away(
                call, stop_decisions.Place.RETRY, result
            ):
                return False
            if (
                may_run_stages
                and result.status is attempts.AttemptStatus.INPUTS_GONE
                and self._forwarder.try_acquire_new_inputs(call, result)
            ):
                return True
            if result.is_final or not self._forwarder.try_acquire_retry(
                call, result
            ):
                break
        await self._unserved.give_up(call, result)
        return False

    def _first_event_received(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        attempt_started_at: float,
        on_inputs_read: Callable[[], None],
    ) -> None:
        """Handle the first event of an attempt, before it is forwarded.

        The time to the first event of a resumed stream is not recorded.

        :param attempt_started_at: when the attempt began.
        """
        on_inputs_read()
        if call.origin is None:
            version = self._selector.bound_version(call, target)
            call.origin = (
                stream_origins.StreamOrigin.of_unknown_run(target.service)
                if version is None
                else stream_origins.StreamOrigin(target.service, version)
            )
            self._origins.begun(call, call.origin)
            self._claims.begun(call.request_id)
        if call.first_event_at:
            return
        call.first_event_at = time.monotonic()
        self._remaining.first_events.observe(
            call.fields.prompt, call.first_event_at - attempt_started_at
        )
        self._metrics.first_event(call, call.first_event_at)
