"""Cost of a routing decision and coverage of the subset.

``python -m bench.routing_micro decision`` prints microseconds for 64
candidates; ``python -m bench.routing_micro coverage`` prints how many of 730
hosts know each of 5,200 targets (it takes some minutes).
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
    """Print the figures of one kind."""
    if kind == 'coverage':
        _print_coverage(hosts=730, targets=5_200, size=64)
    else:
        for load in (0.7, 1.2):
            _print_decisions(load)


def _print_decisions(load: float) -> None:
    rng = random.Random(1)
    found = router.StandardRouter(
        'host', 'dc-0', subset_size=64, max_ejected_share=0.3, rng=rng
    )
    address = world.Address('127.0.0.1', 9)
    targets = [
        world.Target(f't{n}', 'engine', f'dc-{n % 2}', address, _SLOTS)
        for n in range(_CANDIDATES)
    ]
    found.targets_changed({item.target_id: item for item in targets}, 0.0)
    running: collections.deque[tuple[str, str]] = collections.deque()
    now, times = 0.0, []
    for number in range(_DECISIONS):
        now += 0.001
        query = interfaces.RouteQuery(
            'engine', now + 4.0, content_digest=rng.randbytes(16)
        )
        started = time.perf_counter_ns()
        target = found.route(query, now)
        assert target is not None
        found.attempt_started(target.target_id, str(number), query, now)
        times.append((time.perf_counter_ns() - started) / 1000)
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
            found.attempt_finished(result, now)
    cuts = statistics.quantiles(times[_DECISIONS // 2 :], n=100)
    sys.stdout.write(
        f'decision: load={load} candidates={_CANDIDATES} '
        f'p50={cuts[49]:.1f} p99={cuts[98]:.1f} us\n'
    )


def _print_coverage(hosts: int, targets: int, size: int) -> None:
    host_ids = [f'host-{number}' for number in range(hosts)]
    target_ids = [f'target-{number}' for number in range(targets)]
    covered: collections.Counter[str] = collections.Counter()
    sizes, times = [], []
    for host_id in host_ids:
        started = time.perf_counter()
        chosen = subset.choose_subset(host_id, host_ids, target_ids, size)
        times.append(time.perf_counter() - started)
        sizes.append(len(chosen))
        covered.update(chosen)
    counts = [covered[target_id] for target_id in target_ids]
    sys.stdout.write(
        f'hosts for each target: min={min(counts)} '
        f'mean={statistics.mean(counts):.2f} max={max(counts)}\n'
        f'targets for each host: min={min(sizes)} '
        f'mean={statistics.mean(sizes):.1f} max={max(sizes)}\n'
        f'time for each host: {statistics.mean(times) * 1000:.0f} ms\n'
    )


if __name__ == '__main__':
    main(*sys.argv[1:])
