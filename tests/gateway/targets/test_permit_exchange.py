"""Tests of the messages that carry permits between hosts."""

import types

import msgspec
import pytest
from twisted.internet import defer
from twisted.internet import task

from tests.gateway.state import test_feed_follower
from tests.routing import test_cold_targets
from walnutport.config import entry_settings
from walnutport.gateway.entry import drain
from walnutport.gateway.targets import cold_watch
from walnutport.gateway.targets import permit_exchange
from walnutport.peer import fleet_messages
from walnutport.routing import send_permits
from walnutport.world import routes

BOUNDS = entry_settings.EntryBounds()
TARGET = test_cold_targets.target(warmup_s=30.0)


class FakeMesh(test_feed_follower.FakeMesh):
    """Mesh with links to the peers that a test names."""

    def __init__(self, own_name) -> None:
        super().__init__()
        self.own_record = types.SimpleNamespace(name=own_name, work_share=1.0)
        self.links_with_most = True
        self.is_partial = False
        self.change_count = 0

    def add_peer(self, name, supports=True) -> None:
        """Add a peer whose build issues permits or not."""
        self.peer_by_name[name] = types.SimpleNamespace(
            supports=lambda capability: supports,
            record=types.SimpleNamespace(work_share=1.0),
        )
        self.change_count += 1

    def live_names(self):
        """Return the names of all hosts."""
        return [self.own_record.name, *self.peer_by_name]


class Host:
    """Exchange of one host, on a clock that the test moves."""

    def __init__(self, monkeypatch, name='own') -> None:
        self.clock = task.Clock()
        self.clock.advance(100.0)
        for module in (permit_exchange, cold_watch):
            monkeypatch.setattr(module.time, 'monotonic', self.clock.seconds)
        self.mesh = FakeMesh(name)
        self.cold = cold_watch.ColdWatch(test_feed_follower.FakeLog())
        self.targets = {'t': TARGET}
        desired = types.SimpleNamespace(
            service_by_name={'plain': test_cold_targets.LIMITED}
        )
        self.cold.state_changed(
            desired, self.targets, entry_settings.EntryBounds()
        )
        # Whether this host has got its stop signal.
        self.stops = False
        sharing = types.SimpleNamespace(
            work_shares=lambda: {
                name: 1.0
                for name in self.mesh.live_names()
                if not self.stops or name != self.mesh.own_record.name
            },
            untried_shares=dict,
        )
        self.exchange = permit_exchange.PermitExchange(
            self.clock,
            self.mesh,
            self.cold,
            sharing,
            lambda: 1,
            lambda target_id: self.targets.get(target_id),
            lambda target: not target.draining,
        )
        self.run(2.0)

    def run(self, duration_s) -> None:
        """Let time pass."""
        for _ in range(round(duration_s / 0.01)):
            self.clock.advance(0.01)
            if round(self.clock.seconds() * 100) % 10 == 0:
                self.exchange.tick()

    def acquire(self, wait_s=0.0):
        """Ask for a permit; return the deferred result."""
        return defer.Deferred.fromCoroutine(
            self.exchange.acquire(TARGET, wait_s)
        )

    def permit(self, wait_s=0.0):
        """Return the permit that a request gets, None without one."""
        done = self.acquire(wait_s)
        self.run(max(wait_s, 0.12))
        return done.result.permit


@pytest.fixture
def host(monkeypatch):
    """Return a host without peers."""
    return Host(monkeypatch)


def test_only_host_issues_to_itself_unless_it_has_lost_its_peers(host):
    """Guards against a host that is cut off and takes itself for the fleet."""
    permit = host.permit()
    assert host.exchange.may_send(TARGET, permit) is False, 'it has ended'
    assert permit is not None
    host.mesh.add_peer('peer', supports=False)
    host.run(1.2)
    assert host.permit() is not None, 'the peer is of an earlier build'
    host.mesh.links_with_most = False
    host.run(0.5)
    assert host.permit() is None
    host.mesh.peer_by_name.clear()
    host.run(2.0)
    assert host.permit() is None


