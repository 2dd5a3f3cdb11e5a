"""When a second attempt may start beside one that is still open."""

import collections

__all__ = ['HedgeTimer']

QUANTILE = 0.95
WINDOW = 256
MIN_SAMPLES = 20
REFRESH_EVERY = 16
# Below this delay a hedge costs more than the wait that it saves.
SHORTEST_S = 0.02


class HedgeTimer:
    """High quantile of the latency of successful attempts of one pool."""

    def __init__(self) -> None:
        self._latencies: collections.deque[float] = collections.deque(
            maxlen=WINDOW
        )
        self._fresh = 0
        self._delay_s: float | None = None

    def observe(self, latency_s: float) -> None:
        """Take note of the latency of a successful attempt."""
        self._latencies.append(latency_s)
        self._fresh += 1
        enough = len(self._latencies) >= MIN_SAMPLES
        if enough and (self._fresh >= REFRESH_EVERY or self._delay_s is None):
            self._fresh = 0
            ordered = sorted(self._latencies)
            quantile_s = ordered[int(QUANTILE * (len(ordered) - 1))]
            self._delay_s = max(SHORTEST_S, quantile_s)

    def delay_s(self) -> float | None:
        """Return the delay of a hedge, or None before it is measured."""
        return self._delay_s
