"""Tests of the lease and of the orders given under it."""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from walnutport import exceptions
from walnutport import interfaces
from walnutport.orders import lease
from walnutport.orders import reconcile

_LEASE_S = 9.0
_ENGINES = ('checks', 'ignores')


def reference_fold(payloads: list[bytes]) -> lease.LeaseState:
    """Return the lease state after all records from the first one on."""
    state = lease.LeaseState()
    for offset, payload in enumerate(payloads):
        record = lease.decode_record(payload)
        if record.expected != state.fencing:
            continue
        same = (record.host_id, record.incarnation) == (
            state.host_id,
            state.incarnation,
        )
        if record.kind is lease.RecordKind.ACQUIRE or same:
            state = lease.LeaseState(
                record.host_id, record.incarnation, offset
            )
    return state


@dataclasses.dataclass
class _Host:
    """One host; a pause may leave ``read`` and ``orders`` in flight."""

    manager: lease.LeaseManager
    reconciler: reconcile.EngineReconciler
    desired: reconcile.DesiredEngineState
    skew_s: float
    paused: bool = False
    orders: list = dataclasses.field(default_factory=list)
    read: tuple | None = None
    full_reads: list = dataclasses.field(default_factory=list)


class OrdersMachine(stateful.RuleBasedStateMachine):
    """Guards against two lease holders and against diverging engines.

    The reply to an append may be lost, and the append may take effect late
    or not at all. Hosts are paused at any point, also between the start and
    the end of a read and between the last check of the lease and the order.
    One engine ignores fencing numbers.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.log: list[bytes] = []
        self.delayed: list[bytes] = []
        self.starts = 0
        self.hosts = [self.new_host(name) for name in ('a', 'b', 'c')]
        self.reports = {
            name: reconcile.EngineReport(name, 'i1', 'mixed', 1)
            for name in _ENGINES
        }
        self.history: list[int] = []

    def new_host(self, name: str) -> _Host:
        self.starts += 1
        return _Host(
            lease.LeaseManager(
                'all', name, self.starts, _LEASE_S, random.Random(self.starts)
            ),
            reconcile.EngineReconciler(
                name, reconcile.LoadRateLimiter(1e9), 2.0
            ),
            reconcile.DesiredEngineState(
                'mixed', (reconcile.ModelState(name),)
            ),
            skew_s=self.starts * 1_000.0,
        )

    def running(self, index: int) -> _Host | None:
        host = self.hosts[index]
        return None if host.paused else host

    def page(self, offset: int) -> interfaces.StreamPage:
        found = tuple(
            interfaces.LogRecord(at, 0, self.log[at])
            for at in range(offset, len(self.log))
        )
        end = len(self.log)
        return interfaces.StreamPage(found, 0, end, end)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 10.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(index=st.integers(0, 2))
    def start_read(self, index: int) -> None:
        host = self.running(index)
        if host is not None and host.read is None:
            page = self.page(host.manager.start_offset())
            host.read = (page, self.now + host.skew_s)

    @stateful.rule(index=st.integers(0, 2))
    def end_read(self, index: int) -> None:
        host = self.running(index)
        if host is not None and host.read is not None:
            page, started_at = host.read
            host.read = None
            host.full_reads.append((started_at - host.skew_s, page.end_offset))
            host.manager.page_read(page, started_at, self.now + host.skew_s)

    @stateful.rule(index=st.integers(0, 2))
    def follow(self, index: int) -> None:
        host = self.running(index)
        if host is not None:
            page = self.page(host.manager.start_offset())
            host.manager.apply(page, self.now + host.skew_s)

    @stateful.rule(
        index=st.integers(0, 2),
        outcome=st.sampled_from(['ok', 'ok', 'answer_lost', 'late', 'none']),
    )
    def append_record(self, index: int, outcome: str) -> None:
        host = self.running(index)
        if host is None:
            return
        record = host.manager.next_record(self.now + host.skew_s)
        if record is None:
            return
        payload = lease.encode_record(record)
        if outcome in ('ok', 'answer_lost'):
            self.log.append(payload)
        elif outcome == 'late':
            self.delayed.append(payload)
        host.manager.append_finished(self.now + host.skew_s)
        assert host.manager.next_record(self.now + host.skew_s) is None

    @stateful.rule(host_id=st.sampled_from('abc'))
    def renewal_of_an_old_incarnation(self, host_id: str) -> None:
        expected = reference_fold(self.log).fencing
        record = _record(host_id, expected, lease.RecordKind.RENEW)
        record = dataclasses.replace(record, incarnation=-1)
        self.log.append(lease.encode_record(record))

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule()
    def late_append(self) -> None:
        self.log.append(self.delayed.pop(0))

    @stateful.rule(index=st.integers(0, 2))
    def decide_orders(self, index: int) -> None:
        host = self.running(index)
        if host is None:
            return
        fencing = host.manager.fencing(self.now + host.skew_s)
        if fencing is not None:
            host.orders += host.reconciler.next_orders(
                dict.fromkeys(_ENGINES, host.desired),
                self.reports,
                {},
                fencing,
                self.now + host.skew_s,
            )

    @stateful.rule(index=st.integers(0, 2))
    def deliver_order(self, index: int) -> None:
        host = self.running(index)
        if host is None or not host.orders:
            return
        order = host.orders.pop(0)
        report = self.reports[order.engine_id]
        if order.engine_id == 'checks' and order.fencing < report.fencing:
            return
        if order.engine_id == 'checks':
            self.history.append(order.fencing)
        self.reports[order.engine_id] = dataclasses.replace(
            report,
            models=order.wanted.models,
            fencing=order.fencing,
        )

    @stateful.rule(index=st.integers(0, 2))
    def pause_or_resume(self, index: int) -> None:
        self.hosts[index].paused = not self.hosts[index].paused

    @stateful.rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        self.hosts[index] = self.new_host('abc'[index])

    @stateful.rule(engine=st.sampled_from(_ENGINES))
    def engine_restarts(self, engine: str) -> None:
        self.starts += 1
        self.reports[engine] = reconcile.EngineReport(
            engine, f'i{self.starts}', 'mixed', 1
        )
        if engine == 'checks':
            self.history.clear()

    @stateful.invariant()
    def folds_agree(self) -> None:
        for host in self.hosts:
            read = self.log[: host.manager.fold.next_offset]
            assert host.manager.fold.state == reference_fold(read)

    @stateful.invariant()
    def only_one_holder_has_read_everything(self) -> None:
        holders = [
            host
            for host in self.hosts
            if host.manager.is_holder
            and host.manager.fold.next_offset == len(self.log)
        ]
        assert len(holders) <= 1

    @stateful.invariant()
    def a_valid_fencing_number_was_recently_current(self) -> None:
        for host in self.hosts:
            number = host.manager.fencing(self.now + host.skew_s)
            if number is None:
                continue
            at, end = max(
                (at, end)
                for at, end in host.full_reads
                if at >= self.now - _LEASE_S / 3 - 0.001
            )
            assert number >= reference_fold(self.log[:end]).fencing

    @stateful.invariant()
    def a_checking_engine_sees_no_lower_fencing_number(self) -> None:
        assert self.history == sorted(self.history)

    def teardown(self) -> None:
        """One holder remains, and both engines converge on its orders."""
        self.log += self.delayed
        self.delayed.clear()
        for host in self.hosts:
            host.paused = False
        for _ in range(12):
            self.wait(2.5)
            for index, host in enumerate(self.hosts):
                self.end_read(index)
                self.start_read(index)
                self.end_read(index)
                self.append_record(index, 'ok')
                self.start_read(index)
                self.end_read(index)
                self.decide_orders(index)
                while host.orders:
                    self.deliver_order(index)
        holders = [host for host in self.hosts if host.manager.is_holder]
        assert len(holders) == 1
        for report in self.reports.values():
            assert report.models == holders[0].desired.models


TestOrders = OrdersMachine.TestCase
TestOrders.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60
)


def _record(host: str, expected: int, kind=lease.RecordKind.ACQUIRE):
    return lease.LeaseRecord(kind, 'all', host, 1, expected)


def test_a_reader_of_a_truncated_stream_finds_the_holder() -> None:
    """Guards against treating a losing record as the winning one."""
    fold = lease.LeaseFold('all')
    fold.expire_before(50)
    assert fold.apply(50, _record('loser', 10))
    assert fold.apply(51, _record('winner', 40))
    assert not fold.apply(52, _record('second', 40))
    assert fold.apply(53, _record('winner', 51, lease.RecordKind.RENEW))
    assert fold.state == lease.LeaseState('winner', 1, 53)


def test_a_page_read_before_a_pause_gives_no_fencing_number() -> None:
    """Guards against orders based on a read that a pause made stale."""
    manager = lease.LeaseManager('all', 'a', 1, _LEASE_S, random.Random(1))
    payload = lease.encode_record(_record('a', -1))
    page = interfaces.StreamPage(
        (interfaces.LogRecord(0, 0, payload),), 0, 1, 1
    )
    manager.page_read(page, 10.0, 100.0)
    assert manager.is_holder
    assert manager.fencing(100.0) is None
    manager.page_read(interfaces.StreamPage((), 0, 1, 1), 100.0, 100.1)
    assert manager.fencing(100.2) == 0


@hypothesis.settings(max_examples=3_000)
@hypothesis.given(st.binary(max_size=80))
def test_malformed_records_raise_codec_errors_only(payload: bytes) -> None:
    """Guards against a malformed record that stops the lease."""
    with pytest.raises(exceptions.CodecError):
        lease.decode_record(payload)
