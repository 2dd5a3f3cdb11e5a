"""Tests of the claim service with an in-memory log and bus."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
from twisted.internet import defer
from twisted.internet import task

from tests.service.records import claim_hosts
from walnutport.claims import keys
from walnutport.claims import records
from walnutport.claims import store
from walnutport import exceptions
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.service.records import log_writer


@pytest.mark.parametrize('host', [0, 1])
def test_repeated_requests_get_the_complete_answer(host: int) -> None:
    """Guards against a repeat that is run again, lost or cut short."""
    hosts = claim_hosts.Hosts()
    claim_id = hosts.grant_first_run()
    repeats = [hosts.claim(host), hosts.claim(host)]
    hosts.step(3.0)
    assert repeats == [[], []]
    hosts.gates[0].finish_run(claim_id, claim_hosts.DONE)
    assert [claim_hosts.refusal(item) for item in repeats] == [
        claim_hosts.DONE,
        claim_hosts.DONE,
    ]
    finished = hosts.claim(host)
    hosts.step()
    assert claim_hosts.refusal(finished) == claim_hosts.DONE


def test_released_claim_is_claimed_again() -> None:
    """Guards against repeats that wait for a run that never started."""
    hosts = claim_hosts.Hosts()
    claim_id = hosts.grant_first_run()
    other = hosts.claim(1)
    hosts.step()
    not_run = answers.Answer(answers.Outcome.NOT_RUN, answers.Reason.OVERLOAD)
    hosts.gates[0].finish_run(claim_id, not_run)
    hosts.step()
    hosts.step()
    assert other[0].is_ok()
    assert all(gate.unsettled == 0 for gate in hosts.gates)


@pytest.mark.parametrize('with_bus', [True, False])
def test_unreachable_owner_means_unknown(with_bus: bool) -> None:
    """Guards against ``not_run`` for a request another host may be running."""
    hosts = claim_hosts.Hosts(with_bus)
    hosts.grant_first_run()
    hosts.buses.pop('a', None)
    repeat = hosts.claim(1)
    hosts.step()
    assert claim_hosts.refusal(repeat).outcome is answers.Outcome.UNKNOWN
    assert (
        claim_hosts.refusal(repeat).reason is answers.Reason.CLAIMED_ELSEWHERE
    )


def test_crash_of_the_owner_ends_the_wait_of_a_repeat() -> None:
    """Guards against an answer that is delayed until the deadline."""
    hosts = claim_hosts.Hosts()
    hosts.grant_first_run()
    repeat = hosts.claim(1)
    hosts.step(1.5)
    assert repeat == []
    del hosts.buses['a']
    hosts.step(2.5)
    assert claim_hosts.refusal(repeat).outcome is answers.Outcome.UNKNOWN


@pytest.mark.parametrize(
    'error, outcome',
    [
        (exceptions.LogUnavailable('down'), 'not_run'),
        (exceptions.AppendAmbiguous('lost'), None),
    ],
)
def test_failed_appends(error, outcome) -> None:
    """Guards against waits after a refused append, and lost stored claims."""
    hosts = claim_hosts.Hosts()
    hosts.log.error = error
    outcomes = hosts.claim(0)
    hosts.step(read=False)
    if outcome is not None:
        assert (
            claim_hosts.refusal(outcomes).reason
            is answers.Reason.CLAIM_UNAVAILABLE
        )
        assert claim_hosts.refusal(outcomes).outcome.value == outcome
        assert claim_hosts.refusal(outcomes).retry_after_s > 0
    else:
        assert outcomes == []
        hosts.read()
        assert outcomes[0].is_ok()


def test_claim_read_after_its_timeout_is_released() -> None:
    """Guards against keys that stay claimed although nothing runs."""
    hosts = claim_hosts.Hosts()
    outcomes = hosts.claim(0)
    hosts.step(2.0, read=False)
    assert (
        claim_hosts.refusal(outcomes).reason
        is answers.Reason.CLAIM_UNAVAILABLE
    )
    hosts.step()
    hosts.step()
    repeat = hosts.claim(1)
    hosts.step()
    assert repeat[0].is_ok()


def test_release_is_repeated_until_it_is_read() -> None:
    """Guards against keys that stay claimed after a refused release."""
    hosts = claim_hosts.Hosts()
    claim_id = hosts.grant_first_run()
    not_run = answers.Answer(answers.Outcome.NOT_RUN, answers.Reason.OVERLOAD)
    hosts.log.error = exceptions.LogUnavailable('down')
    hosts.gates[0].finish_run(claim_id, not_run)
    hosts.step()
    early = hosts.claim(0)
    assert (
        claim_hosts.refusal(early).reason is answers.Reason.CLAIM_UNAVAILABLE
    )
    hosts.log.error = None
    hosts.step(1.0)
    hosts.step()
    assert hosts.gates[0].unsettled == 0
    repeat = hosts.claim(1)
    hosts.step()
    assert repeat[0].is_ok()


def test_late_request_joins_the_run_of_its_repeat() -> None:
    """Guards against ``not_run`` for a key whose run is just being granted."""
    hosts = claim_hosts.Hosts()
    identity = interfaces.ClaimIdentity('north', 'payments', claim_hosts.KEY)
    late: list = []
    hosts.gates[0].claim(identity, b'x', 0.5).addCallback(late.append)
    repeat = hosts.claim(0)
    hosts.reactor.advance(0.6)
    hosts.read()
    assert repeat[0].is_ok()
    hosts.step()
    assert claim_hosts.refusal(late).outcome is answers.Outcome.UNKNOWN


def test_log_outage_is_answered_immediately() -> None:
    """Guards against waiting for a log that is known to be down."""
    hosts = claim_hosts.Hosts()
    claim_id = hosts.grant_first_run()
    hosts.available = False
    refused = hosts.claim(0, key=f'{int(claim_hosts.WALL_S)}-other')
    assert claim_hosts.refusal(refused).outcome is answers.Outcome.NOT_RUN
    hosts.gates[0].finish_run(claim_id, claim_hosts.DONE)
    assert claim_hosts.refusal(hosts.claim(0)) == claim_hosts.DONE


def test_unread_stream_refuses_requests_with_keys() -> None:
    """Guards against runs before the claims of other hosts are read."""
    hosts = claim_hosts.Hosts()
    hosts.gates[0] = hosts._gate('a', False)
    early = hosts.claim(0)
    assert (
        claim_hosts.refusal(early).reason is answers.Reason.CLAIM_UNAVAILABLE
    )
    behind = interfaces.StreamPage((), 0, 0, 7)
    hosts.gates[0].apply(behind, 0.0)
    assert claim_hosts.refusal(hosts.claim(0)) == claim_hosts.refusal(early)


def test_invalid_keys_and_changed_bodies() -> None:
    """Guards against runs under keys that no claim can make unique."""
    hosts = claim_hosts.Hosts()
    hosts.grant_first_run()
    now = int(claim_hosts.WALL_S)
    cases = {
        'nonsense': ('idempotency_key_invalid', 'not_run', 400),
        f'{now + 40}-k': ('idempotency_key_invalid', 'not_run', 400),
        f'{now - 700}-k': ('key_expired', 'unknown', 410),
    }
    for key, (reason, outcome, status) in cases.items():
        answer = claim_hosts.refusal(hosts.claim(0, key=key))
        assert answer.reason.value == reason
        assert answer.outcome.value == outcome
        assert answer.http_status == status
    reused = claim_hosts.refusal(hosts.claim(0, body=b'y'))
    assert reused.reason is answers.Reason.KEY_REUSED


def test_records_expired_unread_invalidate_old_keys() -> None:
    """Guards against a second run after the first claim expired unread."""
    hosts = claim_hosts.Hosts()
    lost = interfaces.StreamPage((), 5, 5, 5, expired=True)
    hosts.gates[1].apply(lost, hosts.reactor.seconds())
    old = hosts.claim(1)
    assert claim_hosts.refusal(old).outcome is answers.Outcome.UNKNOWN
    assert claim_hosts.refusal(old).reason is answers.Reason.KEY_EXPIRED


def test_cancelled_claim_is_released() -> None:
    """Guards against claims left by callers that cancel before the grant."""
    hosts = claim_hosts.Hosts()
    identity = interfaces.ClaimIdentity('north', 'payments', claim_hosts.KEY)
    pending = hosts.gates[0].claim(identity, b'x', 8.0)
    hosts.step(read=False)
    pending.addErrback(lambda failure: failure.trap(defer.CancelledError))
    pending.cancel()
    hosts.step()
    hosts.step()
    assert len(hosts.gates[0].fold) == 0


@given(st.integers(2, 60), st.lists(st.floats(0.0, 0.3), max_size=120))
def test_appends_stay_within_their_rate(per_s: int, gaps_s) -> None:
    """Guards against bursts over the append limit, and lost items."""
    reactor = task.Clock()
    log = claim_hosts.MemoryLog(reactor)
    clock = claim_hosts.FakeClock(reactor)
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
    log = claim_hosts.MemoryLog(reactor)
    clock = claim_hosts.FakeClock(reactor)
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
    """Guards against unbounded memory and a wrong total size."""
    answer_store = store.AnswerStore(4_000)
    for claim, size in puts:
        answer_store.put(
            str(claim),
            answers.Answer(
                claim_hosts.DONE.outcome, claim_hosts.DONE.reason, b'x' * size
            ),
        )
        assert answer_store.size_bytes <= 4_000
        assert answer_store.get(str(claim)) is not None
    for claim in range(10):
        answer_store.remove(str(claim))
    assert (answer_store.size_bytes, len(answer_store)) == (0, 0)


@given(st.binary(max_size=200))
def test_arbitrary_records_raise_only_codec_errors(payload: bytes) -> None:
    """Guards against exceptions other than ``CodecError``."""
    try:
        records.decode_batch(payload)
    except exceptions.CodecError:
        pass


@given(st.text(max_size=40))
def test_arbitrary_keys_raise_no_error(key: str) -> None:
    """Guards against exceptions on malformed keys."""
    issued_s = keys.parse_key(key)
    assert (
        issued_s is None or key.startswith(str(issued_s)[0]) or key[0] == '0'
    )
