"""What targets state in their responses about the requests they accept.

Covers a target that is overloaded, or about to be, while the choice among
targets still gives it its usual share of the load. It states how many requests
a second it accepts from all hosts together. Hosts do not agree on each
request: a few hosts, chosen alike on every host, share the limit evenly and
space their requests, and the other hosts send none.

Covers a target that falls over if it has to turn many requests away. Hosts
send it no more than it can run: they share its slots, and leave it alone for a
while after a rejection.

Covers a target that turns a request away and asks this host for time: nothing
is sent until the time has passed, and then requests come back step by step.

Covers as well a target that is shutting down, while its entry in the store
does not show that yet, or shows an older state again.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from walnutport.membership import ranking
from walnutport.world import registrations

__all__ = ['TargetBackpressure', 'TargetReport']

# Requests a second that are sent to a target with a lower limit. Without any
# request, nobody would learn that the limit is lifted.
MIN_RATE = 0.25
# Delays up to this are differences of rounding.
TIME_RESOLUTION_S = 1e-6
# Limits are passed on to other hosts at most once in this time.
MIN_REPORT_INTERVAL_S = 0.5
# A host sends nothing for this long to a target that may fall over and has
# just turned a request of this host away. Its limit is for each second.
REJECTION_PAUSE_S = 1.0
# After the time that a target has asked for, this host spaces its requests to
# it for a while.
RESUME_S = 1.0
RESUME_INTERVAL_S = 0.1
# A target that leaves is remembered this long after its entry was removed, as
# a store that returns from an older copy lists it again.
LEAVING_RETENTION_S = 120.0

#: Key that identifies one lifetime of a target.
_LifetimeKey = tuple[str, int, tuple[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target has stated to some host.

    :param incarnation: start of the run of the target, in Unix milliseconds.
    :param rate_limit: requests a second for all hosts together; None if the
        target states no limit any more.
    :param leaving: whether the target is shutting down.
    :param age_s: seconds since the target stated it.
    :param rejection_limit: requests a second that it can turn away without
        falling over; None if it does not say so any more.
    """

    target_id: str
    incarnation: int
    rate_limit: float | None
    leaving: bool
    age_s: float
    rejection_limit: float | None = None


@dataclasses.dataclass(slots=True)
class _TargetState:
    """What one lifetime of a target has stated.

    :param next_send_at: earliest time of the next request of this host.
    :param held_until: end of the time that the target has asked for.
    :param next_recommendation_at: earliest time at which this host, as the
        owner of a cell, recommends the target to a host again.
    """

    target: registrations.RegisteredTarget
    rate_limit: float | None = None
    rejection_limit: float | None = None
    observed_at: float = -math.inf
    next_send_at: float = 0.0
    held_until: float = -math.inf
    next_recommendation_at: float = 0.0
    must_report: bool = False
    next_report_at: float = 0.0


