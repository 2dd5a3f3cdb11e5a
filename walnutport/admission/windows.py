"""Admission windows and the time that requests still need.

The window of a pool bounds the requests that were admitted and have not yet
passed the pool. By Little's law a pool with ``slots`` slots and a mean
service time S is kept busy by slots x (U + S) / S requests, where U is the
duration of the stages before it. Additional requests would wait in the pool
queue without increasing the throughput. With the windows, the slowest stage of
each pipeline determines the admission rate, no other stage runs work that the
slowest one cannot process, and requests wait in the entry queue, which refuses
those that would be late.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import math

from walnutport.admission import queue_rules
from walnutport.admission import stage_latencies
from walnutport import world

__all__ = ['AdmissionEstimator', 'window_units']

# Service times vary, so a pool with just enough requests on average would be
# idle at times. The surplus also bounds the wait in front of the pool to about
# half of the duration of the stages up to it.
_WINDOW_FACTOR = 1.5
_MIN_EXTRA_UNITS = 2
_MIN_TIME_QUANTILE = 0.1
_LIKELY_TIME_QUANTILE = 0.9


def window_units(
    slots: int, service_s: float | None, upstream_s: float | None, depth: int
) -> int:
    """Return how many admitted requests may not yet have passed a pool.

    :param slots: the host's share of the slots of the pool.
    :param service_s: mean time in the pool, None if unknown.
    :param upstream_s: mean time in the stages before it, None if unknown.
    :param depth: number of stages before it; if the times are unknown, they
        are assumed to take as long as this one.

    >>> window_units(8, 0.02, 0.06, depth=3)
    50
    """
    if not service_s or upstream_s is None:
        stages = depth + 1.0
    else:
        stages = (upstream_s + service_s) / service_s
    return math.ceil(slots * stages * _WINDOW_FACTOR) + _MIN_EXTRA_UNITS


class AdmissionEstimator:
    """Estimates remaining times of pipelines and computes windows of pools.

    Requests that need not wait are checked against a low quantile, so that
    work that could finish on an idle fleet is not refused. Requests that have
    to wait are checked against a high quantile.
    """

    def __init__(self, latencies: stage_latencies.LatencyTracker) -> None:
        self._latencies = latencies

    def time_needed(
        self,
        contract: world.Contract,
        pipeline: world.Pipeline,
        stages_completed: int,
        now: float,
    ) -> queue_rules.TimeNeeded:
        """Return the time that the remaining stages need."""
        names = [stage.name for stage in pipeline.stages[stages_completed:]]
        entry_id = contract.entry_id
        return queue_rules.TimeNeeded(
            self._latencies.remaining_held_s(
                entry_id, names, _MIN_TIME_QUANTILE, now
            ),
            self._latencies.remaining_total_s(
                entry_id, names, _LIKELY_TIME_QUANTILE, now
            ),
        )

    def windows(
        self,
        contracts: Sequence[tuple[world.Contract, world.Pipeline]],
        slots_by_service: Mapping[str, int],
        now: float,
    ) -> dict[str, int]:
        """Return the window of each pool that the contracts use.

        A pool that is used at several depths gets the largest of its windows.
        """
        units_by_service: dict[str, int] = {}
        for contract, pipeline in contracts:
            upstream_s: float | None = 0.0
            for depth, stage in enumerate(pipeline.stages):
                service_s = self._latencies.mean_held_s(
                    stage_latencies.StageKey(contract.entry_id, stage.name),
                    now,
                )
                slots = slots_by_service.get(stage.service)
                if slots is not None:
                    units = window_units(slots, service_s, upstream_s, depth)
                    units_by_service[stage.service] = max(
                        units, units_by_service.get(stage.service, 0)
                    )
                if service_s is None or upstream_s is None:
                    upstream_s = None
                else:
                    upstream_s += service_s
        return units_by_service
