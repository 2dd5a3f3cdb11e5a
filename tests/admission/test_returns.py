"""Tests of telling callers that come back from new ones."""

from walnutport.admission import returns


def test_caller_that_comes_back_has_spent_time():
    """Guards against an aim that starts anew with each try."""
    book = returns.ReturnBook()
    for _ in range(5):
        assert book.spent_s('r', 6.0) == 0.0
    assert abs(book.spent_s('r', 4.5) - 1.5) < 0.02


def test_odd_deadline_does_not_make_others_late():
    """Guards against one caller that closes a route for all others."""
    book = returns.ReturnBook()
    for _ in range(5):
        book.spent_s('r', 6.0)
    book.spent_s('r', 1e9)
    assert book.spent_s('r', 6.0) == 0.0


def test_routes_that_are_gone_are_forgotten():
    """Guards against memory that grows with each desired state."""
    book = returns.ReturnBook()
    book.spent_s('old', 6.0)
    book.keep({'new'})
    assert not book._steps_by_route