class TargetBackpressure:
    """What targets have stated, and when this host may send to them.

    Times are seconds of a monotonic clock, passed in as ``now``.

    :param own_name: name of this host.
    :param host_names: returns the names of all hosts that are up, including
        this one.
    :ivar passed_over_count: how often a target was not chosen because of what
        it states.
    """

    def __init__(
        self, own_name: str, host_names: Callable[[], Iterable[str]]
    ) -> None:
        self._own_name = own_name
        self._host_names = host_names
        self._state_by_id: dict[str, _TargetState] = {}
        # Lifetimes of targets that leave, and when they may be forgotten.
        self._leaving_until: dict[_LifetimeKey, float] = {}
        # Targets that have asked for time and whose hold was not taken by
        # ``take_ended_holds`` yet.
        self._held_ids: set[str] = set()
        self.passed_over_count = 0

    def observe(
        self,
        target: registrations.RegisteredTarget,
        rate_limit: float | None,
        leaving: bool,
        now: float,
        rejection_limit: float | None = None,
    ) -> bool:
        """Record what a target stated in a response to this host.

        A target that has stated once that it is leaving does not come back.

        :param rate_limit: None if the response states no limit.
        :param leaving: whether the response states that the target is leaving.
        :returns: whether something has changed.
        """
        if (
            rate_limit is None
            and rejection_limit is None
            and not leaving
            and self._current_state(target) is None
        ):
            return False
        state = self._state(target)
        changed = (state.rate_limit, state.rejection_limit) != (
            rate_limit,
            rejection_limit,
        )
        changed |= self._record_leaving(target, leaving)
        state.rate_limit = rate_limit
        state.rejection_limit = rejection_limit
        state.observed_at = now
        state.must_report = state.must_report or changed
        return changed

    def merge(
        self,
        target: registrations.RegisteredTarget,
        report: TargetReport,
        now: float,
    ) -> bool:
        """Record what a target stated to another host.

        The end of a limit is recorded as well if this host knows of none: a
        peer that has missed the end may still report the limit.

        :param target: the target as this host knows it; a report on another
            lifetime is ignored.
        :returns: whether something has changed.
        """
        if report.incarnation != target.incarnation:
            return False
        changed = self._record_leaving(target, report.leaving)
        state = self._state(target)
        observed_at = now - report.age_s
        if observed_at <= state.observed_at:
            return changed
        changed |= (state.rate_limit, state.rejection_limit) != (
            report.rate_limit,
            report.rejection_limit,
        )
        state.rate_limit = report.rate_limit
        state.rejection_limit = report.rejection_limit
        state.observed_at = observed_at
        return changed

    def hold(
        self,
        target: registrations.RegisteredTarget,
        retry_after_s: float,
        now: float,
    ) -> bool:
        """Record that a target asks this host for time.

        A later, shorter time does not cut an earlier one: the target may have
        sent both for requests that it turned away at the same time.

        :returns: whether the target was not held back from before.
        """
        state = self._state(target)
        is_new = state.held_until <= now
        state.held_until = max(state.held_until, now + retry_after_s)
        self._held_ids.add(target.target_id)
        return is_new

    def take_ended_holds(
        self, now: float
    ) -> list[registrations.RegisteredTarget]:
        """Return the targets whose time has passed since the last call."""
        ended = []
        for target_id in list(self._held_ids):
            state = self._state_by_id.get(target_id)
            if state is None or state.held_until <= now:
                self._held_ids.remove(target_id)
                if state is not None:
                    ended.append(state.target)
        return ended

    @property
    def held_count(self) -> int:
        """Number of targets that have asked this host for time."""
        return len(self._held_ids)

    def held_until(self, target: registrations.RegisteredTarget) -> float:
        """Return when the time ends that a target has asked for."""
        state = self._current_state(target)
        return -math.inf if state is None else state.held_until

    def take_reports(self, now: float) -> list[TargetReport]:
        """Return what has changed and peers should know."""
        reports = []
        for state in self._state_by_id.values():
            if state.must_report and now >= state.next_report_at:
                state.must_report = False
                state.next_report_at = now + MIN_REPORT_INTERVAL_S
                reports.append(
                    TargetReport(
                        state.target.target_id,
                        state.target.incarnation,
                        state.rate_limit,
                        self.is_leaving(state.target),
                        now - state.observed_at,
                        state.rejection_limit,
                    )
                )
        return reports

    def current_reports(self, now: float) -> list[TargetReport]:
        """Return all that a host should know that joins.

        This includes which targets state no limit any more.
        """
        reports = {
            (target_id, incarnation): TargetReport(
                target_id, incarnation, None, True, 0.0
            )
            for target_id, incarnation, _ in self._leaving_until
        }
        for state in self._state_by_id.values():
            target = state.target
            if state.observed_at > -math.inf:
                reports[target.target_id, target.incarnation] = TargetReport(
                    target.target_id,
                    target.incarnation,
                    state.rate_limit,
                    self.is_leaving(target),
                    now - state.observed_at,
                    state.rejection_limit,
                )
        return list(reports.values())

    def is_leaving(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether a target has stated that it is leaving."""
        # Mostly none is, and this is asked for each target of a selection.
        return (
            bool(self._leaving_until)
            and target.incarnation_key in self._leaving_until
        )

    def rate_limit(
        self, target: registrations.RegisteredTarget
    ) -> float | None:
        """Return the limit of a target, None without one."""
        state = self._current_state(target)
        return None if state is None else state.rate_limit

    def rejection_limit(
        self, target: registrations.RegisteredTarget
    ) -> float | None:
        """Return the rejections a second that a target bears, None if any."""
        state = self._current_state(target)
        return None if state is None else state.rejection_limit

    def has_room(
        self, target: registrations.RegisteredTarget, in_flight: int
    ) -> bool:
        """Return whether this host may have one more request in flight.

        Only a target that may fall over has its slots shared among the hosts.

        :param in_flight: requests that this host has in flight at the target.
        """
        if self.rejection_limit(target) is None:
            return True
        hosts = dict.fromkeys(self._host_names(), 1.0)
        ranked = ranking.rank_hosts(f'room/{target.target_id}', hosts)
        if self._own_name not in ranked:
            return False
        share, further = divmod(target.slots, len(ranked))
        if ranked.index(self._own_name) < further:
            share += 1
        return in_flight < share

    def min_interval_s(self, target: registrations.RegisteredTarget) -> float:
        """Return the time between requests that keeps the limit of a target.

        This is for a host that is the only sender; 0 without a limit.
        """
        rate_limit = self.rate_limit(target)
        return 0.0 if rate_limit is None else 1 / max(rate_limit, MIN_RATE)

    def delay_s(
        self, target: registrations.RegisteredTarget, now: float
    ) -> float:
        """Return the time until this host may send to a target.

        :returns: 0 if it may now, infinity if no host may, or others only.
        """
        if self.is_leaving(target):
            return math.inf
        state = self._current_state(target)
        if state is None:
            return 0.0
        if state.rate_limit is not None and (
            self._own_name not in self._senders(state)
        ):
            return math.inf
        delay_s = state.held_until - now
        if state.rate_limit is not None or delay_s > -RESUME_S:
            delay_s = max(delay_s, state.next_send_at - now)
        return delay_s if delay_s > TIME_RESOLUTION_S else 0.0

    def permitted(
        self,
        targets: Iterable[registrations.RegisteredTarget],
        now: float,
        in_flight: Callable[
            [registrations.RegisteredTarget], int
        ] = lambda target: 0,
    ) -> list[registrations.RegisteredTarget]:
        """Return the targets that this host may send to now.

        :param in_flight: returns the requests of this host at a target.
        """
        permitted = []
        for target in targets:
            if self.delay_s(target, now) > 0 or not self.has_room(
                target, in_flight(target)
            ):
                self.passed_over_count += 1
            else:
                permitted.append(target)
        return permitted

    def record_send(
        self, target: registrations.RegisteredTarget, now: float
    ) -> None:
        """Record that this host sends a request to a target."""
        state = self._current_state(target)
        if state is None:
            return
        interval_s = 0.0
        if state.rate_limit is not None:
            interval_s = self.min_interval_s(target) * len(
                self._senders(state)
            )
        if now - state.held_until < RESUME_S:
            interval_s = max(interval_s, RESUME_INTERVAL_S)
        if interval_s:
            # One unused turn is kept, as requests do not come evenly.
            state.next_send_at = (
                max(state.next_send_at, now - interval_s) + interval_s
            )

    def recommendable(
        self,
        targets: Iterable[registrations.RegisteredTarget],
        host_name: str,
        now: float,
    ) -> list[registrations.RegisteredTarget]:
        """Return the targets that a host may be told to send to.

        This is for the owner of a cell, which chooses for other hosts. The
        host itself decides when it sends.
        """
        recommendable = []
        for target in targets:
            if self.is_leaving(target):
                continue
            state = self._current_state(target)
            if (
                state is None
                or state.rate_limit is None
                or now >= state.next_recommendation_at
                and host_name in self._senders(state)
            ):
                recommendable.append(target)
        return recommendable

    def record_recommendation(
        self, target: registrations.RegisteredTarget, now: float
    ) -> None:
        """Record that a host was told to send to a target."""
        state = self._current_state(target)
        if state is not None:
            state.next_recommendation_at = now + self.min_interval_s(target)

    def forget(self, target_id: str, now: float) -> None:
        """Drop what is known of a removed target, but that it is leaving."""
        self._state_by_id.pop(target_id, None)
        for key, until in list(self._leaving_until.items()):
            if until < now:
                del self._leaving_until[key]
            elif key[0] == target_id:
                self._leaving_until[key] = min(
                    until, now + LEAVING_RETENTION_S
                )

    def _record_leaving(
        self, target: registrations.RegisteredTarget, leaving: bool
    ) -> bool:
        """Record that a target leaves; return whether that is new."""
        if not leaving or self.is_leaving(target):
            return False
        self._leaving_until[target.incarnation_key] = math.inf
        return True

    def _state(self, target: registrations.RegisteredTarget) -> _TargetState:
        """Return the state of a target's lifetime; create it if missing."""
        state = self._current_state(target)
        if state is None:
            state = _TargetState(target)
            self._state_by_id[target.target_id] = state
        return state

    def _current_state(
        self, target: registrations.RegisteredTarget
    ) -> _TargetState | None:
        state = self._state_by_id.get(target.target_id)
        if (
            state is None
            or state.target.incarnation_key != target.incarnation_key
        ):
            return None
        return state

    def _senders(self, state: _TargetState) -> list[str]:
        """Return the hosts that share the limit of a target.

        Each may send two requests at once, which counts when a limit is kept
        over some seconds; with this number, half of the limit more is enough.
        """
        hosts = dict.fromkeys(self._host_names(), 1.0)
        ranked = ranking.rank_hosts(f'limit/{state.target.target_id}', hosts)
        return ranked[: max(1, math.ceil((state.rate_limit or 0.0) / 2))]
