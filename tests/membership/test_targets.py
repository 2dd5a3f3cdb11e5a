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
    """A target that leaves and restarts; messages are late or repeated.

    Guards against new work for a target after any source said that its
    present incarnation is leaving, and against a target that stays shut out
    after its new incarnation reported live.
    """

    def __init__(self) -> None:
        super().__init__()
        self.members = targets.TargetMembership(5.0)
        self.now = 0.0
        self.incarnation = 1
        self.leaving = False
        self.reports: list[tuple[float, world.LoadReport]] = []
        self.news: float | None = None
        self.words: list[messages.LeavingTarget] = []
        self.list_state = LIVE
        self.told = False
        self.members.list_read(listed(LIVE), 0.0)

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
    def peer_hears_it(self) -> None:
        if self.leaving:
            word = messages.LeavingTarget('t', str(self.incarnation))
            self.words.append(word)

    @stateful.rule()
    def target_restarts(self) -> None:
        """Restart; reports under way may still arrive."""
        self.now += 0.25
        self.incarnation += 1
        self.leaving = False
        self.told = False
        self.news = None

    @stateful.precondition(lambda self: self.reports)
    @stateful.rule(index=st.integers(0, 5), repeat=st.booleans())
    def deliver_report(self, index: int, repeat: bool) -> None:
        index %= len(self.reports)
        made, report = self.reports[index]
        if not repeat:
            del self.reports[index]
        # A report takes less than the time to confirm, or the host was
        # paused and reads it together with news of the later incarnation.
        news = self.now if self.news is None else self.news
        if self.now - made <= 1.5 or self.now - news <= 1.5:
            self.hear(report)

    def hear(self, report: world.LoadReport) -> None:
        self.members.load_reported('t', report, self.now)
        if report.incarnation == str(self.incarnation):
            self.told = self.told or report.state is LEAVING
            self.news = self.now if self.news is None else self.news

    @stateful.precondition(lambda self: self.words)
    @stateful.rule(index=st.integers(0, 5))
    def deliver_word(self, index: int) -> None:
        word = self.words[index % len(self.words)]
        self.members.peer_reported_leaving(word, self.now)
        if word.incarnation == str(self.incarnation):
            self.told = True
            self.news = self.now if self.news is None else self.news

    @stateful.rule()
    def late_report_after_restart(self) -> None:
        """A report of the old incarnation comes after news of the new one."""
        self.leaving = False
        self.make_report()
        self.target_restarts()
        self.leaving = True
        if self.incarnation % 2:
            self.make_report()
            self.deliver_report(len(self.reports) - 1, False)
        else:
            self.peer_hears_it()
            self.deliver_word(len(self.words) - 1)
        self.deliver_report(len(self.reports) - 1, False)

    @stateful.rule(state=st.sampled_from([LIVE, LEAVING]))
    def read_list(self, state: world.TargetState) -> None:
        self.list_state = state
        self.members.list_read(listed(state), self.now)

    @stateful.rule(seconds=st.sampled_from([0.125, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.invariant()
    def nothing_new_once_told(self) -> None:
        if self.told:
            assert not self.members.usable(self.now)

    @stateful.rule()
    def pause_that_swaps_two_reports(self) -> None:
        """The resumed host reads the later incarnation's report first."""
        self.target_restarts()
        old = self.report()
        self.target_restarts()
        self.leaving = True
        self.now += 3.0
        self.hear(self.report())
        self.hear(old)

    @stateful.rule()
    def incarnation_retired_by_mistake_comes_back(self) -> None:
        """Guards against a live target shut out by swapped reports."""
        self.target_restarts()
        old = self.report()
        self.target_restarts()
        self.hear(self.report())
        self.hear(old)
        self.read_list(LIVE)
        for _ in range(2):
            self.now += 5.0
            self.hear(self.report())
        assert self.members.usable(self.now)
        known = self.members.leaving_reports(0.0)
        assert str(self.incarnation) not in {
            item.incarnation for item in known
        }
        self.leaving = True
        self.hear(self.report())

    @stateful.rule()
    def new_incarnation_is_used_in_the_end(self) -> None:
        """Let everything that is under way arrive, then report live."""
        self.target_restarts()
        self.reports.clear()
        for word in self.words:
            self.members.peer_reported_leaving(word, self.now)
        self.read_list(LIVE)
        self.hear(self.report())
        self.now += 2.0
        self.hear(self.report())
        assert self.members.usable(self.now)


TestTargets = TargetsMachine.TestCase
TestTargets.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30
)


def test_a_list_that_lags_does_not_shut_out_a_restarted_target() -> None:
    """Guards against the list going before the target's own report."""
    members = targets.TargetMembership(5.0)
    members.list_read(listed(LIVE), 0.0)
    members.load_reported('t', world.LoadReport(0, 0, 4, 'a'), 0.0)
    members.list_read(listed(LEAVING), 1.0)
    assert not members.usable(1.0)
    members.load_reported('t', world.LoadReport(0, 0, 4, 'a'), 2.0)
    assert not members.usable(2.0)
    members.load_reported('t', world.LoadReport(0, 0, 4, 'b'), 3.0)
    assert members.usable(3.0)


def test_only_silent_targets_are_polled() -> None:
    """Guards against polls of targets whose answers carry their load."""
    members = targets.TargetMembership(5.0)
    members.list_read(listed(LIVE), 0.0)
    assert len(members.due_polls(0.0, 8)) == 1
    assert not members.due_polls(4.9, 8)
    members.load_reported('t', world.LoadReport(0, 0, 4), 4.0)
    assert not members.due_polls(8.9, 8)
    assert len(members.due_polls(9.0, 8)) == 1


def test_targets_outside_the_subset_are_not_polled() -> None:
    """Guards against polls of the whole fleet from every host."""
    members = targets.TargetMembership(5.0)
    members.list_read(listed(LIVE), 0.0)
    assert not members.due_polls(0.0, 8, ())
    assert not members.due_polls(0.0, 8, ('not listed yet',))
    found = members.due_polls(0.0, 8, ('t', 'not listed yet'))
    assert [target.target_id for target in found] == ['t']
    assert not members.due_polls(4.9, 8, ('t',))


def test_a_word_about_a_replaced_incarnation_is_dropped() -> None:
    """Guards against old words that shut a target out, or a late "live"."""
    members = targets.TargetMembership(5.0)
    members.list_read(listed(LIVE), 0.0)
    word = messages.LeavingTarget('t', 'a')
    members.peer_reported_leaving(word, 0.0)
    members.load_reported('t', world.LoadReport(0, 0, 4, 'a'), 4.0)
    assert not members.usable(4.0)
    members.load_reported('t', world.LoadReport(0, 0, 4, 'b'), 5.0)
    members.peer_reported_leaving(word, 6.0)
    assert members.usable(6.0)
