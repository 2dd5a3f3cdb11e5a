"""Sends a request to one target and tells what came of it."""

from collections.abc import Callable
import dataclasses
import enum
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.gateway import calls
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import messages
from walnutport.platform import headers
from walnutport.relay import resumable
from walnutport.world import registrations
from walnutport.world import requests

__all__ = ['Attempt', 'AttemptResult', 'AttemptStatus', 'Attempts']

# Time taken off the deadline that a target gets, for the way back.
RETURN_S = 0.01
# A request that may be repeated can use a channel that was idle; others get a
# new one, as a reset of an idle channel would leave open whether they ran.
FRESH_IDLE_S = 0.05
# A target that cannot be connected within this time is taken as gone.
CONNECT_S = 0.6


class AttemptStatus(enum.Enum):
    """What is known after an attempt."""

    #: The target's whole answer, sealed or a failure of its own.
    ANSWERED = 'answered'
    #: Nothing was written to the target.
    NOT_SENT = 'not_sent'
    #: The target says that it did not run the request.
    NOT_RUN = 'not_run'
    #: Another target has the address.
    WRONG_TARGET = 'wrong_target'
    #: The inputs are gone; the request did not run.
    INPUTS_GONE = 'inputs_gone'
    #: The request may have run, and no complete answer came.
    LOST = 'lost'
    #: The stream was passed on to its end.
    STREAMED = 'streamed'
    #: The stream was begun and broke off.
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of an attempt.

    :param head: head of the target's answer, where one came.
    :param body: its whole body, unless it was streamed.
    :param reset: whether the channel was reset or closed.
    """

    status: AttemptStatus
    target: registrations.RegisteredTarget
    head: messages.ResponseHead = messages.EMPTY_HEAD
    body: bytes = b''
    detail: str = ''
    reset: bool = False
    load: requests.ReportedLoad | None = None

    @property
    def is_answer(self) -> bool:
        """Whether a whole answer came that the caller may get."""
        return self.status is AttemptStatus.ANSWERED

    @property
    def is_final(self) -> bool:
        """Whether it is an answer that no other target would better."""
        return self.is_answer and self.head.status < 500


class Attempt:
    """Receiver of one attempt's answer.

    :param relay: passes events on while they arrive; None collects the whole
        answer first.
    """

    def __init__(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        relay: resumable.EventRelay | None,
        on_first_event: Callable[[], None],
    ) -> None:
        self._call = call
        self._target = target
        self._relay = relay or resumable.EventRelay()
        self._relays = relay is not None
        self._on_first_event = on_first_event
        self._head = messages.EMPTY_HEAD
        self._fields = headers.decode_response_headers(messages.EMPTY_HEAD)
        self._parts: list[bytes] = []
        self._size = 0
        self._streaming = False
        self._channel: client_channel.ClientChannel | None = None
        self.first_event_at = 0.0
        self.done: defer.Deferred = defer.Deferred(self._cancelled)

    def sent_on(self, channel: client_channel.ClientChannel) -> None:
        """Take note of the channel that carries the attempt."""
        self._channel = channel

    def head_received(self, head: messages.ResponseHead) -> bool:
        fields = headers.decode_response_headers(head)
        if fields.request_id and fields.request_id != self._call.request_id:
            return False
        self._head = head
        self._fields = fields
        self._streaming = self._relays and head.status == 200 and fields.sealed
        return True

    def body_received(self, data: bytes) -> None:
        if not self._streaming:
            self._size += len(data)
            if self._size <= channel_pool.MAX_RESPONSE_BYTES:
                self._parts.append(data)
            return
        passed = self._relay.feed(data)
        if self._relay.has_gap:
            self._end(AttemptStatus.BROKEN, 'gap in the stream')
            self._drop_channel()
            return
        if not passed:
            return
        if not self.first_event_at:
            self.first_event_at = time.monotonic()
            self._on_first_event()
        request = self._call.request
        if not request.head_sent:
            self._call.status = self._head.status
            request.start(
                self._head.status,
                headers.forwarded_response_headers(self._head),
            )
        request.write(passed)

    def finished(self) -> None:
        if self._streaming:
            request = self._call.request
            if self._relay.partial or not request.head_sent:
                self._end(AttemptStatus.BROKEN, 'stream ended early')
                return
            self._end(AttemptStatus.STREAMED)
            return
        self._end(*self._judge())

    def failed(self, failure: exceptions.ChannelError) -> None:
        if not failure.written:
            self._end(AttemptStatus.NOT_SENT, str(failure))
        elif self._streaming and self._call.request.head_sent:
            self._end(AttemptStatus.BROKEN, str(failure), reset=True)
        else:
            self._end(
                AttemptStatus.LOST, str(failure), reset=not failure.malformed
            )

    def _judge(self) -> tuple[AttemptStatus, str]:
        """Tell what a whole answer means."""
        status = self._head.status
        if self._size > channel_pool.MAX_RESPONSE_BYTES:
            return AttemptStatus.LOST, 'answer too large'
        if self._fields.not_run:
            if status == 421:
                return AttemptStatus.WRONG_TARGET, ''
            if status == 409:
                return AttemptStatus.INPUTS_GONE, ''
            return AttemptStatus.NOT_RUN, str(status)
        if status == 421:
            return AttemptStatus.WRONG_TARGET, ''
        if 200 <= status < 300 and not self._fields.sealed:
            return AttemptStatus.LOST, 'answer without a seal'
        return AttemptStatus.ANSWERED, str(status)

    def _end(
        self, status: AttemptStatus, detail: str = '', reset: bool = False
    ) -> None:
        if self.done.called:
            return
        body = b'' if self._streaming else b''.join(self._parts)
        self.done.callback(
            AttemptResult(
                status,
                self._target,
                self._head,
                body,
                detail,
                reset,
                self._fields.load,
            )
        )

    def _cancelled(self, deferred: defer.Deferred) -> None:
        self._drop_channel()

    def _drop_channel(self) -> None:
        if self._channel is not None:
            self._channel.cancel()


class Attempts:
    """Starts attempts.

    :param pool: channels to targets.
    """

    def __init__(self, reactor, pool: channel_pool.ChannelPool) -> None:
        self._reactor = reactor
        self._pool = pool

    async def send(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        relay: resumable.EventRelay | None = None,
        on_first_event: Callable[[], None] = lambda: None,
        resume_after: int | None = None,
        priority: int | None = None,
    ) -> AttemptResult:
        """Send a request to a target and wait for its answer.

        :param resume_after: id of the event after which a stream goes on.
        """
        try:
            channel = await self._channel(call, target)
        except exceptions.ChannelError as problem:
            return AttemptResult(
                AttemptStatus.NOT_SENT, target, detail=str(problem)
            )
        left_s = call.left_s() - RETURN_S
        if left_s <= 0 or call.request.disconnected:
            self._pool.release(channel)
            return AttemptResult(
                AttemptStatus.NOT_SENT, target, detail='deadline'
            )
        attempt = Attempt(call, target, relay, on_first_event)
        attempt.sent_on(channel)
        call.open_runs += 1
        call.targets.append(target.target_id)
        request = call.request
        channel.send(
            messages.encode_request(
                request.method,
                request.target,
                headers.forwarded_request_headers(
                    request.headers,
                    target_id=target.target_id,
                    team=call.team,
                    remaining_s=left_s,
                    inputs=call.inputs,
                    last_event_id=resume_after,
                    priority=priority,
                ),
                request.body,
            ),
            attempt,
            self._pool.release,
        )
        result = await attempt.done
        if result.status in (
            AttemptStatus.NOT_RUN,
            AttemptStatus.WRONG_TARGET,
            AttemptStatus.INPUTS_GONE,
        ):
            call.open_runs -= 1
        return result

    async def _channel(
        self, call: calls.CallerCall, target: registrations.RegisteredTarget
    ) -> client_channel.ClientChannel:
        limit_s = None if call.route.repeatable else FRESH_IDLE_S
        channel = self._pool.take_idle(target.address, limit_s)
        if channel is not None:
            return channel
        return await self._pool.open(
            target.address, min(CONNECT_S, max(0.05, call.left_s()))
        )
