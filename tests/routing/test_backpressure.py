"""Tests of pacing by the limits that targets state."""

import hypothesis
from hypothesis import strategies
import pytest

from walnutport.routing import backpressure
from walnutport.world import registrations

# Bound of the users for the requests of all hosts in a window.
WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5


def target(incarnation: int = 1) -> registrations.RegisteredTarget:
    """Return a lifetime of a target."""
    return registrations.RegisteredTarget(
        't', incarnation, 'llm', ('10.0.0.1', 80), 'a', 4, False, 0.0
    )


class Fleet:
    """Hosts that send whenever the limit of a target permits."""

    def __init__(self, hosts: int) -> None:
        names = [f'host-{number}' for number in range(hosts)]
        self.limits = [
            backpressure.TargetBackpressure(name, lambda: names)
            for name in names
        ]

    def state_limit(self, rate_limit: float | None, now: float = 0.0) -> None:
        """Let every host see a response with a limit."""
        for limits in self.limits:
            limits.observe(target(), rate_limit, False, now)

    def send_as_permitted(self, now: float) -> int:
        """Send as many requests as the target permits; return their count."""
        count = 0
        for limits in self.limits:
            while limits.permitted([target()], now):
                limits.record_send(target(), now)
                count += 1
        return count


@hypothesis.given(
    strategies.floats(0.0, 40.0),
    strategies.integers(1, 60),
    strategies.lists(strategies.floats(0.0, 0.7), min_size=20, max_size=60),
)
def test_hosts_together_keep_the_limit_in_every_window(
    rate_limit, hosts, steps
):
    """Guards against hosts that each take a limit for their own."""
    fleet = Fleet(hosts)
    fleet.state_limit(rate_limit)
    now = 0.0
    sent: list[tuple[float, int]] = []
    for step in steps:
        now += step
        sent.append((now, fleet.send_as_permitted(now)))
    for start, _ in sent:
        in_window = sum(
            count
            for time_s, count in sent
            if start <= time_s < start + WINDOW_S
        )
        assert in_window <= LIMIT_RATIO * rate_limit * WINDOW_S + LIMIT_SLACK


@pytest.mark.parametrize('rate_limit', [0.0, 0.5, 1.0, 7.0, 30.0])
@pytest.mark.parametrize('hosts', [1, 9, 86])
def test_most_of_the_limit_is_used(rate_limit, hosts):
    """Guards against a target that is left idle because of its limit."""
    fleet = Fleet(hosts)
    fleet.state_limit(rate_limit)
    count = sum(fleet.send_as_permitted(step / 64) for step in range(64 * 20))
    assert count >= 0.8 * max(rate_limit, backpressure.MIN_RATE) * 20


def test_target_without_a_limit_is_not_paced():
    """Guards against a delay for targets that state nothing."""
    limits = Fleet(1).limits[0]
    limits.observe(target(), None, False, 0.0)
    assert limits.permitted([target()] * 3, 0.0) == [target()] * 3
    assert limits.take_reports(0.0) == []


def test_limit_ends_when_the_target_states_none():
    """Guards against a target that is held back from for ever."""
    limits = Fleet(9).limits[0]
    assert limits.observe(target(), 1.0, False, 0.0)
    assert limits.observe(target(), None, False, 1.0)
    assert limits.permitted([target()], 1.0)


def test_restarted_target_begins_without_a_limit():
    """Guards against the limit of an earlier lifetime.

    The target has the same id and address.
    """
    limits = Fleet(9).limits[0]
    limits.observe(target(1), 0.0, False, 0.0)
    assert limits.permitted([target(2)], 0.0)
    report = backpressure.TargetReport('t', 1, 1.0, False, 0.0)
    assert not limits.merge(target(2), report, 1.0)
    assert limits.permitted([target(2)], 1.0)


def test_later_statement_counts_whoever_heard_it():
    """Guards against a peer's old report that replaces what is newer."""
    limits = Fleet(9).limits[0]
    limits.observe(target(), 2.0, False, 10.0)
    old = backpressure.TargetReport('t', 1, None, False, 0.5)
    assert not limits.merge(target(), old, 10.1)
    assert limits.rate_limit(target()) == 2.0
    new = backpressure.TargetReport('t', 1, None, False, 0.1)
    assert limits.merge(target(), new, 10.3)
    assert limits.rate_limit(target()) is None


def test_changed_limit_is_reported_once_and_not_too_often():
    """Guards against a message to all peers for each response."""
    limits = Fleet(9).limits[0]
    limits.observe(target(), 1.0, False, 0.0)
    assert limits.take_reports(0.25) == [
        backpressure.TargetReport('t', 1, 1.0, False, 0.25)
    ]
    for step in range(1, 8):
        limits.observe(target(), float(step), False, 0.25 + step / 100)
        assert limits.take_reports(0.25 + step / 100) == []
    (report,) = limits.take_reports(0.75)
    assert report.rate_limit == 7.0
    limits.observe(target(), 7.0, False, 2.0)
    assert limits.take_reports(2.0) == []


