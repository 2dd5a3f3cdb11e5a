"""Forecast of durations that grow with a number of units, by name.

The units are the output tokens that a request allows, for instance. Many
requests end before that number, so the time is measured for each allowed one.

The forecast decides whether work is taken that has to end in time, so it goes
by the longest of the recent durations. A mean with a margin is too short for
those whose lengths differ by a factor of ten.
"""

import collections
import dataclasses
import math

__all__ = ['DurationForecast']

# Recent durations of which the longest counts.
WINDOW = 64
# Weight of a new measurement in the moving averages.
GAIN = 0.1
# Mean absolute deviations that a forecast lies above the longest duration,
# divided by the square root of their number: the fewer there are, the more
# may later ones exceed them.
DEVIATION_WEIGHT = 8.0
# Deviation before the second measurement, as a share of the mean: it says
# little about durations that differ by a factor of ten.
INITIAL_DEVIATION_SHARE = 0.5
# Factor by which a forecast lies above the initial value, before the first
# measurement.
INITIAL_MARGIN = 1.4


@dataclasses.dataclass(slots=True)
class _Durations:
    """Recent seconds per unit, with moving averages.

    :param recent_s: the newest durations.
    :param samples: number of durations, also earlier ones.
    """

    mean_s: float
    deviation_s: float
    recent_s: collections.deque[float]
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
        self.recent_s.append(value_s)
        self.samples += 1

    def expected_s(self) -> float:
        """Return the seconds below which nearly all durations lie."""
        margin_s = DEVIATION_WEIGHT * self.deviation_s
        return max(self.recent_s) + margin_s / math.sqrt(len(self.recent_s))


class DurationForecast:
    """Durations below which nearly all of the same name lie.

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
    >>> forecast.observe('chat', 5.0, 100)
    >>> forecast.expected_s('chat', 200) > 10.0
    True
    """

    def __init__(self, initial_s: float, initial_unit_s: float = 0.0) -> None:
        self._initial_s = initial_s
        self._initial_unit_s = initial_unit_s
        self._durations_by_key: dict[tuple[str, str, bool], _Durations] = {}

    def expected_s(self, name: str, units: int = 0, group: str = '') -> float:
        """Return the time in which nearly all of a name end, in seconds.

        :param units: number of units, 0 if it is not known.
        :param group: names that are alike, whose measurements count before the
            first one of the name; empty if there are none.
        """
        group = group or name
        durations = self._durations_by_key.get(
            (group, name, units > 0)
        ) or self._durations_by_key.get((group, '', units > 0))
        if durations is not None:
            return max(1, units) * durations.expected_s()
        initial_s = self._initial_unit_s if units else self._initial_s
        return max(1, units) * INITIAL_MARGIN * initial_s

    def observe(
        self, name: str, took_s: float, units: int = 0, group: str = ''
    ) -> None:
        """Add a measured duration.

        :param units: number of units, 0 if it is not known.
        :param group: as for ``expected_s``.
        """
        group = group or name
        for key in ((group, name, units > 0), (group, '', units > 0)):
            durations = self._durations_by_key.get(key)
            if durations is None:
                durations = _Durations(
                    0.0, 0.0, collections.deque(maxlen=WINDOW)
                )
                self._durations_by_key[key] = durations
            durations.add(took_s / max(1, units))

    def observe_unfinished(
        self, name: str, lasted_s: float, units: int = 0, group: str = ''
    ) -> None:
        """Add the time after which something was broken off.

        It would have taken longer, so this counts only if it exceeds the
        forecast; a shorter one says nothing.

        :param units: number of units, 0 if it is not known.
        :param group: as for ``expected_s``.
        """
        if lasted_s > self.expected_s(name, units, group):
            self.observe(name, lasted_s, units, group)
