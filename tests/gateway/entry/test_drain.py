"""Tests of the graceful shutdown of the traffic of an entry host."""

import time
import types

from twisted.internet import task

from walnutport.gateway.entry import drain
from walnutport.lifecycle import host_end

GRACE_S = 8.0


def started_drain(end: host_end.HostEnd) -> drain.Drain:
    """Return a drain that has just started."""
    site = types.SimpleNamespace(closing=False, channels={object()})
    created = drain.Drain(
        task.Clock(), site, lambda: False, lambda: GRACE_S, end
    )
    created.start()
    return created


def test_end_is_known_from_the_stop_signal_on():
    """Guards against a host that takes work as if it went on for ever."""
    end = host_end.HostEnd()
    started_drain(end)
    left_s = end.left_s(time.monotonic())
    expected_s = GRACE_S - drain.KILL_MARGIN_S
    assert expected_s - 0.5 < left_s <= expected_s


def test_logged_arrivals_are_the_latest_and_bounded():
    """Guards against a log line whose length grows with the traffic."""
    created = started_drain(host_end.HostEnd())
    now = time.monotonic()
    arrivals = created.arrivals_s(now + number for number in range(-3, 40))
    assert len(arrivals) == drain.MAX_LOGGED_ARRIVALS
    assert arrivals[0] == max(arrivals) and 38.5 < arrivals[0] < 39.5
    (before,) = created.arrivals_s([now - 2.0])
    assert -2.5 < before < -1.5
