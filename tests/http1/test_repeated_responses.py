"""Second copies of responses on channels that are in use again."""

import itertools
import types

import pytest

from tests.http1 import test_client_channel
from walnutport.gateway.peers import peer_relay
from walnutport.gateway.targets import attempts
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.platform import wire

REFUSED = (
    b'HTTP/1.1 503 Busy\r\n%b: 1\r\nContent-Length: 0\r\n\r\n'
    % wire.NOT_EXECUTED
)


def named_response(request_id: bytes, body: bytes = b'ok') -> bytes:
    """Return a complete response that names its request."""
    return (
        b'HTTP/1.1 200 OK\r\n%b: %b\r\n%b: s\r\nContent-Length: %d\r\n\r\n%b'
        % (
            wire.REQUEST_ID,
            request_id,
            wire.SEAL,
            len(body),
            body,
        )
    )


class Channel:
    """Channel to a target or a peer, and the responses of its requests."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.transport = test_client_channel.FakeTransport()
        self.channel = client_channel.ClientChannel(('10.0.0.1', 80))
        self.channel.makeConnection(self.transport)
        self.idle: list = []
        self.bodies: list[bytes] = []
        self.heads: list = []

    def send(self, request_id: str) -> None:
        """Send a request."""
        call = types.SimpleNamespace(
            request_id=request_id,
            forward_response=lambda head, body: self.bodies.append(body),
        )
        receiver: client_channel.ResponseReceiver
        if self.kind == 'peer':
            receiver = peer_relay._RelayReceiver(
                call, self.channel, lambda: True
            )
        elif self.kind == 'target':
            receiver = attempts.AttemptReceiver(
                call, None, None, lambda: None, lambda fields, status: None
            )
            receiver.set_channel(self.channel)
            receiver.done.addCallback(self._attempt_ended)
        else:
            receiver = channel_pool.ResponseCollector()
            receiver.done.addCallback(
                lambda response: self.bodies.append(response.body)
            )
        self.channel.send(b'request', receiver, self.idle.append)

    def _attempt_ended(self, result: attempts.AttemptResult) -> None:
        self.bodies.append(result.body)
        self.heads.append((result.status, result.head.status))


@pytest.mark.parametrize('kind', ['target', 'peer'])
@pytest.mark.parametrize('size', [0, 1, 20, 60, 1000])
def test_copy_before_the_response_to_the_next_request(kind, size):
    """Guards against a caller who gets the response to another request.

    A copy that breaks off must not become the head of the next response.
    """
    channel = Channel(kind)
    channel.send('first')
    channel.channel.dataReceived(named_response(b'first', b'one'))
    assert channel.idle == [channel.channel]
    channel.send('second')
    channel.channel.dataReceived(named_response(b'first', b'one')[:size])
    channel.channel.dataReceived(named_response(b'second', b'two'))
    assert channel.bodies[1:] in ([b'two'], [b''], [])


@pytest.mark.parametrize('kind', ['target', 'peer', 'other'])
def test_channel_ends_after_a_response_that_names_no_request(kind):
    """Guards against a second copy of a refusal as the next response.

    The second request would count as not run although it runs. Responses of
    the store and of stage targets never name a request.
    """
    channel = Channel(kind)
    channel.send('first')
    channel.channel.dataReceived(REFUSED)
    assert not channel.idle
    assert not channel.channel.alive
    assert channel.bodies == [b'']


@pytest.mark.parametrize('surplus', [b'H', REFUSED[:20], REFUSED])
@pytest.mark.parametrize('kind', ['target', 'peer'])
def test_bytes_directly_behind_a_response_end_the_channel(kind, surplus):
    """Guards against a second head that is read as the next response."""
    for is_split in (True, False):
        channel = Channel(kind)
        channel.send('first')
        response = named_response(b'first')
        if is_split:
            channel.channel.dataReceived(response)
            channel.channel.dataReceived(surplus)
        else:
            channel.channel.dataReceived(response + surplus)
        assert channel.bodies == [b'ok']
        assert not channel.channel.alive


def refusal_starts() -> list[bytes]:
    """Return the starts of a refusal, with its fields in each order."""
    fields = [
        b'%b: 1\r\n' % wire.NOT_EXECUTED,
        b'%b: first\r\n' % wire.REQUEST_ID,
        b'X-Served-By: a b\r\n',
    ]
    texts = [
        b'HTTP/1.1 503 Busy\r\n%bContent-Length: 0\r\n\r\n' % b''.join(order)
        for order in itertools.permutations(fields)
    ]
    return sorted(
        {text[:size] for text in texts for size in range(1, len(text))}
    )


@pytest.mark.parametrize('is_split', [False, True])
def test_start_of_a_refusal_before_the_response(is_split):
    """Guards against a head joined from a stale start and the true rest.

    It names the request and says that it did not run.
    """
    believed = []
    for start in refusal_starts():
        channel = Channel('target')
        channel.send('first')
        channel.channel.dataReceived(named_response(b'first', b'one'))
        channel.send('second')
        response = named_response(b'second', b'two')
        if is_split:
            channel.channel.dataReceived(start)
            channel.channel.dataReceived(response)
        else:
            channel.channel.dataReceived(start + response)
        if channel.heads[1:] not in (
            [],
            [(attempts.AttemptStatus.LOST, 0)],
            [(attempts.AttemptStatus.ANSWERED, 200)],
        ):
            believed.append((start, channel.heads[1:]))
    assert not believed
