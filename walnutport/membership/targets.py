"""Targets that may get new work, from the list, load reports and peers.

A target is leaving if the list, the target itself or a peer reports it. Such
a report applies to one incarnation: a late live report of that incarnation
does not revoke it, and a new incarnation that reports live clears it.
Incarnations of targets are not ordered, and a host that resumes after a pause
may read the reports of two of them in the wrong order. A leaving report is
therefore dropped only when the target has reported live under another
incarnation at least ``_CONFIRM_DELAY_S`` later; further leaving reports of the
dropped incarnation are then outdated and ignored.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from walnutport.peer import messages
from walnutport import world

__all__ = ['TargetMembership']

# Limits the leaving and the retired incarnations of one target.
_MAX_INCARNATIONS = 8
# Validity of a peer's leaving report that names no incarnation.
_ANONYMOUS_REPORT_S = 10.0
# A load report that was in transit when a peer reported another incarnation
# does not show which of the two is the later one; a report after this delay
# does.
_CONFIRM_DELAY_S = 2.0
_RETENTION_S = 60.0


@dataclasses.dataclass(slots=True)
class _TargetRecord:
    """Information about one target.

    :param current: incarnation that reported last, None before the first.
    :param leaving: incarnations that are leaving, with the time at which
        this host learned it.
    :param leaving_until: end of validity of a peer's leaving report without
        an incarnation.
    :param list_incarnation: incarnation that is leaving according to the
        list, empty if none had reported yet; None if the list says live.
    :param retired: incarnations that were leaving and were then replaced by
        another one; leaving reports of them are outdated.
    """

    target: world.Target | None = None
    current: str | None = None
    heard_at: float | None = None
    polled_at: float | None = None
    unlisted_since: float = 0.0
    leaving_until: float = 0.0
    list_incarnation: str | None = None
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)
    retired: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_INCARNATIONS)
    )


class TargetMembership:
    """The targets and which of them may get new work.

    :param poll_s: silence in seconds after which a target is polled.
    """

    def __init__(self, poll_s: float) -> None:
        self._poll_s = poll_s
        self._records_by_id: dict[str, _TargetRecord] = {}

    def list_read(
        self, targets_by_id: Mapping[str, world.Target], now: float
    ) -> None:
        """Update the targets from the list; unlisted ones get no work."""
        for target_id, target in targets_by_id.items():
            record = self._get_or_add(target_id)
            record.target = target
            if target.state is world.TargetState.LIVE:
                record.list_incarnation = None
            elif record.list_incarnation is None:
                record.list_incarnation = record.current or ''
        for target_id, record in list(self._records_by_id.items()):
            if target_id in targets_by_id:
                continue
            if record.target is not None:
                record.target, record.unlisted_since = None, now
            if now - record.unlisted_since >= _RETENTION_S:
                del self._records_by_id[target_id]

    def load_reported(
        self,
        target_id: str,
        load: world.LoadReport,
        now: float,
        age_s: float = 0.0,
    ) -> None:
        """Process a load report of the target itself.

        :param age_s: upper bound of the age of the report in seconds.
        """
        record = self._records_by_id.get(target_id)
        if record is None:
            return
        record.heard_at = max(now - age_s, record.heard_at or -math.inf)
        if record.current != load.incarnation:
            record.current = load.incarnation
            # The list may refer to the first incarnation that reports.
            if record.list_incarnation == '':
                record.list_incarnation = load.incarnation
        if load.state is world.TargetState.LEAVING:
            record.leaving.setdefault(load.incarnation, now)
            return
        record.leaving.pop('', None)
        for incarnation, learned_at in list(record.leaving.items()):
            confirmed = now - learned_at >= _CONFIRM_DELAY_S
            if incarnation != load.incarnation and confirmed:
                del record.leaving[incarnation]
                record.retired.append(incarnation)

    def peer_reported_leaving(
        self, report: messages.LeavingTarget, now: float
    ) -> None:
        """Process a peer's report that a target is leaving."""
        record = self._records_by_id.get(report.target_id)
        if record is None or report.incarnation in record.retired:
            return
        if not report.incarnation:
            record.leaving_until = now + _ANONYMOUS_REPORT_S
            return
        record.leaving.setdefault(report.incarnation, now)
        while len(record.leaving) > _MAX_INCARNATIONS:
            record.leaving.pop(next(iter(record.leaving)))

    def is_leaving(self, target_id: str, now: float) -> bool:
        """Return whether a target must not get new work."""
        record = self._records_by_id.get(target_id)
        return record is None or _is_leaving(record, now)

    def silent_s(self, target_id: str, now: float) -> float:
        """Return the time since a target's own last report, or infinity."""
        record = self._records_by_id.get(target_id)
        if record is None or record.heard_at is None:
            return math.inf
        return now - record.heard_at

    def usable(self, now: float) -> dict[str, world.Target]:
        """Return the listed targets that may get new work."""
        return {
            target_id: record.target
            for target_id, record in self._records_by_id.items()
            if record.target is not None and not _is_leaving(record, now)
        }

    def leaving_reports(
        self, learned_after: float
    ) -> tuple[messages.LeavingTarget, ...]:
        """Return the leaving reports to send to peers.

        :param learned_after: time before which reports are left out.
        """
        return tuple(
            messages.LeavingTarget(target_id, incarnation)
            for target_id, record in self._records_by_id.items()
            if record.target is not None
            for incarnation, learned_at in record.leaving.items()
            if learned_at >= learned_after
        )

    def due_polls(
        self, now: float, limit: int, used_ids: Iterable[str] | None = None
    ) -> tuple[world.Target, ...]:
        """Return up to ``limit`` targets to poll and mark them as polled.

        :param used_ids: targets that this host may use; None means all. In a
            large fleet a host uses a small part of the targets, and polling
            the others would exceed its budget for control traffic.
        """
        due: list[world.Target] = []
        for target_id in self._records_by_id if used_ids is None else used_ids:
            if len(due) >= limit:
                break
            record = self._records_by_id.get(target_id)
            if record is None or record.target is None:
                continue
            last_contact = max(
                (
                    time
                    for time in (record.heard_at, record.polled_at)
                    if time is not None
                ),
                default=None,
            )
            if last_contact is None or now - last_contact >= self._poll_s:
                record.polled_at = now
                due.append(record.target)
        return tuple(due)

    def _get_or_add(self, target_id: str) -> _TargetRecord:
        record = self._records_by_id.get(target_id)
        if record is None:
            record = _TargetRecord()
            self._records_by_id[target_id] = record
        return record


def _is_leaving(record: _TargetRecord, now: float) -> bool:
    if now < record.leaving_until:
        return True
    if record.current is None:
        return bool(record.leaving) or record.list_incarnation is not None
    if record.list_incarnation in ('', record.current):
        return True
    # A peer may have learned of a leaving incarnation before this host did.
    return bool(record.leaving)
