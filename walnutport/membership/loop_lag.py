"""Monitors the event loop lag; with a high lag, no peer work is accepted.

A small machine may fall behind in a burst of load. It still serves its own
callers, but the calls of a whole cell would wait for its event loop, so other
hosts own the cells until it has caught up.
"""

__all__ = ['LoopLagMonitor']

# Average lag at which the host stops accepting work from other hosts, and
# below which it accepts it again. A stage call takes about 150 ms; the gap
# between the two thresholds keeps cells from moving back and forth.
OVERLOADED_LAG_S = 0.06
RECOVERED_LAG_S = 0.03
# Weight of a new sample in the moving average.
LAG_SMOOTHING = 0.15
# A longer lag means that the host was suspended, not that it is slow.
MAX_SAMPLE_S = 0.5


class LoopLagMonitor:
    """Moving average of the event loop lag of this host."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.accepts_peer_work = True

    def add_sample(self, lag_s: float) -> bool:
        """Add a sample of the lag in seconds.

        :returns: whether ``accepts_peer_work`` has changed.
        """
        self.lag_s += LAG_SMOOTHING * (min(lag_s, MAX_SAMPLE_S) - self.lag_s)
        before = self.accepts_peer_work
        self.accepts_peer_work = self.lag_s < (
            OVERLOADED_LAG_S if before else RECOVERED_LAG_S
        )
        return self.accepts_peer_work != before
