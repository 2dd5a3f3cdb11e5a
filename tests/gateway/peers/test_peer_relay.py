"""Tests of requests that go by peers which stop, without a network."""

import types

import pytest
from twisted.internet import defer
from twisted.internet import task

from tests.gateway import call_builders
from walnutport.gateway.peers import peer_relay
from walnutport.gateway.peers import peer_state
from walnutport.http1 import channel_pool
from walnutport.http1 import messages
from walnutport.peer import fleet_messages
from walnutport.platform import wire
from walnutport.world import routes

NAMES = ('edge-1', 'edge-2')
SEALED = [(wire.SEAL, b'1')]


def heartbeat(draining: bool) -> fleet_messages.Heartbeat:
    """Return a heartbeat of a peer."""
    return fleet_messages.Heartbeat(1, 1, 1, 0.0, True, draining)


class FakeChannel:
    """Channel to a peer that stops and then responds.

    :param respond: called with the receiver of the response.
    """

    ended_by_close = False

    def __init__(self, respond) -> None:
        self._respond = respond

    def send(self, data, receiver, on_idle) -> None:
        self._respond(receiver)


class Host:
    """Host that reaches no target, and two peers.

    :param status: status of the response of the first peer, which stops
        meanwhile.
    :param response_headers: headers of that response.
    """

    def __init__(
        self, monkeypatch, status: int, response_headers=(), stops=True
    ) -> None:
        self._status = status
        self._headers = list(response_headers)
        self._stops = stops
        self.asked: list[str] = []
        self.peer_by_name = {
            name: peer_state.PeerState(
                fleet_messages.HostRecord(
                    name, 'i', '127.0.0.1', 1, 'a', 1.0, relay_port=number
                ),
                link=object(),
                heartbeat=heartbeat(draining=False),
            )
            for number, name in enumerate(NAMES, 1)
        }
        monkeypatch.setattr(
            channel_pool.ChannelPool,
            'take_idle',
            lambda pool, address, max_idle_s: FakeChannel(
                lambda receiver: self._respond(address[1], receiver)
            ),
        )
        self.log = call_builders.FakeLog()
        self.accepts = True
        self.handled: list[str] = []
        self.relay = peer_relay.PeerRelay(
            task.Clock(),
            self.log,
            types.SimpleNamespace(
                own_record=types.SimpleNamespace(data_centre='a'),
                peer_by_name=self.peer_by_name,
            ),
            types.SimpleNamespace(is_cut=False),
            'edge-0',
            lambda request, name: self.handled.append(name),
            lambda: self.accepts,
            routes.RequestLimits,
        )

    def _respond(self, number: int, receiver) -> None:
        name = f'edge-{number}'
        is_first = not self.asked
        self.asked.append(name)
        if is_first and self._stops:
            self.peer_by_name[name].heartbeat = heartbeat(draining=True)
        receiver.head_received(
            messages.ResponseHead(self._status, self._headers)
            if is_first
            else messages.ResponseHead(200, SEALED)
        )
        receiver.finished()

    def serve(self) -> call_builders.FakeRequest:
        """Serve a request by a peer, and return it."""
        call = call_builders.caller_call()
        result = defer.Deferred.fromCoroutine(self.relay.serve(call))
        assert result.result is True
        return call.request


def test_request_that_a_stopping_peer_refuses_goes_by_another(monkeypatch):
    """Guards against callers who are refused while another peer serves.

    The peer had accepted the request before it got its stop signal.
    """
    host = Host(monkeypatch, 503)
    assert host.serve().status == 200
    assert sorted(host.asked) == sorted(NAMES)
    assert host.log.fields_of('relay_returned') == [
        {'id': 'id-1', 'peer': host.asked[0], 'status': 503}
    ]
    assert host.relay.totals()['requests_relay_returned_total'] == 1


@pytest.mark.parametrize(
    ('status', 'response_headers', 'stops'),
    [
        pytest.param(503, (), False, id='peer goes on'),
        pytest.param(503, SEALED, True, id='of a target'),
        pytest.param(502, (), True, id='may have run'),
        pytest.param(200, SEALED, True, id='served'),
    ],
)
def test_other_responses_are_passed_on(
    monkeypatch, status, response_headers, stops
):
    """Guards against a second run, and against a target's lost response."""
    host = Host(monkeypatch, status, response_headers, stops)
    assert host.serve().status == status
    assert len(host.asked) == 1


def test_host_that_stops_takes_no_requests_of_peers(monkeypatch):
    """Guards against requests that peers send before they know of the stop."""
    host = Host(monkeypatch, 200)
    request = call_builders.FakeRequest(x_walnutport_relay='edge-9 10')
    request.header = dict(request.headers).get
    host.relay.site.handler(request)
    assert host.handled == ['edge-9']
    host.accepts = False
    request = call_builders.FakeRequest(x_walnutport_relay='edge-9 10')
    request.header = dict(request.headers).get
    host.relay.site.handler(request)
    assert request.status == peer_relay.NOT_TAKEN_STATUS
    assert host.handled == ['edge-9']
