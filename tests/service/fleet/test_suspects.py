"""Tests of crash detection and permits over a fake bus and log."""

import random

from expression import Ok
from twisted.internet import defer
from twisted.internet import task

from tests.service.requests import test_hedging
from walnutport import exceptions
from walnutport import interfaces
from walnutport.peer import messages
from walnutport.quarantine import suspects as quarantine_suspects
from walnutport.routing import router
from walnutport.service.fleet import permits
from walnutport.service.fleet import suspects
from walnutport import world

DIGEST = b'digest'
TARGET = world.Target('t1', 'rerank', 'dc', world.Address('127.0.0.1', 9), 4)


class FakeBus:
    """Peer bus that delivers to the buses of other hosts synchronously."""

    def __init__(self, host_id: str, buses: dict[str, 'FakeBus']) -> None:
        self.host_id = host_id
        self.buses = buses
        self.handlers: dict[type, object] = {}
        self.drops_messages = False
        buses[host_id] = self

    def send(self, host_id: str, message: messages.PeerMessage) -> bool:
        """Deliver to one host, or drop the message if ``drops_messages``."""
        if not self.drops_messages:
            origin = messages.PeerOrigin(self.host_id, 1)
            self.buses[host_id].handlers[type(message)](origin, message)
        return True

    def broadcast(self, message: messages.PeerMessage) -> int:
        """Deliver to every other host."""
        others = [name for name in self.buses if name != self.host_id]
        for name in others:
            self.send(name, message)
        return len(others)

    def subscribe(self, message_type: type, handler) -> None:
        """Register a handler."""
        self.handlers[message_type] = handler


class FakeTarget:
    """Answers probes with the reports or errors that a test queues."""

    def __init__(self) -> None:
        self.answers: list[object] = []
        self.probe_count = 0

    async def read_load(self, target: world.Target) -> world.LoadReport:
        """Return the next answer, or raise it if it is an error."""
        self.probe_count += 1
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Host:
    """Crash detection and permits of one host."""

    def __init__(
        self, name: str, reactor: task.Clock, buses: dict[str, FakeBus]
    ) -> None:
        clock = test_hedging.FakeClock(reactor)
        self.bus = FakeBus(name, buses)
        self.table = quarantine_suspects.SuspectTable()
        self.router = router.StandardRouter(
            name,
            'dc',
            subset_size=9,
            max_ejected_share=0.3,
            rng=random.Random(1),
        )
        self.router.targets_changed({'t1': TARGET}, 0.0)
        self.target = FakeTarget()
        self.appended: list[bytes] = []
        self.detector = suspects.CrashDetector(
            self.table,
            self.router,
            self.target,
            clock,
            reactor,
            self.bus,
            self.append,
        )
        self.permits = permits.PermitService(
            name, clock, reactor, self.bus, lambda: tuple(buses)
        )

    def append(self, stream: str, payload: bytes) -> defer.Deferred:
        """Record an append to the stream of verdicts."""
        assert stream == 'verdicts'
        self.appended.append(payload)
        return defer.succeed(Ok(len(self.appended)))

    def confirm(self, *answers: object) -> defer.Deferred:
        """Confirm a crash after losing a connection with a request on it."""
        self.target.answers += answers
        self.table.incarnation_seen('t1', 'old')
        self.table.attempt_started(DIGEST, 't1', 'a1', 0.0)
        return defer.ensureDeferred(self.detector.confirm_crash(TARGET, 'old'))


def new_hosts() -> tuple[task.Clock, dict[str, Host]]:
    """Return three hosts that share a clock and a bus."""
    reactor = task.Clock()
    buses: dict[str, FakeBus] = {}
    return reactor, {name: Host(name, reactor, buses) for name in 'abc'}


def test_crash_reaches_other_hosts_by_bus_and_log() -> None:
    """Guards against a suspect that other hosts run without a permit."""
    reactor, hosts = new_hosts()
    confirmed = hosts['a'].confirm(exceptions.NotSent('refused'))
    assert confirmed.result is True
    assert hosts['a'].router.down_targets() == [TARGET]
    for host in hosts.values():
        assert host.table.state(DIGEST, 0.0) == 'suspect'
    payload = hosts['a'].appended[0]
    started_later = Host('late', reactor, {})
    record = interfaces.LogRecord(0, 0, payload)
    malformed = interfaces.LogRecord(1, 0, b'[{"digest":3}]')
    started_later.detector.apply(
        interfaces.StreamPage((malformed, record), 0, 2, 2), 0.0
    )
    assert started_later.table.state(DIGEST, 0.0) == 'suspect'


def test_crash_needs_a_refusal_or_a_new_incarnation() -> None:
    """Guards against missed crashes, and suspects after a mere reset."""
    cases = (
        ([world.LoadReport(0, 0, 4, 'old')], False),
        ([world.LoadReport(0, 0, 4, 'new')], True),
        # A terminating process resets connections before it refuses them.
        ([exceptions.AttemptLost('reset'), exceptions.NotSent('no')], True),
    )
    for answers, crashed in cases:
        reactor, hosts = new_hosts()
        confirmed = hosts['a'].confirm(*answers)
        reactor.advance(suspects.PROBE_RETRY_DELAY_S)
        assert confirmed.result is crashed
        assert (hosts['a'].table.state(DIGEST, 0.0) == 'suspect') is crashed


def test_one_permit_over_all_hosts() -> None:
    """Guards against a suspect that two hosts run at the same time."""
    _, hosts = new_hosts()
    results = {
        name: host.permits.acquire(DIGEST, 4.0).result
        for name, host in hosts.items()
    }
    granted = [name for name, result in results.items() if result.is_ok()]
    assert len(granted) == 1
    permit_holder = hosts[granted[0]].permits
    permit_holder.release(results[granted[0]].ok, DIGEST)
    assert hosts['c'].permits.acquire(DIGEST, 4.0).result.is_ok()


def test_lost_permit_request_is_refused_after_a_timeout() -> None:
    """Guards against a request that waits for a permit forever."""
    reactor, hosts = new_hosts()
    owner = hosts['a'].permits.table.owner(DIGEST)
    requester = next(name for name in hosts if name != owner)
    hosts[requester].permits.advance()
    hosts[requester].bus.drops_messages = True
    waiting = hosts[requester].permits.acquire(DIGEST, 4.0)
    reactor.advance(permits.REPLY_TIMEOUT_S + 0.01)
    assert waiting.result.error.retry_after_s > 0
