"""Tests of the links between hosts, without a network."""

import errno
import itertools

import msgspec
from msgspec import structs
import pytest
from twisted.internet import task
from twisted.internet.testing import StringTransport

from walnutport import exceptions
from walnutport.gateway.peers import peer_link
from walnutport.gateway.peers import peers
from walnutport.gateway.peers import ports as peer_ports
from walnutport.peer import capabilities
from walnutport.peer import fleet_messages

# A power of two, so that the times of ticks are exact.
STEP_S = 1 / 64


class RecordingReactor(task.Clock):
    """Clock that records the addresses dialled."""

    def __init__(self) -> None:
        super().__init__()
        self.dialled_ports: list[int] = []
        self.refuses = False

    def connectTCP(self, host, port, factory, timeout=30) -> None:
        self.dialled_ports.append(port)
        if self.refuses:
            factory.clientConnectionFailed(None, None)


class LinkTransport(StringTransport):
    """Transport of a link whose peer is not there."""

    def setTcpNoDelay(self, enabled) -> None:
        pass

    def getHandle(self):
        return self

    def setsockopt(self, level, option, value) -> None:
        pass


class FakeLog:
    """Log that records the names of its events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def notable(self, event, **fields) -> None:
        self.events.append(event)


def record(number: int, incarnation: str = 'i') -> fleet_messages.HostRecord:
    """Return the record of a host."""
    return fleet_messages.HostRecord(
        f'host-{number}', incarnation, '10.0.0.1', 7000 + number, 'a', 1.0
    )


def heartbeat(interval_s: float) -> fleet_messages.Heartbeat:
    """Return a heartbeat."""
    return fleet_messages.Heartbeat(1, 0, 1, 1.0, True, False, interval_s)


class Fixture:
    """Links of host 0, with a clock that tests advance."""

    def __init__(self, monkeypatch) -> None:
        self.reactor = RecordingReactor()
        monkeypatch.setattr(
            peers.time, 'monotonic', lambda: self.reactor.seconds()
        )
        self.log = FakeLog()
        self.messages: list = []
        self.mesh = peers.PeerMesh(
            self.reactor,
            self.log,
            record(0),
            heartbeat,
            lambda name, message: self.messages.append((name, message)),
            lambda name: None,
        )
        self.mesh.start()

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps of a tick."""
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)

    def connect(
        self, number: int, capabilities: tuple[str, ...] = (), **fields
    ) -> peer_link.PeerLink:
        """Return a link that a host has dialled."""
        link = peer_link.PeerLink(self.mesh, dialled=False)
        link.makeConnection(LinkTransport())
        host = structs.replace(record(number), capabilities=capabilities)
        self.mesh.message_received(link, fleet_messages.Hello(host, **fields))
        link.transport.clear()
        return link


def sent(link: peer_link.PeerLink) -> list:
    """Return the messages sent on a link since the last call."""
    data = link.transport.value()
    link.transport.clear()
    messages = []
    while data:
        length = int.from_bytes(data[:4], 'big')
        messages.append(fleet_messages.decode(data[4 : 4 + length]))
        data = data[4 + length :]
    return messages


def test_peers_to_link_with_are_chosen_once_for_each_change(monkeypatch):
    """Guards against processor time that grows with the square of the fleet.

    Each host without a link asked for the choice anew, in each tick and for
    each record of a list, and each choice ranks all hosts. A host at rest
    among 86 used half a core, and 195 hosts never reached their first request.
    """
    fixture = Fixture(monkeypatch)
    calls = itertools.count()
    fixture.mesh.choose_peers = lambda: {'host-1'} if next(calls) else set()
    for number in range(1, 200):
        fixture.mesh.add_host(record(number))
    fixture.advance(3.0)
    assert next(calls) == 1
    fixture.mesh.add_host(record(200))
    fixture.mesh.add_host(record(200))
    fixture.advance(3.0)
    assert next(calls) == 3
    assert set(fixture.reactor.dialled_ports) == {7001}


def test_hosts_of_an_earlier_build_get_no_message_that_they_do_not_know(
    monkeypatch,
):
    """Guards against links that close, as one host is of an earlier build."""
    fixture = Fixture(monkeypatch)
    earlier = fixture.connect(1)
    later = fixture.connect(2, capabilities=('evacuations', 'of_the_future'))
    update = fleet_messages.EvacuationUpdate(0, 1, ())
    fixture.mesh.broadcast(update)
    assert not fixture.mesh.send('host-1', update)
    assert fixture.mesh.send('host-2', update)
    assert sent(earlier) == [] and sent(later) == [update, update]
    assert fixture.mesh.totals()['peer_messages_withheld_total'] == 2
    needed = capabilities.Capability.EVACUATIONS
    assert not fixture.mesh.all_support(needed)
    fixture.mesh.link_lost(earlier)
    assert fixture.mesh.all_support(needed)


