"""Tests of the rule on further attempts."""

import dataclasses

import pytest

from walnutport.retries import repeats

READY = repeats.RepeatState(
    wanted=True,
    repeatable=True,
    sent=1,
    max_targets=3,
    unreachable=0,
    quarantined=False,
)


@pytest.mark.parametrize('end', list(repeats.AttemptEnd))
def test_request_that_nobody_waits_for_is_not_repeated(end):
    """Guards against work for a caller who left."""
    state = dataclasses.replace(READY, wanted=False)
    assert repeats.repeat_denial(end, state) == 'not_wanted'


def test_request_that_may_have_run_is_repeated_only_where_allowed():
    """Guards against a payment that runs twice."""
    once = dataclasses.replace(READY, repeatable=False)
    lost = repeats.AttemptEnd.MAY_HAVE_RUN
    assert repeats.repeat_denial(lost, once) == 'not_repeatable'
    assert not repeats.repeat_denial(lost, READY)
    for end in (repeats.AttemptEnd.UNSENT, repeats.AttemptEnd.NOT_RUN):
        assert not repeats.repeat_denial(end, once)


def test_reset_storm_ends_at_the_bound_of_the_route():
    """Replays targets that reset every request."""
    state = READY
    sent = 1
    while not repeats.repeat_denial(repeats.AttemptEnd.MAY_HAVE_RUN, state):
        sent += 1
        state = dataclasses.replace(state, sent=sent)
    assert sent == READY.max_targets


def test_group_of_crashed_targets_is_passed_over_up_to_a_bound():
    """Guards against trying one dead target after the other."""
    unsent = repeats.AttemptEnd.UNSENT
    for count in range(repeats.MOST_UNREACHABLE + 1):
        state = dataclasses.replace(READY, unreachable=count, sent=3)
        assert not repeats.repeat_denial(unsent, state)
    state = dataclasses.replace(
        READY, unreachable=repeats.MOST_UNREACHABLE + 1
    )
    assert repeats.repeat_denial(unsent, state) == 'unreachable'


def test_quarantined_request_and_lost_inputs_are_final():
    """Guards against a request that takes down one target after another."""
    state = dataclasses.replace(READY, quarantined=True)
    not_run = repeats.AttemptEnd.NOT_RUN
    assert repeats.repeat_denial(not_run, state) == 'quarantined'
    gone = repeats.AttemptEnd.INPUTS_GONE
    assert repeats.repeat_denial(gone, READY) == 'inputs_gone'
