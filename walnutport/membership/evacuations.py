"""Evacuations of data centres, from records of the store and from peers.

Covers an operator that evacuates and withdraws in quick succession, reads that
are stale, repeated or out of order, and a store that returns from an older
copy while an evacuation is in force.
"""

from collections.abc import Iterable
import dataclasses
import math

from walnutport.membership import registry
from walnutport.world import evacuations

__all__ = ['EvacuationChange', 'Evacuations']

# Offset of an evacuation of an earlier era in the updates for peers.
HELD_OVER_OFFSET = -1


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Start or end of an evacuation.

    :param offset: offset of the record that caused it; -1 if none of the
        present era did.
    :param age_s: seconds since the record was first read by any host.
    """

    data_centre: str
    is_evacuated: bool
    offset: int
    era: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    """Latest record of a data centre in the present era.

    :param first_read_at: when any host has first read it.
    """

    is_evacuated: bool
    offset: int
    first_read_at: float


class Evacuations:
    """Evacuated data centres.

    Of the records of a data centre, the one with the highest offset of the
    latest era is valid. When the store returns from an older copy, the
    evacuations in force are held over until the operator has written them
    again, whatever the copy says.

    Times are seconds of a monotonic clock, passed in as ``now``.

    :ivar era: era of the store that the offsets belong to.
    :ivar known_since: when this host learned of each evacuation in force, by
        data centre.
    """

    def __init__(self) -> None:
        self.era = 0
        self.known_since: dict[str, float] = {}
        self._known_by_name: dict[str, _Known] = {}
        # End of the grace period of each evacuation of an earlier era.
        self._held_over_until: dict[str, float] = {}
        # Data centres whose evacuation of an earlier era has ended.
        self._lapsed: set[str] = set()
        # Offset up to which the records were read as a list, and the keys of
        # that list whose newest record is unusable.
        self._listed_end = 0
        self._unusable: set[str] = set()
        self._confirmed_at = -math.inf

    @property
    def names(self) -> list[str]:
        """Names of the evacuated data centres."""
        return sorted(self.known_since)

    @property
    def end(self) -> int:
        """Offset after the last change in the present era; 0 without any."""
        return max(
            (known.offset + 1 for known in self._known_by_name.values()),
            default=0,
        )

    @property
    def has_records(self) -> bool:
        """Whether any record is known, or an evacuation is held over."""
        return bool(self._known_by_name or self._held_over_until)

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the targets of a data centre get no new work."""
        return data_centre in self.known_since

    def offset(self, data_centre: str) -> int:
        """Return the offset of the latest record of a data centre.

        :returns: -1 if there is none in the present era.
        """
        known = self._known_by_name.get(data_centre)
        return HELD_OVER_OFFSET if known is None else known.offset

    def enter_era(self, era: int, now: float) -> None:
        """Hold over what is in force, as the store returned from a copy."""
        if era <= self.era:
            return
        is_first = self.era == 0
        self.era = era
        if is_first:
            # The first era that this host sees replaces no other.
            return
        until = now + registry.ERA_GRACE_S
        self._held_over_until = dict.fromkeys(self.known_since, until)
        self._known_by_name.clear()
        self._lapsed.clear()
        self._unusable.clear()
        self._listed_end = 0
        self._confirmed_at = -math.inf

    def apply(
        self, records: Iterable[evacuations.EvacuationRecord], now: float
    ) -> list[EvacuationChange]:
        """Apply records of the present era in any order.

        :returns: the evacuations that have started or ended.
        """
        changes: list[EvacuationChange] = []
        for record in records:
            if record.offset < 0:
                self._hold_over(record, now)
            else:
                self._apply_record(record, now)
            self._update(record.data_centre, now, changes)
        return changes

    def apply_list(
        self,
        records: Iterable[evacuations.EvacuationRecord],
        unusable: Iterable[str],
        end: int,
        now: float,
    ) -> list[EvacuationChange]:
        """Apply a list with the newest record of every key.

        Removed keys may be missing in it.

        :param unusable: data centres whose newest record is unusable, so that
            their evacuation was not removed.
        :param end: offset up to which the list is complete.
        """
        records = list(records)
        changes = self.apply(records, now)
        if end < self._listed_end:
            return changes
        self._listed_end = end
        self._unusable = set(unusable)
        listed = {record.data_centre for record in records} | self._unusable
        for name, known in list(self._known_by_name.items()):
            if known.is_evacuated and known.offset < end:
                if name not in listed:
                    self._withdraw_unlisted(name, now)
                    self._update(name, now, changes)
        return changes

    def confirm(self, now: float) -> None:
        """Record that all is known that the store has at this time."""
        self._confirmed_at = now

    def expire(self, now: float) -> list[EvacuationChange]:
        """End the evacuations of an earlier era after the grace period.

        The timers of a host that was paused fire before it reads what the
        store and its peers have sent meanwhile, so that the state must have
        been confirmed since.
        """
        changes: list[EvacuationChange] = []
        for name, until in list(self._held_over_until.items()):
            if now >= until and self._confirmed_at >= until:
                del self._held_over_until[name]
                self._lapsed.add(name)
                self._update(name, now, changes)
        return changes

    def records(self, now: float) -> tuple[evacuations.EvacuationRecord, ...]:
        """Return what a peer has to know."""
        held_over = [
            evacuations.EvacuationRecord(name, True, HELD_OVER_OFFSET)
            for name in self._held_over_until
        ]
        return (
            *held_over,
            *(
                evacuations.EvacuationRecord(
                    name,
                    known.is_evacuated,
                    known.offset,
                    round(max(0.0, now - known.first_read_at), 3),
                )
                for name, known in self._known_by_name.items()
            ),
        )

    def _apply_record(
        self, record: evacuations.EvacuationRecord, now: float
    ) -> None:
        name = record.data_centre
        known = self._known_by_name.get(name)
        if known is not None and known.offset >= record.offset:
            return
        if (
            known is None
            and record.offset < self._listed_end
            and name not in self._unusable
        ):
            # The list would have shown it if it had not been removed; the
            # record is from a host that lags behind.
            self._withdraw_unlisted(name, now)
            return
        self._known_by_name[name] = _Known(
            record.is_evacuated, record.offset, now - record.age_s
        )
        if record.is_evacuated:
            self._held_over_until.pop(name, None)

    def _hold_over(
        self, record: evacuations.EvacuationRecord, now: float
    ) -> None:
        """Adopt an evacuation of an earlier era from a peer, but once only.

        Otherwise hosts could prolong it for each other.
        """
        name = record.data_centre
        if (
            record.is_evacuated
            and name not in self._lapsed
            and name not in self._held_over_until
            and not self.is_evacuated(name)
        ):
            self._held_over_until[name] = now + registry.ERA_GRACE_S

    def _withdraw_unlisted(self, name: str, now: float) -> None:
        self._known_by_name[name] = _Known(False, self._listed_end - 1, now)

    def _update(
        self, name: str, now: float, changes: list[EvacuationChange]
    ) -> None:
        """Record whether a data centre is evacuated now."""
        known = self._known_by_name.get(name)
        is_evacuated = name in self._held_over_until or (
            known is not None and known.is_evacuated
        )
        if is_evacuated == self.is_evacuated(name):
            return
        if is_evacuated:
            self.known_since[name] = now
        else:
            del self.known_since[name]
        changes.append(
            EvacuationChange(
                name,
                is_evacuated,
                self.offset(name),
                self.era,
                0.0
                if known is None
                else round(max(0.0, now - known.first_read_at), 3),
            )
        )
