"""State machine test of the membership of targets."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from walnutport.membership import targets
from walnutport.peer import messages
from walnutport import world

LIVE = world.TargetState.LIVE
LEAVING = world.TargetState.LEAVING


def listed(state: world.TargetState) -> dict[str, world.Target]:
    """Return a list with one target."""
    address = world.Address('127.0.0.1', 1)
    return {'t': world.Target('t', 'pool', 'dc-1', address, 4, state)}


class TargetsMachine(stateful.RuleBasedStateMachine):
    """A target that leaves and restarts; messages are delayed or repeated.

    Guards against new work for a target after any source reported that its
    current incarnation is leaving, and against excluding a target after its
    new incarnation reported live.
    """

    def __init__(self) -> None:
        super().__init__()
        self.membership = targets.TargetMembership(5.0)
        self.now = 0.0
        self.incarnation = 1
        self.leaving = False
        self.reports: list[tuple[float, world.LoadReport]] = []
        self.first_report_at: float | None = None
        self.leaving_reports: list[messages.LeavingTarget] = []
        self.list_state = LIVE
        self.reported_leaving = False
        self.membership.list_read(listed(LIVE), 0.0)

    def report(self) -> world.LoadReport:
        state = LEAVING if self.leaving else LIVE
        return world.LoadReport(0, 0, 4, str(self.incarnation), state)

    @stateful.rule()
    def make_report(self) -> None:
        self.reports.append((self.now, self.report()))

    @stateful.rule()
    def target_leaves(self) -> None:
        self.leaving = True

    @stateful.rule()
    def peer_reports_leaving(self) -> None:
        if self.leaving:
            report = messages.LeavingTarget('t', str(self.incarnation))
            self.leaving_reports.append(report)

    @stateful.rule()
    def target_restarts(self) -> None:
        """Restart the target; reports in transit may still arrive."""
        self.now += 0.25
        self.incarnation += 1
        self.leaving = False
        self.reported_leaving = False
        self.first_report_at = None

    @stateful.precondition(lambda self: self.reports)
    @stateful.rule(index=st.integers(0, 5), repeat=st.booleans())
    def deliver_report(self, index: int, repeat: bool) -> None:
        index %= len(self.reports)
        sent_at, report = self.reports[index]
        if not repeat:
            del self.reports[index]
        # A report arrives within the confirmation delay, unless the host was
        # paused and reads it together with one of a later incarnation.
        first_report_at = (
            self.now if self.first_report_at is None else self.first_report_at
        )
        if self.now - sent_at <= 1.5 or self.now - first_report_at <= 1.5:
            self.receive_report(report)

    def receive_report(self, report: world.LoadReport) -> None:
        self.membership.load_reported('t', report, self.now)
        if report.incarnation == str(self.incarnation):
            self.reported_leaving = (
                self.reported_leaving or report.state is LEAVING
            )
            self.first_report_at = (
                self.now
                if self.first_report_at is None
                else self.first_report_at
            )

    @stateful.precondition(lambda self: self.leaving_reports)
    @stateful.rule(index=st.integers(0, 5))
    def deliver_leaving_report(self, index: int) -> None:
        report = self.leaving_reports[index % len(self.leaving_reports)]
        self.membership.peer_reported_leaving(report, self.now)
        if report.incarnation == str(self.incarnation):
            self.reported_leaving = True
            self.first_report_at = (
                self.now
                if self.first_report_at is None
                else self.first_report_at
            )

    @stateful.rule()
    def late_report_after_restart(self) -> None:
        """Deliver a report of the old incarnation after one of the new."""
        self.leaving = False
        self.make_report()
        self.target_restarts()
        self.leaving = True
        if self.incarnation % 2:
            self.make_report()
            self.deliver_report(len(self.reports) - 1, False)
        else:
            self.peer_reports_leaving()
            self.deliver_leaving_report(len(self.leaving_reports) - 1)
        self.deliver_report(len(self.reports) - 1, False)

    @stateful.rule(state=st.sampled_from([LIVE, LEAVING]))
    def read_list(self, state: world.TargetState) -> None:
        self.list_state = state
        self.membership.list_read(listed(state), self.now)

    @stateful.rule(seconds=st.sampled_from([0.125, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.invariant()
    def no_new_work_after_leaving_report(self) -> None:
        if self.reported_leaving:
            assert not self.membership.usable(self.now)

    @stateful.rule()
    def reordered_reports_after_pause(self) -> None:
        """Deliver a later incarnation's report first, as after a pause."""
        self.target_restarts()
        old = self.report()
        self.target_restarts()
        self.leaving = True
        self.now += 3.0
        self.receive_report(self.report())
        self.receive_report(old)

    @stateful.rule()
    def wrongly_retired_incarnation_recovers(self) -> None:
        """Guards against excluding a live target after reordered reports."""
        self.target_restarts()
        old = self.report()
        self.target_restarts()
        self.receive_report(self.report())
        self.receive_report(old)
        self.read_list(LIVE)
        for _ in range(2):
            self.now += 5.0
            self.receive_report(self.report())
        assert self.membership.usable(self.now)
        known = self.membership.leaving_reports(0.0)
        assert str(self.incarnation) not in {
            item.incarnation for item in known
        }
        self.leaving = True
        self.receive_report(self.report())

    @stateful.rule()
    def new_incarnation_is_eventually_used(self) -> None:
        """Deliver everything in transit, then report live."""
        self.target_restarts()
        self.reports.clear()
        for report in self.leaving_reports:
            self.membership.peer_reported_leaving(report, self.now)
        self.read_list(LIVE)
        self.receive_report(self.report())
        self.now += 2.0
        self.receive_report(self.report())
        assert self.membership.usable(self.now)


