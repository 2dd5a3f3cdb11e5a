"""Sets of names that remember for a while what was removed."""

from collections.abc import Iterable
from collections.abc import Mapping

__all__ = ['RecentSets']


class RecentSets:
    """Sets of names by key, with the members that were removed lately."""

    def __init__(self) -> None:
        self._present: dict[str, frozenset[str]] = {}
        self._removed_at: dict[str, dict[str, float]] = {}
        # The same for names that were seeded.
        self._seeded_at: dict[str, dict[str, float]] = {}

    def keys(self) -> Iterable[str]:
        """Return the keys whose sets are not empty at present."""
        return self._present.keys()

    def seed(
        self, names_by_key: Mapping[str, frozenset[str]], now: float
    ) -> None:
        """Add names as if they were removed now."""
        for key, names in names_by_key.items():
            if names:
                self._seeded_at.setdefault(key, {}).update(
                    dict.fromkeys(names, now)
                )

    def members(
        self, now: float, retention_s: float, is_observed: bool
    ) -> dict[str, frozenset[str]]:
        """Return all sets that are not empty, with what was removed lately.

        :param is_observed: whether to leave out names that were only seeded.
        """
        keys = {*self._present, *self._removed_at}
        if not is_observed:
            keys.update(self._seeded_at)
        found = {
            key: self._members(key, now, retention_s, is_observed)
            for key in keys
        }
        return {key: names for key, names in found.items() if names}

    def update(
        self,
        present: dict[str, frozenset[str]],
        now: float,
        retention_s: float,
    ) -> None:
        """Replace all sets.

        :param retention_s: time for which removed members are kept.
        """
        for key, before in self._present.items():
            for name in before - present.get(key, frozenset()):
                self._removed_at.setdefault(key, {})[name] = now
        self._present = present
        for removed_at in (self._removed_at, self._seeded_at):
            for key, removed in list(removed_at.items()):
                for name, at in list(removed.items()):
                    if now - at >= retention_s:
                        del removed[name]
                if not removed:
                    del removed_at[key]

    def note(
        self, key: str, name: str, now: float, retention_s: float
    ) -> bool:
        """Add a name that was in use elsewhere, as if it were removed now.

        :param retention_s: time for which removed members count.
        :returns: whether it did not count before.
        """
        if name in self._present.get(key, frozenset()):
            return False
        removed_at = self._removed_at.setdefault(key, {})
        has_counted = name in removed_at and (
            now - removed_at[name] < retention_s
        )
        removed_at[name] = now
        return not has_counted

    def sole_member(
        self, key: str, now: float, retention_s: float
    ) -> str | None:
        """Return the only member of a set, None if there are none or several.

        Those that were removed lately count.
        """
        members = self._members(key, now, retention_s)
        return next(iter(members)) if len(members) == 1 else None

    def _members(
        self,
        key: str,
        now: float,
        retention_s: float,
        is_observed: bool = False,
    ) -> frozenset[str]:
        members = self._present.get(key, frozenset())
        removed = [self._removed_at.get(key)]
        if not is_observed:
            removed.append(self._seeded_at.get(key))
        for removed_at_by_name in removed:
            if removed_at_by_name:
                members = members.union(
                    name
                    for name, removed_at in removed_at_by_name.items()
                    if now - removed_at < retention_s
                )
        return members
