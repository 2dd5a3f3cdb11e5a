"""A burst of requests from one member to three hosts."""

from standins import caller
from standins import checker
from standins import fleet
from standins import fleet_plans
from standins import ledger

_MAX_IN_FLIGHT = 6
_BURST_REQUESTS = 240
_OTHER_REQUESTS = 20


def test_burst_does_not_delay_other_members() -> None:
    """Guards against a member that starves the others or exceeds its limit.

    The other members send during the burst and must not wait for its end. The
    order of the answers is checked rather than their time.
    """
    contract = {
        'entry_id': 'limited',
        'owner': 'north',
        'class_id': 'standard',
        'pipeline_id': 'answers',
        'limits': {'max_in_flight': _MAX_IN_FLIGHT},
    }
    plan = fleet_plans.FleetPlan(hosts=3, contracts=(contract,))
    with fleet.Fleet(plan) as running:
        sender = running.start_caller(
            (
                _load('north', _BURST_REQUESTS, 2_000.0, 0.0),
                _load('south', _OTHER_REQUESTS, 100.0, 0.3),
                _load('kiosk', _OTHER_REQUESTS, 100.0, 0.3),
            )
        )
        assert sender.process is not None
        assert sender.process.wait(100) == 0
        report = running.check_ledger()
        events = ledger.read_ledger(running.ledger_folder)
    assert report.findings == ()
    assert (
        report.complete == report.sent == _BURST_REQUESTS + 2 * _OTHER_REQUESTS
    )
    # A cancelled hedge ends without a FINISHED event.
    assert checker.peak_concurrency(events, 'limited') <= _MAX_IN_FLIGHT
    answered_members = [
        event.member_id
        for event in events
        if event.kind is ledger.EventKind.ANSWERED
    ]
    last_other_index = max(
        index
        for index, member in enumerate(answered_members)
        if member != 'north'
    )
    assert (
        answered_members[last_other_index:].count('north')
        >= _BURST_REQUESTS // 10
    )


def _load(
    member_id: str, count: int, rate_per_s: float, start_s: float
) -> caller.Load:
    return caller.Load(
        member_id,
        fleet_plans.TOKENS_BY_MEMBER[member_id],
        'limited',
        rate_per_s,
        count,
        start_s=start_s,
        deadline_ms=60_000,
    )
