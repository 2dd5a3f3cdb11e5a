"""Tests of the division of fleet-wide limits among hosts."""

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


def naive_max_min(limit: int, demands: dict[str, int]) -> dict[str, int]:
    """Allocate one unit at a time to the host with the smallest share."""
    allocated = dict.fromkeys(demands, 0)
    for _ in range(limit):
        open_hosts = [
            name for name in demands if allocated[name] < demands[name]
        ]
        if not open_hosts:
            break
        allocated[min(open_hosts, key=lambda name: allocated[name])] += 1
    return allocated


@dataclasses.dataclass
class _SimulatedHost:
    """Host with its clock offset and the last heartbeat of each peer."""

    limits: limits.FleetLimits
    clock_ahead_s: float
    heard_by_id: dict[str, float]
    alive: bool = True


class FleetMachine(stateful.RuleBasedStateMachine):
    """Guards against hosts that together exceed the limit.

    Heartbeats are lost, delayed and duplicated, the network is partitioned,
    and the clocks of the hosts differ. In runs that are not steady, hosts
    also crash and restart, have different views of the live hosts, and their
    clocks jump forward.
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
        self.host_by_id: dict[str, _SimulatedHost] = {}
        self.isolated_ids: set[str] = set()
        self.delayed: list[tuple[str, str, tuple]] = []
        self.demand_by_id = dict.fromkeys(self.ids, 0)
        for host_id, offset in zip(self.ids, offsets):
            self._start_host(host_id, offset)

    def _start_host(self, host_id: str, clock_ahead_s: float) -> None:
        host = _SimulatedHost(limits.FleetLimits(host_id), clock_ahead_s, {})
        self.host_by_id[host_id] = host
        # A new host assumes that every listed host is live.
        host.heard_by_id = dict.fromkeys(self.ids, self.now)
        host.limits.set_limit(_KEY, self.limit)
        self._update_live_hosts(host)

    def _update_live_hosts(self, host: _SimulatedHost) -> None:
        live = {
            name
            for name, at in host.heard_by_id.items()
            if self.steady or self.now - at < _DEAD_AFTER_S
        }
        clock = self.now + host.clock_ahead_s
        host.limits.hosts_changed(live, self.ids, clock)

    def _send(self, host_id: str, outcomes: list[str]) -> None:
        host = self.host_by_id[host_id]
        if not host.alive:
            return
        self._update_live_hosts(host)
        demands = host.limits.demands(self.now + host.clock_ahead_s)
        for other, outcome in zip(self.ids, outcomes):
            if other == host_id or outcome == 'lost':
                continue
            if (host_id in self.isolated_ids) != (other in self.isolated_ids):
                continue
            if outcome != 'late':
                self._deliver(host_id, other, demands)
            if outcome != 'once':
                self.delayed.append((host_id, other, demands))

    def _deliver(self, sender: str, receiver: str, demands: tuple) -> None:
        host = self.host_by_id[receiver]
        if host.alive:
            host.heard_by_id[sender] = self.now
            host.limits.demands_received(
                sender, demands, self.now + host.clock_ahead_s
            )

    @stateful.rule(
        index=st.integers(0, 4),
        outcomes=st.lists(
            st.sampled_from(['once', 'once', 'once', 'lost', 'late', 'twice']),
            min_size=5,
            max_size=5,
        ),
        step_s=st.sampled_from([0.0, 0.1, 0.4]),
    )
    def heartbeat(
        self, index: int, outcomes: list[str], step_s: float
    ) -> None:
        self.now += step_s
        self._send(self.ids[index % len(self.ids)], outcomes)

    @stateful.rule(
        outcomes=st.lists(
            st.sampled_from(['once', 'once', 'once', 'lost', 'late', 'twice']),
            min_size=5,
            max_size=5,
        )
    )
    def all_heartbeats(self, outcomes: list[str]) -> None:
        self.now += _HEARTBEAT_S
        for host_id in self.ids:
            self._send(host_id, outcomes)

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule(index=st.integers(0), again=st.booleans())
    def deliver_delayed(self, index: int, again: bool) -> None:
        position = index % len(self.delayed)
        sender, receiver, demands = self.delayed[position]
        if not again:
            del self.delayed[position]
        if (sender in self.isolated_ids) == (receiver in self.isolated_ids):
            self._deliver(sender, receiver, demands)

    @stateful.rule(
        index=st.integers(0, 4),
        in_use=st.sampled_from([0, 1, 5, 30]),
        waiting=st.sampled_from([0, 0, 2, 100]),
    )
    def change_demand(self, index: int, in_use: int, waiting: int) -> None:
        host_id = self.ids[index % len(self.ids)]
        host = self.host_by_id[host_id]
        share = host.limits.share(_KEY, self.now + host.clock_ahead_s)
        in_use = min(in_use, share)
        host.limits.set_usage(_KEY, in_use, waiting)
        self.demand_by_id[host_id] = in_use + waiting

    def _stop_excess_requests(self) -> None:
        """Move requests in excess of the shares back to the queue."""
        for host_id, host in self.host_by_id.items():
            share = host.limits.share(_KEY, self.now + host.clock_ahead_s)
            demand = self.demand_by_id[host_id]
            in_use = min(demand, share)
            for _ in range(_REPORTS_PER_S):
                host.limits.set_usage(_KEY, in_use, demand - in_use)

    @stateful.rule(step_s=st.sampled_from([0.5, 2.0, 4.0]))
    def pause(self, step_s: float) -> None:
        """Advance time without heartbeats."""
        self.now += step_s

    @stateful.precondition(lambda self: not self.steady)
    @stateful.rule(index=st.integers(0, 4), step_s=st.floats(0.1, 20.0))
    def step_clock(self, index: int, step_s: float) -> None:
        self.host_by_id[
            self.ids[index % len(self.ids)]
        ].clock_ahead_s += step_s

    @stateful.precondition(lambda self: not self.steady)
    @stateful.rule(index=st.integers(0, 4))
    def kill_or_restart(self, index: int) -> None:
        host_id = self.ids[index % len(self.ids)]
        host = self.host_by_id[host_id]
        if host.alive:
            host.alive = False
        else:
            self._start_host(host_id, host.clock_ahead_s)

    @stateful.rule(
        isolated_ids=st.sets(st.sampled_from(['h0', 'h1', 'h2', 'h3']))
    )
    def partition(self, isolated_ids: set[str]) -> None:
        self.isolated_ids = isolated_ids

    @stateful.precondition(lambda self: not self.isolated_ids)
    @stateful.rule()
    def settle(self) -> None:
        """Check that shares become max-min fair once all heartbeats arrive."""
        self.delayed.clear()
        for _ in range(_SETTLE_ROUNDS):
            self.now += _HEARTBEAT_S
            self._stop_excess_requests()
            for host_id in self.ids:
                self._send(host_id, ['once'] * 5)
        live = [name for name in self.ids if self.host_by_id[name].alive]
        assert self._total_share() <= self.limit
        if 2 * len(live) <= len(self.ids):
            return
        bases = shares.base_shares(_KEY, self.limit, live)
        demands = {
            name: max(
                self.demand_by_id[name], shares.min_retained_share(bases[name])
            )
            for name in live
        }
        fair = naive_max_min(self.limit, demands)
        for name in live:
            host = self.host_by_id[name]
            share = host.limits.share(_KEY, self.now + host.clock_ahead_s)
            assert share >= fair[name] - 1, (name, share, fair, bases)

    def _total_share(self) -> int:
        return sum(
            host.limits.share(_KEY, self.now + host.clock_ahead_s)
            for host in self.host_by_id.values()
            if host.alive
        )

    @stateful.invariant()
    def limit_holds(self) -> None:
        if not hasattr(self, 'host_by_id'):
            return
        if self.steady:
            assert self._total_share() <= self.limit
        # Each host divides the limit among a majority or among all hosts, so
        # the bases add up to less than twice the limit. Loans only move
        # units between hosts and expire within seconds.
        assert self._total_share() <= 2 * self.limit + len(self.ids)


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(max_examples=200, stateful_step_count=50)


def test_borrower_stops_before_lender_reclaims_units() -> None:
    """Guards against a delayed heartbeat that extends a lease."""
    lender, borrower = limits.FleetLimits('a'), limits.FleetLimits('b')
    for item in (lender, borrower):
        item.hosts_changed({'a', 'b'}, {'a', 'b'}, 0.0)
        item.set_limit(_KEY, 10)
    borrower.set_usage(_KEY, 5, 20)
    lender.demands_received('b', borrower.demands(100.0), now=0.0)
    loan = lender.demands(now=0.5)
    borrower.demands_received('a', loan, now=102.4)
    assert borrower.share(_KEY, 102.4) == 9
    assert lender.share(_KEY, 2.9) == 1
    borrower.demands_received('a', loan, now=102.5)
    assert borrower.share(_KEY, 102.5) == 5


def test_reduced_loan_is_reserved_until_the_old_lease_ends() -> None:
    """Guards against a borrower that did not receive the reduction."""
    lender, borrower = limits.FleetLimits('a'), limits.FleetLimits('b')
    for item in (lender, borrower):
        item.hosts_changed({'a', 'b'}, {'a', 'b'}, 0.0)
        item.set_limit(_KEY, 10)
    borrower.set_usage(_KEY, 0, 20)
    lender.demands_received('b', borrower.demands(0.0), now=0.0)
    borrower.demands_received('a', lender.demands(0.1), now=0.2)
    lender.set_usage(_KEY, 1, 3)
    lost = lender.demands(1.0)
    assert lost[0].loans[0].units == 1
    assert (lender.share(_KEY, 2.4), borrower.share(_KEY, 2.4)) == (1, 9)
    assert (lender.share(_KEY, 2.9), borrower.share(_KEY, 2.9)) == (1, 5)
    assert (lender.share(_KEY, 3.1), borrower.share(_KEY, 3.1)) == (5, 5)


def test_heartbeat_contains_only_limits_with_demand() -> None:
    """Guards against heartbeats that grow with the number of idle limits."""
    found = limits.FleetLimits('a')
    for number in range(100):
        found.set_limit(f'entry/e{number}', 10)
    found.set_usage('entry/e7', 1, 0)
    assert [item.limit_key for item in found.demands(0.0)] == ['entry/e7']
    found.set_usage('entry/e7', 0, 0)
    ended = messages.LimitDemand('entry/e7', 0, 0, 1_000)
    assert found.demands(1.0) == (ended,)
    assert found.demands(2.0) == ()
