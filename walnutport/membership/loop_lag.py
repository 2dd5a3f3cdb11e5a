"""Monitors the event loop lag; with a high lag, no peer work is accepted.

A small machine may fall behind in a burst of load. It still serves its own
callers, but the calls of a whole cell would wait for its event loop, so other
hosts own the cells until it has caught up.
"""

import collections

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
# Time for which operators are shown the longest lag: the average hides a
# single callback that holds the loop up, and metrics are read every few
# seconds.
PEAK_WINDOW_S = 30.0


class LoopLagMonitor:
    """Moving average and recent peak of the event loop lag of this host.

    :ivar lag_s: moving average in seconds.
    """

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.accepts_peer_work = True
        # Times and lags, the longest lag first; each is longer than all later
        # ones.
        self._peaks: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def peak_s(self, now: float) -> float:
        """Return the longest lag of the last ``PEAK_WINDOW_S`` seconds."""
        self._expire_peaks(now)
        return self._peaks[0][1] if self._peaks else 0.0

    def add_sample(self, lag_s: float, now: float) -> bool:
        """Add a sample of the lag in seconds.

        :param now: time of the sample on a monotonic clock.
        :returns: whether ``accepts_peer_work`` has changed.
        """
        while self._peaks and self._peaks[-1][1] <= lag_s:
            self._peaks.pop()
        self._peaks.append((now, lag_s))
        self._expire_peaks(now)
        self.lag_s += LAG_SMOOTHING * (min(lag_s, MAX_SAMPLE_S) - self.lag_s)
        before = self.accepts_peer_work
        self.accepts_peer_work = self.lag_s < (
            OVERLOADED_LAG_S if before else RECOVERED_LAG_S
        )
        return self.accepts_peer_work != before

    def _expire_peaks(self, now: float) -> None:
        while self._peaks and now - self._peaks[0][0] > PEAK_WINDOW_S:
            self._peaks.popleft()
