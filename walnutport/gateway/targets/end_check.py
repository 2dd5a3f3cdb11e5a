"""Checks whether a response that only its close has ended is whole.

A target that crashes between two events, or between two packets of a body,
ends the channel as it does after a whole response. Its next run may answer at
once, at the same address, under the same id or a new one. The response is
whole only if the run that has sent it lives on.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import time

from walnutport import exceptions
from walnutport.gateway.state import target_confirmation
from walnutport.gateway.targets import run_reports
from walnutport.world import registrations

__all__ = ['EndCheck']


class EndCheck:
    """Asks a target, or the store, whether the same run still answers.

    :param answers: returns whether a target answers on a new connection.
    :param states_start: returns whether the targets of a service report the
        start of their process.
    :param targets: returns the registered targets by id.
    """

    def __init__(
        self,
        log,
        reports: run_reports.RunReports,
        answers: Callable[
            [registrations.RegisteredTarget], Coroutine[object, object, bool]
        ],
        confirmation: target_confirmation.TargetConfirmation,
        states_start: Callable[[str], bool],
        targets: Callable[[], Mapping[str, registrations.RegisteredTarget]],
    ) -> None:
        self._log = log
        self._reports = reports
        self._answers = answers
        self._confirmation = confirmation
        self._states_start = states_start
        self._targets = targets

    async def is_complete(
        self,
        target: registrations.RegisteredTarget,
        expected_start: int,
        request_id: str,
    ) -> bool:
        """Return whether the run that has sent a response lives on.

        Asked after the end of the response. A target that is silent for longer
        than its limit counts as gone.

        :param expected_start: start of the process, in Unix milliseconds, as
            known before the request was sent; 0 if it is unknown.
        :param request_id: request that depends on it, for the log.
        """
        is_complete, source = await self._check(target, expected_start)
        self._log.routine(
            'end_checked',
            id=request_id,
            target=target.target_id,
            complete=is_complete,
            source=source,
        )
        return is_complete

    async def _check(
        self, target: registrations.RegisteredTarget, expected_start: int
    ) -> tuple[bool, str]:
        """Return the result, and what it is based on."""
        if self._states_start(target.service):
            try:
                report = await self._reports.fetch(target)
            except exceptions.ChannelError:
                return False, 'silence'
            except exceptions.WireError:
                # It answers, and may be another run.
                report = run_reports.RunReport(
                    run_reports.ReportStatus.MISSING
                )
            if report.status is run_reports.ReportStatus.ANOTHER:
                return False, 'target'
            if report.start is not None and expected_start:
                return report.start == expected_start, 'target'
        elif not await self._answers(target):
            return False, 'silence'
        is_confirmed = await self._confirmation.confirm(time.monotonic())
        source = 'store' if is_confirmed else 'registry'
        return not self._is_replaced(target), source

    def _is_replaced(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether a later run is registered under the id or address."""
        targets = self._targets()
        found = targets.get(target.target_id)
        if found is not None and (
            found.incarnation_key != target.incarnation_key
        ):
            return True
        return any(
            other.address == target.address
            and other.target_id != target.target_id
            # Without starts, an earlier target may have left its entry.
            and (found is None or other.incarnation > target.incarnation)
            for other in targets.values()
        )
