"""Straight lines through measured points, and the measures of the points."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import gc
import statistics
import time
import tracemalloc

__all__ = ['Line', 'Series', 'cpu_us', 'fit', 'retained_bytes']

_ROUNDS = 3
_US_PER_S = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """One figure over one count.

    :param x_name: what is counted.
    :param unit: unit of the figure.
    :param measure: returns the figure at one count.
    :param points: counts to measure at, at least four.
    :param design: count at the design size.
    """

    name: str
    x_name: str
    unit: str
    measure: Callable[[int], float]
    points: tuple[int, ...]
    design: int


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line through points.

    :param r2: share of the variance that the line explains.
    """

    slope: float
    intercept: float
    r2: float

    def at(self, x: float) -> float:
        """Return the value of the line at a point."""
        return self.intercept + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through points.

    >>> fit([(1, 3.0), (2, 5.0), (3, 7.0)])
    Line(slope=2.0, intercept=1.0, r2=1.0)
    """
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    mean = statistics.fmean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    rest = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return Line(slope, intercept, 1.0 - rest / total if total else 1.0)


def cpu_us(function: Callable[[], object], calls: int) -> float:
    """Return the processor time of one call in microseconds.

    The least of several rounds counts, as other processes on the machine
    only add to it. Garbage is collected before and not during a round.
    """
    times = []
    for _ in range(_ROUNDS):
        gc.collect()
        gc.disable()
        started = time.process_time()
        for _ in range(calls):
            function()
        times.append((time.process_time() - started) / calls)
        gc.enable()
    return min(times) * _US_PER_S


def retained_bytes(build: Callable[[], object]) -> float:
    """Return the memory that what a function builds keeps in bytes."""
    gc.collect()
    tracemalloc.start()
    # The name keeps the object alive until its memory was read.
    kept = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(used)
