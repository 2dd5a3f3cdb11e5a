"""Finds out which run of a target a stream would begin or go on at.

A stream may go on only at the software version that began it, and targets do
not check this.
"""

from collections.abc import Callable
import dataclasses
import time

from walnutport.gateway.entry import calls
from walnutport.gateway.state import target_confirmation
from walnutport.gateway.targets import run_reports
from walnutport.http1 import client_channel
from walnutport.routing import target_runs
from walnutport.world import registrations

__all__ = ['RunCheck', 'RunDecision']

_Status = run_reports.ReportStatus


@dataclasses.dataclass(frozen=True, slots=True)
class RunDecision:
    """Whether a stream may be sent on a channel.

    :param binding: run to which the stream is bound; None if it may not be
        sent, or need not be bound.
    :param refusal: why it may not be sent, empty if it may.
    :param needs_channel: whether to ask again on a new channel, as this one
        has ended.
    """

    binding: target_runs.RunBinding | None = None
    refusal: str = ''
    needs_channel: bool = False


class RunCheck:
    """Binds streams to runs of targets.

    :param reports: asks targets for their start.
    :param confirmation: reads the entries from the store.
    :param find_target: returns the present entry of a target.
    :ivar unregistered_count: streams that were not sent to a target as its
        run was not registered.
    """

    def __init__(
        self,
        log,
        reports: run_reports.RunReports,
        confirmation: target_confirmation.TargetConfirmation,
        find_target: Callable[[str], registrations.RegisteredTarget | None],
    ) -> None:
        self._log = log
        self._reports = reports
        self._confirmation = confirmation
        self._find_target = find_target
        self._unregistered = target_runs.UnregisteredRuns()
        self.unregistered_count = 0

    async def check(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        channel: client_channel.ClientChannel,
        may_ask: bool = True,
    ) -> RunDecision:
        """Return whether a call may be sent, and the run to bind it to.

        A channel ends with the process at its other end, so what that process
        has reported there holds as long as the channel does.

        :param may_ask: whether the target may be asked for a report.
        """
        if not call.may_go_on_elsewhere:
            return RunDecision()
        report = run_reports.RunReport(_Status.MISSING)
        if may_ask:
            report = await self._reports.ask_on(channel, target)
        if report.status is _Status.ANOTHER:
            return RunDecision(refusal='another target has answered')
        if report.status is _Status.SILENT and not call.passed_over:
            # Another target may answer; if none does, the path is slow.
            return RunDecision(refusal='no report')
        if not channel.alive:
            return RunDecision(refusal='no report', needs_channel=True)
        binding = self._bind(report, target)
        if self._needs_read(call, target, report, binding):
            is_confirmed = await self._confirmation.confirm(time.monotonic())
            binding = self._bind(report, target)
            if binding is not None and binding.version is None:
                self._unregistered.read_ended(
                    target.target_id,
                    binding.incarnation,
                    is_confirmed,
                    time.monotonic(),
                )
        refusal = self._refusal(call, target, binding)
        if (
            binding is None
            or binding.version is None
            or call.origin is not None
        ):
            self._log.routine(
                'run_checked',
                id=call.request_id,
                target=target.target_id,
                incarnation=report.start,
                version=None if binding is None else binding.version,
                refusal=refusal,
            )
        return RunDecision(None if refusal else binding, refusal)

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'runs_unregistered_total': self.unregistered_count,
            **self._reports.totals(),
        }

    def _bind(
        self,
        report: run_reports.RunReport,
        target: registrations.RegisteredTarget,
    ) -> target_runs.RunBinding | None:
        if report.status is _Status.MISSING:
            return target_runs.UNKNOWN_RUN
        return target_runs.bind(
            report.start, target, self._find_target(target.target_id)
        )

    def _needs_read(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        report: run_reports.RunReport,
        binding: target_runs.RunBinding | None,
    ) -> bool:
        """Return whether the entries are to be read from the store."""
        if report.status is _Status.MISSING:
            return False
        if binding is None:
            return True
        if binding.version is None:
            return self._unregistered.is_read_due(
                target.target_id, binding.incarnation, time.monotonic()
            )
        return report.start is None and call.origin is not None

    def _refusal(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
        binding: target_runs.RunBinding | None,
    ) -> str:
        """Return why a call may not be sent, empty if it may."""
        if binding is None:
            return 'target has started again'
        if binding.version is not None:
            if call.origin_version in (None, binding.version):
                return ''
            return 'target runs another version'
        if binding is target_runs.UNKNOWN_RUN:
            # Nobody will be able to go on with this stream.
            return '' if call.origin is None else 'run is not known'
        now = time.monotonic()
        run = (target.target_id, binding.incarnation)
        if call.origin is None and (
            not self._unregistered.is_confirmed(*run, now)
            or self._unregistered.may_serve(*run, now)
        ):
            return ''
        self.unregistered_count += 1
        return 'target has not registered'
