"""Measures the release rate of a resource while it is saturated."""

import math

__all__ = ['DrainMeter']

_MIN_RELEASES = 5
_MIN_RATE_PER_S = 0.05


class DrainMeter:
    """Rate of releases during the time in which no unit was free.

    Only saturated time counts: while units are free, the release rate reflects
    the demand and not the capacity of the resource. Both sums decay
    exponentially, so the rate follows a change within a few time constants.

    :param time_constant_s: time after which the weight of an observation has
        decayed to 1/e.

    >>> meter = DrainMeter()
    >>> for step in range(100):
    ...     meter.observe(step / 10, saturated=True)
    ...     meter.release(1)
    >>> round(meter.rate_per_s())
    10
    """

    def __init__(self, time_constant_s: float = 2.0) -> None:
        self._time_constant_s = time_constant_s
        self._observed_at: float | None = None
        self._saturated_s = 0.0
        self._released = 0.0
        self._releases = 0

    def observe(self, now: float, *, saturated: bool) -> None:
        """Account for the time since the previous call.

        :param saturated: whether no unit was free during that time.
        """
        if (
            self._observed_at is not None
            and saturated
            and now > self._observed_at
        ):
            decay = math.exp((self._observed_at - now) / self._time_constant_s)
            self._saturated_s = (
                self._saturated_s * decay + self._time_constant_s * (1 - decay)
            )
            self._released *= decay
        self._observed_at = (
            now if self._observed_at is None else max(now, self._observed_at)
        )

    def release(self, units: int) -> None:
        """Count units that were released while no unit was free."""
        self._released += units
        self._releases += 1

    def rate_per_s(self) -> float | None:
        """Return units per second, or None without enough observations."""
        if self._releases < _MIN_RELEASES or self._saturated_s <= 0:
            return None
        return max(_MIN_RATE_PER_S, self._released / self._saturated_s)
