"""Tests of the claim gate with a log and a bus in memory."""

import collections

from expression import Error
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st
import pytest
from twisted.internet import defer
from twisted.internet import task

from walnutport.claims import keys
from walnutport.claims import records
from walnutport.claims import store
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.peer import messages
from walnutport.service import claims
from walnutport.service import log_writer

WALL_S = 1_700_000_000.0
KEY = f'{int(WALL_S)}-k'
DONE = answers.Answer(answers.Outcome.COMPLETE, answers.Reason.OK, b'{"a":1}')


class FakeClock:
    """Clock of a simulated reactor."""

    def __init__(self, reactor: task.Clock) -> None:
        self._reactor = reactor

    def monotonic(self) -> float:
        return self._reactor.seconds()

    def wall(self) -> float:
        return WALL_S + self._reactor.seconds()


class MemoryLog:
    """Log that fails appends as told: kept, lost or refused."""

    def __init__(self, reactor: task.Clock) -> None:
        self._reactor = reactor
        self.records: list[interfaces.LogRecord] = []
        self.append_times: list[float] = []
        self.error: exceptions.LogServiceError | None = None

    def append(self, stream: str, payload: bytes):
        now = self._reactor.seconds()
        self.append_times.append(now)
        if not isinstance(self.error, exceptions.LogUnavailable):
            time_ms = int((WALL_S + now) * 1000)
            self.records.append(
                interfaces.LogRecord(len(self.records), time_ms, payload)
            )
        if self.error is not None:
            return defer.succeed(Error(self.error))
        return defer.succeed(Ok(len(self.records) - 1))

    def page(self, offset: int) -> interfaces.StreamPage:
        end = len(self.records)
        return interfaces.StreamPage(tuple(self.records[offset:]), 0, end, end)


class MemoryBus:
    """Delivers messages between the hosts of a test at once."""

    def __init__(self, host_id: str, buses: dict[str, 'MemoryBus']) -> None:
        self._origin = messages.PeerOrigin(host_id, 1)
        self._buses = buses
        self._handlers: dict[type, list] = collections.defaultdict(list)
        buses[host_id] = self

    def send(self, host_id: str, message) -> bool:
        if host_id not in self._buses:
            return False
        for handler in self._buses[host_id]._handlers[type(message)]:
            handler(self._origin, message)
        return True

    def broadcast(self, message) -> int:
        return sum(self.send(host_id, message) for host_id in self._buses)

    def subscribe(self, message_type, handler) -> None:
        self._handlers[message_type].append(handler)


class Hosts:
    """Claim gates of two hosts with one log."""

    def __init__(self, with_bus: bool = True) -> None:
        self.reactor = task.Clock()
        self.log = MemoryLog(self.reactor)
        self.buses: dict[str, MemoryBus] = {}
        self.available = True
        self.gates = [self._gate(name, with_bus) for name in ('a', 'b')]
        self.read()

    def _gate(self, name: str, with_bus: bool) -> claims.ClaimService:
        clock = FakeClock(self.reactor)
        writer = log_writer.LogWriter(self.log, clock, self.reactor, 20.0)
        return claims.ClaimService(
            records.Owner(name, 1),
            config.LogSettings(),
            10_000,
            writer,
            clock,
            self.reactor,
            lambda: self.available,
            MemoryBus(name, self.buses) if with_bus else None,
        )

    def claim(self, host: int, key: str = KEY, body: bytes = b'x') -> list:
        """Claim and return a list that takes the outcome."""
        identity = interfaces.ClaimIdentity('north', 'payments', key)
        outcomes: list = []
        deadline = self.reactor.seconds() + 8.0
        pending = self.gates[host].claim(identity, body, deadline)
        pending.addCallback(outcomes.append)
        return outcomes

    def read(self) -> None:
        for gate in self.gates:
            offset = gate.start_offset()
            gate.apply(self.log.page(offset), self.reactor.seconds())

    def step(self, seconds: float = 0.2, read: bool = True) -> None:
        self.reactor.pump([0.05] * round(seconds / 0.05))
        if read:
            self.read()
        for gate in self.gates:
            gate.advance()

    def owned(self) -> str:
        """Return the claim of a run that host ``a`` was granted."""
        outcomes = self.claim(0)
        self.step()
        return outcomes[0].ok.claim_id


def refusal(outcomes: list) -> answers.Answer:
    """Return the one answer that the gate gave instead of a grant."""
    assert len(outcomes) == 1
    return outcomes[0].error.answer


@pytest.mark.parametrize('host', [0, 1])
def test_repeats_get_the_whole_answer(host: int) -> None:
    """Guards against a repeat that is run, lost or answered in part."""
    hosts = Hosts()
    claim_id = hosts.owned()
    running = [hosts.claim(host), hosts.claim(host)]
    hosts.step(3.0)
    assert running == [[], []]
    hosts.gates[0].finish(claim_id, DONE)
    assert [refusal(item) for item in running] == [DONE, DONE]
    finished = hosts.claim(host)
    hosts.step()
    assert refusal(finished) == DONE


