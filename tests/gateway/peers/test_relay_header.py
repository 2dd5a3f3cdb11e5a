"""Tests of the header of requests that peers relay."""

import pytest

from walnutport.gateway.peers import peer_relay


class FakeRequest:
    """Request of a peer.

    :ivar status: status of the response.
    """

    def __init__(self, value: bytes) -> None:
        self._value = value
        self.status = 0

    def header(self, name: bytes) -> bytes:
        assert name == peer_relay.RELAY_HEADER
        return self._value

    def respond(self, status: int, headers, body: bytes) -> None:
        self.status = status


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
