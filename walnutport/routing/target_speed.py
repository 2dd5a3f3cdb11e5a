"""Estimate of how fast a target currently is.

Covers targets that share their machines with others, so that work takes a
multiple of the usual time in spells of some 600 ms, and services whose targets
differ lastingly in speed. Some targets report how long work currently takes on
their machine. The figure of a spell is known long before own measurements
show it, but says little once the spell may be over.
"""

import math

__all__ = ['TargetSpeed', 'crowding_factor']

# A reported figure is ignored after this time; measurement takes its place.
REPORT_TTL_S = 1.5
# Time in which what a figure says of the present falls to 1/e. Spells of
# 0.6 s in 15% of the time alternate with 3.4 s of usual speed, and
# 1 / (1 / 0.6 + 1 / 3.4) is 0.5 s.
CORRELATION_S = 0.5
# Weight of a new figure in the average of all figures of a target.
MEAN_GAIN = 0.05
# Bounds of a figure that counts: a target that reports less or more is
# neither preferred nor avoided without end.
MIN_FIGURE = 0.1
MAX_FIGURE = 20.0
# A target is slower from this share of its slots on, by half when it is full.
CROWDED_LOAD = 0.8
CROWDED_SLOPE = 2.5


class TargetSpeed:
    """Time that work takes at one lifetime of a target.

    Measurements are kept as they are and divided by the figure of their time.
    With a valid figure, the second average times the figure is expected. This
    holds whether or not the figure contains the lasting speed of the machine.

    The unit of the measurements is up to the caller, such as seconds or
    multiples of an expected time.

    :param initial: value before the first measurement.
    :param gain: weight of a new measurement.
    :ivar measured: average of the measurements; the estimate of a target that
        reports no figure.
    """

    __slots__ = (
        '_figure',
        '_gain',
        '_mean_figure',
        '_reported_at',
        '_usual',
        'measured',
    )

    def __init__(self, initial: float, gain: float) -> None:
        self.measured = initial
        self._usual = initial
        self._gain = gain
        self._figure = 1.0
        self._mean_figure = 1.0
        self._reported_at = -math.inf

    def report(self, figure: float | None, now: float) -> None:
        """Take over a reported figure.

        :param figure: duration of work on the machine; 1 is the usual one.
            None if a response states none, which ends the use of an earlier
            figure.
        """
        if figure is None:
            self._reported_at = -math.inf
            return
        self._figure = min(MAX_FIGURE, max(MIN_FIGURE, figure))
        self._mean_figure += MEAN_GAIN * (self._figure - self._mean_figure)
        self._reported_at = now

    def measure(self, sample: float, now: float) -> None:
        """Add a measurement."""
        self.measured += self._gain * (sample - self.measured)
        usual_sample = sample / self.slowness(now)
        self._usual += self._gain * (usual_sample - self._usual)

    def replace(self, sample: float, now: float) -> None:
        """Replace all earlier measurements by one."""
        self.measured = sample
        self._usual = sample / self.slowness(now)

    def is_reported(self, now: float) -> bool:
        """Return whether a reported figure is valid."""
        return now - self._reported_at <= REPORT_TTL_S

    def slowness(self, now: float) -> float:
        """Return how long work takes by the report; 1 is usual, or unknown."""
        age_s = now - self._reported_at
        if age_s > REPORT_TTL_S:
            return 1.0
        weight = math.exp(-max(0.0, age_s) / CORRELATION_S)
        return self._mean_figure + weight * (self._figure - self._mean_figure)

    def expected(self, now: float) -> float:
        """Return the time that work is expected to take."""
        if self.is_reported(now):
            return self._usual * self.slowness(now)
        return self.measured


def crowding_factor(relative_load: float) -> float:
    """Return how much longer work takes at a target that is nearly full.

    :param relative_load: requests at the target divided by its slots.
    """
    return 1.0 + CROWDED_SLOPE * max(0.0, relative_load - CROWDED_LOAD)
