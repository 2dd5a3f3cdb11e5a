"""Tests of the header of requests that peers relay."""

import types

import pytest

from tests.gateway.peers import test_stale_relay_answers
from tests.gateway import socket_host
from tests import socket_target
from walnutport.gateway.peers import peer_relay
from walnutport.http1 import messages
from walnutport.platform import headers
from walnutport.platform import wire


class FakeRequest:
    """Request of a peer.

    :ivar status: status of the response.
    """

    def __init__(self, value: bytes) -> None:
        self._value_by_name = {
            peer_relay.RELAY_HEADER: value,
            wire.REQUEST_ID: b'second',
        }
        self.status = 0
        self.response_headers: messages.Headers = []

    def header(self, name: bytes) -> bytes:
        return self._value_by_name[name]

    def respond(self, status: int, response_headers, body: bytes) -> None:
        self.status = status
        self.response_headers = response_headers


@pytest.mark.parametrize(
    'value',
    [
        pytest.param(b'edge-1 8\xb2', id='superscript'),
        pytest.param(b'edge-1 ' + b'9' * 5000, id='5,000_digits'),
        pytest.param(b'edge-1 -1', id='negative'),
        pytest.param(b' 1', id='no_name'),
    ],
)
def test_odd_time_is_refused(value):
    """Guards against a relayed request that gets no response."""
    relay = peer_relay.PeerRelay.__new__(peer_relay.PeerRelay)
    request = FakeRequest(value)
    relay._receive(request)
    assert request.status == 400


def declined() -> FakeRequest:
    """Return a request that a host does not take, as it is not ready."""
    relay = peer_relay.PeerRelay.__new__(peer_relay.PeerRelay)
    relay._path = types.SimpleNamespace(is_cut=False)
    relay._accepts = lambda: False
    request = FakeRequest(b'edge-1 5')
    relay._receive(request)
    return request


def test_host_that_takes_no_request_names_it():
    """Guards against a response that is taken for one to another request."""
    request = declined()
    head = messages.ResponseHead(request.status, request.response_headers)
    assert head.status == peer_relay.NOT_TAKEN_STATUS
    assert headers.response_request_id(head) == 'second'


def test_request_that_a_peer_declines_on_a_used_channel_goes_by_another():
    """Guards against 502 for a request that a host that stops did not take."""

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, is_cut=True) as host:
            request = declined()
            head = messages.encode_response_head(
                request.status,
                [*request.response_headers, (b'content-length', b'0')],
            )
            response = await test_stale_relay_answers.second_response(
                host, head
            )
            assert b' 200 ' in response, response

    socket_target.run(scenario())