def test_permit_is_checked_when_the_request_is_written(host):
    """Guards against a permit that has ended while a channel was opened."""
    done = host.acquire()
    host.run(0.02)
    permit = done.result.permit
    assert host.exchange.may_send(TARGET, permit)
    assert not host.exchange.may_send(TARGET, None)
    host.clock.advance(0.1)
    assert not host.exchange.may_send(TARGET, permit)
    totals = host.exchange.totals()
    assert totals['send_permits_expired_total'] == 1


def test_lost_issuer_is_a_denial(monkeypatch):
    """Guards against requests that are held by a host that is gone."""
    host = Host(monkeypatch, 'edge')
    for number in range(8):
        host.mesh.add_peer(f'peer-{number}')
    host.run(1.2)
    issuer = host.exchange.describe(TARGET)['permits_by']
    assert issuer.startswith('peer')
    done = host.acquire()
    host.run(0.15)
    assert done.result.permit is None
    name, request = host.mesh.sent[-1]
    assert name == issuer
    # The reply that comes late permits nothing.
    reply = fleet_messages.SendPermitReply('t', 1, request.number, True)
    host.exchange.handle_message(issuer, reply)
    assert host.exchange.totals()['send_permits_expired_total'] == 1


def test_host_in_a_large_fleet_does_not_issue_for_itself(monkeypatch):
    """Guards against as many issuers as hosts while builds are mixed.

    The hosts that all others link with are of an earlier build.
    """
    host = Host(monkeypatch, 'edge-a')
    for number in range(8):
        host.mesh.add_peer(f'peer-{number}', supports=False)
    host.run(1.2)
    assert host.permit() is not None
    host.mesh.is_partial = True
    assert host.permit() is None
    assert host.exchange.describe(TARGET)['permits_by'] is None


def test_target_that_left_during_the_wait_gets_nothing(host):
    """Guards against a request to a target that drains by now."""
    host.permit()
    done = host.acquire(1.0)
    host.targets = {}
    host.run(1.0)
    assert done.result.permit is None and not done.result.is_warm


def test_wait_ends_when_the_target_is_warm(host):
    """Guards against requests that wait for permits without need."""
    host.permit()
    host.acquire(1.0)
    second = host.acquire(1.0)
    host.cold.response_received(TARGET, 0.0, '')
    host.run(0.1)
    assert second.result.is_warm
    assert host.exchange.may_send(TARGET, None)


def test_caller_that_leaves_gives_its_turn_to_the_next(host):
    """Guards against permits that nobody uses."""
    host.permit()
    first, second = host.acquire(1.0), host.acquire(1.0)
    first.addErrback(lambda failure: failure.trap(defer.CancelledError))
    first.cancel()
    host.run(0.14)
    assert second.result.permit is not None


def test_without_limits_nothing_is_kept_or_sent(host):
    """Guards against a cost where the operator wants no limit."""
    desired = types.SimpleNamespace(
        service_by_name={'plain': routes.Service('plain', 10)}
    )
    host.cold.state_changed(desired, host.targets, BOUNDS)
    assert not host.exchange.is_needed(TARGET)
    assert not host.exchange.may_be_needed
    assert host.cold.stage_interval_s(TARGET) == 0.0
    assert host.mesh.sent == []


def test_host_that_stops_issues_nothing_that_outlasts_it(monkeypatch):
    """Guards against permits and places that end after their issuer.

    A host that stops goes on for some seconds at least. It issues nothing
    from its next update on, and its last permits are over soon after that.
    """
    host = Host(monkeypatch)
    host.mesh.add_peer('other')
    host.run(2.0)
    request = fleet_messages.SendPermitRequest('t', 1, 0, 2.0)
    host.exchange.handle_message('other', request)
    assert host.mesh.sent[-1][1].is_granted
    host.stops = True
    host.run(permit_exchange.UPDATE_INTERVAL_S)
    host.mesh.sent.clear()
    for number in range(100):
        host.exchange.handle_message(
            'other', msgspec.structs.replace(request, number=number)
        )
        host.run(0.01)
    replies = [message for _, message in host.mesh.sent]
    assert len(replies) == 100
    assert not any(reply.is_granted for reply in replies)
    ended_after_s = (
        permit_exchange.UPDATE_INTERVAL_S
        + send_permits.MAX_HOLD_S
        + send_permits.PERMIT_S
    )
    assert ended_after_s < drain.BALANCER_REMOVAL_S
