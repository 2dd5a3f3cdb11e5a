"""Sends a request to one target and classifies the outcome."""

from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import enum
import functools
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.gateway.entry import calls
from walnutport.gateway.streams import stream_record
from walnutport.gateway.targets import run_check
from walnutport.gateway.targets import target_reports
from walnutport.http1 import body_buffer
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import messages
from walnutport.platform import headers
from walnutport.relay import resumable
from walnutport.routing import eligibility
from walnutport.routing import send_permits
from walnutport.world import registrations
from walnutport.world import requests

__all__ = [
    'AttemptReceiver',
    'AttemptResult',
    'AttemptSender',
    'AttemptStatus',
    'DEADLINE_DETAIL',
    'STOPPING_DETAIL',
]

# Complete events of a stream after which its target does not crash because of
# the prompt.
PROVEN_EVENTS = 3
#: Detail of an attempt that was not sent as its time was over.
DEADLINE_DETAIL = 'deadline'
#: Detail of an attempt that was not sent as it would not end before the host.
STOPPING_DETAIL = 'host is stopping'
# Detail of an attempt whose response only the close has ended, too early.
BROKEN_OFF_DETAIL = 'response without a length has broken off'
# Details of attempts whose response does not go on with the stream.
OTHER_TYPE_DETAIL = 'response of another type than the stream'
GAP_DETAIL = 'gap in the event stream'
ENDED_EARLY_DETAIL = 'event stream ended early (partial or no event)'
# Subtracted from the deadline that a target gets, so that its response can
# still reach the caller in time.
RESPONSE_MARGIN_S = 0.01
# A repeatable request can use any idle channel. Other requests use a channel
# that was idle for at most this long, or else a new one: when an idle channel
# is reset, it is unknown whether the request ran.
NON_REPEATABLE_MAX_IDLE_S = 0.05
# Bytes of a stream, which is forwarded as it arrives.
MAX_STREAM_BYTES = 64 << 20
# A target that does not accept a connection within this time counts as
# unreachable.
CONNECT_TIMEOUT_S = 0.6


