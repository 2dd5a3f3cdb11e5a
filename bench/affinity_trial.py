"""Compare cache hits and latency with and without prefix affinity.

``python -m bench.affinity_trial on|off RATE [SECONDS]`` prints one JSON line.
Every prompt is sent repeatedly. The caches of all engines together hold all
prompts; the cache of a single engine holds only some of them.
"""

import json
import statistics
import sys

import msgspec

from standins import caller
from standins import fleet
from standins import fleet_plans
from standins import ledger
from standins import processes

__all__ = ['main']

_ENGINES = 4
_PROMPTS = 24
_PROMPT_BYTES = 2_048
_CACHE_BLOCKS = 32


def main(affinity: str, rate_per_s: str, seconds: str = '20') -> None:
    """Run one trial and print its figures as JSON."""
    fast_stage = {'slots': 16, 'service_ms': 2.0}
    plan = fleet_plans.FleetPlan(
        hosts=3,
        pools=(
            fleet_plans.PoolPlan('encoder', 1, **fast_stage),
            fleet_plans.PoolPlan('retriever', 1, **fast_stage),
            fleet_plans.PoolPlan('reranker', 1, **fast_stage),
            fleet_plans.PoolPlan(
                'engine',
                _ENGINES,
                slots=4,
                service_ms=100.0,
                engine=True,
                cache_entries=_CACHE_BLOCKS,
            ),
        ),
        settings={'policies': {'prefix_affinity': affinity == 'on'}},
    )
    with fleet.Fleet(plan) as running:
        loads = _loads(float(rate_per_s), float(seconds))
        sender = running.start_caller(loads)
        assert sender.process is not None
        sender.process.wait(float(seconds) + 30)
        lookups = hits = 0
        for number in range(_ENGINES):
            listed = running.listed_targets_by_id[f'engine-{number + 1}']
            url = f'http://{listed.ip}:{listed.port}/v1/cache-stats'
            stats = msgspec.json.decode(processes.http_request(url))
            lookups, hits = lookups + stats['asked'], hits + stats['hit']
        follower_bytes = [
            _read_counter(address, 'cache_bytes')
            for address in running.control_addresses_by_host.values()
        ]
        report = running.check_ledger()
        latencies = [
            event.latency_s * 1000
            for event in ledger.read_ledger(running.ledger_folder)
            if event.kind is ledger.EventKind.ANSWERED
        ]
    percentiles = statistics.quantiles(latencies, n=100)
    sys.stdout.write(
        json.dumps(
            {
                'affinity': affinity,
                'rate_per_s': float(rate_per_s),
                'hit_share': round(hits / max(1, lookups), 3),
                'p50_ms': round(percentiles[49], 1),
                'p95_ms': round(percentiles[94], 1),
                'attainment': report.attainment,
                'findings': len(report.findings),
                'follower_bytes_per_s': [
                    round(count / float(seconds)) for count in follower_bytes
                ],
            }
        )
        + '\n'
    )


def _read_counter(address: str, name: str) -> float:
    text = processes.http_request(f'http://{address}/metrics')
    lines = (line for line in text.decode().splitlines() if name in line)
    values = [line for line in lines if not line.startswith('#')]
    return float(values[0].split()[-1]) if values else 0.0


def _loads(rate_per_s: float, duration_s: float) -> tuple[caller.Load, ...]:
    return tuple(
        caller.Load(
            member_id='north',
            token=fleet_plans.TOKENS_BY_MEMBER['north'],
            entry_id='summaries',
            rate_per_s=rate_per_s / _PROMPTS,
            count=int(rate_per_s * duration_s / _PROMPTS),
            body={'prompt': f'{number:04d}' * (_PROMPT_BYTES // 4)},
        )
        for number in range(_PROMPTS)
    )


if __name__ == '__main__':
    main(*sys.argv[1:])
