"""Whether the store answers this host, and how long it did not."""

import time

from walnutport.membership import registry
from walnutport.membership import store_outages

__all__ = ['StoreContact']


class StoreContact:
    """Outages of the store, which give lapsed entries of targets some time.

    :param targets: registry of the targets.
    :ivar outages: outages of the store for the whole fleet.
    """

    def __init__(self, log, targets: registry.TargetRegistry) -> None:
        self._log = log
        self._targets = targets
        self.outages = store_outages.StoreOutages()
        self._lost_at: float | None = None

    def failed(self, problem: Exception) -> None:
        """Record that a call has failed."""
        if self._lost_at is None:
            self._lost_at = time.monotonic()
            self._log.notable('store_lost', problem=str(problem))

    def succeeded(self) -> None:
        """Record that a call was answered."""
        if self._lost_at is None:
            return
        now = time.monotonic()
        outage_s = now - self._lost_at
        fleet_outage_s = self.outages.duration_s(self._lost_at, now)
        self._lost_at = None
        self._targets.store_recovered(fleet_outage_s, now)
        self._log.notable(
            'store_regained',
            outage_s=round(outage_s, 3),
            fleet_outage_s=round(fleet_outage_s, 3),
        )