class AttemptStatus(enum.Enum):
    """What is known of the request after an attempt."""

    #: A complete response came: one with a seal or one with an error status.
    ANSWERED = 'answered'
    #: Nothing was written to the target.
    NOT_SENT = 'not_sent'
    #: Nothing was written, as the target is cold and there is no permit.
    NO_PERMIT = 'no_permit'
    #: The target reported that it did not run the request.
    NOT_RUN = 'not_run'
    #: The address belongs to another target now.
    WRONG_TARGET = 'wrong_target'
    #: The inputs no longer exist; the request did not run.
    INPUTS_GONE = 'inputs_gone'
    #: The request may have run, and no usable response came.
    LOST = 'lost'
    #: The stream was forwarded to its end.
    STREAMED = 'streamed'
    #: The stream started but did not reach its end.
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of an attempt.

    :param head: head of the target's response, if one came.
    :param body: complete body of the response, unless it was streamed.
    :param detail: explanation for the log.
    :param reset: whether the channel was reset or closed before the response
        was complete.
    :param load: load that the target reported with its response.
    :param is_deferred: whether the target has asked for time, or is leaving,
        so that the failure is none of its own.
    :param ended_by_close: whether only the close of the channel has ended the
        response, which is how a target that crashes ends it as well.
    :param was_alive: whether the target has answered on the channel, to this
        request or to one before it.
    :param is_passed_over: whether the target was not sent the request because
        of the run that answers there; it does not count as unreachable.
    :param run: start of the process that has answered, in Unix milliseconds;
        None if it has not reported it on the channel.
    """

    status: AttemptStatus
    target: registrations.RegisteredTarget
    head: messages.ResponseHead = messages.EMPTY_HEAD
    body: bytes = b''
    detail: str = ''
    reset: bool = False
    load: requests.ResponseLoad | None = None
    is_deferred: bool = False
    ended_by_close: bool = False
    was_alive: bool = False
    run: int | None = None
    is_passed_over: bool = False

    @property
    def failed_to_connect(self) -> bool:
        """Whether no connection to the target was possible."""
        return (
            self.status is AttemptStatus.NOT_SENT
            and not self.is_deferred
            and self.detail != DEADLINE_DETAIL
        )

    @property
    def has_response(self) -> bool:
        """Whether a complete response came that may be forwarded."""
        return self.status is AttemptStatus.ANSWERED

    @property
    def needs_check(self) -> bool:
        """Whether it is complete only if its target goes on answering."""
        return (
            self.ended_by_close
            and not self.is_empty_until_close
            and self.status in (AttemptStatus.ANSWERED, AttemptStatus.STREAMED)
        )

    @property
    def is_empty_until_close(self) -> bool:
        """Whether a success has neither a length nor a body.

        A target may have stopped in the middle of its head as well.
        """
        return (
            self.ended_by_close
            and self.status is AttemptStatus.ANSWERED
            and self.head.status < 300
            and not self.body
        )

    @property
    def close_outcome(self) -> stream_record.CloseOutcome | None:
        """How a response was judged that only the close has ended.

        None for others. It is meant for results whose target was checked.
        """
        if not self.ended_by_close:
            return None
        if self.status in (AttemptStatus.ANSWERED, AttemptStatus.STREAMED):
            return stream_record.CloseOutcome.CONFIRMED
        if self.detail != BROKEN_OFF_DETAIL:
            return stream_record.CloseOutcome.UNCHECKED
        if (
            self.status is AttemptStatus.LOST
            and self.head.status < 300
            and not self.body
        ):
            return stream_record.CloseOutcome.EMPTY
        return stream_record.CloseOutcome.REFUTED

    def broken_off(self) -> 'AttemptResult':
        """Return the result of a response that has broken off."""
        return dataclasses.replace(
            self,
            status=(
                AttemptStatus.BROKEN
                if self.status is AttemptStatus.STREAMED
                else AttemptStatus.LOST
            ),
            detail=BROKEN_OFF_DETAIL,
            reset=True,
        )

    @property
    def is_final(self) -> bool:
        """Whether a response came after which a retry would be useless."""
        return self.has_response and self.head.status < 500


class AttemptReceiver:
    """Receives the response to one attempt.

    :param relay: splits a stream into the events to forward as they arrive;
        None collects the complete response first.
    :param on_first_event: called when the first event is forwarded.
    :param on_head: called with the fields and the status of a response.
    :param on_proven: called once enough events have arrived to show that the
        prompt does not crash the target.
    :param can_deliver: returns whether a stream that begins now will end
        before the host.
    """

    def __init__(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        relay: resumable.EventRelay | None,
        on_first_event: Callable[[], None],
        on_head: Callable[[requests.ResponseFields, int], None],
        on_proven: Callable[[], None] = lambda: None,
        can_deliver: Callable[[calls.CallerCall], bool] = lambda call: True,
    ) -> None:
        self._can_deliver = can_deliver
        self._on_proven = on_proven
        self._is_proven = False
        self._call = call
        self._target = target
        self._relay = relay or resumable.EventRelay()
        self._has_relay = relay is not None
        self._events_before = self._relay.events
        self._on_first_event = on_first_event
        self._on_head = on_head
        self._head = messages.EMPTY_HEAD
        self._fields = headers.decode_response_headers(messages.EMPTY_HEAD)
        self._body = body_buffer.BodyBuffer()
        self._streaming = False
        self._channel: client_channel.ClientChannel | None = None
        self.first_event_at = 0.0
        self.done: defer.Deferred = defer.Deferred(self._on_cancel)

    def set_channel(self, channel: client_channel.ClientChannel) -> None:
        """Set the channel that carries the attempt."""
        self._channel = channel

    @property
    def max_body_bytes(self) -> int:
        """Bytes of the body after which the response is cut off."""
        if self._streaming:
            return MAX_STREAM_BYTES
        return channel_pool.MAX_RESPONSE_BYTES

    @property
    def keeps_body(self) -> bool:
        """Whether the body is kept until its end."""
        return not self._streaming

    def is_named_in(self, head: messages.ResponseHead) -> bool:
        """Return whether a head names a request."""
        return bool(headers.response_request_id(head))

    def head_received(self, head: messages.ResponseHead) -> bool:
        fields = headers.decode_response_headers(head)
        if fields.request_id and fields.request_id != self._call.request_id:
            return False
        self._head = head
        self._fields = fields
        self._on_head(fields, head.status)
        if self._has_relay:
            self._call.delivery.response_began(self._relay, head)
        self._streaming = (
            self._has_relay
            and head.status == 200
            and fields.sealed
            and self._relay.begin_run(headers.media_type(head))
        )
        return True

    def body_received(self, data: bytes) -> None:
        if not self._streaming:
            self._body.add(data)
            return
        events = self._relay.feed(data)
        if events and not self._can_deliver(self._call):
            self._complete(AttemptStatus.LOST, STOPPING_DETAIL)
            self._drop_channel()
            return
        if events:
            self._forward(events)
        if self._relay.has_gap or self._relay.is_oversized:
            self._complete(
                AttemptStatus.BROKEN,
                GAP_DETAIL
                if self._relay.has_gap
                else f'event of more than {resumable.MAX_EVENT_BYTES} bytes',
            )
            self._drop_channel()

    def _forward(self, events: bytes) -> None:
        """Forward complete events to the caller."""
        arrived = self._relay.events - self._events_before
        if arrived >= PROVEN_EVENTS and not self._is_proven:
            self._is_proven = True
            self._on_proven()
        if arrived and not self.first_event_at:
            self.first_event_at = time.monotonic()
            self._on_first_event()
        request = self._call.request
        if not request.head_sent:
            self._call.status = self._head.status
            request.start(
                self._head.status,
                headers.forwarded_response_headers(self._head),
            )
        if self._channel is not None:
            request.set_source(self._channel)
        request.write(events)
        self._call.delivery.forwarded(
            self._target, self._relay, self._call.binding
        )

    def finished(self) -> None:
        if self._streaming:
            request = self._call.request
            if (
                self._relay.has_partial
                or not request.head_sent
                or self._relay.lacks_continuation
            ):
                self._complete(
                    AttemptStatus.BROKEN,
                    ENDED_EARLY_DETAIL,
                    # A response without a length ends with its channel, also
                    # if its target has crashed.
                    reset=True,
                )
                return
            self._complete(AttemptStatus.STREAMED)
            return
        self._complete(*self._classify_response())

    def failed(self, failure: exceptions.ChannelError) -> None:
        if not failure.written:
            self._complete(AttemptStatus.NOT_SENT, str(failure))
        elif self._streaming and self._call.request.head_sent:
            self._complete(AttemptStatus.BROKEN, str(failure), reset=True)
        else:
            self._complete(
                AttemptStatus.LOST, str(failure), reset=not failure.malformed
            )

    def _classify_response(self) -> tuple[AttemptStatus, str]:
        """Return the status and the detail for a complete response."""
        status = self._head.status
        if self._fields.not_run:
            if status == 421:
                return AttemptStatus.WRONG_TARGET, ''
            if status == 409:
                return AttemptStatus.INPUTS_GONE, ''
            return AttemptStatus.NOT_RUN, str(status)
        if status == 421:
            return AttemptStatus.WRONG_TARGET, ''
        if 200 <= status < 300 and not self._fields.sealed:
            return AttemptStatus.LOST, 'response without a seal'
        if (
            self._has_relay
            and 200 <= status < 300
            and self._call.request.head_sent
        ):
            return AttemptStatus.LOST, OTHER_TYPE_DETAIL
        return AttemptStatus.ANSWERED, str(status)

    def _complete(
        self, status: AttemptStatus, detail: str = '', reset: bool = False
    ) -> None:
        if self.done.called:
            return
        self._end_stream()
        self.done.callback(
            AttemptResult(
                status,
                self._target,
                self._head,
                self._body.take(),
                detail,
                reset,
                self._fields.load,
                self._fields.leaving
                or self._fields.retry_after_s is not None
                or detail == STOPPING_DETAIL,
                self._channel is not None and self._channel.ended_by_close,
                self._channel is not None and self._channel.was_answered,
                None if self._channel is None else self._channel.run,
            )
        )

    def _on_cancel(self, deferred: defer.Deferred) -> None:
        self._end_stream()
        self._drop_channel()

    def _end_stream(self) -> None:
        """Let the caller's connection pause the channel no more."""
        if self._streaming and self._channel is not None:
            self._call.request.clear_source(self._channel)

    def _drop_channel(self) -> None:
        if self._channel is not None:
            self._channel.cancel()


