"""Delay after which a hedge may start while the first attempt still runs."""

import collections

__all__ = ['HedgeDelayEstimator']

LATENCY_QUANTILE = 0.95
WINDOW_SAMPLES = 256
MIN_SAMPLES = 20
REFRESH_SAMPLES = 16
# With a shorter delay a hedge costs more than the wait that it saves.
MIN_DELAY_S = 0.02


class HedgeDelayEstimator:
    """Estimates the hedge delay of one service.

    The delay is a high quantile of the latencies of recent successful
    attempts.
    """

    def __init__(self) -> None:
        self._latencies: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._new_samples = 0
        self._delay_s: float | None = None

    def observe(self, latency_s: float) -> None:
        """Record the latency of a successful attempt."""
        self._latencies.append(latency_s)
        self._new_samples += 1
        has_enough = len(self._latencies) >= MIN_SAMPLES
        if has_enough and (
            self._new_samples >= REFRESH_SAMPLES or self._delay_s is None
        ):
            self._new_samples = 0
            ordered = sorted(self._latencies)
            quantile_s = ordered[int(LATENCY_QUANTILE * (len(ordered) - 1))]
            self._delay_s = max(MIN_DELAY_S, quantile_s)

    def delay_s(self) -> float | None:
        """Return the hedge delay, or None until there are enough samples."""
        return self._delay_s
