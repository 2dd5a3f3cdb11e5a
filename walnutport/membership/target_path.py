"""Tells a host that is cut off from all targets from targets that are down.

Covers a host that callers, peers and the store still reach while it reaches no
target: connections are refused, or hang, or old ones live on while new ones
fail, or an intermediary accepts them and then resets them or is silent. A
failure alone says nothing, as the target may be down. The host then asks a
sample of other targets, spread over the services: it is cut off if none
answers. Only an answer proves a path, and only from the time at which its
connection was opened.
"""

from collections.abc import Iterable
import random

from walnutport.world import registrations

__all__ = ['MIN_SAMPLE_SIZE', 'TargetPath']

# Targets to ask to find out whether this host is cut off. They are of
# several services, as those of one may all be down at the same time.
SAMPLE_SIZE = 4
# A sample of fewer targets does not show that the host is cut off.
MIN_SAMPLE_SIZE = 2
# No check is made this soon after a connection was opened that has brought an
# answer.
TRUST_S = 0.3
# Requests that wait for this long, while no target answers any request, are a
# reason for a check. An answer of an engine may take longer.
MAX_SILENCE_S = 0.5


class TargetPath:
    """Whether this host reaches any target.

    Times are seconds of a monotonic clock, passed in as ``now``.

    :param rng: chooses the targets of a sample.
    :ivar is_cut: whether the host reaches no target.
    :ivar changed_at: when that has changed last.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._answered_at = float('-inf')
        self.is_cut = False
        self.changed_at = float('-inf')

    def needs_check(self, now: float) -> bool:
        """Return whether it is unclear if the host reaches any target."""
        return not self.is_cut and now - self._answered_at >= TRUST_S

    def is_silent(self, waiting_since: float, now: float) -> bool:
        """Return whether silence of all targets is a reason for a check.

        :param waiting_since: when the first request was sent that no answer
            has followed; 0 if none.
        """
        return (
            waiting_since > 0
            and now - waiting_since >= MAX_SILENCE_S
            and self.needs_check(now)
        )

    def answered_since(self, at: float) -> bool:
        """Return whether an answer came on a connection opened since then."""
        return self._answered_at >= at

    def sample(
        self,
        targets: Iterable[registrations.RegisteredTarget],
        avoid: str = '',
    ) -> list[registrations.RegisteredTarget]:
        """Return targets to ask, of as many services as possible.

        :param avoid: id of the target that failed.
        """
        by_service: dict[str, list[registrations.RegisteredTarget]] = {}
        for target in targets:
            if target.target_id != avoid and not target.draining:
                by_service.setdefault(target.service, []).append(target)
        groups = list(by_service.values())
        for group in groups:
            self._rng.shuffle(group)
        self._rng.shuffle(groups)
        chosen: list[registrations.RegisteredTarget] = []
        while groups and len(chosen) < SAMPLE_SIZE:
            for group in groups:
                chosen.append(group.pop())
            groups = [group for group in groups if group]
        return chosen[:SAMPLE_SIZE]

    def answered(self, opened_at: float, now: float) -> bool:
        """Record an answer of a target.

        Connections from before a cut may live on, so that their answers do
        not end it.

        :param opened_at: when its connection was opened.
        :returns: whether it shows that the host is no longer cut off.
        """
        self._answered_at = max(self._answered_at, opened_at)
        if self.is_cut and opened_at < self.changed_at:
            return False
        return self._set_cut(False, now)

    def sample_failed(self, size: int, started_at: float, now: float) -> bool:
        """Record that no target of a sample has answered.

        :param started_at: when they were asked.
        :returns: whether it shows that the host is cut off now.
        """
        if size < MIN_SAMPLE_SIZE or self.answered_since(started_at):
            return False
        return self._set_cut(True, now)

    def _set_cut(self, is_cut: bool, now: float) -> bool:
        is_changed = is_cut is not self.is_cut
        if is_changed:
            self.is_cut = is_cut
            self.changed_at = now
        return is_changed
