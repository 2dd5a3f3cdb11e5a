"""Choice among the targets of one pool by load.

The load of a target is what others run there, as its last report tells,
plus the attempts of this host that are in flight now. The reported part ages,
because a report says less the older it is.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from walnutport import interfaces
from walnutport.routing import health as target_health
from walnutport import world

__all__ = ['Candidate', 'best_of', 'sample', 'score']

REPORT_LIFE_S = 2.0
SAMPLE_ALL_BELOW = 9
SAMPLE_SIZE = 6
# Local targets win until they are this much of their slots more loaded.
REMOTE_PENALTY = 0.25
FULL_PENALTY = 1_000.0

_DOWN = target_health.HealthState.DOWN
_HEALTHY = target_health.HealthState.HEALTHY


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target with what this host knows of its load.

    :param others_load: requests of other hosts at the last report.
    :param started_by_attempt: start times of own attempts in flight,
        oldest first.
    """

    target: world.Target
    health: target_health.TargetHealth
    local: bool
    slots: int
    others_load: float = 0.0
    reported_at: float = 0.0
    started_by_attempt: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    isolated_attempts: set[str] = dataclasses.field(default_factory=set)
    overdue_attempts: set[str] = dataclasses.field(default_factory=set)
    leaving: bool = False

    def report(self, load: world.LoadReport, now: float) -> None:
        """Take note of a load report."""
        total = load.running + load.queued
        self.others_load = max(0, total - len(self.started_by_attempt))
        self.reported_at = now
        self.slots = max(1, load.slots)
        self.leaving = load.state is world.TargetState.LEAVING

    def admits(self, query: interfaces.RouteQuery) -> bool:
        """Return whether the target may take the attempt at all."""
        return (
            not self.leaving
            and self.target.target_id not in query.excluded
            and not (query.isolated and self.isolated_attempts)
            and self.health.state is not target_health.HealthState.DOWN
        )


def score(candidate: Candidate, now: float) -> float:
    """Return the load relative to the slots; less is better."""
    load: float = len(candidate.started_by_attempt)
    if candidate.others_load:
        age = (now - candidate.reported_at) / REPORT_LIFE_S
        if age < 1.0:
            load += candidate.others_load * (1.0 - age)
    slots = candidate.slots
    health = candidate.health
    if health.state is _HEALTHY:
        value = (load + 1) / slots
    else:
        value = (load + 1) / (slots * health.weight(now))
    # A slow local target stands out only beside others that were measured.
    if not candidate.local and health.is_measured():
        value += REMOTE_PENALTY
    if load >= slots:
        value += FULL_PENALTY
    return value


def sample(candidates: Sequence[Candidate], seed: int) -> Sequence[Candidate]:
    """Return the candidates to compare, in an order that the seed gives.

    :param seed: the same for the same content on every host, so that equal
        requests prefer the same target.
    """
    count = len(candidates)
    start = seed % count
    if count < SAMPLE_ALL_BELOW:
        return [*candidates[start:], *candidates[:start]]
    chosen = []
    for _ in range(SAMPLE_SIZE):
        chosen.append(candidates[seed % count])
        seed = (seed * 6364136223846793005 + 1442695040888963407) >> 7
        seed &= (1 << 64) - 1
    return chosen


def best_of(
    candidates: Iterable[Candidate], query: interfaces.RouteQuery, now: float
) -> tuple[Candidate | None, float]:
    """Return the best candidate that admits the query, and its score."""
    best = None
    best_score = float('inf')
    plain = not query.isolated and not query.excluded
    for candidate in candidates:
        if plain:
            if candidate.leaving or candidate.health.state is _DOWN:
                continue
        elif not candidate.admits(query):
            continue
        value = score(candidate, now)
        if value < best_score:
            best, best_score = candidate, value
    return best, best_score
