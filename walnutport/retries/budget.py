"""Token bucket that limits the retries and hedges of one service."""

__all__ = ['RetryBudget']

# Allows retries on a host with little traffic, whose requests add few tokens.
REFILL_TOKENS_PER_S = 0.5
MAX_TOKENS = 20.0
INITIAL_TOKENS = 5.0


class RetryBudget:
    """Retry budget that grows with each request and slowly with time.

    Each retry or hedge costs one token.

    :param share: tokens added for each request; 0 disables retries.
    """

    def __init__(self, share: float, now: float) -> None:
        self._share = share
        self._tokens = INITIAL_TOKENS
        self._refilled_at = now

    def record_request(self, now: float) -> None:
        """Add the tokens of a new request."""
        self._refill(self._share, now)

    def try_acquire(self, now: float) -> bool:
        """Take the token for one retry or hedge, if one is available."""
        self._refill(0.0, now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def available(self, now: float) -> float:
        """Return the number of tokens, fractions included."""
        self._refill(0.0, now)
        return self._tokens

    def _refill(self, tokens: float, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        # A share of zero disables retries completely.
        tokens_per_s = REFILL_TOKENS_PER_S if self._share > 0 else 0.0
        self._tokens = min(
            MAX_TOKENS, self._tokens + tokens + tokens_per_s * elapsed_s
        )
