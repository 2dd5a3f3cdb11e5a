"""The standard retry policy: retry budget, backoff and hedging."""

import random

from walnutport import interfaces
from walnutport.retries import backoff
from walnutport.retries import budget
from walnutport.retries import hedging

__all__ = ['StandardRetryPolicy']

MAX_ATTEMPTS = 4
# Another copy of the same request may have crashed the target. With the delay,
# a report that its content is suspect can arrive before the retry.
NOT_SENT_DELAY_S = 0.03

_RETRYABLE_STATUSES = (
    interfaces.AttemptStatus.FAILED,
    interfaces.AttemptStatus.LOST,
    interfaces.AttemptStatus.REFUSED,
)
_NO_RETRY = interfaces.RetryDecision(False)


class StandardRetryPolicy:
    """Retries and hedges within a budget for each service.

    Implements ``interfaces.RetryPolicy``.

    :param budget_share: retries and hedges allowed for each request.
    :param rng: random source of the backoff jitter.
    """

    def __init__(self, budget_share: float, rng: random.Random) -> None:
        self._budget_share = budget_share
        self._rng = rng
        self._budgets_by_service: dict[str, budget.RetryBudget] = {}
        self._hedge_delays_by_service: dict[
            str, hedging.HedgeDelayEstimator
        ] = {}

    def request_started(self, service: str, now: float) -> None:
        """Add the share of a new request to the budget."""
        self._budget(service, now).record_request(now)

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
        """Decide whether a request is retried after a failed attempt.

        An attempt that was not sent is retried without using the budget: the
        caller excludes its target, so this happens at most once for each
        target. A suspect request is never retried here; its single re-run
        needs a permit.
        """
        if now >= deadline:
            return interfaces.RetryDecision(False, reason='deadline')
        if result.status is interfaces.AttemptStatus.NOT_SENT:
            return interfaces.RetryDecision(True, NOT_SENT_DELAY_S, 'not_sent')
        if not repeatable or suspect or result.target_died:
            return _NO_RETRY
        if (
            result.status not in _RETRYABLE_STATUSES
            or attempts >= MAX_ATTEMPTS
        ):
            return _NO_RETRY
        delay_s = backoff.delay_s(attempts, self._rng)
        if now + delay_s >= deadline:
            return interfaces.RetryDecision(False, reason='deadline')
        if not self._budget(result.service, now).try_acquire(now):
            return interfaces.RetryDecision(False, reason='budget')
        return interfaces.RetryDecision(True, delay_s)

    def attempt_finished(
        self, result: interfaces.AttemptResult, now: float
    ) -> None:
        """Record the latency of an attempt that succeeded."""
        if result.status is interfaces.AttemptStatus.OK:
            self._hedge_delay(result.service).observe(result.latency_s)

    def hedge_delay_s(
        self, service: str, *, repeatable: bool, suspect: bool, now: float
    ) -> float | None:
        """Return the delay after which a hedge may start, or None."""
        if suspect or not repeatable:
            return None
        return self._hedge_delay(service).delay_s()

    def try_acquire_hedge(self, service: str, now: float) -> bool:
        """Take the token for one hedge from the budget, if available."""
        return self._budget(service, now).try_acquire(now)

    def _budget(self, service: str, now: float) -> budget.RetryBudget:
        service_budget = self._budgets_by_service.get(service)
        if service_budget is None:
            service_budget = budget.RetryBudget(self._budget_share, now)
            self._budgets_by_service[service] = service_budget
        return service_budget

    def _hedge_delay(self, service: str) -> hedging.HedgeDelayEstimator:
        return self._hedge_delays_by_service.setdefault(
            service, hedging.HedgeDelayEstimator()
        )
