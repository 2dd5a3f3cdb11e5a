"""Evaluates what targets state in their responses, and tells the peers."""

from collections.abc import Callable
import dataclasses
import math
import time

from walnutport.gateway.peers import peers
from walnutport.gateway.targets import cold_watch
from walnutport.http1 import channel_pool
from walnutport.peer import fleet_messages
from walnutport.routing import backpressure
from walnutport.world import registrations
from walnutport.world import requests

__all__ = ['TargetReports']

# Reports on targets that this host does not know yet are kept this long: it
# may have just started, or the peer has read a newer entry.
PENDING_REPORT_S = 5.0
MAX_PENDING_REPORTS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingReport:
    peer: str
    report: backpressure.TargetReport
    received_at: float


class TargetReports:
    """What targets have stated to this host, kept in sync with its peers.

    :param find_target: returns the registered target with an id, or None.
    :param cold: until when targets are cold.
    :ivar invalid_count: values of targets that were invalid.
    :ivar rejected_stream_count: responses that did not go on with a stream.
    """

    def __init__(
        self,
        log,
        mesh: peers.PeerMesh,
        pool: channel_pool.ChannelPool,
        target_backpressure: backpressure.TargetBackpressure,
        find_target: Callable[[str], registrations.RegisteredTarget | None],
        cold: cold_watch.ColdWatch,
    ) -> None:
        self._cold = cold
        self._log = log
        self._mesh = mesh
        self._pool = pool
        self._backpressure = target_backpressure
        self._find_target = find_target
        # Called with a target that states something else than before.
        self.on_change: Callable[[registrations.RegisteredTarget], None] = (
            lambda target: None
        )
        # Called with a target and the load that it has reported.
        self.on_load: Callable[
            [registrations.RegisteredTarget, requests.ResponseLoad, float],
            None,
        ] = lambda target, load, now: None
        self.invalid_count = 0
        self.rejected_stream_count = 0
        self._pending: list[_PendingReport] = []

    def response_received(
        self,
        target: registrations.RegisteredTarget,
        fields: requests.ResponseFields,
        status: int,
    ) -> None:
        """Evaluate the headers of a response.

        A response from another target at the same address counts for nothing.
        One without any mark of the target lifts no limit, as a faulty target
        may send bytes that are not its answer.
        """
        if status == 421:
            return
        if fields.problems:
            self.invalid_count += len(fields.problems)
            self._log.routine(
                'target_header_invalid',
                target=target.target_id,
                problems=list(fields.problems),
            )
        if fields.cold_s is not None:
            self._cold.response_received(
                target, fields.cold_s, fields.cold_problem
            )
        now = time.monotonic()
        self._record_load(target, fields, now)
        if fields.retry_after_s is not None:
            is_new = self._backpressure.hold(target, fields.retry_after_s, now)
            if is_new:
                self._log.notable(
                    'target_held_back',
                    target=target.target_id,
                    for_s=round(fields.retry_after_s, 3),
                )
            self.on_change(target)
        before = self._backpressure.rate_limit(target)
        is_marked = fields.sealed or fields.not_run or status == 200
        rate_limit = fields.rate_limit
        if rate_limit is None and (fields.problems or not is_marked):
            rate_limit = before
        was_leaving = self._backpressure.is_leaving(target)
        rejections_before = self._backpressure.rejection_limit(target)
        rejection_limit = fields.rejection_limit
        if rejection_limit is None and (fields.problems or not is_marked):
            rejection_limit = rejections_before
        if rejection_limit is not None and status == 503 and fields.not_run:
            self._backpressure.hold(
                target, backpressure.REJECTION_PAUSE_S, now
            )
        if self._backpressure.observe(
            target, rate_limit, fields.leaving, now, rejection_limit
        ):
            self._record_change(
                target, before, rejections_before, was_leaving, 'response'
            )

    def merge_report(
        self, name: str, message: fleet_messages.TargetReports
    ) -> None:
        """Merge what targets have stated to a peer.

        In a partial mesh, the hosts that are linked with this one may have no
        link to the peer, so reports that change something are passed on.
        """
        now = time.monotonic()
        self._merge(
            [_PendingReport(name, report, now) for report in message.reports]
        )

    def peer_joined(self, name: str) -> None:
        """Tell a peer, which may have just started, what targets state."""
        reports = self._backpressure.current_reports(time.monotonic())
        if reports:
            self._mesh.send(name, fleet_messages.TargetReports(tuple(reports)))

    def targets_changed(self) -> None:
        """Merge the reports on targets that have become known."""
        if self._pending:
            pending, self._pending = self._pending, []
            self._merge(pending)

    def tick(self) -> None:
        """Tell the peers what has changed, and note which holds ended."""
        now = time.monotonic()
        for target in self._backpressure.take_ended_holds(now):
            self._log.notable('target_hold_ended', target=target.target_id)
        reports = self._backpressure.take_reports(now)
        if reports:
            self._mesh.broadcast(fleet_messages.TargetReports(tuple(reports)))

    def is_leaving(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether a target has stated that it is leaving."""
        return self._backpressure.is_leaving(target)

    def held_until(self, target: registrations.RegisteredTarget) -> float:
        """Return when the time ends that a target has asked for."""
        return self._backpressure.held_until(target)

    def is_held(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether a target has asked for time that is not over."""
        return self.held_until(target) > time.monotonic()

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {'targets_held_back': self._backpressure.held_count}

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'target_headers_invalid_total': self.invalid_count,
            'stream_responses_rejected_total': self.rejected_stream_count,
            'targets_passed_over_total': self._backpressure.passed_over_count,
        }

    def min_interval_s(self, target: registrations.RegisteredTarget) -> float:
        """Return the time between requests of the only host that sends any.

        :returns: 0 for a target without a limit that is not cold.
        """
        return max(
            self._backpressure.min_interval_s(target),
            self._cold.stage_interval_s(target),
        )

    def connection_refused(
        self, target: registrations.RegisteredTarget
    ) -> None:
        """Record that a target has no process that listens."""
        self._cold.connection_refused(target)

    def describe(
        self, target: registrations.RegisteredTarget, now: float
    ) -> dict[str, float | bool | None]:
        """Return what a target has stated, as shown to operators."""
        if self._backpressure.is_leaving(target):
            return {'leaving': True}
        rate_limit = self._backpressure.rate_limit(target)
        held_s = self._backpressure.held_until(target) - now
        if rate_limit is None and held_s <= 0:
            return {}
        delay_s = self._backpressure.delay_s(target, now)
        return {
            'limit_per_s': rate_limit,
            'held_s': round(max(0.0, held_s), 2),
            'next_send_s': None if math.isinf(delay_s) else round(delay_s, 2),
        }

    def _record_load(
        self,
        target: registrations.RegisteredTarget,
        fields: requests.ResponseFields,
        now: float,
    ) -> None:
        if fields.slowness_problem:
            self.invalid_count += 1
            self._log.routine(
                'target_header_invalid',
                target=target.target_id,
                problems=[fields.slowness_problem],
            )
        if fields.load is not None:
            self.on_load(target, fields.load, now)

    def _merge(self, received: list[_PendingReport]) -> None:
        now = time.monotonic()
        changed = []
        for item in received:
            waited_s = now - item.received_at
            if waited_s >= PENDING_REPORT_S:
                continue
            target = self._find_target(item.report.target_id)
            if target is None:
                self._pending.append(item)
                continue
            before = self._backpressure.rate_limit(target)
            rejections_before = self._backpressure.rejection_limit(target)
            was_leaving = self._backpressure.is_leaving(target)
            report = dataclasses.replace(
                item.report, age_s=item.report.age_s + waited_s
            )
            if self._backpressure.merge(target, report, now):
                self._record_change(
                    target,
                    before,
                    rejections_before,
                    was_leaving,
                    f'peer {item.peer}',
                )
                changed.append(report)
        del self._pending[:-MAX_PENDING_REPORTS]
        if changed and self._mesh.is_partial:
            self._mesh.broadcast(fleet_messages.TargetReports(tuple(changed)))

    def _record_change(
        self,
        target: registrations.RegisteredTarget,
        before: float | None,
        rejections_before: float | None,
        was_leaving: bool,
        source: str,
    ) -> None:
        rate_limit = self._backpressure.rate_limit(target)
        if rate_limit != before:
            self._log.notable(
                'target_limit',
                target=target.target_id,
                requests_per_s=rate_limit,
                before=before,
                source=source,
            )
        rejection_limit = self._backpressure.rejection_limit(target)
        if rejection_limit != rejections_before:
            self._log.notable(
                'target_brittle',
                target=target.target_id,
                rejections_per_s=rejection_limit,
                before=rejections_before,
                source=source,
            )
        if self._backpressure.is_leaving(target) and not was_leaving:
            self._log.notable(
                'target_leaving', target=target.target_id, source=source
            )
            self._pool.close_address(target.address)
        self.on_change(target)
