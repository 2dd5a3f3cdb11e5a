"""Serves callers through peers while this host reaches no target.

The peer gets the request as the caller sent it, with the time that has passed,
and serves it as one of its own: it applies the desired state, limits and
retries, and this host passes its response on. A request goes by one peer at
most, as a peer serves it at targets only.
"""

from collections.abc import Callable
import enum
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.gateway.entry import calls
from walnutport.gateway.peers import peers
from walnutport.gateway.targets import path_check
from walnutport.http1 import body_buffer
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import messages
from walnutport.http1 import response_buffer
from walnutport.http1 import server
from walnutport.platform import headers
from walnutport.platform import wire
from walnutport.world import routes

__all__ = ['PeerRelay', 'RELAY_HEADER']

#: Header between hosts: name of the host that relays the request, and the
#: milliseconds since the request began to arrive there.
RELAY_HEADER = b'x-walnutport-relay'
# Added to the time that has passed, so that the peer's response arrives before
# this host answers for it at the deadline.
RELAY_MARGIN_S = 0.01
# A peer answers with this status if it serves no requests of others, before it
# has begun anything.
NOT_TAKEN_STATUS = 421
# A host refuses a request with this status, which promises that it did not
# run. Such a response of a target bears the seal of the target.
REFUSED_STATUS = 503
# Peers that are tried for one request, as long as none has begun it.
MAX_PEERS = 3
DIAL_TIMEOUT_S = 0.4
# Longer times have more digits than the milliseconds of any timeout.
MAX_ELAPSED_DIGITS = 9
# As for targets: a reset idle channel leaves unknown whether a request ran.
NON_REPEATABLE_MAX_IDLE_S = 0.05
MAX_IDLE_CHANNELS_PER_PEER = 8
MAX_RESPONSE_BYTES = 64 << 20


class _Outcome(enum.Enum):
    """What has become of a request that was sent to a peer."""

    #: The peer has served it; the caller has its response, or a part of it.
    SERVED = 'served'
    #: The peer has not begun to serve it.
    NOT_TAKEN = 'not_taken'
    #: The peer may have served it, and no whole response came.
    LOST = 'lost'


class _RelayReceiver:
    """Passes the response of a peer on to the caller.

    :param takes_requests: returns whether the peer takes requests now.
    """

    max_body_bytes = MAX_RESPONSE_BYTES

    def __init__(
        self,
        call: calls.CallerCall,
        channel: client_channel.ClientChannel,
        takes_requests: Callable[[], bool] = lambda: True,
    ) -> None:
        self._takes_requests = takes_requests
        self._call = call
        self._channel = channel
        self._head = messages.EMPTY_HEAD
        self._body = body_buffer.BodyBuffer()
        self._is_stream = False
        self._is_returned = False
        self.done: defer.Deferred = defer.Deferred(
            lambda deferred: self._drop_channel()
        )

    @property
    def was_taken(self) -> bool:
        """Whether the peer may have begun to serve the request."""
        return self._head.status != NOT_TAKEN_STATUS and not self._is_returned

    @property
    def status(self) -> int:
        """Status of the response."""
        return self._head.status

    @property
    def keeps_body(self) -> bool:
        """Whether the body is kept until its end."""
        return not self._is_stream

    def is_named_in(self, head: messages.ResponseHead) -> bool:
        """Return whether a head names a request."""
        return bool(headers.response_request_id(head))

    def head_received(self, head: messages.ResponseHead) -> bool:
        request_id = headers.response_request_id(head)
        if request_id and request_id != self._call.request_id:
            return False
        self._head = head
        # A peer that stops refuses what it cannot finish; others may serve it.
        self._is_returned = (
            head.status == REFUSED_STATUS
            and not headers.decode_response_headers(head).sealed
            and not self._takes_requests()
        )
        self._is_stream = head.header(b'transfer-encoding') is not None
        if self._is_stream:
            self._call.status = head.status
            self._call.request.start(
                head.status, headers.forwarded_response_headers(head)
            )
            self._call.request.set_source(self._channel)
        return True

    def body_received(self, data: bytes) -> None:
        if self._is_stream:
            if not self._call.first_event_at:
                self._call.first_event_at = time.monotonic()
            self._call.request.write(data)
        else:
            self._body.add(data)

    def finished(self) -> None:
        if self._channel.ended_by_close:
            # Peers frame all responses, so this one has broken off.
            self.failed(exceptions.ChannelError('no length', written=True))
            return
        self._end_stream()
        if self._is_stream:
            self._call.request.finish()
        elif self.was_taken:
            self._call.forward_response(self._head, self._body.take())
        if not self.done.called:
            self.done.callback(None)

    def failed(self, failure: exceptions.ChannelError) -> None:
        self._end_stream()
        if not self.done.called:
            self.done.errback(failure)

    def _drop_channel(self) -> None:
        self._end_stream()
        self._channel.cancel()

    def _end_stream(self) -> None:
        """Let the caller's connection pause the channel no more."""
        if self._is_stream:
            self._call.request.clear_source(self._channel)


