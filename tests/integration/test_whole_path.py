"""Requests through a whole fleet of real processes."""

from standins import caller
from standins import fleet
from standins import fleet_plans


def test_all_requests_complete() -> None:
    """Guards against lost, doubled or misdelivered answers without faults."""
    plan = fleet_plans.FleetPlan(hosts=2)
    with fleet.Fleet(plan) as running:
        sender = running.start_caller(
            tuple(
                caller.Load(
                    member_id=member_id,
                    token=token,
                    entry_id='summaries',
                    rate_per_s=20.0,
                    count=15,
                    deadline_ms=20_000,
                )
                for member_id, token in fleet_plans.TOKENS_BY_MEMBER.items()
            )
        )
        assert sender.process is not None
        assert sender.process.wait(60) == 0
        report = running.check_ledger()
    assert report.findings == ()
    assert report.complete == report.sent == 45
