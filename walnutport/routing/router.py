"""The standard router, which combines subset, load, affinity and health."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import random

from walnutport import interfaces
from walnutport.routing import affinity
from walnutport.routing import choice
from walnutport.routing import health
from walnutport.routing import subset
from walnutport import world

__all__ = ['StandardRouter']

OVERDUE_CHECK_INTERVAL_S = 0.05
# A target with a cached prefix is preferred while its score exceeds the best
# one by at most this much.
AFFINITY_MARGIN = 0.5
# A slow target gets work only if the deadline leaves time for this many runs.
SLOW_DEADLINE_RATIO = 4.0

_USABLE_STATES = (health.HealthState.HEALTHY, health.HealthState.RETURNING)
_FAILURES = (interfaces.AttemptStatus.FAILED, interfaces.AttemptStatus.LOST)
_INTERRUPTED = (
    interfaces.AttemptStatus.CANCELLED,
    interfaces.AttemptStatus.TIMED_OUT,
)
# A run that was interrupted may have taken this many times longer. Without
# this factor, a target whose attempts all lose against their hedges would
# seem fast.
INTERRUPTED_LATENCY_RATIO = 2.0


class _Pool:
    def __init__(
        self, max_ejected_share: float, subset_cache: subset.SubsetCache
    ) -> None:
        self.subset = subset_cache
        self.health = health.PoolHealth(max_ejected_share)
        self.candidates: list[choice.Candidate] = []
        self.overdue_checked_at = 0.0


class StandardRouter:
    """Routes attempts; see ``interfaces.Router``.

    :param subset_size: mean count of targets of a large pool to use.
    :param max_ejected_share: see ``health.PoolHealth``.
    :param rng: random source for queries without a content digest.
    """

    def __init__(
        self,
        host_id: str,
        data_centre: str,
        *,
        subset_size: int,
        max_ejected_share: float,
        rng: random.Random,
    ) -> None:
        self._host_id = host_id
        self._data_centre = data_centre
        self._subset_size = subset_size
        self._max_ejected_share = max_ejected_share
        self._rng = rng
        self._host_ids: frozenset[str] = frozenset()
        self._targets_by_id: dict[str, world.Target] = {}
        self._pools_by_service: dict[str, _Pool] = {}
        self._candidates_by_id: dict[str, choice.Candidate] = {}
        self.prefixes = affinity.PrefixIndex()

    def route(
        self, query: interfaces.RouteQuery, now: float
    ) -> world.Target | None:
        """Return a target, or None if none can take the attempt."""
        pool = self._pools_by_service.get(query.service)
        if pool is None or not pool.candidates:
            return None
        if now - pool.overdue_checked_at >= OVERDUE_CHECK_INTERVAL_S:
            self._record_overdue(pool, now)
        candidate = self._due_probe(pool, query, now)
        if candidate is None:
            candidate = self._least_loaded(pool, query, now)
        return candidate.target if candidate else None

    def attempt_started(
        self,
        target_id: str,
        attempt_id: str,
        query: interfaces.RouteQuery,
        now: float,
    ) -> None:
        """Count an attempt as in flight."""
        candidate = self._candidates_by_id.get(target_id)
        if candidate is not None:
            candidate.started_by_attempt[attempt_id] = now
            if query.prefix_digests:
                self.prefixes.mark_used(target_id, now)
            if query.isolated:
                candidate.isolated_attempts.add(attempt_id)

    def attempt_finished(
        self, result: interfaces.AttemptResult, now: float
    ) -> None:
        """Remove an attempt from the in-flight count and update the health."""
        candidate = self._candidates_by_id.get(result.target_id)
        if candidate is None:
            return
        candidate.started_by_attempt.pop(result.attempt_id, None)
        candidate.isolated_attempts.discard(result.attempt_id)
        overdue = result.attempt_id in candidate.overdue_attempts
        candidate.overdue_attempts.discard(result.attempt_id)
        pool = self._pools_by_service[candidate.target.service]
        status = result.status
        if result.target_died or status is interfaces.AttemptStatus.NOT_SENT:
            self.target_down(result.target_id)
        elif status in _FAILURES or not overdue:
            _observe(pool.health, result, now)
        if result.load is not None:
            candidate.update_load(result.load, now)

    def load_reported(
        self, target_id: str, load: world.LoadReport, now: float
    ) -> None:
        """Record a load report; a target that was down returns."""
        candidate = self._candidates_by_id.get(target_id)
        if candidate is not None:
            candidate.update_load(load, now)
            pool = self._pools_by_service[candidate.target.service]
            pool.health.mark_reachable(target_id, now)

    def target_down(self, target_id: str) -> None:
        """Stop routing to a target until it sends a load report."""
        candidate = self._candidates_by_id.get(target_id)
        if candidate is not None:
            candidate.others_load = 0.0
            self.prefixes.forget(target_id)
            pool = self._pools_by_service[candidate.target.service]
            pool.health.mark_down(target_id)

    def down_targets(self) -> list[world.Target]:
        """Return the targets that are down until they report again."""
        return [
            candidate.target
            for candidate in self._candidates_by_id.values()
            if candidate.health.state is health.HealthState.DOWN
        ]

    def known_targets(self) -> list[world.Target]:
        """Return the targets of the subset of this host."""
        return [
            candidate.target for candidate in self._candidates_by_id.values()
        ]

    def known_ids(self) -> Iterable[str]:
        """Return the ids of the targets of the subset of this host."""
        return self._candidates_by_id.keys()

    def hosts_changed(self, host_ids: Collection[str], now: float) -> None:
        """Replace the set of hosts, which the subset depends on."""
        if frozenset(host_ids) != self._host_ids:
            self._host_ids = frozenset(host_ids)
            self._rebuild()

    def targets_changed(
        self, targets_by_id: Mapping[str, world.Target], now: float
    ) -> None:
        """Replace the set of known targets."""
        if targets_by_id != self._targets_by_id:
            self._targets_by_id = dict(targets_by_id)
            self._rebuild()

    def health_states(self) -> dict[str, health.HealthState]:
        """Return the health of each known target."""
        return {
            target_id: candidate.health.state
            for target_id, candidate in self._candidates_by_id.items()
        }

    def in_flight_counts(self) -> dict[str, int]:
        """Return this host's attempts in flight on each known target."""
        return {
            target_id: len(candidate.started_by_attempt)
            for target_id, candidate in self._candidates_by_id.items()
        }

    def ejections_by_service(self) -> dict[str, int]:
        """Return the count of ejections in each pool."""
        return {
            service: pool.health.ejections
            for service, pool in self._pools_by_service.items()
        }

    def _rebuild(self) -> None:
        known_by_id = self._candidates_by_id
        self._candidates_by_id = {}
        ids_by_service: dict[str, list[str]] = {}
        for target in self._targets_by_id.values():
            ids_by_service.setdefault(target.service, []).append(
                target.target_id
            )
        for service, target_ids in ids_by_service.items():
            pool = self._pools_by_service.setdefault(service, self._new_pool())
            chosen = sorted(pool.subset.choose(self._host_ids, target_ids))
            pool.health.set_targets(chosen)
            pool.candidates = [
                self._new_or_known_candidate(
                    pool, known_by_id.get(target_id), target_id
                )
                for target_id in chosen
            ]
            for candidate in pool.candidates:
                target_id = candidate.target.target_id
                self._candidates_by_id[target_id] = candidate
        self.prefixes.retain(self._candidates_by_id)
        for service in set(self._pools_by_service) - set(ids_by_service):
            del self._pools_by_service[service]

    def _new_pool(self) -> _Pool:
        return _Pool(
            self._max_ejected_share,
            subset.SubsetCache(self._host_id, self._subset_size),
        )

    def _new_or_known_candidate(
        self, pool: _Pool, known: choice.Candidate | None, target_id: str
    ) -> choice.Candidate:
        target = self._targets_by_id[target_id]
        leaving = target.state is world.TargetState.LEAVING
        if known is not None and known.target.service == target.service:
            known.target = target
            known.leaving = leaving
            return known
        return choice.Candidate(
            target,
            pool.health.targets_by_id[target_id],
            target.data_centre == self._data_centre,
            max(1, target.slots),
            leaving=leaving,
        )

    def _record_overdue(self, pool: _Pool, now: float) -> None:
        """Record overdue attempts as slow before they end."""
        pool.overdue_checked_at = now
        exact = len(pool.candidates) <= health.EXACT_MEDIAN_SIZE
        shared_s = pool.health.overdue_s('')
        for candidate in pool.candidates:
            started = candidate.started_by_attempt
            if not started:
                continue
            target_id = candidate.target.target_id
            limit_s = pool.health.overdue_s(target_id) if exact else shared_s
            for attempt_id, start in started.items():
                if now - start < limit_s:
                    break
                if attempt_id not in candidate.overdue_attempts:
                    candidate.overdue_attempts.add(attempt_id)
                    pool.health.observe(target_id, now - start, True, now)

    def _due_probe(
        self, pool: _Pool, query: interfaces.RouteQuery, now: float
    ) -> choice.Candidate | None:
        if query.isolated or query.excluded:
            return None
        target_id = pool.health.take_probe(now)
        if target_id is None:
            return None
        candidate = self._candidates_by_id[target_id]
        fits = candidate.is_eligible(query) and _fits_deadline(
            candidate, query, now
        )
        return candidate if fits else None

    def _least_loaded(
        self, pool: _Pool, query: interfaces.RouteQuery, now: float
    ) -> choice.Candidate | None:
        usable = [
            candidate
            for candidate in pool.candidates
            if candidate.health.state in _USABLE_STATES
        ]
        best, best_score = None, float('inf')
        if usable:
            sampled = choice.sample(usable, self._seed(query))
            best, best_score = choice.best_of(sampled, query, now)
            if best_score >= choice.FULL_PENALTY and len(sampled) < len(
                usable
            ):
                best, best_score = choice.best_of(usable, query, now)
        if best_score < choice.FULL_PENALTY:
            return self._affinity_target(query, best_score, now) or best
        if len(usable) == len(pool.candidates):
            return best
        slow_candidates = [
            candidate
            for candidate in pool.candidates
            if candidate.health.state is health.HealthState.EJECTED
            and (best is None or _fits_deadline(candidate, query, now))
        ]
        slow_best, slow_score = choice.best_of(slow_candidates, query, now)
        return slow_best if slow_score < best_score else best

    def _affinity_target(
        self, query: interfaces.RouteQuery, best_score: float, now: float
    ) -> choice.Candidate | None:
        """Return the target with the longest cached prefix, or None.

        A target whose score exceeds the best one by more than
        ``AFFINITY_MARGIN`` is passed over.
        """
        if not query.prefix_digests:
            return None
        for _, target_id in self.prefixes.matching_targets(
            query.prefix_digests
        ):
            candidate = self._candidates_by_id.get(target_id)
            if (
                candidate is not None
                and candidate.target.service == query.service
                and candidate.health.state in _USABLE_STATES
                and candidate.is_eligible(query)
                and choice.score(candidate, now)
                <= best_score + AFFINITY_MARGIN
            ):
                return candidate
        return None

    def _seed(self, query: interfaces.RouteQuery) -> int:
        if query.content_digest:
            return int.from_bytes(query.content_digest[:8])
        return self._rng.getrandbits(64)


def _fits_deadline(
    candidate: choice.Candidate, query: interfaces.RouteQuery, now: float
) -> bool:
    needed_s = candidate.health.latency_s * SLOW_DEADLINE_RATIO
    return query.deadline - now >= needed_s


def _observe(
    pool: health.PoolHealth, result: interfaces.AttemptResult, now: float
) -> None:
    target_id, latency_s = result.target_id, result.latency_s
    if result.status not in _INTERRUPTED:
        pool.observe(target_id, latency_s, result.status not in _FAILURES, now)
    elif latency_s > pool.median_of_others(target_id) > 0:
        pool.observe(
            target_id, latency_s * INTERRUPTED_LATENCY_RATIO, True, now
        )
