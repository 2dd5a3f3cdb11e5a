"""Records with which targets announce themselves to the platform stand-in."""

import collections
from collections.abc import Callable
import time

from twisted.internet import reactor

from standins import platform_config

__all__ = ['TargetRecords', 'start_of']

# How often a cold target writes its entry again.
_ENTRY_INTERVAL_S = 1.2


class TargetRecords:
    """Writes the records of targets, also while they are cold.

    :param settings: settings of the stand-in.
    :param append: appends a record with a target's id as its key.
    """

    def __init__(
        self,
        settings: platform_config.PlatformSettings,
        append: Callable[[str, object], None],
    ) -> None:
        self._ip = settings.ip
        self._append = append
        self.cold_until_by_target: dict[str, float] = {}
        # Entries that each target has written.
        self._entries_by_target: collections.Counter[str] = (
            collections.Counter(
                {
                    plan.target_id: settings.first_sequence - 1
                    for plan in settings.targets
                    if plan.target_id not in settings.unregistered
                }
            )
        )

    def write(
        self, plan: platform_config.TargetPlan, state: str, starts: int = 1
    ) -> None:
        """Append the record with which a target announces itself.

        :param starts: how often the target was started.
        """
        record = {
            'service': plan.service,
            'address': (f'{self._ip}:{plan.announced_port or plan.port}'),
            'zone': plan.data_centre,
            'version': plan.version,
            'slots': plan.slots,
            'state': state,
            'coldMs': round(self.cold_left_s(plan.target_id) * 1000),
            'sequence': self.next_sequence(plan.target_id),
            'born': start_of(starts),
        }
        self._append(plan.target_id, record)

    def next_sequence(self, target_id: str) -> int:
        """Count another record of a target."""
        self._entries_by_target[target_id] += 1
        return self._entries_by_target[target_id]

    def cold_left_s(self, target_id: str) -> float:
        """Return how long a target stays cold, 0 if it is not."""
        until = self.cold_until_by_target.get(target_id, 0.0)
        return max(0.0, until - time.monotonic())

    def make_cold(
        self,
        plan: platform_config.TargetPlan,
        cold_s: float,
        starts: int = 1,
    ) -> None:
        """Let a target be cold, and write its entries until it is warm."""
        until = time.monotonic() + cold_s
        self.cold_until_by_target[plan.target_id] = until
        self._write_cold_record(plan, until, starts)

    def _write_cold_record(
        self, plan: platform_config.TargetPlan, until: float, starts: int
    ) -> None:
        if self.cold_until_by_target.get(plan.target_id) != until:
            # It has become cold again, or has crashed.
            return
        self.write(plan, 'ready', starts)
        left_s = self.cold_left_s(plan.target_id)
        if left_s:
            reactor.callLater(
                min(_ENTRY_INTERVAL_S, left_s + 0.01),
                self._write_cold_record,
                plan,
                until,
                starts,
            )


def start_of(starts: int) -> int:
    """Return the Unix millisecond at which a target was started.

    :param starts: how often it was started, by now.
    """
    return 1_700_000_000_000 + starts
