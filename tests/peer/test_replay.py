"""Tests of the replay protection."""

import hypothesis
from hypothesis import strategies as st

from walnutport.peer import messages
from walnutport.peer import replay


@hypothesis.settings(max_examples=500)
@hypothesis.given(
    arrivals=st.lists(
        st.tuples(st.integers(1, 4), st.integers(0, 40)), max_size=60
    )
)
def test_no_message_is_accepted_twice_or_from_an_old_incarnation(
    arrivals,
) -> None:
    """Guards against a replayed message and a resumed old process."""
    guard = replay.ReplayGuard()
    accepted: set[tuple[int, int]] = set()
    newest = 0
    for incarnation, sequence in arrivals:
        origin = messages.PeerOrigin('host-1', incarnation)
        fresh = guard.check(origin, sequence, 0.0) is replay.CheckResult.FRESH
        expected = incarnation >= newest and (
            (incarnation, sequence) not in accepted
        )
        assert fresh == expected
        if fresh:
            accepted.add((incarnation, sequence))
            newest = incarnation


def test_a_host_whose_clock_was_set_back_is_accepted_again() -> None:
    """Guards against a restarted or resumed host that is ignored forever."""
    guard = replay.ReplayGuard()
    old, new = (messages.PeerOrigin('host-1', number) for number in (9, 5))
    assert guard.check(old, 1, 0.0) is replay.CheckResult.FRESH
    assert guard.check(new, 1, 1.0) is replay.CheckResult.OLD_INCARNATION
    assert (
        guard.check(new, 2, replay.TAKEOVER_SILENCE_S)
        is replay.CheckResult.FRESH
    )
    assert (
        guard.check(old, 2, replay.TAKEOVER_SILENCE_S)
        is replay.CheckResult.FRESH
    )


def test_a_replaced_incarnation_is_refused_after_a_silence() -> None:
    """Guards against a resumed old process that replaces its successor."""
    guard = replay.ReplayGuard()
    old, new = (messages.PeerOrigin('host-1', number) for number in (5, 9))
    assert guard.check(old, 1, 0.0) is replay.CheckResult.FRESH
    assert guard.check(new, 1, 1.0) is replay.CheckResult.FRESH
    late = guard.check(old, 2, 1.0 + 2 * replay.TAKEOVER_SILENCE_S)
    assert late is replay.CheckResult.OLD_INCARNATION


def test_a_message_older_than_the_window_is_refused() -> None:
    """Guards against a replay after the window has moved past the message."""
    guard = replay.ReplayGuard()
    origin = messages.PeerOrigin('host-1', 1)
    assert guard.check(origin, 1, 0.0) is replay.CheckResult.FRESH
    assert guard.check(origin, 1_000, 0.0) is replay.CheckResult.FRESH
    assert guard.check(origin, 1, 0.0) is replay.CheckResult.REPEATED
