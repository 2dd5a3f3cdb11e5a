"""Holds back copies of a content that no target has completed yet.

Without this, copies of a crashing request that arrive together end one target
each before the first death is noticed. Content that completed once runs
without bounds, so frequent lookups are not slowed down.
"""

import collections

__all__ = ['FirstRunLimiter', 'RunKey']

MAX_PROVEN = 10_000

RunKey = tuple[bytes, str]


class FirstRunLimiter:
    """At most one open run of each content and stage until one succeeds."""

    def __init__(self) -> None:
        self._open_by_key: dict[RunKey, int] = {}
        self._proven: collections.OrderedDict[RunKey, None] = (
            collections.OrderedDict()
        )

    def may_begin(self, key: RunKey) -> bool:
        """Return whether a run may begin now."""
        return key in self._proven or key not in self._open_by_key

    def begin(self, key: RunKey) -> None:
        """Count a run as open."""
        self._open_by_key[key] = self._open_by_key.get(key, 0) + 1

    def end(self, key: RunKey, ok: bool) -> None:
        """End a run; a success proves the content."""
        left = self._open_by_key.get(key, 0) - 1
        if left > 0:
            self._open_by_key[key] = left
        else:
            self._open_by_key.pop(key, None)
        if ok:
            self._proven[key] = None
            self._proven.move_to_end(key)
            if len(self._proven) > MAX_PROVEN:
                self._proven.popitem(last=False)
