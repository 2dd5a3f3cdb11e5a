"""Decides whether a target may get new work.

Covers a target that is about to end, by its entry or by its own statement, and
a data centre that the operator evacuates while callers go on sending. This is
asked at the selection of a target and again directly before the bytes of a
request are written, as each of these may change while a connection opens.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import enum

from walnutport.world import registrations

__all__ = ['Eligibility', 'Reason']


class Reason(enum.Enum):
    """Why a target gets no new work."""

    #: It has no entry in the store any more. It goes on for a while, whether
    #: it was draining before or not.
    GONE = 'gone'
    #: Its entry in the store marks it as draining.
    DRAINING = 'draining'
    #: It has stated that it is leaving.
    LEAVING = 'leaving'
    #: The operator evacuates its data centre.
    EVACUATED = 'evacuated'


class Eligibility:
    """Which targets may get new work, as this host knows.

    :param find_target: returns the registered target with an id, or None. Its
        entry counts, as that of a caller may be older. Without it, all targets
        count as registered.
    :param is_leaving: returns whether a target has stated that it is leaving.
    :param evacuated: names of the evacuated data centres; followed when it
        changes.
    """

    def __init__(
        self,
        find_target: Callable[[str], registrations.RegisteredTarget | None]
        | None = None,
        is_leaving: Callable[
            [registrations.RegisteredTarget], bool
        ] = lambda target: False,
        evacuated: Collection[str] = (),
    ) -> None:
        self._find_target = find_target
        self._is_leaving = is_leaving
        self._evacuated = evacuated

    def reason(self, target: registrations.RegisteredTarget) -> Reason | None:
        """Return why a target may not get new work, None if it may."""
        if self._find_target is None:
            return self._reason_by_entry(target)
        current = self._find_target(target.target_id)
        if current is not None and current.draining:
            return Reason.DRAINING
        reason = self._reason_by_entry(target)
        if reason is None and current is None:
            return Reason.GONE
        return reason

    def accepts(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether a target may get new work."""
        return self.reason(target) is None

    def is_evacuated(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether only an evacuation keeps new work from a target."""
        return self.reason(target) is Reason.EVACUATED

    def is_shutting_down(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether a target is about to end."""
        return self.reason(target) in (Reason.DRAINING, Reason.LEAVING)

    def eligible(
        self, targets: Iterable[registrations.RegisteredTarget]
    ) -> list[registrations.RegisteredTarget]:
        """Return the targets that may get new work.

        A selection takes at most 40 us for 100 targets, of which this may take
        a part only, so that nothing is looked up.

        :param targets: current entries of the targets.
        """
        reason = self._reason_by_entry
        return [target for target in targets if reason(target) is None]

    def all_evacuated(
        self, targets: Iterable[registrations.RegisteredTarget]
    ) -> bool:
        """Return whether no target is left, and evacuations have taken some.

        :param targets: current entries of those that could serve a request.
        """
        if not self._evacuated:
            return False
        has_evacuated = False
        for target in targets:
            reason = self._reason_by_entry(target)
            if reason is None:
                return False
            has_evacuated |= reason is Reason.EVACUATED
        return has_evacuated

    def _reason_by_entry(
        self, target: registrations.RegisteredTarget
    ) -> Reason | None:
        """Return the reason for a target whose entry is the current one."""
        if target.draining:
            return Reason.DRAINING
        if self._is_leaving(target):
            return Reason.LEAVING
        if target.data_centre in self._evacuated:
            return Reason.EVACUATED
        return None
