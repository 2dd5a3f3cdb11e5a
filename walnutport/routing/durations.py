"""Forecast of durations that grow with a number of units, by name.

The units are the output tokens that a request allows, for instance. Many
requests end before that number, so the time is measured for each allowed one.
"""

import dataclasses

__all__ = ['DurationForecast']

# Weight of a new measurement in the moving averages.
GAIN = 0.1
# Mean absolute deviations that a forecast lies above the mean, so that nearly
# all durations are shorter.
DEVIATION_WEIGHT = 2.0
# Deviation before the second measurement, as a share of the mean.
INITIAL_DEVIATION_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class _Average:
    """Mean and mean absolute deviation of the seconds per unit."""

    mean_s: float
    deviation_s: float
    samples: int = 0

    def add(self, value_s: float) -> None:
        """Add a measurement."""
        if not self.samples:
            self.mean_s = value_s
            self.deviation_s = value_s * INITIAL_DEVIATION_SHARE
        else:
            difference_s = value_s - self.mean_s
            self.mean_s += GAIN * difference_s
            self.deviation_s += GAIN * (abs(difference_s) - self.deviation_s)
        self.samples += 1


class DurationForecast:
    """Durations below which most measured ones of the same name lie.

    Those with and without a known number of units are kept apart.

    :param initial_s: duration without units before the first measurement.
    :param initial_unit_s: duration of each unit before it.

    >>> forecast = DurationForecast(1.0, 0.02)
    >>> round(forecast.expected_s('chat', 100), 3)
    2.8
    >>> for _ in range(50):
    ...     forecast.observe('chat', 3.0, 100)
    >>> round(forecast.expected_s('chat', 200), 1)
    6.0
    """

    def __init__(self, initial_s: float, initial_unit_s: float = 0.0) -> None:
        self._initial_s = initial_s
        self._initial_unit_s = initial_unit_s
        self._average_by_key: dict[tuple[str, str, bool], _Average] = {}

    def expected_s(self, name: str, units: int = 0, group: str = '') -> float:
        """Return the time in which most of a name end, in seconds.

        :param units: number of units, 0 if it is not known.
        :param group: names that are alike, whose measurements count before the
            first one of the name; empty if there are none.
        """
        group = group or name
        average = self._average_by_key.get(
            (group, name, units > 0)
        ) or self._average_by_key.get((group, '', units > 0))
        if average is None:
            mean_s = self._initial_unit_s if units else self._initial_s
            average = _Average(mean_s, mean_s * INITIAL_DEVIATION_SHARE)
        return max(1, units) * (
            average.mean_s + DEVIATION_WEIGHT * average.deviation_s
        )

    def observe(
        self, name: str, took_s: float, units: int = 0, group: str = ''
    ) -> None:
        """Add a measured duration.

        :param units: number of units, 0 if it is not known.
        :param group: as for ``expected_s``.
        """
        group = group or name
        for key in ((group, name, units > 0), (group, '', units > 0)):
            average = self._average_by_key.setdefault(key, _Average(0.0, 0.0))
            average.add(took_s / max(1, units))
