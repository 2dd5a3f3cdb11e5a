"""The standard retry policy: budget, back-off and hedging together."""

import random

from walnutport import interfaces
from walnutport.retries import backoff
from walnutport.retries import budget
from walnutport.retries import hedging

__all__ = ['StandardRetryPolicy']

MAX_ATTEMPTS = 4
# A copy of this request may be what ended the target; the delay lets a verdict
# about it arrive first.
NOT_SENT_DELAY_S = 0.03

_RETRIED = (
    interfaces.AttemptStatus.FAILED,
    interfaces.AttemptStatus.LOST,
    interfaces.AttemptStatus.REFUSED,
)
_NO_RETRY = interfaces.RetryDecision(False)


class StandardRetryPolicy:
    """Retries within a budget; see ``interfaces.RetryPolicy``.

    :param budget_share: retries and hedges allowed for each request.
    :param rng: random source of the jitter.
    """

    def __init__(self, budget_share: float, rng: random.Random) -> None:
        self._share = budget_share
        self._rng = rng
        self._budgets_by_service: dict[str, budget.RetryBudget] = {}
        self._timers_by_service: dict[str, hedging.HedgeTimer] = {}

    def request_started(self, service: str, now: float) -> None:
        """Count a first attempt, which adds to the budget."""
        self._budget(service, now).earn(now)

    def after_failure(
        self,
        result: interfaces.AttemptResult,
        *,
        attempts: int,
        repeatable: bool,
        suspect: bool,
        deadline: float,
        now: float,
    ) -> interfaces.RetryDecision:
        """Decide what follows a failed attempt.

        An attempt that was not sent moves on without the budget: the caller
        excludes its target, so this happens at most once for each target. A
        suspect is never retried here; its single re-run needs a permit.
        """
        if now >= deadline:
            return interfaces.RetryDecision(False, reason='deadline')
        if result.status is interfaces.AttemptStatus.NOT_SENT:
            return interfaces.RetryDecision(True, NOT_SENT_DELAY_S, 'not_sent')
        if not repeatable or suspect or result.target_died:
            return _NO_RETRY
        if result.status not in _RETRIED or attempts >= MAX_ATTEMPTS:
            return _NO_RETRY
        delay_s = backoff.delay_s(attempts, self._rng)
        if now + delay_s >= deadline:
            return interfaces.RetryDecision(False, reason='deadline')
        if not self._budget(result.service, now).take(now):
            return interfaces.RetryDecision(False, reason='budget')
        return interfaces.RetryDecision(True, delay_s)

    def attempt_finished(
        self, result: interfaces.AttemptResult, now: float
    ) -> None:
        """Learn the latency of an attempt that succeeded."""
        if result.status is interfaces.AttemptStatus.OK:
            self._timer(result.service).observe(result.latency_s)

    def hedge_delay_s(
        self, service: str, *, repeatable: bool, suspect: bool, now: float
    ) -> float | None:
        """Return the time after which a hedge may start, or None."""
        if suspect or not repeatable:
            return None
        return self._timer(service).delay_s()

    def try_acquire_hedge(self, service: str, now: float) -> bool:
        """Take one hedge out of the budget."""
        return self._budget(service, now).take(now)

    def _budget(self, service: str, now: float) -> budget.RetryBudget:
        found = self._budgets_by_service.get(service)
        if found is None:
            found = budget.RetryBudget(self._share, now)
            self._budgets_by_service[service] = found
        return found

    def _timer(self, service: str) -> hedging.HedgeTimer:
        return self._timers_by_service.setdefault(
            service, hedging.HedgeTimer()
        )
