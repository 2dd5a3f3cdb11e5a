"""Tests of the end of a host."""

import math

from walnutport.lifecycle import host_end


def test_everything_fits_before_the_stop_signal():
    """Guards against refusals by a host that does not stop."""
    end = host_end.HostEnd()
    assert not end.is_set
    assert end.left_s(100.0) == math.inf
    assert end.fits(3600.0, 100.0)
    assert end.fits(math.inf, 100.0)


def test_work_beyond_the_end_does_not_fit():
    """Guards against a host that accepts what it will cut off."""
    end = host_end.HostEnd()
    end.set(107.5)
    assert end.is_set
    assert end.left_s(102.0) == 5.5
    assert end.fits(5.0, 102.0)
    assert not end.fits(5.4, 102.0)
    assert not end.fits(0.0, 107.4)
    assert not end.fits(0.0, 108.0)


def test_second_signal_does_not_move_the_end():
    """Guards against an end after the kill that follows the first signal."""
    end = host_end.HostEnd()
    end.set(107.5)
    end.set(110.0)
    assert end.left_s(107.0) == 0.5
