"""Tests of the detection of requests that a caller retries."""

from walnutport.admission import caller_retries


def test_time_of_earlier_attempts_is_detected():
    """Guards against an aim that starts anew with each attempt."""
    detector = caller_retries.CallerRetryDetector()
    for _ in range(5):
        assert detector.earlier_attempts_s('r', 6.0) == 0.0
    assert abs(detector.earlier_attempts_s('r', 4.5) - 1.5) < 0.02


def test_unusual_deadline_does_not_affect_other_callers():
    """Guards against one caller that makes all others look like retries."""
    detector = caller_retries.CallerRetryDetector()
    for _ in range(5):
        detector.earlier_attempts_s('r', 6.0)
    detector.earlier_attempts_s('r', 1e9)
    assert detector.earlier_attempts_s('r', 6.0) == 0.0


def test_removed_routes_are_forgotten():
    """Guards against memory growth with each update of the desired state."""
    detector = caller_retries.CallerRetryDetector()
    detector.earlier_attempts_s('old', 6.0)
    detector.retain_routes({'new'})
    assert not detector._steps_by_route
