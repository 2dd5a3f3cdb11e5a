"""Tests of the division of fleet limits over several hosts."""

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from walnutport.admission import limits
from walnutport.admission import shares
from walnutport.peer import messages

_KEY = 'entry/e'
_HEARTBEAT_S = 1.0
_DEAD_AFTER_S = 3.5
_SETTLE_ROUNDS = 14
_REPORTS_PER_S = 10


def naive_max_min(limit: int, wanted: dict[str, int]) -> dict[str, int]:
    """Give out one unit at a time to the host that has the least."""
    got = dict.fromkeys(wanted, 0)
    for _ in range(limit):
        open_hosts = [name for name in wanted if got[name] < wanted[name]]
        if not open_hosts:
            break
        got[min(open_hosts, key=lambda name: got[name])] += 1
    return got


@dataclasses.dataclass
class _Node:
    """A host, its clock and when it heard from which other host."""

    limits: limits.FleetLimits
    clock_ahead_s: float
    heard_by_id: dict[str, float]
    alive: bool = True


class FleetMachine(stateful.RuleBasedStateMachine):
    """Guards against hosts that together use more than the limit.

    Heartbeats are lost, late and repeated, hosts are cut off, and every
    clock shows another time. In runs that are not steady hosts also die and
    return, the views of who is live differ, and clocks jump ahead.
    """

    @stateful.initialize(
        steady=st.booleans(),
        hosts=st.integers(2, 5),
        limit=st.integers(0, 60),
        offsets=st.lists(st.floats(0, 1e6), min_size=5, max_size=5),
    )
    def start(self, steady, hosts, limit, offsets) -> None:
        self.steady = steady
        self.now = 0.0
        self.limit = limit
        self.ids = [f'h{number}' for number in range(hosts)]
        self.node_by_id: dict[str, _Node] = {}
        self.cut: set[str] = set()
        self.late: list[tuple[str, str, tuple]] = []
        self.demand_by_id = dict.fromkeys(self.ids, 0)
        for host_id, offset in zip(self.ids, offsets):
            self._boot(host_id, offset)

    def _boot(self, host_id: str, clock_ahead_s: float) -> None:
        node = _Node(limits.FleetLimits(host_id), clock_ahead_s, {})
        self.node_by_id[host_id] = node
        # A new host takes every listed host to be live until it knows more.
        node.heard_by_id = dict.fromkeys(self.ids, self.now)
        node.limits.set_limit(_KEY, self.limit)
        self._look(node)

    def _look(self, node: _Node) -> None:
        live = {
            name
            for name, at in node.heard_by_id.items()
            if self.steady or self.now - at < _DEAD_AFTER_S
        }
        clock = self.now + node.clock_ahead_s
        node.limits.hosts_changed(live, self.ids, clock)

    def _send(self, host_id: str, fates: list[str]) -> None:
        node = self.node_by_id[host_id]
        if not node.alive:
            return
        self._look(node)
        made = node.limits.demands(self.now + node.clock_ahead_s)
        for other, fate in zip(self.ids, fates):
            if other == host_id or fate == 'lost':
                continue
            if (host_id in self.cut) != (other in self.cut):
                continue
            if fate != 'late':
                self._deliver(host_id, other, made)
            if fate != 'once':
                self.late.append((host_id, other, made))

    def _deliver(self, sender: str, receiver: str, made: tuple) -> None:
        node = self.node_by_id[receiver]
        if node.alive:
            node.heard_by_id[sender] = self.now
            node.limits.on_demands(sender, made, self.now + node.clock_ahead_s)

    @stateful.rule(
        index=st.integers(0, 4),
        fates=st.lists(
            st.sampled_from(['once', 'once', 'once', 'lost', 'late', 'twice']),
            min_size=5,
            max_size=5,
        ),
        step_s=st.sampled_from([0.0, 0.1, 0.4]),
    )
    def heartbeat(self, index: int, fates: list[str], step_s: float) -> None:
        self.now += step_s
        self._send(self.ids[index % len(self.ids)], fates)

    @stateful.rule(
        fates=st.lists(
            st.sampled_from(['once', 'once', 'once', 'lost', 'late', 'twice']),
            min_size=5,
            max_size=5,
        )
    )
    def all_heartbeats(self, fates: list[str]) -> None:
        self.now += _HEARTBEAT_S
        for host_id in self.ids:
            self._send(host_id, fates)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=st.integers(0), again=st.booleans())
    def deliver_late(self, index: int, again: bool) -> None:
        position = index % len(self.late)
        sender, receiver, made = self.late[position]
        if not again:
            del self.late[position]
        if (sender in self.cut) == (receiver in self.cut):
            self._deliver(sender, receiver, made)

    @stateful.rule(
        index=st.integers(0, 4),
        in_use=st.sampled_from([0, 1, 5, 30]),
        waiting=st.sampled_from([0, 0, 2, 100]),
    )
    def change_demand(self, index: int, in_use: int, waiting: int) -> None:
        host_id = self.ids[index % len(self.ids)]
        node = self.node_by_id[host_id]
        share = node.limits.share(_KEY, self.now + node.clock_ahead_s)
        in_use = min(in_use, share)
        node.limits.set_usage(_KEY, in_use, waiting)
        self.demand_by_id[host_id] = in_use + waiting

    def _finish_excess(self) -> None:
        """End what runs beyond the shares; as much is then waiting."""
        for host_id, node in self.node_by_id.items():
            share = node.limits.share(_KEY, self.now + node.clock_ahead_s)
            demand = self.demand_by_id[host_id]
            in_use = min(demand, share)
            for _ in range(_REPORTS_PER_S):
                node.limits.set_usage(_KEY, in_use, demand - in_use)

    @stateful.rule(step_s=st.sampled_from([0.5, 2.0, 4.0]))
    def pause(self, step_s: float) -> None:
        """Let time pass without a heartbeat."""
        self.now += step_s

    @stateful.precondition(lambda self: not self.steady)
    @stateful.rule(index=st.integers(0, 4), step_s=st.floats(0.1, 20.0))
    def step_clock(self, index: int, step_s: float) -> None:
        self.node_by_id[
            self.ids[index % len(self.ids)]
        ].clock_ahead_s += step_s

    @stateful.precondition(lambda self: not self.steady)
    @stateful.rule(index=st.integers(0, 4))
    def kill_or_restart(self, index: int) -> None:
        host_id = self.ids[index % len(self.ids)]
        node = self.node_by_id[host_id]
        if node.alive:
            node.alive = False
        else:
            self._boot(host_id, node.clock_ahead_s)

    @stateful.rule(cut=st.sets(st.sampled_from(['h0', 'h1', 'h2', 'h3'])))
    def part(self, cut: set[str]) -> None:
        self.cut = cut

    @stateful.precondition(lambda self: not self.cut)
    @stateful.rule()
    def settle(self) -> None:
        """Hear every live host for a while: the division is max-min."""
        self.late.clear()
        for _ in range(_SETTLE_ROUNDS):
            self.now += _HEARTBEAT_S
            self._finish_excess()
            for host_id in self.ids:
                self._send(host_id, ['once'] * 5)
        live = [name for name in self.ids if self.node_by_id[name].alive]
        assert self._total() <= self.limit
        if 2 * len(live) <= len(self.ids):
            return
        bases = shares.base_shares(_KEY, self.limit, live)
        wanted = {
            name: max(self.demand_by_id[name], shares.floor_of(bases[name]))
            for name in live
        }
        fair = naive_max_min(self.limit, wanted)
        for name in live:
            node = self.node_by_id[name]
            share = node.limits.share(_KEY, self.now + node.clock_ahead_s)
            assert share >= fair[name] - 1, (name, share, fair, bases)

    def _total(self) -> int:
        return sum(
            node.limits.share(_KEY, self.now + node.clock_ahead_s)
            for node in self.node_by_id.values()
            if node.alive
        )

    @stateful.invariant()
    def limit_holds(self) -> None:
        if not hasattr(self, 'node_by_id'):
            return
        if self.steady:
            assert self._total() <= self.limit
        # A host counts on a majority or on an equal share, so bases add up
        # to less than twice the limit; loans move them and end in seconds.
        assert self._total() <= 2 * self.limit + len(self.ids)


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(max_examples=200, stateful_step_count=50)


