"""Token bucket that bounds retries and hedges of one pool."""

__all__ = ['RetryBudget']

# A host with little traffic may still retry this often.
MIN_RATE_PER_S = 0.5
CAPACITY = 20.0
FIRST_TOKENS = 5.0


class RetryBudget:
    """Earns a share of a token with each request and some with time.

    :param share: retries allowed for each request.
    """

    def __init__(self, share: float, now: float) -> None:
        self._share = share
        self._tokens = FIRST_TOKENS
        self._filled_at = now

    def earn(self, now: float) -> None:
        """Count a request."""
        self._add(self._share, now)

    def take(self, now: float) -> bool:
        """Take the token of one retry or hedge, if there is one."""
        self._add(0.0, now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def available(self, now: float) -> float:
        """Return the count of tokens."""
        self._add(0.0, now)
        return self._tokens

    def _add(self, tokens: float, now: float) -> None:
        passed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        # A share of zero switches retries off altogether.
        rate = MIN_RATE_PER_S if self._share > 0 else 0.0
        self._tokens = min(CAPACITY, self._tokens + tokens + rate * passed)
