"""Choice among the targets of one pool by load.

The load of a target is the load from other hosts, according to its last
report, plus this host's attempts in flight. The reported part decays with the
age of the report, because older reports are less accurate.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from walnutport import interfaces
from walnutport.routing import health as target_health
from walnutport import world

__all__ = ['Candidate', 'best_of', 'sample', 'score']

REPORT_TTL_S = 2.0
# Fewer candidates than this are all compared, of more only a sample.
SAMPLE_ALL_BELOW = 9
SAMPLE_SIZE = 6
# Local targets are preferred until their load, relative to their slots,
# exceeds that of remote ones by this much.
REMOTE_PENALTY = 0.25
# Ranks a target without a free slot after all that have one.
FULL_PENALTY = 1_000.0

_DOWN = target_health.HealthState.DOWN
_HEALTHY = target_health.HealthState.HEALTHY


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target with its load as known to this host.

    :param others_load: requests of other hosts at the last report.
    :param started_by_attempt: start times of this host's attempts in flight,
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

    def update_load(self, load: world.LoadReport, now: float) -> None:
        """Update the load from a report."""
        total = load.running + load.queued
        self.others_load = max(0, total - len(self.started_by_attempt))
        self.reported_at = now
        self.slots = max(1, load.slots)
        self.leaving = load.state is world.TargetState.LEAVING

    def is_eligible(self, query: interfaces.RouteQuery) -> bool:
        """Return whether the target is eligible for the attempt."""
        return (
            not self.leaving
            and self.target.target_id not in query.excluded
            and not (query.isolated and self.isolated_attempts)
            and self.health.state is not target_health.HealthState.DOWN
        )


def score(candidate: Candidate, now: float) -> float:
    """Return the load relative to the slots; lower is better."""
    load: float = len(candidate.started_by_attempt)
    if candidate.others_load:
        relative_age = (now - candidate.reported_at) / REPORT_TTL_S
        if relative_age < 1.0:
            load += candidate.others_load * (1.0 - relative_age)
    slots = candidate.slots
    health = candidate.health
    if health.state is _HEALTHY:
        value = (load + 1) / slots
    else:
        value = (load + 1) / (slots * health.weight(now))
    # Remote targets without measurements get no penalty, because a slow local
    # target is detected only by comparison with others that were measured.
    if not candidate.local and health.is_measured():
        value += REMOTE_PENALTY
    if load >= slots:
        value += FULL_PENALTY
    return value


def sample(candidates: Sequence[Candidate], seed: int) -> Sequence[Candidate]:
    """Return the candidates to compare, in an order given by the seed.

    :param seed: equal for equal content on every host, so that equal requests
        prefer the same target.
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
    """Return the eligible candidate with the lowest score, and its score."""
    best = None
    best_score = float('inf')
    is_unrestricted = not query.isolated and not query.excluded
    for candidate in candidates:
        if is_unrestricted:
            if candidate.leaving or candidate.health.state is _DOWN:
                continue
        elif not candidate.is_eligible(query):
            continue
        candidate_score = score(candidate, now)
        if candidate_score < best_score:
            best, best_score = candidate, candidate_score
    return best, best_score
