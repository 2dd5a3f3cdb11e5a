"""Forecast of the time to the first event of a stream.

The time grows with the tokens that the engine has to prefill. A forecast that
is proportional to them takes the constant part of short prompts for a low
prefill rate, and refuses the longest prompts although their engines could
serve them in time.
"""

from walnutport.routing import engines
from walnutport.world import requests

__all__ = ['FirstEventForecast']

# Values before the first measurements.
INITIAL_BASE_S = 0.03
INITIAL_PREFILL_TOKENS_PER_S = 40_000.0
# Measurements that the initial values count as, at no tokens and at the size
# of a long prompt.
INITIAL_WEIGHT = 0.5
INITIAL_LONG_PROMPT_TOKENS = 20_000.0
# Weight of the earlier measurements relative to a new one.
DECAY = 0.985
# A measurement counts as at most this multiple of its forecast: the time of a
# request that waited long says little about the others.
MAX_SAMPLE_RATIO = 3.0
# Mean absolute deviations that a forecast lies above the line, so that most
# answers come in time.
DEVIATION_WEIGHT = 1.0
DEVIATION_GAIN = 0.02
INITIAL_DEVIATION_S = 0.05


class FirstEventForecast:
    """Line through the measured times, fitted by least squares.

    Earlier measurements lose weight, so that the forecast follows the load.
    """

    def __init__(self) -> None:
        self._deviation_s = INITIAL_DEVIATION_S
        self._weight = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._tokens_squared = 0.0
        self._tokens_seconds = 0.0
        self._base_s = INITIAL_BASE_S
        self._s_per_token = 1 / INITIAL_PREFILL_TOKENS_PER_S
        for tokens in (0.0, INITIAL_LONG_PROMPT_TOKENS):
            self._add(tokens, self._expected_s(tokens), INITIAL_WEIGHT)

    def expected_s(self, prompt: requests.PromptShape | None) -> float:
        """Return the time in which most first events of a prompt arrive."""
        return (
            self._expected_s(engines.expected_prefill_tokens(prompt))
            + DEVIATION_WEIGHT * self._deviation_s
        )

    def observe(
        self, prompt: requests.PromptShape | None, took_s: float
    ) -> None:
        """Add the measured time to one first event."""
        tokens = engines.expected_prefill_tokens(prompt)
        self._deviation_s += DEVIATION_GAIN * (
            abs(took_s - self._expected_s(tokens)) - self._deviation_s
        )
        limit_s = MAX_SAMPLE_RATIO * self._expected_s(tokens)
        self._weight *= DECAY
        self._tokens *= DECAY
        self._seconds *= DECAY
        self._tokens_squared *= DECAY
        self._tokens_seconds *= DECAY
        self._add(tokens, min(took_s, limit_s), 1.0)
        self._fit()

    def _expected_s(self, tokens: float) -> float:
        return self._base_s + self._s_per_token * tokens

    def _add(self, tokens: float, seconds: float, weight: float) -> None:
        self._weight += weight
        self._tokens += weight * tokens
        self._seconds += weight * seconds
        self._tokens_squared += weight * tokens * tokens
        self._tokens_seconds += weight * tokens * seconds

    def _fit(self) -> None:
        mean_tokens = self._tokens / self._weight
        mean_s = self._seconds / self._weight
        variance = self._tokens_squared / self._weight - mean_tokens**2
        if variance > 0:
            covariance = (
                self._tokens_seconds / self._weight - mean_tokens * mean_s
            )
            self._s_per_token = max(0.0, covariance / variance)
        self._base_s = max(0.0, mean_s - self._s_per_token * mean_tokens)
