"""Asks the targets themselves which run of them answers.

A target that starts again keeps its id and its address, and may serve before
its entry is in the store. Its report names the start of the process that has
written it.
"""

import dataclasses
import enum
import time

from walnutport import exceptions
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import messages
from walnutport.platform import headers
from walnutport.platform import target_probe
from walnutport.world import registrations

__all__ = ['ReportStatus', 'RunReport', 'RunReports']

# As for the store.
REPORT_LIMIT_S = 0.3
# As for a connection, which the process has to accept as well.
CHANNEL_REPORT_LIMIT_S = 0.6
# A target that has never reported its start counts as one that does not after
# so many attempts, at least so long after each other.
MAX_MISSING_REPORTS = 3
MISSING_INTERVAL_S = 1.0


class ReportStatus(enum.Enum):
    """What has come in place of a report, or with it."""

    #: The process has reported its start.
    TOLD = 'told'
    #: The target does not report a start.
    NEVER = 'never'
    #: No report came; the target may be starting, or may have ended.
    MISSING = 'missing'
    #: Nothing came within the limit, so that others are asked.
    SILENT = 'silent'
    #: Another target has answered at the address.
    ANOTHER = 'another'


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """What a target has reported of itself.

    :param start: start of its process in Unix milliseconds; None unless it
        has told it.
    """

    status: ReportStatus
    start: int | None = None


@dataclasses.dataclass(slots=True)
class _ReportHistory:
    """Whether a target reports.

    :param missing: attempts without a report, while there was none.
    :param missing_at: when the last of them was counted.
    """

    has_reported: bool = False
    missing: int = 0
    missing_at: float = 0.0


class RunReports:
    """Reports of targets.

    :param pool: channels to targets.
    :ivar asked_count: reports that targets were asked for.
    :ivar missing_count: those of them that did not come.
    """

    def __init__(self, reactor, log, pool: channel_pool.ChannelPool) -> None:
        self._reactor = reactor
        self._log = log
        self._pool = pool
        self._history_by_id: dict[str, _ReportHistory] = {}
        self.asked_count = 0
        self.missing_count = 0

    async def fetch(self, target: registrations.RegisteredTarget) -> RunReport:
        """Return what a target reports.

        :raises ChannelError: if no target answers in time.
        :raises WireError: if it answers, and not with a report.
        """
        self.asked_count += 1
        response = await channel_pool.fetch(
            self._reactor,
            self._pool,
            target.address,
            target_probe.encode_report_request(
                target.address, target.target_id
            ),
            REPORT_LIMIT_S,
        )
        if target_probe.is_of_another_target(response):
            return RunReport(ReportStatus.ANOTHER)
        if response.status != 200 and not target_probe.is_refusal(response):
            raise exceptions.ChannelError(
                f'status {response.status} of an intermediary', written=True
            )
        return _decoded(response)

    async def ask_on(
        self,
        channel: client_channel.ClientChannel,
        target: registrations.RegisteredTarget,
    ) -> RunReport:
        """Return what the process at the other end of a channel reports.

        The channel can be used afterwards if it is still alive.
        """
        if channel.run is not None:
            return RunReport(ReportStatus.TOLD, channel.run)
        history = self._history_by_id.setdefault(
            target.target_id, _ReportHistory()
        )
        if not target.incarnation or history.missing >= MAX_MISSING_REPORTS:
            return RunReport(ReportStatus.NEVER)
        self.asked_count += 1
        is_new = not channel.request_count
        try:
            response = await channel_pool.fetch_on(
                self._reactor,
                channel,
                target_probe.encode_report_request(
                    target.address, target.target_id
                ),
                CHANNEL_REPORT_LIMIT_S,
                channel_pool.ResponseCollector(
                    # A response that names a request is that to an earlier
                    # one.
                    lambda head: not headers.response_request_id(head)
                ),
            )
            if target_probe.is_of_another_target(response):
                return RunReport(ReportStatus.ANOTHER)
            report = _decoded(response)
        except (exceptions.ChannelError, exceptions.WireError) as problem:
            self._report_missing(target, problem)
            self._count_missing(history)
            is_silent = (
                isinstance(problem, exceptions.ChannelError)
                and problem.timed_out
            )
            return RunReport(
                ReportStatus.SILENT if is_silent else ReportStatus.MISSING
            )
        channel.run = report.start
        history.has_reported |= report.start is not None
        history.missing = 0 if history.has_reported else MAX_MISSING_REPORTS
        if is_new:
            # A report cannot be taken for the response to a request, so that
            # this response need not name its own.
            channel.request_count = 0
        return report

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that was removed."""
        self._history_by_id.pop(target_id, None)

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'target_reports_asked_total': self.asked_count,
            'target_reports_missing_total': self.missing_count,
        }

    def _count_missing(self, history: _ReportHistory) -> None:
        now = time.monotonic()
        if (
            not history.has_reported
            and now - history.missing_at >= MISSING_INTERVAL_S
        ):
            history.missing += 1
            history.missing_at = now

    def _report_missing(
        self, target: registrations.RegisteredTarget, problem: Exception
    ) -> None:
        self.missing_count += 1
        self._log.notable(
            'target_report_missing',
            target=target.target_id,
            problem=str(problem),
        )


def _decoded(response: messages.Response) -> RunReport:
    """Return the report in a response.

    :raises WireError: if it is none.
    """
    start = target_probe.decode_report(response)
    if start is None:
        return RunReport(ReportStatus.NEVER)
    return RunReport(ReportStatus.TOLD, start)