TestTargets = TargetsMachine.TestCase
TestTargets.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30
)


def test_stale_list_does_not_exclude_a_restarted_target() -> None:
    """Guards against preferring the stale list to the target's report."""
    membership = targets.TargetMembership(5.0)
    membership.list_read(listed(LIVE), 0.0)
    membership.load_reported('t', world.LoadReport(0, 0, 4, 'a'), 0.0)
    membership.list_read(listed(LEAVING), 1.0)
    assert not membership.usable(1.0)
    membership.load_reported('t', world.LoadReport(0, 0, 4, 'a'), 2.0)
    assert not membership.usable(2.0)
    membership.load_reported('t', world.LoadReport(0, 0, 4, 'b'), 3.0)
    assert membership.usable(3.0)


def test_only_silent_targets_are_polled() -> None:
    """Guards against polling targets whose responses report their load."""
    membership = targets.TargetMembership(5.0)
    membership.list_read(listed(LIVE), 0.0)
    assert len(membership.due_polls(0.0, 8)) == 1
    assert not membership.due_polls(4.9, 8)
    membership.load_reported('t', world.LoadReport(0, 0, 4), 4.0)
    assert not membership.due_polls(8.9, 8)
    assert len(membership.due_polls(9.0, 8)) == 1


def test_targets_outside_the_subset_are_not_polled() -> None:
    """Guards against every host polling all targets of the fleet."""
    membership = targets.TargetMembership(5.0)
    membership.list_read(listed(LIVE), 0.0)
    assert not membership.due_polls(0.0, 8, ())
    assert not membership.due_polls(0.0, 8, ('not listed yet',))
    found = membership.due_polls(0.0, 8, ('t', 'not listed yet'))
    assert [target.target_id for target in found] == ['t']
    assert not membership.due_polls(4.9, 8, ('t',))


def test_leaving_report_of_a_replaced_incarnation_is_ignored() -> None:
    """Guards against excluding a target because of an outdated report.

    Also guards against a late live report that revokes a valid one.
    """
    membership = targets.TargetMembership(5.0)
    membership.list_read(listed(LIVE), 0.0)
    report = messages.LeavingTarget('t', 'a')
    membership.peer_reported_leaving(report, 0.0)
    membership.load_reported('t', world.LoadReport(0, 0, 4, 'a'), 4.0)
    assert not membership.usable(4.0)
    membership.load_reported('t', world.LoadReport(0, 0, 4, 'b'), 5.0)
    membership.peer_reported_leaving(report, 6.0)
    assert membership.usable(6.0)