def test_released_claim_is_claimed_anew() -> None:
    """Guards against repeats that hang on a run that never started."""
    hosts = Hosts()
    claim_id = hosts.owned()
    other = hosts.claim(1)
    hosts.step()
    not_run = answers.Answer(answers.Outcome.NOT_RUN, answers.Reason.OVERLOAD)
    hosts.gates[0].finish(claim_id, not_run)
    hosts.step()
    hosts.step()
    assert other[0].is_ok()
    assert all(gate.unsettled == 0 for gate in hosts.gates)


@pytest.mark.parametrize('with_bus', [True, False])
def test_unreachable_owner_means_unknown(with_bus: bool) -> None:
    """Guards against "not run" of a request that another host may run."""
    hosts = Hosts(with_bus)
    hosts.owned()
    hosts.buses.pop('a', None)
    repeat = hosts.claim(1)
    hosts.step()
    assert refusal(repeat).outcome is answers.Outcome.UNKNOWN
    assert refusal(repeat).reason is answers.Reason.CLAIMED_ELSEWHERE


def test_owner_that_dies_ends_the_wait_of_a_repeat() -> None:
    """Guards against an answer that is held back until the deadline."""
    hosts = Hosts()
    hosts.owned()
    repeat = hosts.claim(1)
    hosts.step(1.5)
    assert repeat == []
    del hosts.buses['a']
    hosts.step(2.5)
    assert refusal(repeat).outcome is answers.Outcome.UNKNOWN


@pytest.mark.parametrize(
    'error, outcome',
    [
        (exceptions.LogUnavailable('down'), 'not_run'),
        (exceptions.AppendAmbiguous('lost'), None),
    ],
)
def test_failed_appends(error, outcome) -> None:
    """Guards against waiting for refused appends, and losing kept ones."""
    hosts = Hosts()
    hosts.log.error = error
    outcomes = hosts.claim(0)
    hosts.step(read=False)
    if outcome is not None:
        assert refusal(outcomes).reason is answers.Reason.CLAIM_UNAVAILABLE
        assert refusal(outcomes).outcome.value == outcome
        assert refusal(outcomes).retry_after_s > 0
    else:
        assert outcomes == []
        hosts.read()
        assert outcomes[0].is_ok()


def test_claim_that_is_read_late_is_released() -> None:
    """Guards against keys that stay claimed without a run."""
    hosts = Hosts()
    outcomes = hosts.claim(0)
    hosts.step(2.0, read=False)
    assert refusal(outcomes).reason is answers.Reason.CLAIM_UNAVAILABLE
    hosts.step()
    hosts.step()
    repeat = hosts.claim(1)
    hosts.step()
    assert repeat[0].is_ok()


def test_release_is_repeated_until_it_is_read() -> None:
    """Guards against keys that stay claimed after a refused release."""
    hosts = Hosts()
    claim_id = hosts.owned()
    not_run = answers.Answer(answers.Outcome.NOT_RUN, answers.Reason.OVERLOAD)
    hosts.log.error = exceptions.LogUnavailable('down')
    hosts.gates[0].finish(claim_id, not_run)
    hosts.step()
    early = hosts.claim(0)
    assert refusal(early).reason is answers.Reason.CLAIM_UNAVAILABLE
    hosts.log.error = None
    hosts.step(1.0)
    hosts.step()
    assert hosts.gates[0].unsettled == 0
    repeat = hosts.claim(1)
    hosts.step()
    assert repeat[0].is_ok()


def test_late_request_joins_the_run_of_its_repeat() -> None:
    """Guards against "not run" of a key that is granted at that moment."""
    hosts = Hosts()
    identity = interfaces.ClaimIdentity('north', 'payments', KEY)
    late: list = []
    hosts.gates[0].claim(identity, b'x', 0.5).addCallback(late.append)
    repeat = hosts.claim(0)
    hosts.reactor.advance(0.6)
    hosts.read()
    assert repeat[0].is_ok()
    hosts.step()
    assert refusal(late).outcome is answers.Outcome.UNKNOWN


def test_log_outage_is_answered_at_once() -> None:
    """Guards against waits for a log that is known to be down."""
    hosts = Hosts()
    claim_id = hosts.owned()
    hosts.available = False
    refused = hosts.claim(0, key=f'{int(WALL_S)}-other')
    assert refusal(refused).outcome is answers.Outcome.NOT_RUN
    hosts.gates[0].finish(claim_id, DONE)
    assert refusal(hosts.claim(0)) == DONE


def test_unread_stream_refuses_keyed_work() -> None:
    """Guards against runs before the claims of other hosts were read."""
    hosts = Hosts()
    hosts.gates[0] = hosts._gate('a', False)
    early = hosts.claim(0)
    assert refusal(early).reason is answers.Reason.CLAIM_UNAVAILABLE
    behind = interfaces.StreamPage((), 0, 0, 7)
    hosts.gates[0].apply(behind, 0.0)
    assert refusal(hosts.claim(0)) == refusal(early)


