"""Helpers of the fault tests: fleets, loads, waiting and checks."""

from collections.abc import Callable
import time

from standins import caller
from standins import checker
from standins import fleet
from standins import fleet_plans
from standins import ledger
from standins import processes

LIMIT_S = 40.0
POOLS = (
    fleet_plans.PoolPlan('encoder', 2),
    fleet_plans.PoolPlan('retriever', 3),
    fleet_plans.PoolPlan('reranker', 2),
    fleet_plans.PoolPlan('engine', 3, slots=16, events=20, event_ms=10.0),
    fleet_plans.PoolPlan('payments', 3, service_ms=60.0, repeatable=False),
)


def plan(hosts: int = 2, **changes) -> fleet_plans.FleetPlan:
    """Return the plan of a fleet whose connections pass the fault proxy."""
    return fleet_plans.FleetPlan(
        **{'hosts': hosts, 'pools': POOLS, 'proxied': True, **changes}
    )


def load(entry_id: str, count: int, rate_per_s: float, **changes):
    """Return a load; payments carry an idempotency key."""
    fields = {'deadline_ms': 4_000, 'keyed': entry_id == 'payments', **changes}
    return caller.Load(
        'north',
        fleet_plans.TOKENS_BY_MEMBER['north'],
        entry_id,
        rate_per_s,
        count,
        **fields,
    )


def events_of(running: fleet.Fleet, source: str) -> list[ledger.LedgerEvent]:
    """Return all events of the requests that one caller sent."""
    events = ledger.read_ledger(running.ledger_folder)
    nonces = {event.nonce for event in events if event.source == source}
    return [event for event in events if event.nonce in nonces]


def count(running: fleet.Fleet, source: str, /, **wanted: str) -> int:
    """Count the events of a caller's requests that have these fields."""
    return sum(
        all(getattr(event, name) == value for name, value in wanted.items())
        for event in events_of(running, source)
    )


def wait(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the limit only bounds a hang."""
    deadline = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < deadline, 'condition not met in time'
        time.sleep(0.03)


def wait_count(
    running: fleet.Fleet, source: str, least: int, /, **wanted: str
) -> None:
    """Wait for ``least`` events of a caller's requests."""
    wait(lambda: count(running, source, **wanted) >= least)


def finish(sender: processes.ManagedProcess) -> None:
    """Wait until a caller process has exited successfully."""
    assert sender.process is not None
    assert sender.process.wait(LIMIT_S) == 0


def verdict(running: fleet.Fleet, source: str, sent: int) -> checker.Report:
    """Assert that no guarantee was violated and return the caller's report."""
    report = checker.check(
        events_of(running, source), fleet_plans.STAGES_BY_ENTRY
    )
    assert report.findings == ()
    assert report.sent == sent
    return report


def outcomes(running: fleet.Fleet, source: str, entry_id: str) -> set[str]:
    """Return the outcomes that a caller received for an entry."""
    return {
        event.outcome
        for event in events_of(running, source)
        if event.kind is ledger.EventKind.ANSWERED
        and event.entry_id == entry_id
    }
