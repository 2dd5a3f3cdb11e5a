"""Tests of the rule on further attempts."""

import dataclasses

import pytest

from walnutport.retries import retry_eligibility

READY = retry_eligibility.RetryState(
    wanted=True,
    repeatable=True,
    sent=1,
    max_targets=3,
    unreachable=0,
    quarantined=False,
)


@pytest.mark.parametrize('end', list(retry_eligibility.AttemptEnd))
def test_request_that_nobody_waits_for_is_not_repeated(end):
    """Guards against work for a caller who left."""
    state = dataclasses.replace(READY, wanted=False)
    assert retry_eligibility.retry_denial_reason(end, state) == 'not_wanted'


def test_request_that_may_have_run_is_repeated_only_where_allowed():
    """Guards against a payment that runs twice."""
    once = dataclasses.replace(READY, repeatable=False)
    lost = retry_eligibility.AttemptEnd.MAY_HAVE_RUN
    assert (
        retry_eligibility.retry_denial_reason(lost, once) == 'not_repeatable'
    )
    assert not retry_eligibility.retry_denial_reason(lost, READY)
    for end in (
        retry_eligibility.AttemptEnd.UNSENT,
        retry_eligibility.AttemptEnd.NOT_RUN,
    ):
        assert not retry_eligibility.retry_denial_reason(end, once)


def test_reset_storm_ends_at_the_bound_of_the_route():
    """Replays targets that reset every request."""
    state = READY
    sent = 1
    while not retry_eligibility.retry_denial_reason(
        retry_eligibility.AttemptEnd.MAY_HAVE_RUN, state
    ):
        sent += 1
        state = dataclasses.replace(state, sent=sent)
    assert sent == READY.max_targets


def test_group_of_crashed_targets_is_passed_over_up_to_a_bound():
    """Guards against trying one dead target after the other."""
    unsent = retry_eligibility.AttemptEnd.UNSENT
    for count in range(retry_eligibility.MOST_UNREACHABLE + 1):
        state = dataclasses.replace(READY, unreachable=count, sent=3)
        assert not retry_eligibility.retry_denial_reason(unsent, state)
    state = dataclasses.replace(
        READY, unreachable=retry_eligibility.MOST_UNREACHABLE + 1
    )
    assert (
        retry_eligibility.retry_denial_reason(unsent, state) == 'unreachable'
    )


def test_quarantined_request_and_lost_inputs_are_final():
    """Guards against a request that takes down one target after another."""
    state = dataclasses.replace(READY, quarantined=True)
    not_run = retry_eligibility.AttemptEnd.NOT_RUN
    assert (
        retry_eligibility.retry_denial_reason(not_run, state) == 'quarantined'
    )
    gone = retry_eligibility.AttemptEnd.INPUTS_GONE
    assert retry_eligibility.retry_denial_reason(gone, READY) == 'inputs_gone'