def test_owner_recommends_a_limited_target_at_its_rate():
    """Guards against hosts that are all told to send to one target."""
    fleet = Fleet(9)
    fleet.state_limit(1.0)
    owner = fleet.limits[0]
    names = [f'host-{number}' for number in range(9)]
    told = [
        name for name in names if owner.recommendable([target()], name, 0.0)
    ]
    assert 0 < len(told) < 9
    owner.record_recommendation(target(), 0.0)
    assert not owner.recommendable([target()], told[0], 0.5)
    assert owner.recommendable([target()], told[0], 1.0)


def test_target_that_leaves_is_never_used_again():
    """Guards against requests to a target that is shutting down.

    Neither a response without the statement nor a peer's report brings it
    back, and its peers are told once.
    """
    limits = Fleet(9).limits[0]
    assert limits.observe(target(), None, True, 0.0)
    assert not limits.permitted([target()], 0.0)
    assert not limits.recommendable([target()], 'host-0', 0.0)
    limits.observe(target(), None, False, 1.0)
    limits.merge(
        target(), backpressure.TargetReport('t', 1, None, False, 0.0), 2.0
    )
    assert not limits.permitted([target()], 2.0)
    assert [report.leaving for report in limits.take_reports(2.0)] == [True]
    limits.observe(target(), None, True, 3.0)
    assert limits.take_reports(9.0) == []


def test_leaving_target_stays_so_after_its_entry_is_back():
    """Guards against a store that returns from an older copy.

    It lists a target that was removed; the next lifetime is another target.
    """
    limits = Fleet(9).limits[0]
    limits.observe(target(), None, True, 0.0)
    limits.forget('t', 10.0)
    assert not limits.permitted([target()], 20.0)
    assert limits.permitted([target(2)], 20.0)
    limits.forget('other', 10.1 + backpressure.LEAVING_RETENTION_S)
    assert not limits.is_leaving(target())


def test_peer_is_believed_that_a_target_leaves():
    """Guards against hosts that wait for the store or the target itself."""
    limits = Fleet(9).limits[0]
    report = backpressure.TargetReport('t', 1, None, True, 0.2)
    assert limits.merge(target(), report, 1.0)
    assert not limits.permitted([target()], 1.0)
    assert not limits.merge(target(), report, 2.0)
    assert limits.merge(target(2), report, 2.0) is False
    assert limits.permitted([target(2)], 2.0)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 1.5),
            strategies.sampled_from([None, 0.0, 0.3, 1.0, 4.0]),
            strategies.sampled_from([1, 2]),
        ),
        max_size=30,
    )
)
def test_nothing_is_sent_while_a_target_asks_for_time(steps):
    """Guards against requests to a target that wants none from this host.

    Responses, lifetimes and times are drawn; later and shorter times do not
    cut an earlier one, and the next lifetime of the target is free.
    """
    limits = Fleet(3).limits[0]
    held_until = {1: 0.0, 2: 0.0}
    incarnation = 1
    now = 0.0
    for step, retry_after_s, drawn in steps:
        now += step
        incarnation = max(incarnation, drawn)
        current = target(incarnation)
        if retry_after_s is not None:
            limits.hold(current, retry_after_s, now)
            held_until[incarnation] = max(
                held_until[incarnation], now + retry_after_s
            )
        is_permitted = bool(limits.permitted([current], now))
        if now < held_until[incarnation]:
            assert not is_permitted
        if is_permitted:
            limits.record_send(current, now)
        elif now >= held_until[incarnation]:
            later = now + backpressure.RESUME_INTERVAL_S
            assert limits.permitted([current], later)


def test_requests_come_back_step_by_step_after_a_hold():
    """Guards against all requests at once at a target that was full."""
    limits = Fleet(1).limits[0]
    limits.hold(target(), 2.0, 0.0)
    times = []
    for step in range(64 * 4):
        now = step / 64
        if limits.permitted([target()], now):
            limits.record_send(target(), now)
            times.append(now)
    assert times[0] == 2.0
    resuming = [time_s for time_s in times if time_s < 3.0]
    assert len(resuming) <= 2 + 1.0 / backpressure.RESUME_INTERVAL_S
    assert len(times) - len(resuming) == 64, 'without pacing a second later'


def test_end_of_a_hold_is_told_once():
    """Guards against a target whose hold seems to last in the log."""
    limits = Fleet(1).limits[0]
    assert limits.hold(target(), 1.0, 0.0)
    assert not limits.hold(target(), 2.0, 0.5)
    assert limits.held_count == 1
    assert limits.take_ended_holds(2.0) == []
    assert limits.take_ended_holds(2.5) == [target()]
    assert limits.take_ended_holds(3.0) == [] and limits.held_count == 0
