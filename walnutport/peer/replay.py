"""Rejects replayed messages and those of an earlier incarnation.

The high bits of an incarnation are the wall clock time of the process start,
so a later one is higher unless the clock was set back. A lower incarnation
therefore replaces the current one only after the current one has been silent
for ``TAKEOVER_SILENCE_S``.
"""

import collections
import dataclasses
import enum

from walnutport.peer import messages

__all__ = [
    'TAKEOVER_SILENCE_S',
    'IncarnationTracker',
    'ReplayGuard',
    'CheckResult',
    'new_incarnation',
]

TAKEOVER_SILENCE_S = 10.0
_WINDOW_MESSAGES = 256
_MAX_SENDERS = 4_096
_MAX_RETIRED_INCARNATIONS = 8
_RANDOM_BITS = 16


class CheckResult(enum.StrEnum):
    """Result of the check of a message."""

    FRESH = 'fresh'
    REPEATED = 'repeated'
    OLD_INCARNATION = 'old_incarnation'


@dataclasses.dataclass(slots=True)
class IncarnationTracker:
    """Tracks the current incarnation of one host.

    :param last_heard: time of the last message of the current incarnation.
    :param retired: the latest incarnations that a higher one has replaced.
    """

    current: int
    last_heard: float
    retired: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(
            maxlen=_MAX_RETIRED_INCARNATIONS
        )
    )

    def admit(self, incarnation: int, now: float) -> bool:
        """Return whether an incarnation is valid, and make it the current one.

        An incarnation that a higher one has replaced stays invalid while it is
        among ``retired``.
        """
        if incarnation == self.current:
            return True
        if incarnation in self.retired:
            return False
        if incarnation > self.current:
            self.retired.append(self.current)
        elif now - self.last_heard < TAKEOVER_SILENCE_S:
            return False
        # A higher incarnation that a lower one has replaced is not retired:
        # it may be the running process, resumed after a pause.
        self.current = incarnation
        return True


@dataclasses.dataclass(slots=True)
class _Sender:
    """State of a sender.

    :param highest: highest sequence number received.
    :param seen_bits: bit ``i`` is set if ``highest - i`` was received.
    """

    tracker: IncarnationTracker
    highest: int = -1
    seen_bits: int = 0


class ReplayGuard:
    """Checks messages against a window of sequence numbers for each sender.

    Messages may arrive out of order within the window, as a message that is
    sent over a new connection may arrive before one on the old connection.
    """

    def __init__(self) -> None:
        self._senders_by_host: collections.OrderedDict[str, _Sender] = (
            collections.OrderedDict()
        )

    def check(
        self, origin: messages.PeerOrigin, sequence: int, now: float
    ) -> CheckResult:
        """Check whether a message is new, and record it."""
        sender = self._senders_by_host.get(origin.host_id)
        if sender is None:
            sender = _Sender(IncarnationTracker(origin.incarnation, now))
            self._senders_by_host[origin.host_id] = sender
            if len(self._senders_by_host) > _MAX_SENDERS:
                self._senders_by_host.popitem(last=False)
        previous = sender.tracker.current
        if not sender.tracker.admit(origin.incarnation, now):
            return CheckResult.OLD_INCARNATION
        if previous != origin.incarnation:
            sender.highest, sender.seen_bits = -1, 0
        self._senders_by_host.move_to_end(origin.host_id)
        if not _mark_seen(sender, sequence):
            return CheckResult.REPEATED
        sender.tracker.last_heard = now
        return CheckResult.FRESH


def new_incarnation(wall_s: float, random_bits: int) -> int:
    """Return the incarnation of a process that starts now.

    :param wall_s: Unix time in seconds.
    :param random_bits: random number that distinguishes processes that start
        in the same millisecond.
    """
    low = random_bits & ((1 << _RANDOM_BITS) - 1)
    return (int(wall_s * 1000) << _RANDOM_BITS) | low


def _mark_seen(sender: _Sender, sequence: int) -> bool:
    if sequence > sender.highest:
        shift = min(sequence - sender.highest, _WINDOW_MESSAGES)
        sender.seen_bits = ((sender.seen_bits << shift) | 1) & (
            (1 << _WINDOW_MESSAGES) - 1
        )
        sender.highest = sequence
        return True
    age = sender.highest - sequence
    if age >= _WINDOW_MESSAGES or sender.seen_bits >> age & 1:
        return False
    sender.seen_bits |= 1 << age
    return True
