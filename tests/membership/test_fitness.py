"""Tests of the event loop lag and of what it says about a host's load."""

from walnutport.membership import fitness


def test_overloaded_host_stops_and_resumes_accepting_peer_work():
    """Applies a burst of load: 200 ms of lag for 2 s, then none."""
    own = fitness.HostFitness()
    changes = [own.measured(0.2) for _ in range(20)]
    assert changes.count(True) == 1 and not own.fit
    changes = [own.measured(0.0) for _ in range(40)]
    assert changes.count(True) == 1 and own.fit


def test_single_pause_does_not_move_cells():
    """Guards against moving all cells after one late loop iteration."""
    own = fitness.HostFitness()
    assert not own.measured(0.3)
    assert own.fit


def test_lag_between_thresholds_changes_nothing():
    """Guards against cells that move back and forth (hysteresis)."""
    own = fitness.HostFitness()
    between = (fitness.FIT_LAG_S + fitness.UNFIT_LAG_S) / 2
    assert not any(own.measured(between) for _ in range(100))
