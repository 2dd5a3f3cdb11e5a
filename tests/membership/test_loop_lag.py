"""Tests of the fitness of a host."""

from walnutport.membership import loop_lag


def test_overloaded_host_gives_up_work_and_takes_it_again():
    """Replays a burst: 200 ms of lag for 2 s, then none."""
    own = loop_lag.LoopLagMonitor()
    changes = [own.add_sample(0.2) for _ in range(20)]
    assert changes.count(True) == 1 and not own.accepts_peer_work
    changes = [own.add_sample(0.0) for _ in range(40)]
    assert changes.count(True) == 1 and own.accepts_peer_work


def test_single_pause_does_not_move_cells():
    """Guards against moving every cell over one late turn of the loop."""
    own = loop_lag.LoopLagMonitor()
    assert not own.add_sample(0.3)
    assert own.accepts_peer_work


def test_lag_between_the_bounds_changes_nothing():
    """Guards against cells that move to and fro."""
    own = loop_lag.LoopLagMonitor()
    between = (loop_lag.FIT_LAG_S + loop_lag.UNFIT_LAG_S) / 2
    assert not any(own.add_sample(between) for _ in range(100))
