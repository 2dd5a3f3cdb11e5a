"""Tests of telling callers that come back from new ones."""

from walnutport.admission import caller_retries


def test_caller_that_comes_back_has_spent_time():
    """Guards against an aim that starts anew with each try."""
    book = caller_retries.CallerRetryDetector()
    for _ in range(5):
        assert book.earlier_attempts_s('r', 6.0) == 0.0
    assert abs(book.earlier_attempts_s('r', 4.5) - 1.5) < 0.02


def test_odd_deadline_does_not_make_others_late():
    """Guards against one caller that closes a route for all others."""
    book = caller_retries.CallerRetryDetector()
    for _ in range(5):
        book.earlier_attempts_s('r', 6.0)
    book.earlier_attempts_s('r', 1e9)
    assert book.earlier_attempts_s('r', 6.0) == 0.0


def test_routes_that_are_gone_are_forgotten():
    """Guards against memory that grows with each desired state."""
    book = caller_retries.CallerRetryDetector()
    book.earlier_attempts_s('old', 6.0)
    book.retain_routes({'new'})
    assert not book._steps_by_route