class PeerRelay:
    """Sends requests to peers, and accepts those of peers.

    :param path: whether this host reaches any target.
    :param handle: serves a request of a peer, given its name.
    :param accepts: returns whether requests of peers are accepted.
    :param limits: returns the limits that requests of peers have to keep.
    :param unread: bytes of responses that peers and callers have not read yet.
    :param max_kept_bytes: bytes of unfinished responses of peers to keep.
    :ivar site: site that accepts requests of peers.
    :ivar sent_count: requests that peers have served for this host.
    :ivar received_count: requests of peers that this host has served.
    :ivar returned_count: requests that peers have turned away again.
    """

    def __init__(
        self,
        reactor,
        log,
        mesh: peers.PeerMesh,
        path: path_check.PathCheck,
        own_name: str,
        handle: Callable[[server.ServerRequest, str], None],
        accepts: Callable[[], bool],
        limits: Callable[[], routes.RequestLimits],
        unread: response_buffer.UnreadBytes | None = None,
        max_kept_bytes: int = channel_pool.MAX_KEPT_BYTES,
    ) -> None:
        self._log = log
        self._mesh = mesh
        self._path = path
        self._own_name = own_name
        self._handle = handle
        self._accepts = accepts
        self._pool = channel_pool.ChannelPool(
            reactor, MAX_IDLE_CHANNELS_PER_PEER, max_kept_bytes
        )
        self._in_flight_by_peer: dict[str, int] = {}
        self.site = server.ServerSite(
            reactor, self._receive, limits, unread=unread
        )
        self.sent_count = 0
        self.received_count = 0
        self.returned_count = 0

    def applies(self, call: calls.CallerCall) -> bool:
        """Return whether a request has to go by a peer, if by any way."""
        return self._path.is_cut and self._may_relay(call)

    async def verify(self, call: calls.CallerCall, since: float) -> bool:
        """Return whether a request that could not be sent may go by a peer.

        This waits until it is known whether the host is cut off.

        :param since: when the attempt began that could not be sent.
        """
        if not self._may_relay(call):
            return False
        return await self._path.verify(since) and call.time_left_s() > 0

    async def serve(self, call: calls.CallerCall) -> bool:
        """Let a peer serve a request.

        :returns: False if the caller has no response, because no peer has
            taken the request or because the response was lost.
        """
        tried: set[str] = set()
        while len(tried) < MAX_PEERS and call.time_left_s() > 0:
            name = self._choose_peer(tried)
            if not name:
                return False
            tried.add(name)
            outcome = await self._send(call, name)
            if outcome is not _Outcome.NOT_TAKEN:
                return outcome is _Outcome.SERVED
        return False

    def close_expired(self) -> None:
        """Close the channels to peers that reached their idle limit."""
        self._pool.close_expired()

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'requests_relayed_total': self.sent_count,
            'requests_of_peers_total': self.received_count,
            'requests_relay_returned_total': self.returned_count,
            'relay_channels_unread_total': self._pool.unread_count,
            'relay_responses_unidentified_total': (
                self._pool.unidentified_count
            ),
        }

    @staticmethod
    def _may_relay(call: calls.CallerCall) -> bool:
        if call.relayed_by or call.request.head_sent:
            return False
        return call.route.repeatable or not call.may_have_run

    def _choose_peer(self, tried: set[str]) -> str:
        """Return the least loaded peer that reaches targets, empty if none.

        Peers that keep up with their own work come first, then those in the
        data centre of this host.
        """
        data_centre = self._mesh.own_record.data_centre
        candidates = [
            (
                not peer.accepts_work,
                (self._in_flight_by_peer.get(name, 0) + 1)
                / max(peer.record.work_share, 0.01),
                peer.record.data_centre != data_centre,
                name,
            )
            for name, peer in self._mesh.peer_by_name.items()
            if name not in tried and peer.accepts_requests
        ]
        return min(candidates)[-1] if candidates else ''

    async def _send(self, call: calls.CallerCall, name: str) -> _Outcome:
        """Send a request to a peer and pass its response on."""
        peer = self._mesh.peer_by_name[name]
        record = peer.record
        address = (record.ip, record.relay_port)
        self._in_flight_by_peer[name] = (
            self._in_flight_by_peer.get(name, 0) + 1
        )
        self._log.routine(
            'relayed',
            id=call.request_id,
            peer=name,
            left_s=round(call.time_left_s(), 3),
            desired=call.desired_version,
        )
        try:
            channel = await self._acquire_channel(call, address)
            receiver = _RelayReceiver(
                call, channel, lambda: peer.accepts_requests
            )
            channel.send(
                self._encode(call), receiver, on_idle=self._pool.release
            )
            call.possible_runs += 1
            await receiver.done
        except exceptions.ChannelError as problem:
            return self._relay_failed(call, name, problem)
        finally:
            self._in_flight_by_peer[name] -= 1
        if not receiver.was_taken:
            call.possible_runs -= 1
            self.returned_count += 1
            self._log.notable(
                'relay_returned',
                id=call.request_id,
                peer=name,
                status=receiver.status,
            )
            return _Outcome.NOT_TAKEN
        self.sent_count += 1
        call.outcome = 'relayed'
        return _Outcome.SERVED

    async def _acquire_channel(
        self, call: calls.CallerCall, address: client_channel.Address
    ) -> client_channel.ClientChannel:
        channel = self._pool.take_idle(
            address,
            None if call.route.repeatable else NON_REPEATABLE_MAX_IDLE_S,
        )
        if channel is not None:
            return channel
        return await self._pool.open(
            address, min(DIAL_TIMEOUT_S, max(0.05, call.time_left_s()))
        )

    def _relay_failed(
        self,
        call: calls.CallerCall,
        name: str,
        problem: exceptions.ChannelError,
    ) -> _Outcome:
        self._log.notable(
            'relay_failed',
            id=call.request_id,
            peer=name,
            problem=str(problem),
        )
        if not problem.written:
            return _Outcome.NOT_TAKEN
        if not call.request.head_sent:
            return _Outcome.LOST
        call.outcome = 'broken'
        call.request.abort()
        return _Outcome.SERVED

    def _encode(self, call: calls.CallerCall) -> bytes:
        request = call.request
        elapsed_s = time.monotonic() - call.arrived_at + RELAY_MARGIN_S
        relayed_headers = [
            header
            for header in headers.relayed_request_headers(request.headers)
            if header[0] != RELAY_HEADER
        ]
        relayed_headers.append(
            (
                RELAY_HEADER,
                b'%s %d' % (self._own_name.encode(), elapsed_s * 1000),
            )
        )
        return messages.encode_request(
            request.method, request.target, relayed_headers, request.body
        )

    def _receive(self, request: server.ServerRequest) -> None:
        """Serve a request of a peer."""
        name, _, elapsed_ms = (request.header(RELAY_HEADER) or b'').partition(
            b' '
        )
        # Only ASCII digits are digits of bytes.
        if (
            not name
            or not elapsed_ms.isdigit()
            or len(elapsed_ms) > MAX_ELAPSED_DIGITS
        ):
            request.respond(400, [], b'')
            return
        if self._path.is_cut or not self._accepts():
            # A response that names no request is rejected on a used channel.
            request_id = (request.header(wire.REQUEST_ID) or b'').decode(
                'latin-1'
            )
            request.respond(
                NOT_TAKEN_STATUS,
                headers.local_response_headers(request_id, None),
                b'',
            )
            return
        request.headers = [
            header for header in request.headers if header[0] != RELAY_HEADER
        ]
        request.started_at -= int(elapsed_ms) / 1000
        self.received_count += 1
        self._handle(request, name.decode('latin-1'))
