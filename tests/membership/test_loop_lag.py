"""Tests of the event loop lag monitor."""

from walnutport.membership import loop_lag


def test_overloaded_host_stops_and_resumes_accepting_peer_work():
    """Applies a burst of load: 200 ms of lag for 2 s, then none."""
    monitor = loop_lag.LoopLagMonitor()
    changes = [monitor.add_sample(0.2, 0.0) for _ in range(20)]
    assert changes.count(True) == 1 and not monitor.accepts_peer_work
    changes = [monitor.add_sample(0.0, 0.0) for _ in range(40)]
    assert changes.count(True) == 1 and monitor.accepts_peer_work


def test_single_pause_does_not_move_cells():
    """Guards against moving all cells after one late loop iteration."""
    monitor = loop_lag.LoopLagMonitor()
    assert not monitor.add_sample(0.3, 0.0)
    assert monitor.accepts_peer_work


def test_lag_between_thresholds_changes_nothing():
    """Guards against cells that move back and forth (hysteresis)."""
    monitor = loop_lag.LoopLagMonitor()
    between = (loop_lag.RECOVERED_LAG_S + loop_lag.OVERLOADED_LAG_S) / 2
    assert not any(monitor.add_sample(between, 0.0) for _ in range(100))


def test_peak_shows_one_long_callback_for_a_while():
    """Guards against a callback of seconds that the average hides."""
    monitor = loop_lag.LoopLagMonitor()
    for second in range(10):
        monitor.add_sample(2.0 if second == 4 else 0.01, float(second))
    assert monitor.peak_s(10.0) == 2.0
    assert monitor.peak_s(4.0 + loop_lag.PEAK_WINDOW_S) == 2.0
    assert monitor.peak_s(8.0 + loop_lag.PEAK_WINDOW_S) == 0.01
    assert monitor.peak_s(100.0) == 0.0
