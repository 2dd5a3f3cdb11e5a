"""Tests of the decision whether a request may be retried."""

import dataclasses

import pytest

from walnutport.retries import repeats

RETRYABLE = repeats.RepeatState(
    wanted=True,
    repeatable=True,
    sent=1,
    max_targets=3,
    unreachable=0,
    quarantined=False,
)


@pytest.mark.parametrize('end', list(repeats.AttemptEnd))
def test_request_without_a_waiting_caller_is_not_retried(end):
    """Guards against work for a caller that has disconnected."""
    state = dataclasses.replace(RETRYABLE, wanted=False)
    assert repeats.repeat_denial(end, state) == 'not_wanted'


def test_request_that_may_have_run_is_retried_only_if_repeatable():
    """Guards against a second run of a non-idempotent request."""
    not_repeatable = dataclasses.replace(RETRYABLE, repeatable=False)
    lost = repeats.AttemptEnd.MAY_HAVE_RUN
    assert repeats.repeat_denial(lost, not_repeatable) == 'not_repeatable'
    assert not repeats.repeat_denial(lost, RETRYABLE)
    for end in (repeats.AttemptEnd.UNSENT, repeats.AttemptEnd.NOT_RUN):
        assert not repeats.repeat_denial(end, not_repeatable)


def test_retries_stop_at_the_target_limit_of_the_route():
    """Every target resets the connection while the request runs."""
    state = RETRYABLE
    sent = 1
    while not repeats.repeat_denial(repeats.AttemptEnd.MAY_HAVE_RUN, state):
        sent += 1
        state = dataclasses.replace(state, sent=sent)
    assert sent == RETRYABLE.max_targets


def test_unreachable_targets_are_skipped_up_to_a_limit():
    """Guards against trying every target of a crashed group."""
    unsent = repeats.AttemptEnd.UNSENT
    for count in range(repeats.MOST_UNREACHABLE + 1):
        state = dataclasses.replace(RETRYABLE, unreachable=count, sent=3)
        assert not repeats.repeat_denial(unsent, state)
    state = dataclasses.replace(
        RETRYABLE, unreachable=repeats.MOST_UNREACHABLE + 1
    )
    assert repeats.repeat_denial(unsent, state) == 'unreachable'


def test_quarantined_requests_and_lost_inputs_are_not_retried():
    """Guards against a request that crashes one target after another."""
    state = dataclasses.replace(RETRYABLE, quarantined=True)
    not_run = repeats.AttemptEnd.NOT_RUN
    assert repeats.repeat_denial(not_run, state) == 'quarantined'
    gone = repeats.AttemptEnd.INPUTS_GONE
    assert repeats.repeat_denial(gone, RETRYABLE) == 'inputs_gone'
