"""Naive policies: random routing, no limits, blind retries, no quarantine."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import random

from walnutport import interfaces
from walnutport import world

__all__ = [
    'BlindRetry',
    'NoQuarantine',
    'RandomRouter',
    'UnboundedQueue',
]

_MAX_ATTEMPTS = 3


class UnboundedQueue:
    """Grants every ticket immediately."""

    def offer(
        self, ticket: interfaces.Ticket, now: float
    ) -> interfaces.Decision:
        return interfaces.Decision(
            ticket.ticket_id, interfaces.DecisionKind.GRANTED
        )

    def release(
        self, ticket_id: str, now: float
    ) -> Sequence[interfaces.Decision]:
        return ()

    def advance(self, now: float) -> Sequence[interfaces.Decision]:
        return ()


class RandomRouter:
    """Chooses a random target among all listed targets of the pool."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._targets_by_id: Mapping[str, world.Target] = {}

    def route(
        self, query: interfaces.RouteQuery, now: float
    ) -> world.Target | None:
        pool = [
            target
            for target in self._targets_by_id.values()
            if target.service == query.service
        ]
        return self._rng.choice(pool) if pool else None

    def attempt_started(
        self,
        target_id: str,
        attempt_id: str,
        query: interfaces.RouteQuery,
        now: float,
    ) -> None:
        return None

    def attempt_finished(
        self, result: interfaces.AttemptResult, now: float
    ) -> None:
        return None

    def load_reported(
        self, target_id: str, load: world.LoadReport, now: float
    ) -> None:
        return None

    def hosts_changed(self, host_ids: Collection[str], now: float) -> None:
        return None

    def targets_changed(
        self, targets_by_id: Mapping[str, world.Target], now: float
    ) -> None:
        self._targets_by_id = dict(targets_by_id)


class BlindRetry:
    """Retries immediately after any failure, even if not repeatable."""

    def request_started(self, service: str, now: float) -> None:
        return None

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
        retry = attempts < _MAX_ATTEMPTS and now < deadline
        return interfaces.RetryDecision(retry)

    def attempt_finished(
        self, result: interfaces.AttemptResult, now: float
    ) -> None:
        return None

    def hedge_delay_s(
        self, service: str, *, repeatable: bool, suspect: bool, now: float
    ) -> float | None:
        return None

    def try_acquire_hedge(self, service: str, now: float) -> bool:
        return False


class NoQuarantine:
    """Treats no request as suspect."""

    def state(self, digest: bytes, now: float) -> interfaces.SuspicionState:
        return interfaces.SuspicionState.CLEAR

    def attempt_started(
        self, digest: bytes, target_id: str, attempt_id: str, now: float
    ) -> None:
        return None

    def attempt_finished(self, attempt_id: str, ok: bool, now: float) -> None:
        return None

    def target_died(self, target_id: str, now: float) -> None:
        return None
