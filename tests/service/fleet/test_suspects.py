"""Tests of the shells of quarantine and permits over a fake bus and log."""

import random

from expression import Ok
from twisted.internet import defer
from twisted.internet import task

from tests.service.requests import test_hedging
from walnutport import exceptions
from walnutport import interfaces
from walnutport.peer import messages
from walnutport.quarantine import suspects as suspect_book
from walnutport.routing import router
from walnutport.service.fleet import permits
from walnutport.service.fleet import suspects
from walnutport import world

DIGEST = b'digest'
TARGET = world.Target('t1', 'rerank', 'dc', world.Address('127.0.0.1', 9), 4)


class FakeBus:
    """Delivers to the other buses of a list at once."""

    def __init__(self, host_id: str, buses: dict[str, 'FakeBus']) -> None:
        self.host_id = host_id
        self.buses = buses
        self.handlers: dict[type, object] = {}
        self.lose = False
        buses[host_id] = self

    def send(self, host_id: str, message: messages.PeerMessage) -> bool:
        """Deliver to one host."""
        if not self.lose:
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
    """Answers probes with what the test sets."""

    def __init__(self) -> None:
        self.answers: list[object] = []
        self.asked = 0

    async def read_load(self, target: world.Target) -> world.LoadReport:
        """Return or raise the next answer."""
        self.asked += 1
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Host:
    """The shells of one host."""

    def __init__(
        self, name: str, reactor: task.Clock, buses: dict[str, FakeBus]
    ) -> None:
        clock = test_hedging.FakeClock(reactor)
        self.bus = FakeBus(name, buses)
        self.book = suspect_book.SuspectTable()
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
        self.watch = suspects.CrashDetector(
            self.book,
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
        """Take a record of the stream of verdicts."""
        assert stream == 'verdicts'
        self.appended.append(payload)
        return defer.succeed(Ok(len(self.appended)))

    def confirm(self, *answers: object) -> defer.Deferred:
        """Lose a connection with a request in flight."""
        self.target.answers += answers
        self.book.incarnation_seen('t1', 'old')
        self.book.attempt_started(DIGEST, 't1', 'a1', 0.0)
        return defer.ensureDeferred(self.watch.confirm_crash(TARGET, 'old'))


def new_hosts() -> tuple[task.Clock, dict[str, Host]]:
    """Return three hosts that share a clock and a bus."""
    reactor = task.Clock()
    buses: dict[str, FakeBus] = {}
    return reactor, {name: Host(name, reactor, buses) for name in 'abc'}


def test_a_death_spreads_over_bus_and_log() -> None:
    """Guards against a suspect that other hosts run unguarded."""
    reactor, hosts = new_hosts()
    confirmed = hosts['a'].confirm(exceptions.NotSent('refused'))
    assert confirmed.result is True
    assert hosts['a'].router.down_targets() == [TARGET]
    for host in hosts.values():
        assert host.book.state(DIGEST, 0.0) == 'suspect'
    payload = hosts['a'].appended[0]
    late = Host('late', reactor, {})
    record = interfaces.LogRecord(0, 0, payload)
    bad = interfaces.LogRecord(1, 0, b'[{"digest":3}]')
    late.watch.apply(interfaces.StreamPage((bad, record), 0, 2, 2), 0.0)
    assert late.book.state(DIGEST, 0.0) == 'suspect'


def test_what_counts_as_a_death() -> None:
    """Guards against missed deaths and against blaming a lost connection."""
    cases = (
        ([world.LoadReport(0, 0, 4, 'old')], False),
        ([world.LoadReport(0, 0, 4, 'new')], True),
        # A process that ends resets connections before it refuses them.
        ([exceptions.AttemptLost('reset'), exceptions.NotSent('no')], True),
    )
    for answers, died in cases:
        reactor, hosts = new_hosts()
        confirmed = hosts['a'].confirm(*answers)
        reactor.advance(suspects.PROBE_GAP_S)
        assert confirmed.result is died
        assert (hosts['a'].book.state(DIGEST, 0.0) == 'suspect') is died


def test_one_permit_over_all_hosts() -> None:
    """Guards against a suspect that runs on two hosts at the same time."""
    _, hosts = new_hosts()
    results = {
        name: host.permits.acquire(DIGEST, 4.0).result
        for name, host in hosts.items()
    }
    granted = [name for name, result in results.items() if result.is_ok()]
    assert len(granted) == 1
    holder = hosts[granted[0]].permits
    holder.release(results[granted[0]].ok, DIGEST)
    assert hosts['c'].permits.acquire(DIGEST, 4.0).result.is_ok()


def test_a_lost_request_is_refused_in_time() -> None:
    """Guards against a request that waits for a permit for ever."""
    reactor, hosts = new_hosts()
    owner = hosts['a'].permits.table.owner(DIGEST)
    asking = next(name for name in hosts if name != owner)
    hosts[asking].permits.advance()
    hosts[asking].bus.lose = True
    waiting = hosts[asking].permits.acquire(DIGEST, 4.0)
    reactor.advance(permits.REPLY_TIMEOUT_S + 0.01)
    assert waiting.result.error.retry_after_s > 0
