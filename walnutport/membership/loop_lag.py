"""Whether a host is fit to take work of other hosts.

Load pattern: a small machine that falls behind in a burst. It still serves
its own callers, but the calls of a whole cell would wait behind its loop, so
others take the cells until it has caught up.
"""

__all__ = ['LoopLagMonitor']

# How late the loop may run on average before the host stops taking work of
# other hosts, and when it starts again. A stage call takes some 150 ms; the
# gap between the two keeps cells from moving to and fro.
UNFIT_LAG_S = 0.06
FIT_LAG_S = 0.03
# Share of a new sample in the average.
LAG_GAIN = 0.15
# A longer lag is a host that was stopped, not one that is slow.
MOST_LAG_S = 0.5


class LoopLagMonitor:
    """Average lag of the event loop of this host."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.accepts_peer_work = True

    def add_sample(self, lag_s: float) -> bool:
        """Take a sample of the lag.

        :returns: whether the fitness has changed.
        """
        self.lag_s += LAG_GAIN * (min(lag_s, MOST_LAG_S) - self.lag_s)
        before = self.accepts_peer_work
        self.accepts_peer_work = self.lag_s < (
            UNFIT_LAG_S if before else FIT_LAG_S
        )
        return self.accepts_peer_work != before