def test_a_message_of_a_later_build_is_skipped_and_counted(monkeypatch):
    """Guards against links that close, as one host is of a later build."""
    fixture = Fixture(monkeypatch)
    link = fixture.connect(1)
    unknown = msgspec.msgpack.encode({'type': 'of_the_future', 'field': 1})
    for _ in range(3):
        link.stringReceived(unknown)
    assert not link.transport.disconnecting
    assert fixture.log.events.count('peer_message_unknown') == 1
    assert fixture.mesh.totals()['peer_messages_unknown_total'] == 3
    assert fixture.mesh.peer_by_name['host-1'].link is link


def test_a_known_message_with_invalid_fields_ends_the_link(monkeypatch):
    """Guards against garbled messages that pass for those of a later build."""
    fixture = Fixture(monkeypatch)
    link = fixture.connect(1)
    link.stringReceived(msgspec.msgpack.encode({'type': 'pulse', 'era': 'x'}))
    assert fixture.log.events[-1] == 'peer_garbled'
    assert fixture.mesh.totals()['peer_messages_unknown_total'] == 0


def test_hosts_without_a_link_stay_known(monkeypatch):
    """Guards against hosts that rank the owners of cells differently.

    Hosts that were never dialled, as no link to them was wanted, were removed
    after a minute, on each host others.
    """
    fixture = Fixture(monkeypatch)
    fixture.mesh.choose_peers = lambda: {'host-1'}
    for number in range(1, 40):
        fixture.mesh.add_host(record(number))
    fixture.reactor.refuses = True
    fixture.advance(peers.REMOVE_AFTER_S + 5.0)
    assert 'host-1' not in fixture.mesh.peer_by_name
    assert len(fixture.mesh.peer_by_name) == 38


def test_link_that_is_up_is_announced_once(monkeypatch):
    """Guards against a started host that its peers tell nothing."""
    fixture = Fixture(monkeypatch)
    joined: list[str] = []
    fixture.mesh.on_joined = joined.append
    fixture.connect(1)
    fixture.advance(2.0)
    assert joined == ['host-1']


def test_failed_dial_leads_to_another_choice(monkeypatch):
    """Guards against a fleet whose links all wait for hosts that are gone."""
    fixture = Fixture(monkeypatch)
    for number in range(1, 40):
        fixture.mesh.add_host(record(number))
    fixture.mesh.choose_peers = lambda: {
        'host-1'
        if fixture.mesh.peer_by_name['host-1'].failing_since is None
        else 'host-2'
    }
    fixture.reactor.refuses = True
    fixture.advance(1.5)
    assert 7002 in fixture.reactor.dialled_ports


def test_host_that_connects_is_announced_to_the_linked_peers(monkeypatch):
    """Guards against a new host that only a part of the fleet knows.

    In a partial mesh, a host that is added links with some hosts only; the
    others ranked the owners of cells without it.
    """
    fixture = Fixture(monkeypatch)
    first = fixture.connect(1)
    fixture.advance(1.0)
    sent(first)
    fixture.connect(2)
    fixture.advance(1.0)
    updates = [
        message
        for message in sent(first)
        if isinstance(message, fleet_messages.HostsUpdate)
    ]
    assert [update.hosts for update in updates] == [(record(2),)]


def test_host_that_could_not_read_the_store_gets_the_hosts(monkeypatch):
    """Guards against a restart without peers while the store is away."""
    fixture = Fixture(monkeypatch)
    fixture.connect(1)
    link = peer_link.PeerLink(fixture.mesh, dialled=False)
    link.makeConnection(LinkTransport())
    sent(link)
    fixture.mesh.message_received(
        link, fleet_messages.Hello(record(2), needs_hosts=True)
    )
    assert fleet_messages.HostsUpdate((record(1),)) in sent(link)
    fixture.mesh.message_received(
        link, fleet_messages.HostsUpdate((record(5),))
    )
    assert 'host-5' in fixture.mesh.peer_by_name


def test_silence_is_measured_by_the_interval_of_the_peer(monkeypatch):
    """Guards against links that are closed between two heartbeats.

    Hosts that know a different number of hosts send heartbeats at different
    intervals.
    """
    fixture = Fixture(monkeypatch)
    link = fixture.connect(1)
    fixture.mesh.message_received(link, heartbeat(0.6))
    fixture.advance(1.5)
    assert fixture.mesh.peer_by_name['host-1'].reachable
    fixture.advance(0.8)
    assert 'peer_silent' in fixture.log.events


