"""Tests of the cost ledger against a reference sum."""

from expression import Error
from expression import Ok
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from twisted.internet import defer
from twisted.internet import task

from walnutport.cost import ledger
from walnutport.cost import records
from walnutport.cost import totals
from walnutport import exceptions
from walnutport import interfaces
from walnutport.service.records import cost

_HOSTS = ('h1', 'h2')


class CostMachine(stateful.RuleBasedStateMachine):
    """Guards against costs that are counted twice or missing from the totals.

    An append succeeds, is refused, loses its reply with or without taking
    effect, or takes effect late, after further batches. A restart loses only
    the counters that are not in the log.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log: list[bytes] = []
        self.delayed: list[bytes] = []
        self.expected: dict[records.CostKey, records.CostLine] = {}
        self.starts = 0
        self.flushers: dict[str, cost.CostFlusher] = {}
        self.ledgers: dict[str, ledger.CostLedger] = {}
        self.outcome = 'ok'
        for host in _HOSTS:
            self.start(host)

    def start(self, host: str) -> None:
        self.starts += 1
        cost_ledger = ledger.CostLedger(
            host, self.starts, max_keys=6, max_rows=2
        )
        self.ledgers[host] = cost_ledger
        self.flushers[host] = cost.CostFlusher(
            cost_ledger, self.append, task.Clock(), 1.0
        )

    def append(self, stream: str, payload: bytes) -> defer.Deferred:
        assert stream == records.COST_STREAM
        if self.outcome == 'refused':
            return defer.succeed(Error(exceptions.LogUnavailable('down')))
        if self.outcome in ('ok', 'reply_lost'):
            self.log.append(payload)
        if self.outcome == 'late':
            self.delayed.append(payload)
        if self.outcome == 'ok':
            return defer.succeed(Ok(len(self.log) - 1))
        return defer.succeed(Error(exceptions.AppendAmbiguous('lost')))

    @stateful.rule(
        host=st.sampled_from(_HOSTS),
        member=st.sampled_from('abcdef'),
        owner=st.sampled_from('xy'),
        status=st.sampled_from(interfaces.AttemptStatus),
        latency_ms=st.integers(0, 5_000),
        tokens=st.integers(0, 50),
    )
    def record(self, host, member, owner, status, latency_ms, tokens) -> None:
        self.ledgers[host].record(
            member_id=member,
            owner=owner,
            entry_id='e',
            stage='s',
            result=interfaces.AttemptResult(
                'a', 't', 's', status, latency_ms / 1000, tokens
            ),
        )
        if status is not interfaces.AttemptStatus.NOT_SENT:
            failed = int(status is not interfaces.AttemptStatus.OK)
            line = records.CostLine(1, failed, latency_ms * 1000, tokens)
            key = records.CostKey(owner, '', '', 's')
            self.expected[key] = self.expected.get(
                key, records.CostLine()
            ).plus(line)

    @stateful.rule(
        host=st.sampled_from(_HOSTS),
        outcome=st.sampled_from(
            ['ok', 'refused', 'reply_lost', 'ambiguous', 'late']
        ),
    )
    def flush(self, host: str, outcome: str) -> None:
        self.outcome = outcome
        flushed = defer.Deferred.fromCoroutine(self.flushers[host].flush())
        assert flushed.called

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule()
    def late_append_takes_effect(self) -> None:
        self.log.append(self.delayed.pop(0))

    @stateful.rule(host=st.sampled_from(_HOSTS))
    def restart_after_flush(self, host: str) -> None:
        self.flush(host, 'ok')
        self.start(host)

    @stateful.invariant()
    def counters_are_bounded(self) -> None:
        for cost_ledger in self.ledgers.values():
            assert len(cost_ledger.lines_by_key) <= 6 + 2

    @stateful.invariant()
    def totals_never_exceed_the_reference_sum(self) -> None:
        for owner, stages in self.read().by_owner_and_stage().items():
            known = self.expected[records.CostKey(owner, '', '', 's')]
            assert stages['s'].attempts <= known.attempts

    def read(self) -> totals.CostTotals:
        folded = totals.CostTotals()
        for start in range(0, len(self.log), 3):
            found = tuple(
                interfaces.LogRecord(offset, 0, self.log[offset])
                for offset in range(start, min(start + 3, len(self.log)))
            )
            page = interfaces.StreamPage(
                found, 0, start + len(found), len(self.log)
            )
            folded.apply(page, 0.0)
            folded.apply(page, 0.0)  # a page that is applied twice counts once
        return folded

    def teardown(self) -> None:
        for host in _HOSTS:
            self.flush(host, 'ok')
        self.log += self.delayed
        expected = {
            key.owner: {key.stage: line} for key, line in self.expected.items()
        }
        assert self.read().by_owner_and_stage() == expected


TestCost = CostMachine.TestCase
TestCost.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=40
)


def test_final_flush_retries_within_its_time_limit() -> None:
    """Guards against losing costs because an append fails during a drain."""
    clock = task.Clock()
    cost_ledger = ledger.CostLedger('h', 1)
    cost_ledger.lines_by_key[records.CostKey('o', 'm', 'e', 's')] = (
        records.CostLine(1)
    )
    results = [
        Error(exceptions.LogUnavailable('down')),
        Error(exceptions.AppendAmbiguous('lost')),
        Ok(0),
    ]
    payloads: list[bytes] = []

    def append(stream: str, payload: bytes) -> defer.Deferred:
        payloads.append(payload)
        return defer.succeed(results.pop(0))

    flusher = cost.CostFlusher(cost_ledger, append, clock, 1.0)
    done = defer.Deferred.fromCoroutine(flusher.final_flush(5.0))
    clock.pump([0.2, 0.2])
    assert done.result is True
    assert payloads[1] == payloads[2]


@hypothesis.settings(max_examples=3_000)
@hypothesis.given(st.binary(max_size=80))
def test_malformed_batches_raise_codec_errors_only(payload: bytes) -> None:
    """Guards against a malformed record that stops the reader."""
    with pytest.raises(exceptions.CodecError):
        records.decode_batch(payload)