def test_a_borrower_stops_before_the_lender_takes_back() -> None:
    """Guards against a lease that a late heartbeat prolongs."""
    lender, borrower = limits.FleetLimits('a'), limits.FleetLimits('b')
    for item in (lender, borrower):
        item.hosts_changed({'a', 'b'}, {'a', 'b'}, 0.0)
        item.set_limit(_KEY, 10)
    borrower.set_usage(_KEY, 5, 20)
    lender.on_demands('b', borrower.demands(100.0), now=0.0)
    loan = lender.demands(now=0.5)
    borrower.on_demands('a', loan, now=102.4)
    assert borrower.share(_KEY, 102.4) == 9
    assert lender.share(_KEY, 2.9) == 1
    borrower.on_demands('a', loan, now=102.5)
    assert borrower.share(_KEY, 102.5) == 5


def test_a_reduced_loan_is_held_back_until_the_old_lease_ends() -> None:
    """Guards against a borrower that did not hear of the reduction."""
    lender, borrower = limits.FleetLimits('a'), limits.FleetLimits('b')
    for item in (lender, borrower):
        item.hosts_changed({'a', 'b'}, {'a', 'b'}, 0.0)
        item.set_limit(_KEY, 10)
    borrower.set_usage(_KEY, 0, 20)
    lender.on_demands('b', borrower.demands(0.0), now=0.0)
    borrower.on_demands('a', lender.demands(0.1), now=0.2)
    lender.set_usage(_KEY, 1, 3)
    lost = lender.demands(1.0)
    assert lost[0].loans[0].units == 1
    assert (lender.share(_KEY, 2.4), borrower.share(_KEY, 2.4)) == (1, 9)
    assert (lender.share(_KEY, 2.9), borrower.share(_KEY, 2.9)) == (1, 5)
    assert (lender.share(_KEY, 3.1), borrower.share(_KEY, 3.1)) == (5, 5)


def test_items_stay_small() -> None:
    """Guards against heartbeats that name limits without demand."""
    found = limits.FleetLimits('a')
    for number in range(100):
        found.set_limit(f'entry/e{number}', 10)
    found.set_usage('entry/e7', 1, 0)
    assert [item.limit_key for item in found.demands(0.0)] == ['entry/e7']
    found.set_usage('entry/e7', 0, 0)
    ended = messages.LimitDemand('entry/e7', 0, 0, 1_000)
    assert found.demands(1.0) == (ended,)
    assert found.demands(2.0) == ()
