"""Tests of the detection of requests that a caller retries."""

import random

from walnutport.admission import caller_retries


def test_time_since_the_first_refusal_counts():
    """Guards against an aim that starts anew with each attempt."""
    refused = caller_retries.RefusedRequests()
    assert refused.spent_s(b'a', 1.0) == 0.0
    refused.record(b'a', 1.0)
    refused.record(b'a', 2.0)
    assert refused.spent_s(b'a', 2.5) == 1.5


def test_requests_that_were_not_refused_are_no_retries():
    """Guards against new requests that count as retries.

    Deadlines differ from caller to caller by up to 15%. A detector that
    compared them with the usual one took a third of the new requests for
    retries, shortened their aim and refused them.
    """
    refused = caller_retries.RefusedRequests()
    refused.record(b'a', 1.0)
    assert refused.spent_s(b'b', 1.5) == 0.0
    refused.record(b'', 1.0)
    assert refused.spent_s(b'', 1.5) == 0.0


def test_refusals_are_forgotten():
    """Guards against memory that grows with every refusal."""
    refused = caller_retries.RefusedRequests()
    for number in range(caller_retries.MAX_REQUESTS + 10):
        refused.record(b'%d' % number, 1.0)
    assert len(refused._refused_at_by_content) == caller_retries.MAX_REQUESTS
    later = 2.0 + caller_retries.MAX_RETENTION_S
    assert refused.spent_s(b'100', later) == 0.0
    refused.record(b'new', later)
    assert len(refused._refused_at_by_content) == 1


def test_shorter_deadline_shows_the_time_of_earlier_attempts():
    """Guards against an aim that starts anew with each attempt."""
    history = caller_retries.DeadlineHistory()
    for _ in range(5):
        assert history.spent_s('r', 6.0) == 0.0
    assert abs(history.spent_s('r', 4.5) - 1.5) < 0.02


def test_unusual_deadline_does_not_affect_other_callers():
    """Guards against one caller that makes all others look like retries."""
    history = caller_retries.DeadlineHistory()
    for _ in range(5):
        history.spent_s('r', 6.0)
    history.spent_s('r', 1e9)
    assert history.spent_s('r', 6.0) == 0.0


def test_deadlines_that_callers_choose_show_nothing():
    """Guards against new requests that count as retries.

    Replays deadlines that differ by up to 15%.
    """
    rng = random.Random(4)
    history = caller_retries.DeadlineHistory()
    spent_s = [
        history.spent_s('r', 8.0 * rng.uniform(0.85, 1.0)) for _ in range(500)
    ]
    assert sum(seconds > 0 for seconds in spent_s) < 5


def test_removed_routes_are_forgotten():
    """Guards against memory growth with each update of the desired state."""
    history = caller_retries.DeadlineHistory()
    history.spent_s('old', 6.0)
    history.retain_routes({'new'})
    assert not history._steps_by_route
