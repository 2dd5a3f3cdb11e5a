"""Share of the requests of a service that each engine got lately.

Covers traffic with long shared prompt parts. Requests that only follow the
engines that hold their parts leave a few engines with most of the requests. A
price on the share above the mean moves the requests with few shared tokens
first, so that those with many can stay.
"""

import math

from collections.abc import Collection

__all__ = ['RequestShares']

# Requests count for 1/e after this time. It is long enough for some hundred
# requests at each engine of a busy service, whose number then varies by a
# tenth without any imbalance.
MEMORY_S = 20.0
# Requests that every engine counts as having got, so that the first requests
# after a start are no imbalance.
PRIOR_REQUESTS = 5.0
# Shares up to this ratio to the mean have no price. Callers need the busiest
# engine to be below 1.2.
FREE_EXCESS = 0.1
# Price in seconds of the excess above that. It grows faster than the excess:
# a part of several thousand tokens gets a second engine at about 1.5 times
# the mean.
PRICE_S = 0.1
PRICE_GROWTH = 4.0
# The mean of a service is computed again after this time.
MEAN_TTL_S = 0.05
# The counts are scaled down before their weights become too large.
MAX_WEIGHT_EXPONENT = 50.0


class RequestShares:
    """Recent requests of each engine, with exponentially falling weight.

    Instead of reducing all counts over time, later requests weigh more.
    """

    def __init__(self) -> None:
        self._count_by_id: dict[str, float] = {}
        # Mean of the engines of each service, weighted as the counts.
        self._mean_by_service: dict[str, float] = {}
        self._mean_at: dict[str, float] = {}
        self._weights_from = 0.0

    def record(self, target_id: str, now: float) -> None:
        """Record a request that is placed on an engine."""
        weight = self._weight(now)
        self._count_by_id[target_id] = (
            self._count_by_id.get(target_id, 0.0) + weight
        )

    def forget(self, target_id: str) -> None:
        """Drop the requests of an engine that was removed."""
        self._count_by_id.pop(target_id, None)

    def is_mean_old(self, service: str, now: float) -> bool:
        """Return whether the mean of a service has to be computed again."""
        return (
            not 0 <= now - self._mean_at.get(service, -math.inf) < MEAN_TTL_S
        )

    def update_mean(
        self,
        service: str,
        target_ids: Collection[str],
        now: float,
    ) -> None:
        """Compute the mean of the engines of a service that may be chosen."""
        if target_ids:
            get_count = self._count_by_id.get
            total = sum([get_count(key, 0.0) for key in target_ids])
            self._mean_by_service[service] = total / len(target_ids)
            self._mean_at[service] = now

    def ratio(self, target_id: str, service: str, now: float) -> float:
        """Return the recent requests of an engine, relative to the mean."""
        prior = PRIOR_REQUESTS * self._weight(now)
        return (self._count_by_id.get(target_id, 0.0) + prior) / (
            self._mean_by_service.get(service, 0.0) + prior
        )

    def ratios(
        self, target_ids: Collection[str], now: float
    ) -> dict[str, float]:
        """Return the recent requests of some targets, relative to the mean."""
        prior = PRIOR_REQUESTS * self._weight(now)
        counts = {
            target_id: self._count_by_id.get(target_id, 0.0) + prior
            for target_id in target_ids
        }
        mean = sum(counts.values()) / max(1, len(counts))
        return {target_id: count / mean for target_id, count in counts.items()}

    def price_s(self, target_id: str, service: str, now: float) -> float:
        """Return the price of one more request at an engine, in seconds."""
        excess = self.ratio(target_id, service, now) - 1 - FREE_EXCESS
        if excess <= 0:
            return 0.0
        return PRICE_S * excess * (1 + PRICE_GROWTH * excess)

    def _weight(self, now: float) -> float:
        exponent = (now - self._weights_from) / MEMORY_S
        if abs(exponent) > MAX_WEIGHT_EXPONENT:
            scale = math.exp(-min(700.0, max(0.0, exponent)))
            for values in (self._count_by_id, self._mean_by_service):
                for key in values:
                    values[key] *= scale
            self._weights_from = now
            return 1.0
        return math.exp(exponent)