def test_heartbeats_are_less_frequent_in_a_partial_mesh(monkeypatch):
    """Guards against owners of cells that spend a core on heartbeats."""
    fixture = Fixture(monkeypatch)
    fixture.mesh.choose_peers = set
    link = fixture.connect(1)

    def count_heartbeats() -> int:
        sent(link)
        total = 0
        for _ in range(60):
            fixture.advance(0.125)
            link.last_received_at = fixture.reactor.seconds()
            total += sum(
                isinstance(message, fleet_messages.Heartbeat)
                for message in sent(link)
            )
        return total

    full_mesh_count = count_heartbeats()
    for number in range(2, 40):
        fixture.mesh.add_host(record(number))
    assert abs(count_heartbeats() - full_mesh_count / 2) <= 1


def test_host_that_starts_later_is_linked_soon(monkeypatch):
    """Guards against seconds without an owner after a power cut of all hosts.

    Hosts start within a second of each other. A dial to one that is not up
    yet hung for a second and was repeated only after that.
    """
    fixture = Fixture(monkeypatch)
    fixture.mesh.choose_peers = lambda: {'host-1'}
    for number in range(1, 40):
        fixture.mesh.add_host(record(number))
    fixture.reactor.refuses = True
    fixture.mesh.dial_chosen()
    fixture.advance(0.5)
    assert len(fixture.reactor.dialled_ports) >= 3
    assert peers.DIAL_TIMEOUT_S <= 0.3


def test_host_is_untried_until_its_link_is_up_or_fails(monkeypatch):
    """Guards against waiting for an owner that was lost."""
    fixture = Fixture(monkeypatch)
    fixture.mesh.add_host(record(1))
    peer = fixture.mesh.peer_by_name['host-1']
    assert peer.is_untried
    link = fixture.connect(1)
    assert not peer.is_untried
    fixture.mesh.link_lost(link)
    assert not peer.is_untried


def test_host_that_closed_its_link_is_dialled_before_it_is_removed(
    monkeypatch,
):
    """Guards against forgetting a live host that links with others now."""
    fixture = Fixture(monkeypatch)
    fixture.mesh.choose_peers = lambda: {'host-39'}
    for number in range(1, 40):
        fixture.mesh.add_host(record(number))
    link = fixture.connect(1)
    fixture.mesh.link_lost(link)
    fixture.advance(peers.REMOVE_AFTER_S + 2.0)
    assert 7001 in fixture.reactor.dialled_ports
    assert 'host-1' in fixture.mesh.peer_by_name
    fixture.mesh.dial_failed(fixture.mesh.peer_by_name['host-1'])
    fixture.advance(1.0)
    assert 'host-1' not in fixture.mesh.peer_by_name


def test_host_that_was_paused_is_in_touch_only_after_new_heartbeats(
    monkeypatch,
):
    """Guards against a host that trusts what it knew before a pause.

    Its links look as before until it reads that they have ended.
    """
    fixture = Fixture(monkeypatch)
    links = [fixture.connect(number) for number in (1, 2)]
    for link in links:
        fixture.mesh.message_received(link, heartbeat(0.3))
    assert fixture.mesh.links_with_most
    # The clock goes on without any tick.
    fixture.reactor.rightNow += 3.0
    assert not fixture.mesh.links_with_most
    fixture.advance(STEP_S)
    assert not fixture.mesh.links_with_most
    fixture.mesh.message_received(links[0], heartbeat(0.3))
    assert fixture.mesh.links_with_most


class _BusyPorts:
    """Reactor on a kernel that reports a port in use only at the listen."""

    def __init__(self, used: set[int]) -> None:
        self._used = used

    def listenTCP(self, port, factory, interface) -> None:  # noqa: N802
        """Listen on a port, unless it is in use."""
        if port in self._used:
            raise OSError(errno.EADDRINUSE, 'Address already in use')


def test_port_that_is_in_use_only_at_the_listen_is_passed_over():
    """Guards against a host that ends at its start as a port is taken."""
    reactor = _BusyPorts({7100, 7101})
    ports = (7100, 7103)
    assert peer_ports.listen_in_range(reactor, '10.0.0.1', ports, None) == 7102
    with pytest.raises(exceptions.PeerError):
        peer_ports.listen_in_range(reactor, '10.0.0.1', (7100, 7101), None)
