"""Limits concurrent runs of content that no target has completed yet.

Without this limit, copies of a crashing request that arrive together would
crash one target each before the first death is noticed. Content that was
completed once runs without a limit, so that frequent lookups are not delayed.
"""

import collections

__all__ = ['FirstRunLimiter', 'RunKey']

MAX_COMPLETED_KEYS = 10_000

RunKey = tuple[bytes, str]


class FirstRunLimiter:
    """Allows one open run of each content and stage until one succeeds."""

    def __init__(self) -> None:
        self._open_runs_by_key: dict[RunKey, int] = {}
        self._completed_keys: collections.OrderedDict[RunKey, None] = (
            collections.OrderedDict()
        )

    def may_begin(self, key: RunKey) -> bool:
        """Return whether a run of the content and stage may begin now."""
        return key in self._completed_keys or key not in self._open_runs_by_key

    def begin(self, key: RunKey) -> None:
        """Record the start of a run."""
        self._open_runs_by_key[key] = self._open_runs_by_key.get(key, 0) + 1

    def end(self, key: RunKey, ok: bool) -> None:
        """Record the end of a run; a success removes the limit."""
        open_runs = self._open_runs_by_key.get(key, 0) - 1
        if open_runs > 0:
            self._open_runs_by_key[key] = open_runs
        else:
            self._open_runs_by_key.pop(key, None)
        if ok:
            self._completed_keys[key] = None
            self._completed_keys.move_to_end(key)
            if len(self._completed_keys) > MAX_COMPLETED_KEYS:
                self._completed_keys.popitem(last=False)
