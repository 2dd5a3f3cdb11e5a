"""Crashes of targets that speak against a key, as hosts exchange them."""

from collections.abc import Iterable
import dataclasses
import itertools
from typing import TypeVar

__all__ = ['MAX_DEATHS', 'CrashEvidence', 'death_id', 'least_grave']

# Limits the size of an entry; a few uncleared deaths already settle its state.
MAX_DEATHS = 32
# Bounds the time to find an entry that a full table drops.
MAX_COMPARED = 500

Key = TypeVar('Key')


def death_id(target_id: str, incarnation: str) -> str:
    """Return the id of a target's death, which is the same on every host."""
    return f'{target_id}/{incarnation}'


@dataclasses.dataclass(slots=True)
class CrashEvidence:
    """Deaths during which a key was in flight, and those cleared since.

    Reports may arrive late, repeatedly or in any order. Each cleared death is
    among the deaths. Only cleared deaths are dropped for lack of room.

    :param updated_at: when the last death became known or was cleared.
    :param deaths: ids of the deaths, each with the time at which it happened
        as far as this host knows.
    :param cleared: ids of the deaths that a later success cleared.
    """

    updated_at: float
    deaths: dict[str, float] = dataclasses.field(default_factory=dict)
    cleared: dict[str, None] = dataclasses.field(default_factory=dict)

    def uncleared_count(self) -> int:
        """Return the number of deaths that no success has cleared."""
        return len(self.deaths) - len(self.cleared)

    def uncleared_deaths(self) -> tuple[str, ...]:
        """Return the ids of the deaths that no success has cleared."""
        return tuple(sorted(self.deaths.keys() - self.cleared.keys()))

    def last_death_at(self) -> float:
        """Return when the last uncleared death happened, 0 without one."""
        return max(
            (
                died_at
                for death, died_at in self.deaths.items()
                if death not in self.cleared
            ),
            default=0.0,
        )

    def cleared_among(self, deaths: Iterable[str]) -> tuple[str, ...]:
        """Return those of some deaths that a success has cleared."""
        return tuple(death for death in deaths if death in self.cleared)

    def add_death(self, death: str, died_at: float, told_at: float) -> bool:
        """Record a death, unless there are as many that count already.

        If one that counts were dropped for it, that one would be new again,
        and hosts would pass both on to each other without end.

        :param told_at: when it became known in the fleet.
        :returns: whether it was recorded and is new.
        """
        if death in self.deaths:
            return False
        if self.uncleared_count() >= MAX_DEATHS:
            self.updated_at = max(self.updated_at, told_at)
            return False
        self.deaths[death] = died_at
        self._changed(told_at)
        return True

    def clear(self, death: str, told_at: float) -> bool:
        """Record that a death is cleared, also one that becomes known later.

        :param told_at: when the clear became known in the fleet.
        :returns: whether the death was known, and not cleared yet.
        """
        if death in self.cleared:
            return False
        is_known = death in self.deaths
        self.deaths.setdefault(death, told_at)
        self.cleared[death] = None
        self._changed(told_at)
        return is_known

    def _changed(self, told_at: float) -> None:
        self.updated_at = max(self.updated_at, told_at)
        while len(self.deaths) > MAX_DEATHS:
            # Only cleared deaths, since the others determine the state.
            oldest = next(iter(self.cleared))
            del self.deaths[oldest]
            del self.cleared[oldest]


def least_grave(evidence_by_key: Iterable[tuple[Key, CrashEvidence]]) -> Key:
    """Return the key with the fewest uncleared deaths, or the first such key.

    :param evidence_by_key: keys with their evidence; only the first
        ``MAX_COMPARED`` are compared.
    :raises ValueError: if there is no key.
    """
    found: list[tuple[int, Key]] = []
    for key, evidence in itertools.islice(evidence_by_key, MAX_COMPARED):
        count = evidence.uncleared_count()
        if not found or count < found[0][0]:
            found = [(count, key)]
        if not count:
            break
    if not found:
        raise ValueError('no evidence')
    return found[0][1]
