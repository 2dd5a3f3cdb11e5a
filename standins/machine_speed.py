"""Speed of the machines of the targets of a stand-in for a platform."""

import dataclasses
import random

__all__ = ['MachineSpeeds', 'SpeedPlan']


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedPlan:
    """How fast the machines of targets are.

    :param speed_by_target: lasting speed of each target, 1 if it is missing.
    :param spell_factor: how much longer work takes in a slow spell.
    :param spell_s: duration of a slow spell.
    :param spell_share: share of the time that is in slow spells.
    :param reports: whether targets report how long work takes.
    :param absurd_by_target: what a target reports instead.
    """

    speed_by_target: dict[str, float] = dataclasses.field(default_factory=dict)
    spell_factor: float = 1.0
    spell_s: float = 0.6
    spell_share: float = 0.15
    reports: bool = False
    absurd_by_target: dict[str, str] = dataclasses.field(default_factory=dict)


class MachineSpeeds:
    """Slow spells of each machine, which begin at random."""

    def __init__(self) -> None:
        self.plan = SpeedPlan()
        self._rng = random.Random(1)
        # End of the current spell and begin of the next one, by target.
        self._spell_by_target: dict[str, tuple[float, float]] = {}

    def slowness(self, target_id: str, now: float) -> float:
        """Return how long work takes at a target; 1 is usual."""
        speed = self.plan.speed_by_target.get(target_id, 1.0)
        return self._spell_factor(target_id, now) / speed

    def load_figure(self, target_id: str, now: float) -> str:
        """Return what follows the three figures of the load of a target."""
        if not self.plan.reports:
            return ''
        absurd = self.plan.absurd_by_target.get(target_id)
        if absurd is not None:
            return f',{absurd}'
        return f',{round(100 * self._spell_factor(target_id, now))}'

    def _spell_factor(self, target_id: str, now: float) -> float:
        if self.plan.spell_factor == 1.0:
            return 1.0
        ends_at, next_at = self._spell_by_target.get(
            target_id, (now, now + self._gap_s())
        )
        while next_at <= now:
            ends_at = next_at + self.plan.spell_s
            next_at = ends_at + self._gap_s()
        self._spell_by_target[target_id] = (ends_at, next_at)
        return self.plan.spell_factor if now < ends_at else 1.0

    def _gap_s(self) -> float:
        share = self.plan.spell_share
        return self._rng.expovariate(share / (1 - share) / self.plan.spell_s)
