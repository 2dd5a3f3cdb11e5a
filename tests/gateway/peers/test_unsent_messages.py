"""Tests of messages that cannot be encoded for a peer."""

from msgspec import structs
import pytest

from tests.gateway.peers import test_peers
from walnutport.gateway.peers import message_encoder
from walnutport.gateway.peers import peer_link
from walnutport.gateway.peers import peers
from walnutport.peer import capabilities
from walnutport.peer import fleet_messages
from walnutport.world import feeds

ALL = tuple(capabilities.Capability)
TOO_LARGE = fleet_messages.DesiredStateUpdate(
    feeds.FeedRecord(
        'config', b' ' * (message_encoder.MAX_MESSAGE_BYTES + 1), 1
    )
)
MESSAGES = [
    pytest.param(
        fleet_messages.SendPermitRequest('t', 10**400, 1), id='integer'
    ),
    pytest.param(fleet_messages.ClaimQuery('\ud800'), id='surrogate'),
    pytest.param(TOO_LARGE, id='size'),
]


@pytest.fixture
def fixture(monkeypatch) -> test_peers.Fixture:
    """Return the links of a host."""
    return test_peers.Fixture(monkeypatch)


@pytest.mark.parametrize('message', MESSAGES)
def test_message_that_cannot_be_sent_is_left_out(fixture, message):
    """Guards against one message that ends a link, or the loop."""
    links = [fixture.connect(number, ALL) for number in (1, 2)]
    assert not fixture.mesh.send('host-1', message)
    fixture.mesh.broadcast(message)
    links[0].send(message)
    fixture.mesh.broadcast(fleet_messages.ClaimQuery('a'))
    for link in links:
        assert test_peers.sent(link) == [fleet_messages.ClaimQuery('a')]
        assert not link.transport.disconnecting
    # The first of a kind is logged, and all are counted.
    assert fixture.log.events.count('peer_message_unsent') == 1
    assert fixture.mesh.totals()['peer_messages_unsent_total'] == 3


def test_heartbeat_that_cannot_be_encoded_does_not_stop_the_ticks(
    fixture, monkeypatch
):
    """Guards against a host that dials nobody any more."""
    link = fixture.connect(1, ALL)
    odd = fleet_messages.Heartbeat(10**400, 0, 1, 1.0, True, False)
    monkeypatch.setattr(fixture.mesh, '_create_heartbeat', lambda _: odd)
    fixture.advance(peers.HEARTBEAT_INTERVAL_S * 2)
    fixture.mesh.add_host(test_peers.record(2))
    fixture.advance(peers.HEARTBEAT_INTERVAL_S * 2)
    assert fixture.reactor.dialled_ports == [7002]
    sent = [type(message) for message in test_peers.sent(link)]
    assert sent == [fleet_messages.HostsUpdate]
    assert fixture.log.events.count('peer_message_unsent') == 1


def test_joined_host_with_an_odd_record_is_not_announced(fixture):
    """Guards against a host that makes every announcement fail."""
    fixture.connect(1, ALL)
    link = peer_link.PeerLink(fixture.mesh, dialled=False)
    link.makeConnection(test_peers.LinkTransport())
    host = test_peers.record(2)
    data = fleet_messages.encode(fleet_messages.Hello(host))
    link.stringReceived(data.replace(b'10.0.0.1', b'0.0.0\r\n1'))
    assert fixture.log.events[-1] == 'peer_garbled'
    assert 'host-2' not in fixture.mesh.peer_by_name


@pytest.mark.parametrize('ip', ['host.example', '10.0.0.1.1', '', '10.0.0.1 '])
def test_host_without_an_ip_address_is_not_dialled(fixture, ip):
    """Guards against a record that makes a host ask a name server."""
    fixture.mesh.add_host(structs.replace(test_peers.record(1), ip=ip))
    fixture.mesh.add_host(test_peers.record(2))
    fixture.mesh.dial_chosen()
    fixture.advance(peers.DIAL_TIMEOUT_S)
    assert set(fixture.reactor.dialled_ports) == {7002}
    assert fixture.log.events.count('peer_address_invalid') == 1
    assert not fixture.mesh.peer_by_name['host-1'].is_untried
