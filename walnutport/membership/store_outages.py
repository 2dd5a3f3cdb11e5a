"""Tells an outage of the store from one of a single host.

Covers a store that turns some hosts away while it serves the others. In an
outage of the store, entries of live targets may lapse and come back. An entry
that is removed while other hosts read on has not lapsed.
"""

import math

from walnutport.membership import registry

__all__ = ['StoreOutages']


class StoreOutages:
    """Outages of the store as far as this host knows.

    Times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        # When this host or a peer last read from the store, and when such
        # reads last went on after an outage.
        self._read_at = -math.inf
        self._ended_at = -math.inf

    def record_read(self, read_at: float, now: float) -> None:
        """Record that this host or a peer has read from the store.

        :param read_at: time of the read, which a peer tells by its age.
        """
        if read_at - self._read_at >= registry.MIN_OUTAGE_S:
            self._ended_at = now
        self._read_at = max(self._read_at, read_at)

    def duration_s(self, lost_at: float, now: float) -> float:
        """Return how long no host has read the store.

        :param lost_at: when this host lost the store.
        """
        return min(now - lost_at, now - self._read_at)

    def is_recent(self, now: float) -> bool:
        """Return whether entries may have lapsed in an outage.

        This host has heard of no read of the store for a while, or did so
        until recently. A peer that the store refused alone may think so
        wrongly.
        """
        return (
            now - self._read_at >= registry.MIN_OUTAGE_S
            or now - self._ended_at <= registry.LAPSE_GRACE_S
        )
