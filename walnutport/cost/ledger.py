"""Counters of cost by member, entry and stage."""

import dataclasses

from walnutport import interfaces

__all__ = ['CostKey', 'CostLedger', 'CostLine']


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CostKey:
    """What a cost is booked to."""

    owner: str
    member_id: str
    entry_id: str
    stage: str


@dataclasses.dataclass(frozen=True, slots=True)
class CostLine:
    """Sums for one key.

    :param target_s: time that attempts took on targets in seconds.
    """

    attempts: int = 0
    target_s: float = 0.0
    tokens: int = 0

    def plus(self, other: 'CostLine') -> 'CostLine':
        """Return the sum of two lines."""
        return CostLine(
            self.attempts + other.attempts,
            self.target_s + other.target_s,
            self.tokens + other.tokens,
        )


class CostLedger:
    """Books attempts of this host."""

    def __init__(self) -> None:
        self.lines_by_key: dict[CostKey, CostLine] = {}

    def book(
        self,
        *,
        member_id: str,
        owner: str,
        entry_id: str,
        stage: str,
        result: interfaces.AttemptResult,
    ) -> None:
        """Book one attempt, whatever its end."""
        if result.status is interfaces.AttemptStatus.NOT_SENT:
            return
        key = CostKey(owner, member_id, entry_id, stage)
        line = CostLine(1, result.latency_s, result.tokens)
        self.lines_by_key[key] = self.lines_by_key.get(key, CostLine()).plus(
            line
        )
