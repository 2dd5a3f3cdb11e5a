"""Targets: which may get new work, as list, targets and peers tell.

A target is leaving if the list, the target itself or a peer says so. What a
target said of one incarnation holds for that incarnation: a late report that
it is live takes nothing back, and a new incarnation that reports live clears
it. Incarnations of targets have no order, and a host that resumes after a
pause may read the reports of two of them in the wrong order. So a word about
an incarnation is dropped only once the target has reported live under another
one ``_CONFIRM_S`` after it; later words about it are then out of date.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from walnutport.peer import messages
from walnutport import world

__all__ = ['TargetMembership']

_MAX_RETIRED = 8
_UNNAMED_WORD_S = 10.0
# A report that was under way when a peer spoke of another incarnation says
# nothing about which of the two is the later one; a report after this time
# does.
_CONFIRM_S = 2.0
_FORGET_S = 60.0


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known of one target.

    :param current: incarnation that reported last, None before the first.
    :param leaving: incarnations that are leaving, with the time at which
        this host learned it.
    :param unnamed_until: end of a word of a peer without an incarnation.
    :param list_incarnation: incarnation that the list meant when it said
        that the target is leaving; None if the list says it is live.
    """

    target: world.Target | None = None
    current: str | None = None
    heard: float | None = None
    polled: float | None = None
    unlisted_since: float = 0.0
    unnamed_until: float = 0.0
    list_incarnation: str | None = None
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)
    retired: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_RETIRED)
    )


class TargetMembership:
    """Known targets by id.

    :param poll_s: silence after which a target is polled in seconds.
    """

    def __init__(self, poll_s: float) -> None:
        self._poll_s = poll_s
        self._known_by_id: dict[str, _Known] = {}

    def list_read(
        self, targets_by_id: Mapping[str, world.Target], now: float
    ) -> None:
        """Take note of the list; a target that is not in it gets nothing."""
        for target_id, target in targets_by_id.items():
            known = self._known(target_id)
            known.target = target
            if target.state is world.TargetState.LIVE:
                known.list_incarnation = None
            elif known.list_incarnation is None:
                known.list_incarnation = known.current or ''
        for target_id, known in list(self._known_by_id.items()):
            if target_id in targets_by_id:
                continue
            if known.target is not None:
                known.target, known.unlisted_since = None, now
            if now - known.unlisted_since >= _FORGET_S:
                del self._known_by_id[target_id]

    def load_reported(
        self,
        target_id: str,
        load: world.LoadReport,
        now: float,
        age_s: float = 0.0,
    ) -> None:
        """Take note of a report of the target itself.

        :param age_s: time since the target made the report at most.
        """
        known = self._known_by_id.get(target_id)
        if known is None:
            return
        known.heard = max(now - age_s, known.heard or -math.inf)
        if known.current != load.incarnation:
            known.current = load.incarnation
            # The list may have meant the incarnation that is first heard.
            if known.list_incarnation == '':
                known.list_incarnation = load.incarnation
        if load.state is world.TargetState.LEAVING:
            known.leaving.setdefault(load.incarnation, now)
            return
        known.leaving.pop('', None)
        for incarnation, learned in list(known.leaving.items()):
            confirmed = now - learned >= _CONFIRM_S
            if incarnation != load.incarnation and confirmed:
                del known.leaving[incarnation]
                known.retired.append(incarnation)

    def peer_reported_leaving(
        self, word: messages.LeavingTarget, now: float
    ) -> None:
        """Take note of what a peer says of a target."""
        known = self._known_by_id.get(word.target_id)
        if known is None or word.incarnation in known.retired:
            return
        if not word.incarnation:
            known.unnamed_until = now + _UNNAMED_WORD_S
            return
        known.leaving.setdefault(word.incarnation, now)
        while len(known.leaving) > _MAX_RETIRED:
            known.leaving.pop(next(iter(known.leaving)))

    def is_leaving(self, target_id: str, now: float) -> bool:
        """Return whether a target must not get new work."""
        known = self._known_by_id.get(target_id)
        return known is None or _is_leaving(known, now)

    def silent_s(self, target_id: str, now: float) -> float:
        """Return the time since the last report of a target itself."""
        known = self._known_by_id.get(target_id)
        if known is None or known.heard is None:
            return math.inf
        return now - known.heard

    def usable(self, now: float) -> dict[str, world.Target]:
        """Return the listed targets that may get new work."""
        return {
            target_id: known.target
            for target_id, known in self._known_by_id.items()
            if known.target is not None and not _is_leaving(known, now)
        }

    def leaving_reports(
        self, learned_after: float
    ) -> tuple[messages.LeavingTarget, ...]:
        """Return what to tell the peers.

        :param learned_after: leaves out what was learned earlier.
        """
        return tuple(
            messages.LeavingTarget(target_id, incarnation)
            for target_id, known in self._known_by_id.items()
            if known.target is not None
            for incarnation, learned in known.leaving.items()
            if learned >= learned_after
        )

    def due_polls(
        self, now: float, most: int, used_ids: Iterable[str] | None = None
    ) -> tuple[world.Target, ...]:
        """Return up to ``most`` targets to poll and count them as polled.

        :param used_ids: targets that this host may use; None stands for all.
            In a large fleet a host uses a small part of the targets, and the
            polls of the others would take more than its control budget.
        """
        due: list[world.Target] = []
        for target_id in self._known_by_id if used_ids is None else used_ids:
            if len(due) >= most:
                break
            known = self._known_by_id.get(target_id)
            if known is None or known.target is None:
                continue
            last = max(
                (at for at in (known.heard, known.polled) if at is not None),
                default=None,
            )
            if last is None or now - last >= self._poll_s:
                known.polled = now
                due.append(known.target)
        return tuple(due)

    def _known(self, target_id: str) -> _Known:
        known = self._known_by_id.get(target_id)
        if known is None:
            known = _Known()
            self._known_by_id[target_id] = known
        return known


def _is_leaving(known: _Known, now: float) -> bool:
    if now < known.unnamed_until:
        return True
    if known.current is None:
        return bool(known.leaving) or known.list_incarnation is not None
    if known.list_incarnation in ('', known.current):
        return True
    # Another incarnation than the current one was named by a peer that heard
    # of it before this host did.
    return bool(known.leaving)
