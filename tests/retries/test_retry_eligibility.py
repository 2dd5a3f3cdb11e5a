"""Tests of the decision whether a request may be retried."""

import dataclasses

import pytest

from walnutport.retries import retry_eligibility

RETRYABLE = retry_eligibility.RetryState(
    caller_waiting=True,
    repeatable=True,
    sent_count=1,
    max_targets=3,
    unreachable_count=0,
    quarantined=False,
)


@pytest.mark.parametrize('end', list(retry_eligibility.AttemptEnd))
def test_request_without_a_waiting_caller_is_not_retried(end):
    """Guards against work for a caller that has disconnected."""
    state = dataclasses.replace(RETRYABLE, caller_waiting=False)
    assert retry_eligibility.retry_denial_reason(end, state) == 'not_wanted'


def test_request_that_may_have_run_is_retried_only_if_repeatable():
    """Guards against a second run of a non-idempotent request."""
    not_repeatable = dataclasses.replace(RETRYABLE, repeatable=False)
    lost = retry_eligibility.AttemptEnd.MAY_HAVE_RUN
    assert (
        retry_eligibility.retry_denial_reason(lost, not_repeatable)
        == 'not_repeatable'
    )
    assert not retry_eligibility.retry_denial_reason(lost, RETRYABLE)
    for end in (
        retry_eligibility.AttemptEnd.UNSENT,
        retry_eligibility.AttemptEnd.NOT_RUN,
    ):
        assert not retry_eligibility.retry_denial_reason(end, not_repeatable)


def test_retries_stop_at_the_target_limit_of_the_route():
    """Every target resets the connection while the request runs."""
    state = RETRYABLE
    sent = 1
    while not retry_eligibility.retry_denial_reason(
        retry_eligibility.AttemptEnd.MAY_HAVE_RUN, state
    ):
        sent += 1
        state = dataclasses.replace(state, sent_count=sent)
    assert sent == RETRYABLE.max_targets


def test_unreachable_targets_are_skipped_up_to_a_limit():
    """Guards against trying every target of a crashed group."""
    unsent = retry_eligibility.AttemptEnd.UNSENT
    for count in range(retry_eligibility.MAX_UNREACHABLE + 1):
        state = dataclasses.replace(
            RETRYABLE, unreachable_count=count, sent_count=3
        )
        assert not retry_eligibility.retry_denial_reason(unsent, state)
    state = dataclasses.replace(
        RETRYABLE, unreachable_count=retry_eligibility.MAX_UNREACHABLE + 1
    )
    assert (
        retry_eligibility.retry_denial_reason(unsent, state) == 'unreachable'
    )


def test_quarantined_requests_and_lost_inputs_are_not_retried():
    """Guards against a request that crashes one target after another."""
    state = dataclasses.replace(RETRYABLE, quarantined=True)
    not_run = retry_eligibility.AttemptEnd.NOT_RUN
    assert (
        retry_eligibility.retry_denial_reason(not_run, state) == 'quarantined'
    )
    gone = retry_eligibility.AttemptEnd.INPUTS_GONE
    assert (
        retry_eligibility.retry_denial_reason(gone, RETRYABLE) == 'inputs_gone'
    )
