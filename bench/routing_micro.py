"""Measure the cost of routing decisions and the coverage of target subsets.

``python -m bench.routing_micro decision`` prints microseconds for 64
candidates; ``python -m bench.routing_micro coverage`` prints how many of 730
hosts have each of 5,200 targets in their subset, which takes a few minutes.
"""

import collections
import random
import statistics
import sys
import time

from walnutport import interfaces
from walnutport.routing import router
from walnutport.routing import subset
from walnutport import world

__all__ = ['main']

_DECISIONS = 20_000
_CANDIDATES = 64
_SLOTS = 16


def main(kind: str) -> None:
    """Print the figures of the measurement ``kind``."""
    if kind == 'coverage':
        _print_coverage(hosts=730, targets=5_200, size=64)
    else:
        for load in (0.7, 1.2):
            _print_decisions(load)


def _print_decisions(load: float) -> None:
    rng = random.Random(1)
    standard_router = router.StandardRouter(
        'host', 'dc-0', subset_size=64, max_ejected_share=0.3, rng=rng
    )
    address = world.Address('127.0.0.1', 9)
    targets = [
        world.Target(f't{n}', 'engine', f'dc-{n % 2}', address, _SLOTS)
        for n in range(_CANDIDATES)
    ]
    standard_router.targets_changed(
        {item.target_id: item for item in targets}, 0.0
    )
    running: collections.deque[tuple[str, str]] = collections.deque()
    now, times_us = 0.0, []
    for number in range(_DECISIONS):
        now += 0.001
        query = interfaces.RouteQuery(
            'engine', now + 4.0, content_digest=rng.randbytes(16)
        )
        started = time.perf_counter_ns()
        target = standard_router.route(query, now)
        assert target is not None
        standard_router.attempt_started(
            target.target_id, str(number), query, now
        )
        times_us.append((time.perf_counter_ns() - started) / 1000)
        running.append((str(number), target.target_id))
        if len(running) > load * _CANDIDATES * _SLOTS:
            attempt_id, target_id = running.popleft()
            result = interfaces.AttemptResult(
                attempt_id,
                target_id,
                'engine',
                interfaces.AttemptStatus.OK,
                rng.uniform(0.4, 0.6),
                load=world.LoadReport(_SLOTS // 2, 0, _SLOTS),
            )
            standard_router.attempt_finished(result, now)
    percentiles = statistics.quantiles(times_us[_DECISIONS // 2 :], n=100)
    sys.stdout.write(
        f'decision: load={load} candidates={_CANDIDATES} '
        f'p50={percentiles[49]:.1f} p99={percentiles[98]:.1f} us\n'
    )


def _print_coverage(hosts: int, targets: int, size: int) -> None:
    host_ids = [f'host-{number}' for number in range(hosts)]
    target_ids = [f'target-{number}' for number in range(targets)]
    hosts_by_target: collections.Counter[str] = collections.Counter()
    subset_sizes, times_s = [], []
    for host_id in host_ids:
        started = time.perf_counter()
        chosen = subset.choose_subset(host_id, host_ids, target_ids, size)
        times_s.append(time.perf_counter() - started)
        subset_sizes.append(len(chosen))
        hosts_by_target.update(chosen)
    counts = [hosts_by_target[target_id] for target_id in target_ids]
    sys.stdout.write(
        f'hosts for each target: min={min(counts)} '
        f'mean={statistics.mean(counts):.2f} max={max(counts)}\n'
        f'targets for each host: min={min(subset_sizes)} '
        f'mean={statistics.mean(subset_sizes):.1f} max={max(subset_sizes)}\n'
        f'time for each host: {statistics.mean(times_s) * 1000:.0f} ms\n'
    )


if __name__ == '__main__':
    main(*sys.argv[1:])
