"""Trial of crash and slow targets on a small fleet: standard beside naive.

``python -m bench.routing_trial crash|slow|steady POLICY [SECONDS]`` prints one
line. The capacity is that of a pool; the load is 70% of it.
"""

import collections
import random
import sys
import time

from standins import caller
from standins import fleet
from standins import ledger

__all__ = ['main']

_TARGETS = 4
_SLOTS = 2
_SERVICE_MS = 50.0
_SERVICES = ('encoder', 'retriever', 'reranker', 'engine')
_DOWN_S = 3.0
_LOAD = 0.7


def main(kind: str, policy: str, seconds: str = '15') -> None:
    """Run one scenario and print its figures."""
    span_s = float(seconds)
    with fleet.Fleet(_plan(policy)) as running:
        if kind == 'slow':
            for service in _SERVICES:
                running.control_target(f'{service}-1', slowdown=10.0)
        sender = running.start_caller(_loads(span_s))
        started = time.monotonic()
        if kind == 'crash':
            _crash(running, started + span_s)
        assert sender.process is not None
        sender.process.wait(span_s + 30)
        report = running.check()
        events = ledger.read_ledger(running.ledger_folder)
    reasons = collections.Counter(
        f'{event.outcome}/{event.reason}'
        for event in events
        if event.kind is ledger.EventKind.ANSWERED
    )
    slow = sum(
        event.kind is ledger.EventKind.STARTED and event.source == 'encoder-1'
        for event in events
    )
    sys.stdout.write(
        f'{kind} {policy}: sent={report.sent} '
        f'attainment={report.attainment:.4f} encoder-1={slow} '
        f'findings={len(report.findings)} {dict(reasons)}\n'
    )


def _plan(policy: str) -> fleet.FleetPlan:
    pools = tuple(
        fleet.PoolPlan(
            service,
            _TARGETS,
            slots=_SLOTS,
            service_ms=_SERVICE_MS,
            events=1,
            event_ms=0.0,
        )
        for service in _SERVICES
    )
    return fleet.FleetPlan(
        hosts=3, pools=pools, settings={'policies': {'policy': policy}}
    )


def _loads(span_s: float) -> tuple[caller.Load, ...]:
    rate_per_s = _LOAD * _TARGETS * _SLOTS * 1000 / _SERVICE_MS
    return (
        caller.Load(
            member_id='north',
            token=fleet.TOKENS_BY_MEMBER['north'],
            entry_id='summaries',
            rate_per_s=rate_per_s,
            count=int(rate_per_s * span_s),
        ),
    )


def _crash(running: fleet.Fleet, until: float) -> None:
    rng = random.Random(1)
    names = sorted(running.targets_by_id)
    while time.monotonic() < until:
        name = rng.choice(names)
        running.targets_by_id[name].kill()
        time.sleep(_DOWN_S)
        running.start_target(name)


if __name__ == '__main__':
    main(*sys.argv[1:])
