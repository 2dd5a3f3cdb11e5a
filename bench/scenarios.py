"""Benchmark scenarios and the bounds of all benchmark figures."""

import dataclasses

from standins import caller
from standins import fleet_plans

__all__ = [
    'BOUNDS_BY_FIGURE',
    'CAPACITY_PER_S',
    'Fault',
    'POOLS',
    'SCENARIOS',
    'Scenario',
    'loads',
]

# Each pool serves 100 requests per second: slots x targets / service time.
CAPACITY_PER_S = 100.0
POOLS = (
    fleet_plans.PoolPlan('encoder', 4, slots=2, service_ms=80.0),
    fleet_plans.PoolPlan('retriever', 4, slots=2, service_ms=80.0),
    fleet_plans.PoolPlan('reranker', 4, slots=2, service_ms=80.0),
    fleet_plans.PoolPlan(
        'engine', 10, slots=2, service_ms=120.0, events=16, event_ms=5.0
    ),
    fleet_plans.PoolPlan(
        'payments', 4, slots=2, service_ms=80.0, repeatable=False
    ),
)
_UTILISATION = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Faults that are active during a scenario.

    :param crash_every_s: interval at which a target is killed; it restarts
        one interval later. Targets are taken in turn over all pools.
    :param slowdown: factor of the service time of the first target of each
        pool.
    :param log_down: whether the log service is down from the start.
    """

    crash_every_s: float = 0.0
    slowdown: float = 1.0
    log_down: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One load under one fault.

    :param figure: name of the result.
    :param rates_by_member: requests per second by member.
    :param counted_members: members whose attainment counts; empty means all.
    :param compare_naive: whether the naive policy gets the same load as well.
    :param payments_share: share of the requests that are not idempotent.
    """

    figure: str
    rates_by_member: dict[str, float]
    fault: Fault = Fault()
    counted_members: tuple[str, ...] = ()
    compare_naive: bool = False
    payments_share: float = 0.1
    duration_s: float = 12.0
    hosts: int = 3


def _even_rates(total_per_s: float) -> dict[str, float]:
    members = fleet_plans.TOKENS_BY_MEMBER
    return {member_id: total_per_s / len(members) for member_id in members}


_STEADY_RATES = _even_rates(_UTILISATION * CAPACITY_PER_S)
_MEMBER_RATE_PER_S = (
    _UTILISATION * CAPACITY_PER_S / len(fleet_plans.TOKENS_BY_MEMBER)
)

SCENARIOS = (
    Scenario('attainment_steady', _STEADY_RATES),
    Scenario(
        'attainment_burst_others',
        {**_STEADY_RATES, 'north': 5 * _MEMBER_RATE_PER_S},
        counted_members=('south', 'kiosk'),
        compare_naive=True,
    ),
    Scenario(
        'attainment_target_crash',
        _STEADY_RATES,
        Fault(crash_every_s=3.0),
        compare_naive=True,
        duration_s=18.0,
    ),
    Scenario(
        'attainment_slow_target',
        _STEADY_RATES,
        Fault(slowdown=10.0),
        compare_naive=True,
    ),
    Scenario(
        'attainment_log_down',
        _STEADY_RATES,
        Fault(log_down=True),
        payments_share=0.0,
    ),
    Scenario(
        'goodput_overload', _even_rates(2 * CAPACITY_PER_S), compare_naive=True
    ),
)

# Bound of each figure and whether it is a minimum. The bounds follow from the
# guarantees on the design page (section 1.6), not from measured values.
BOUNDS_BY_FIGURE: dict[str, tuple[float, bool]] = {
    'lost': (0, False),
    'doubled': (0, False),
    'misdelivered': (0, False),
    'false_not_run': (0, False),
    'attainment_steady': (0.999, True),
    'attainment_burst_others': (0.99, True),
    'attainment_target_crash': (0.99, True),
    'attainment_slow_target': (0.99, True),
    'attainment_log_down': (0.999, True),
    'goodput_overload': (0.95, True),
    'poison_target_deaths': (2, False),
    'catalogue_in_force_ms_max': (2_000, False),
    'leaving_last_request_ms': (3_000, False),
    'limit_overshoot_ratio': (1.1, False),
    'decision_us_p99': (100, False),
    'relay_cpu_us_per_token_event': (40, False),
    'added_latency_ms_p50': (5, False),
    'control_core_percent': (2.1, False),
    'control_kb_per_s': (3, False),
    'control_rss_mb': (32, False),
    'start_to_ready_ms': (3_000, False),
}


def loads(scenario: Scenario) -> tuple[caller.Load, ...]:
    """Return the loads of all members of a scenario."""
    result = []
    for member_id, rate_per_s in scenario.rates_by_member.items():
        shares = {
            'payments': scenario.payments_share,
            'summaries': 1 - scenario.payments_share,
        }
        for entry_id, share in shares.items():
            if share <= 0:
                continue
            rate = rate_per_s * share
            result.append(
                caller.Load(
                    member_id=member_id,
                    token=fleet_plans.TOKENS_BY_MEMBER[member_id],
                    entry_id=entry_id,
                    rate_per_s=rate,
                    count=max(1, round(rate * scenario.duration_s)),
                    keyed=entry_id == 'payments',
                )
            )
    return tuple(result)
