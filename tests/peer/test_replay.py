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
def test_no_message_is_taken_twice_or_after_its_successor(arrivals) -> None:
    """Guards against a replayed message and a resumed old incarnation."""
    guard = replay.ReplayGuard()
    taken: set[tuple[int, int]] = set()
    newest = 0
    for incarnation, sequence in arrivals:
        origin = messages.PeerOrigin('host-1', incarnation)
        fresh = guard.check(origin, sequence, 0.0) is replay.Verdict.FRESH
        expected = incarnation >= newest and (
            (incarnation, sequence) not in taken
        )
        assert fresh == expected
        if fresh:
            taken.add((incarnation, sequence))
            newest = incarnation


def test_a_clock_set_back_does_not_shut_a_host_out() -> None:
    """Guards against a restarted or resumed host ignored for ever."""
    guard = replay.ReplayGuard()
    old, new = (messages.PeerOrigin('host-1', number) for number in (9, 5))
    assert guard.check(old, 1, 0.0) is replay.Verdict.FRESH
    assert guard.check(new, 1, 1.0) is replay.Verdict.OLD_INCARNATION
    assert guard.check(new, 2, replay.SILENCE_S) is replay.Verdict.FRESH
    assert guard.check(old, 2, replay.SILENCE_S) is replay.Verdict.FRESH


def test_a_replaced_incarnation_stays_out_after_a_silence() -> None:
    """Guards against a resumed process that replaces its successor."""
    guard = replay.ReplayGuard()
    old, new = (messages.PeerOrigin('host-1', number) for number in (5, 9))
    assert guard.check(old, 1, 0.0) is replay.Verdict.FRESH
    assert guard.check(new, 1, 1.0) is replay.Verdict.FRESH
    late = guard.check(old, 2, 1.0 + 2 * replay.SILENCE_S)
    assert late is replay.Verdict.OLD_INCARNATION


def test_a_message_older_than_the_window_is_refused() -> None:
    """Guards against a replay that waits until the window has moved on."""
    guard = replay.ReplayGuard()
    origin = messages.PeerOrigin('host-1', 1)
    assert guard.check(origin, 1, 0.0) is replay.Verdict.FRESH
    assert guard.check(origin, 1_000, 0.0) is replay.Verdict.FRESH
    assert guard.check(origin, 1, 0.0) is replay.Verdict.REPEATED
