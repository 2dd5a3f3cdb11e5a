"""Tests of issuing permits for cold targets, and of waiting for them."""

import heapq
import itertools
import random

import pytest

from walnutport.routing import send_permits

PER_S = 9.9
BOUND_PER_S = PER_S * 1.5 + 5
RATE = send_permits.permit_rate(PER_S, BOUND_PER_S)
# Part of the rate that has to be used while callers wait.
MIN_USE = 0.7


class Simulation:
    """Hosts, issuers and one cold target on a clock of its own.

    :param issuers: issuers at once; hosts choose among them at random.
    :param delays_s: bounds of the delay of a message.
    """

    def __init__(self, hosts, demand_per_s, wait_s, issuers, delays_s, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.issuers = [send_permits.PermitIssuer() for _ in range(issuers)]
        self.holders = [
            send_permits.PermitHolder('t', RATE) for _ in range(hosts)
        ]
        self.paused_until = [0.0] * hosts
        self.issuer_paused_until = [0.0] * issuers
        self.delays_s = delays_s
        self.arrivals = []
        self.denied = 0
        self._steps = []
        self._order = itertools.count()
        self._waiters = itertools.count()
        for host, demand in enumerate(demand_per_s):
            if demand:
                self._offer(host, demand, wait_s)

    def at(self, delay_s, function, *arguments):
        step = (self.now + delay_s, next(self._order), function, arguments)
        heapq.heappush(self._steps, step)

    def run(self, until):
        while self._steps and self._steps[0][0] < until:
            self.now, _, function, arguments = heapq.heappop(self._steps)
            function(*arguments)

    def _message(self, function, *arguments):
        self.at(self.rng.uniform(*self.delays_s), function, *arguments)

    def _offer(self, host, demand, wait_s):
        """Let a caller arrive at a host."""
        waiter = next(self._waiters)
        if self.holders[host].add(waiter, wait_s, self.now):
            self.denied += 1
        self._advance(host)
        delay_s = self.rng.expovariate(demand)
        self.at(delay_s, self._offer, host, demand, wait_s)

    def _advance(self, host):
        holder = self.holders[host]
        pause_s = self.paused_until[host] - self.now
        if pause_s > 0:
            self.at(pause_s, self._advance, host)
            return
        self.denied += len(holder.take_denied(self.now))
        ask = holder.next_ask(self.now)
        if ask is not None:
            issuer = self.rng.randrange(len(self.issuers))
            self._message(self._issue, issuer, host, ask)
        if not holder.is_idle:
            wake_s = max(0.001, holder.wake_at() - self.now)
            self.at(wake_s, self._advance, host)

    def _issue(self, issuer, host, ask):
        pause_s = self.issuer_paused_until[issuer] - self.now
        if pause_s > 0:
            self.at(pause_s, self._issue, issuer, host, ask)
            return
        decision = self.issuers[issuer].request(
            't', str(host), ask.wait_s, RATE, self.now
        )
        held_s = decision.delay_s if decision.is_granted else 0.0
        self.at(held_s, self._message, self._reply, host, ask, decision)

    def _reply(self, host, ask, decision):
        pause_s = self.paused_until[host] - self.now
        if pause_s > 0:
            self.at(pause_s, self._reply, host, ask, decision)
            return
        end = self.holders[host].replied(
            ask.number, decision.is_granted, decision.delay_s, self.now
        )
        if end is not None:
            self.at(self.rng.uniform(0, 0.05), self._send, host, end.permit)
        self._advance(host)

    def _send(self, host, permit):
        """Send after a connection was opened, or the host was paused."""
        pause_s = self.paused_until[host] - self.now
        if pause_s > 0:
            self.at(pause_s, self._send, host, permit)
        elif permit.is_valid('t', self.now):
            self.arrivals.append(self.now)


def most_in_a_second(times):
    """Return the largest count of times within one second."""
    return max(
        (sum(start <= at < start + 1.0 for at in times) for start in times),
        default=0,
    )


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize(
    'demand_per_s',
    [
        pytest.param([60.0], id='one_host'),
        pytest.param([60.0] + [0.0] * 64, id='one_of_65'),
        pytest.param([4.0] * 65, id='65_hosts'),
        pytest.param([30.0, 1.0, 1.0, 1.0], id='uneven'),
    ],
)
def test_rate_is_used_and_never_exceeded(demand_per_s, seed):
    """Guards against crashes of cold targets and against an idle rate."""
    simulation = Simulation(
        len(demand_per_s), demand_per_s, 1.0, 1, (0.0005, 0.012), seed
    )
    simulation.run(12.0)
    late = [at for at in simulation.arrivals if at >= 2.0]
    assert len(late) / 10.0 >= MIN_USE * PER_S
    assert most_in_a_second(simulation.arrivals) <= BOUND_PER_S / 2


@pytest.mark.parametrize('seed', range(6))
def test_bound_holds_with_pauses_and_two_issuers(seed):
    """Guards against permits that are used after they have ended.

    Hosts and issuers pause, messages take up to 0.3 s, and hosts ask either of
    two issuers, as they see the fleet differently.
    """
    simulation = Simulation(8, [30.0] * 8, 0.5, 2, (0.001, 0.3), seed)
    rng = random.Random(f'{seed}/pauses')

    def pause():
        until = simulation.now + rng.uniform(0.05, 2.5)
        if rng.random() < 0.3:
            simulation.issuer_paused_until[rng.randrange(2)] = until
        else:
            simulation.paused_until[rng.randrange(8)] = until
        simulation.at(rng.uniform(0.1, 0.6), pause)

    pause()
    simulation.run(30.0)
    assert simulation.arrivals
    assert most_in_a_second(simulation.arrivals) <= BOUND_PER_S


@pytest.mark.parametrize(
    ('per_s', 'ratio', 'slack'), [(9.9, 1.5, 5), (12, 1.5, 5), (1, 1.5, 5)]
)
def test_rate_leaves_room_for_a_second_issuer(per_s, ratio, slack):
    """Guards against a rate that only one issuer at a time can keep."""
    bound = per_s * ratio + slack
    rate = send_permits.permit_rate(per_s, bound)
    assert 2 * (1 + rate * 1.1) <= bound + 1e-9
    assert rate >= MIN_USE * per_s
    assert send_permits.permit_rate(1, 1) == 0


def test_request_that_cannot_wait_is_denied_at_once():
    """Guards against requests that are held beyond their aim."""
    issuer = send_permits.PermitIssuer()
    holder = send_permits.PermitHolder('t', RATE)
    assert issuer.request('t', 'other', 0.0, RATE, 10.0).is_granted
    assert holder.add(1, 0.0, 10.0) is None
    ask = holder.next_ask(10.0)
    decision = issuer.request('t', 'own', ask.wait_s, RATE, 10.0)
    assert not decision.is_granted
    assert holder.replied(ask.number, False, decision.delay_s, 10.0) is None
    (end,) = holder.take_denied(10.0)
    assert end.permit is None
    assert end.retry_after_s == pytest.approx(1 / RATE)
    late = holder.add(2, 0.0, 10.0)
    assert late.retry_after_s == pytest.approx(1 / RATE)


def test_late_reply_permits_nothing():
    """Guards against the permit of a host or an issuer that was paused."""
    holder = send_permits.PermitHolder('t', RATE)
    holder.add(1, 5.0, 10.0)
    ask = holder.next_ask(10.0)
    assert holder.replied(ask.number, True, 0.0, 10.1) is None
    ask = holder.next_ask(10.2)
    holder.take_denied(10.31)
    assert holder.replied(ask.number, True, 0.0, 10.31) is None
    assert holder.expired_count == 2
    ask = holder.next_ask(10.5)
    end = holder.replied(ask.number, True, 0.0, 10.55)
    assert end.permit.is_valid('t', 10.59)
    assert not end.permit.is_valid('t', 10.6)
    assert not end.permit.is_valid('other', 10.56)