def test_bad_keys_and_bodies() -> None:
    """Guards against runs under keys that no claim can protect."""
    hosts = Hosts()
    hosts.owned()
    now = int(WALL_S)
    cases = {
        'nonsense': ('idempotency_key_invalid', 'not_run', 400),
        f'{now + 40}-k': ('idempotency_key_invalid', 'not_run', 400),
        f'{now - 700}-k': ('key_expired', 'unknown', 410),
    }
    for key, (reason, outcome, status) in cases.items():
        answer = refusal(hosts.claim(0, key=key))
        assert answer.reason.value == reason
        assert answer.outcome.value == outcome
        assert answer.http_status == status
    reused = refusal(hosts.claim(0, body=b'y'))
    assert reused.reason is answers.Reason.KEY_REUSED


def test_lost_records_expire_old_keys() -> None:
    """Guards against a second run whose first claim expired unread."""
    hosts = Hosts()
    lost = interfaces.StreamPage((), 5, 5, 5, expired=True)
    hosts.gates[1].apply(lost, hosts.reactor.seconds())
    old = hosts.claim(1)
    assert refusal(old).outcome is answers.Outcome.UNKNOWN
    assert refusal(old).reason is answers.Reason.KEY_EXPIRED


def test_cancelled_claims_leave_nothing_behind() -> None:
    """Guards against claims of callers that left before the grant."""
    hosts = Hosts()
    identity = interfaces.ClaimIdentity('north', 'payments', KEY)
    pending = hosts.gates[0].claim(identity, b'x', 8.0)
    hosts.step(read=False)
    pending.addErrback(lambda failure: failure.trap(defer.CancelledError))
    pending.cancel()
    hosts.step()
    hosts.step()
    assert len(hosts.gates[0].fold) == 0


@given(st.integers(2, 60), st.lists(st.floats(0.0, 0.3), max_size=120))
def test_appends_stay_within_their_rate(per_s: int, gaps_s) -> None:
    """Guards against bursts over the log's limit, and lost items."""
    reactor = task.Clock()
    log = MemoryLog(reactor)
    clock = FakeClock(reactor)
    writer = log_writer.LogWriter(log, clock, reactor, float(per_s))
    batcher: log_writer.Batcher[int] = log_writer.Batcher(
        writer, 's', lambda items: bytes(items), clock, reactor, max_items=7
    )
    answered: list = []
    for number, gap_s in enumerate(gaps_s):
        batcher.add(number).addCallback(answered.append)
        reactor.advance(gap_s)
    reactor.pump([0.05] * 600)
    assert len(answered) == len(gaps_s)
    written = b''.join(record.payload for record in log.records)
    assert written == bytes(range(len(gaps_s)))
    times = log.append_times
    for index, start in enumerate(times):
        within = [time for time in times[index:] if time < start + 1.0]
        assert len(within) <= per_s


def test_full_writer_queue_refuses_items() -> None:
    """Guards against a batcher that stalls after a full queue."""
    reactor = task.Clock()
    log = MemoryLog(reactor)
    clock = FakeClock(reactor)
    writer = log_writer.LogWriter(log, clock, reactor, 1_000.0)
    batcher: log_writer.Batcher[int] = log_writer.Batcher(
        writer, 's', lambda items: bytes(items), clock, reactor
    )
    for _ in range(1_200):
        writer.submit('s', b'')
    answered: list = []
    batcher.add(1).addCallback(answered.append)
    reactor.advance(0)
    assert answered[0].is_error()
    reactor.pump([0.05] * 60)
    batcher.add(2).addCallback(answered.append)
    reactor.pump([0.05] * 60)
    assert answered[1].is_ok()


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 900))))
def test_stored_answers_are_bounded(puts) -> None:
    """Guards against unbounded memory and a drift of the size."""
    kept = store.AnswerStore(4_000)
    for claim, size in puts:
        kept.put(
            str(claim), answers.Answer(DONE.outcome, DONE.reason, b'x' * size)
        )
        assert kept.size_bytes <= 4_000
        assert kept.get(str(claim)) is not None
    for claim in range(10):
        kept.remove(str(claim))
    assert (kept.size_bytes, len(kept)) == (0, 0)


@given(st.binary(max_size=200))
def test_foreign_records_are_rejected_cleanly(payload: bytes) -> None:
    """Guards against errors other than the layer's own."""
    try:
        records.decode_batch(payload)
    except exceptions.CodecError:
        pass


@given(st.text(max_size=40))
def test_foreign_keys_are_rejected_cleanly(key: str) -> None:
    """Guards against errors on malformed keys."""
    issued_s = keys.parse_key(key)
    assert (
        issued_s is None or key.startswith(str(issued_s)[0]) or key[0] == '0'
    )
