"""Refuses repeated messages and those of an earlier incarnation.

Incarnations start with the wall clock of the process start, so a later one
is higher unless the clock was set back. A lower one is therefore taken over
only after the known one has been silent for ``SILENCE_S``.
"""

import collections
import dataclasses
import enum

from walnutport.peer import messages

__all__ = [
    'SILENCE_S',
    'IncarnationTracker',
    'ReplayGuard',
    'Verdict',
    'new_incarnation',
]

SILENCE_S = 10.0
_WINDOW = 256
_MAX_SENDERS = 4_096
_MAX_RETIRED = 8
_RANDOM_BITS = 16


class Verdict(enum.StrEnum):
    """What the guard says about a message."""

    FRESH = 'fresh'
    REPEATED = 'repeated'
    OLD_INCARNATION = 'old_incarnation'


@dataclasses.dataclass(slots=True)
class IncarnationTracker:
    """Knows the current incarnation of one host.

    :param heard: time of the last message of the current incarnation.
    """

    current: int
    last_heard: float
    retired: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_RETIRED)
    )

    def admit(self, incarnation: int, now: float) -> bool:
        """Return whether messages of an incarnation are valid now."""
        if incarnation == self.current:
            return True
        if incarnation in self.retired:
            return False
        if incarnation > self.current:
            self.retired.append(self.current)
        elif now - self.last_heard < SILENCE_S:
            return False
        # A higher incarnation that a lower one replaced stays admissible:
        # it may be the true one, resumed after a pause.
        self.current = incarnation
        return True


@dataclasses.dataclass(slots=True)
class _Sender:
    """Sequence numbers seen; bit ``i`` stands for ``highest - i``."""

    gate: IncarnationTracker
    highest: int = -1
    seen: int = 0


class ReplayGuard:
    """Keeps a window of sequence numbers for each sender.

    Messages may overtake each other within the window, as a message that is
    sent over a new connection may arrive before one of the old connection.
    """

    def __init__(self) -> None:
        self._senders_by_host: collections.OrderedDict[str, _Sender] = (
            collections.OrderedDict()
        )

    def check(
        self, origin: messages.PeerOrigin, sequence: int, now: float
    ) -> Verdict:
        """Return whether a message is new, and remember it."""
        sender = self._senders_by_host.get(origin.host_id)
        if sender is None:
            sender = _Sender(IncarnationTracker(origin.incarnation, now))
            self._senders_by_host[origin.host_id] = sender
            if len(self._senders_by_host) > _MAX_SENDERS:
                self._senders_by_host.popitem(last=False)
        known = sender.gate.current
        if not sender.gate.admit(origin.incarnation, now):
            return Verdict.OLD_INCARNATION
        if known != origin.incarnation:
            sender.highest, sender.seen = -1, 0
        self._senders_by_host.move_to_end(origin.host_id)
        if not _mark(sender, sequence):
            return Verdict.REPEATED
        sender.gate.last_heard = now
        return Verdict.FRESH


def new_incarnation(wall_s: float, random_bits: int) -> int:
    """Return the incarnation of a process that starts now.

    :param wall_s: Unix time in seconds.
    :param random_bits: random number that tells processes apart which start
        in the same millisecond.
    """
    low = random_bits & ((1 << _RANDOM_BITS) - 1)
    return (int(wall_s * 1000) << _RANDOM_BITS) | low


def _mark(sender: _Sender, sequence: int) -> bool:
    if sequence > sender.highest:
        shift = min(sequence - sender.highest, _WINDOW)
        sender.seen = ((sender.seen << shift) | 1) & ((1 << _WINDOW) - 1)
        sender.highest = sequence
        return True
    age = sender.highest - sequence
    if age >= _WINDOW or sender.seen >> age & 1:
        return False
    sender.seen |= 1 << age
    return True