class AttemptSender:
    """Sends attempts to targets.

    :param pool: channels to targets.
    :param reports: evaluates what targets state in their responses.
    :param admit: returns whether a call may be sent, as it does not crash its
        targets.
    :param can_end: returns whether a call will end before the host.
    :param can_deliver: returns the same at the first event of a stream.
    :param target_eligibility: decides which targets may get new work.
    :param check_run: decides whether a stream may be sent on a channel, by the
        run of the target at its other end.
    :param may_send: returns whether a request may be sent with a permit or
        without one, as the target is cold or not.
    """

    def __init__(
        self,
        reactor,
        pool: channel_pool.ChannelPool,
        reports: target_reports.TargetReports,
        admit: Callable[[calls.CallerCall], bool],
        can_end: Callable[[calls.CallerCall], bool],
        can_deliver: Callable[[calls.CallerCall], bool],
        target_eligibility: eligibility.Eligibility,
        check_run: Callable[
            ..., Coroutine[object, object, run_check.RunDecision]
        ],
        may_send: Callable[
            [registrations.RegisteredTarget, send_permits.SendPermit | None],
            bool,
        ],
    ) -> None:
        self._eligibility = target_eligibility
        self._check_run = check_run
        self._may_send = may_send
        self._reactor = reactor
        self._admit = admit
        self._can_end = can_end
        self._can_deliver = can_deliver
        self._pool = pool
        self._reports = reports

    async def send(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        relay: resumable.EventRelay | None = None,
        on_first_event: Callable[[], None] = lambda: None,
        resume_after: int | None = None,
        priority: int | None = None,
        on_proven: Callable[[], None] = lambda: None,
        on_sent: Callable[[], None] = lambda: None,
        permit: send_permits.SendPermit | None = None,
    ) -> AttemptResult:
        """Send a request to a target and wait for its response.

        :param relay: splits a stream into events; None collects the complete
            response.
        :param on_first_event: called when the first event is forwarded.
        :param resume_after: id of the event after which a stream resumes.
        :param priority: priority that the target is told.
        :param on_proven: called once it is clear that the prompt does not
            crash the target.
        :param on_sent: called when the request is written.
        :param permit: permit to send to a cold target; None without one.
        """
        try:
            channel, decision = await self._acquire_checked(call, target)
        except exceptions.ChannelError as problem:
            if problem.refused:
                self._reports.connection_refused(target)
            return AttemptResult(
                AttemptStatus.NOT_SENT, target, detail=str(problem)
            )
        if decision.refusal or not channel.alive:
            channel.close()
            return AttemptResult(
                AttemptStatus.NOT_SENT,
                target,
                detail=decision.refusal or 'channel has ended',
                is_deferred=True,
                is_passed_over=True,
            )
        call.binding = decision.binding
        time_left_s = call.time_left_s() - RESPONSE_MARGIN_S
        if time_left_s <= 0 or call.request.disconnected:
            self._pool.release(channel)
            return AttemptResult(
                AttemptStatus.NOT_SENT, target, detail=DEADLINE_DETAIL
            )
        reason = self._eligibility.reason(target)
        if reason is not None or self._reports.is_held(target):
            # This has changed while the channel was being opened.
            self._release(target, channel)
            return AttemptResult(
                AttemptStatus.NOT_SENT,
                target,
                detail='target has asked for time'
                if reason is None
                else f'target is {reason.value}',
                is_deferred=True,
            )
        if not self._admit(call):
            # A peer may have said so while the channel was being opened.
            self._release(target, channel)
            return AttemptResult(
                AttemptStatus.NOT_SENT,
                target,
                detail='quarantined',
                is_deferred=True,
            )
        if not self._can_end(call):
            # The waits for a permit and a channel have used up the time.
            self._release(target, channel)
            return AttemptResult(
                AttemptStatus.NOT_SENT,
                target,
                detail=STOPPING_DETAIL,
                is_deferred=True,
            )
        receiver = AttemptReceiver(
            call,
            target,
            relay,
            on_first_event,
            functools.partial(self._reports.response_received, target),
            on_proven,
            self._can_deliver,
        )
        receiver.set_channel(channel)
        request = call.request
        data = messages.encode_request(
            request.method,
            request.target,
            headers.forwarded_request_headers(
                request.headers,
                target_id=target.target_id,
                team=call.team,
                remaining_s=time_left_s,
                inputs=call.inputs,
                last_event_id=resume_after,
                priority=priority,
            ),
            request.body,
        )
        if not self._may_send(target, permit):
            # The permit has ended, or the target has become cold meanwhile.
            self._release(target, channel)
            return AttemptResult(
                AttemptStatus.NO_PERMIT,
                target,
                detail='no permit for a cold target',
                is_deferred=True,
            )
        call.record_send(target.target_id)
        call.is_underway = True
        on_sent()
        channel.send(data, receiver, functools.partial(self._release, target))
        result = await receiver.done
        if result.status in (
            AttemptStatus.NOT_RUN,
            AttemptStatus.WRONG_TARGET,
            AttemptStatus.INPUTS_GONE,
        ):
            call.possible_runs -= 1
        if result.detail in (
            OTHER_TYPE_DETAIL,
            GAP_DETAIL,
            ENDED_EARLY_DETAIL,
        ):
            self._reports.rejected_stream_count += 1
        return result

    def _release(
        self,
        target: registrations.RegisteredTarget,
        channel: client_channel.ClientChannel,
    ) -> None:
        """Keep an idle channel for later requests, if there may be any."""
        if self._reports.is_leaving(target):
            channel.close()
        else:
            self._pool.release(channel)

    async def _acquire_checked(
        self, call: calls.CallerCall, target: registrations.RegisteredTarget
    ) -> tuple[client_channel.ClientChannel, run_check.RunDecision]:
        """Return a channel, and whether a call may be sent on it.

        The target may close the channel with its report, or in place of it. It
        is asked on a second one; on a third one, it is not asked.

        :raises ChannelError: if no channel can be opened.
        """
        channel = await self._acquire_channel(call, target)
        for may_ask in (True, True, False):
            try:
                decision = await self._check_run(
                    call, target, channel, may_ask
                )
            except Exception:
                channel.close()
                raise
            if not decision.needs_channel:
                break
            channel = await self._open_channel(call, target)
        return channel, decision

    async def _acquire_channel(
        self, call: calls.CallerCall, target: registrations.RegisteredTarget
    ) -> client_channel.ClientChannel:
        max_idle_s = (
            None if call.route.repeatable else NON_REPEATABLE_MAX_IDLE_S
        )
        # On a channel that has carried the request before, a copy of the first
        # response could not be told from the next one.
        if target.target_id not in call.targets:
            channel = self._pool.take_idle(target.address, max_idle_s)
            if channel is not None:
                return channel
        return await self._open_channel(call, target)

    async def _open_channel(
        self, call: calls.CallerCall, target: registrations.RegisteredTarget
    ) -> client_channel.ClientChannel:
        return await self._pool.open(
            target.address,
            min(CONNECT_TIMEOUT_S, max(0.05, call.time_left_s())),
        )
