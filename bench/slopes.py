"""Cost measurements and least-squares lines through them."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import gc
import statistics
import time
import tracemalloc

__all__ = ['Line', 'Series', 'cpu_us', 'fit_line', 'retained_bytes']

_ROUNDS = 3
_US_PER_S = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """A cost measured as a function of one count.

    :param parameter: what is counted.
    :param unit: unit of the measured value.
    :param measure: returns the measured value for a count.
    :param points: counts to measure at, at least four.
    :param design_count: count that the system is designed for.
    """

    name: str
    parameter: str
    unit: str
    measure: Callable[[int], float]
    points: tuple[int, ...]
    design_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Least-squares regression line.

    :param r2: coefficient of determination.
    """

    slope: float
    intercept: float
    r2: float

    def value_at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through the points.

    >>> fit_line([(1, 3.0), (2, 5.0), (3, 7.0)])
    Line(slope=2.0, intercept=1.0, r2=1.0)
    """
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    mean = statistics.fmean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return Line(slope, intercept, 1.0 - residual / total if total else 1.0)


def cpu_us(function: Callable[[], object], calls: int) -> float:
    """Return the CPU time of one call in microseconds.

    The minimum over several rounds is returned because other processes on
    the machine can only increase the time. The garbage collector runs before
    each round and is disabled during it.
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
    """Return the bytes of memory retained by the object that is built."""
    gc.collect()
    tracemalloc.start()
    # This reference keeps the object alive until the memory is read.
    retained = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return float(used)
