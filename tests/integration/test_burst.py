"""A burst of one member on three real hosts."""

from standins import caller
from standins import checker
from standins import fleet
from standins import fleet_plans
from standins import ledger

_LIMIT = 6
_BURST = 240
_OTHERS = 20


def test_a_burst_does_not_hold_up_the_others() -> None:
    """Guards against a member that starves the others, and a broken limit.

    The order of the answers is checked and not their time: the others'
    requests, sent into the burst, must not wait for its end.
    """
    contract = {
        'entry_id': 'limited',
        'owner': 'north',
        'class_id': 'standard',
        'pipeline_id': 'answers',
        'limits': {'max_in_flight': _LIMIT},
    }
    plan = fleet_plans.FleetPlan(hosts=3, contracts=(contract,))
    with fleet.Fleet(plan) as running:
        sender = running.start_caller(
            (
                _load('north', _BURST, 2_000.0, 0.0),
                _load('south', _OTHERS, 100.0, 0.3),
                _load('kiosk', _OTHERS, 100.0, 0.3),
            )
        )
        assert sender.process is not None
        assert sender.process.wait(100) == 0
        report = running.check()
        events = ledger.read_ledger(running.ledger_folder)
    assert report.findings == ()
    assert report.complete == report.sent == _BURST + 2 * _OTHERS
    # A cancelled hedge ends without a FINISHED event.
    assert checker.peak_running(events, 'limited') <= _LIMIT
    order = [
        event.member_id
        for event in events
        if event.kind is ledger.EventKind.ANSWERED
    ]
    last_other = max(
        index for index, member in enumerate(order) if member != 'north'
    )
    assert order[last_other:].count('north') >= _BURST // 10


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
