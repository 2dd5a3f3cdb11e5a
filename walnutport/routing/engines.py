"""Choice of a model engine for a prompt and its inputs.

Prompts share long parts, and inputs have several megabytes. Prefilling a part
again costs an engine as much as a whole short prompt, and inputs that cross
data centres use the links between them. Requests with the same parts
therefore go to an engine that holds these while its load allows.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
import hashlib
import math
from typing import NamedTuple

from walnutport.routing import outcomes
from walnutport.routing import prompt_caches
from walnutport.routing import request_shares
from walnutport.routing import target_speed
from walnutport.world import registrations
from walnutport.world import requests

__all__ = [
    'PrefillTracker',
    'choose_engine',
    'expected_prefill_tokens',
    'rendezvous_weight',
    'uncached_tokens',
    'unshared_tokens',
]

# Costs are in seconds, so that they can be added.
# Approximate delay of a request at a full engine.
FULL_LOAD_COST_S = 0.6
# Additional cost of an engine with waiting requests, which is more than full.
QUEUE_COST_S = 1.0
# Prefill rate of an engine of usual speed.
PREFILL_TOKENS_PER_S = 92_000.0
# Price of a token that an engine reads, besides the wait for it: it delays the
# requests behind it too, and displaces other parts. Without a price, sessions
# leave their engine whenever it reads one other prompt.
READ_PRICE_S = 2.0 / PREFILL_TOKENS_PER_S
# Bytes sent between data centres that cost one second; all requests share the
# links.
CROSS_LINK_BYTES_PER_S = 40e6
# Average fraction of the shared tokens that an engine has to prefill.
SHARED_PREFILL_FRACTION = 0.3
# The engine that all hosts prefer for a shared part that none holds may hold
# it already, as another host may have sent it there. This is the fraction of
# the part that it is expected to read: if the owner of the only cell places
# the request, which sees nearly all of them, and if any other host does. With
# the first value, four owners read four times as many tokens again.
PREFERRED_PREFILL_FRACTION = 0.7
UNSEEN_PREFILL_FRACTION = 0.2
# Digests of engines that are kept for rendezvous hashing.
MAX_KEPT_DIGESTS = 8192
# Odd factor that spreads the difference of two digests over all bits, modulo
# 2**64.
HASH_FACTOR = 0x9E3779B97F4A7C15
HASH_MASK = (1 << 64) - 1


@functools.lru_cache(MAX_KEPT_DIGESTS)
def _digest(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def rendezvous_weight(part_id: str, target_id: str) -> int:
    """Return the rendezvous hashing weight of an engine for a prompt part."""
    mixed = (_digest(part_id) ^ _digest(target_id)) * HASH_FACTOR
    return mixed & HASH_MASK


def choose_engine(
    engines: Iterable[registrations.RegisteredTarget],
    target_outcomes: outcomes.TargetOutcomes,
    prompt: requests.PromptShape | None,
    input_bytes_by_data_centre: Mapping[str, int],
    now: float,
    avoid: set[str] | frozenset[str] = frozenset(),
    pending_tokens: Mapping[str, float] | None = None,
    caches: prompt_caches.PromptCaches | None = None,
    shares: request_shares.RequestShares | None = None,
    preferred_fraction: float = PREFERRED_PREFILL_FRACTION,
) -> registrations.RegisteredTarget | None:
    """Return the engine with the lowest expected cost, None without engines.

    :param input_bytes_by_data_centre: bytes of the inputs in each data centre.
    :param avoid: ids of engines that were tried already.
    :param pending_tokens: tokens that each engine still has to prefill for
        earlier requests.
    :param caches: expected contents of the caches of the engines.
    :param shares: recent requests of the engines.
    :param preferred_fraction: fraction of a part that no engine holds, as far
        as is known here, which the preferred one is expected to read.
    """
    candidates = target_outcomes.index(list(engines))
    if avoid:
        candidates = {
            target_id: engine
            for target_id, engine in candidates.items()
            if target_id not in avoid
        }
    if not candidates:
        return None
    target_outcomes.expire_costs(now)
    if shares is not None:
        service = next(iter(candidates.values())).service
        if shares.is_mean_old(service, now):
            shares.update_mean(service, candidates, now)
    costs = _EngineCosts(
        candidates,
        target_outcomes,
        pending_tokens or {},
        shares,
        input_bytes_by_data_centre,
        now,
    )
    while True:
        groups = _group_by_reading(
            candidates, prompt, caches, preferred_fraction
        )
        chosen = costs.cheapest(groups)
        if chosen is None:
            chosen = costs.cheapest(groups, with_ejected=True)
        if chosen is None or caches is None or caches.is_current(chosen):
            return chosen
        # Its cache was that of an earlier lifetime.
        caches.forget(chosen.target_id)


class _Group(NamedTuple):
    """Engines that need to read equally many tokens of a prompt.

    :param tokens: tokens that they lack.
    """

    target_ids: Collection[str]
    tokens: float


def _group_by_reading(
    candidates: Mapping[str, registrations.RegisteredTarget],
    prompt: requests.PromptShape | None,
    caches: prompt_caches.PromptCaches | None,
    preferred_fraction: float,
) -> list[_Group]:
    """Return all engines, those that need to read the least first.

    Engines of one group are in all later ones as well.
    """
    total = float(prompt.input_tokens) if prompt is not None else 0.0
    groups = [_Group(candidates, total)]
    if prompt is None:
        return groups
    if caches is not None:
        groups += [
            _Group(holders, total - cached)
            for holders, cached in caches.holders_of_prefixes(prompt)
        ]
    if len(prompt.part_ids) > 1:
        shared_part = prompt.part_ids[-2]
        if caches is None or not caches.is_held(shared_part):
            preferred_id = _preferred_engine(candidates, shared_part)
            lacking = next(
                group.tokens
                for group in reversed(groups)
                if preferred_id in group.target_ids
            )
            own = prompt.part_tokens[-1]
            shared = preferred_fraction * max(0.0, lacking - own)
            groups.append(_Group((preferred_id,), own + shared))
    groups.sort(key=lambda group: group.tokens)
    return groups


class _EngineCosts:
    """Costs of one request at the engines of its service.

    An engine reads the tokens that it lacks after those of earlier requests.
    The time of both depends on its present speed. What it reads has a price
    besides, which does not: a slow spell is over sooner than the part is read
    at another engine.
    """

    def __init__(
        self,
        candidates: Mapping[str, registrations.RegisteredTarget],
        target_outcomes: outcomes.TargetOutcomes,
        pending_tokens: Mapping[str, float],
        shares: request_shares.RequestShares | None,
        input_bytes_by_data_centre: Mapping[str, int],
        now: float,
    ) -> None:
        self._candidates = candidates
        self._outcomes = target_outcomes
        self._pending_tokens = pending_tokens
        self._shares = shares
        self._now = now
        total_bytes = sum(input_bytes_by_data_centre.values())
        self._far_s = total_bytes / CROSS_LINK_BYTES_PER_S
        self._transfer_s = {
            data_centre: (total_bytes - size) / CROSS_LINK_BYTES_PER_S
            for data_centre, size in input_bytes_by_data_centre.items()
        }

    def cheapest(
        self, groups: list[_Group], with_ejected: bool = False
    ) -> registrations.RegisteredTarget | None:
        """Return the engine with the lowest cost, if one may be used.

        Engines that cannot have the lowest cost are passed over quickly.
        """
        chosen = None
        lowest_s = math.inf
        get_stats = self._outcomes.stats_by_id.get
        get_pending = self._pending_tokens.get
        min_transfer_s = min(self._transfer_s.values(), default=0.0)
        for group in groups:
            tokens = group.tokens
            price_s = READ_PRICE_S * tokens + min_transfer_s
            min_cost_s = price_s + self._min_token_cost() * tokens
            if min_cost_s >= lowest_s:
                break
            limit_s = lowest_s - min_cost_s
            for target_id in group.target_ids:
                stats = get_stats(target_id)
                if stats is None or stats.engine_cost == -math.inf:
                    stats = self._update(target_id)
                    if stats is None:
                        continue
                if stats.engine_cost >= limit_s:
                    continue
                cost_s = (
                    stats.engine_cost
                    + price_s
                    + stats.token_cost * (tokens + get_pending(target_id, 0.0))
                )
                if cost_s >= lowest_s:
                    continue
                engine = self._candidates.get(target_id)
                if engine is None:
                    continue
                if stats.ejected_until > self._now and not with_ejected:
                    continue
                if self._transfer_s:
                    cost_s += (
                        self._transfer_s.get(engine.data_centre, self._far_s)
                        - min_transfer_s
                    )
                if cost_s < lowest_s:
                    lowest_s = cost_s
                    limit_s = lowest_s - min_cost_s
                    chosen = engine
        return chosen

    def _min_token_cost(self) -> float:
        """Return the lowest cost per token, 0 if it is not known yet."""
        known = self._outcomes.min_token_cost
        return known if known < math.inf else 0.0

    def _update(self, target_id: str) -> outcomes.TargetStats | None:
        """Compute the parts of the cost that all prompts share.

        :returns: None if the engine is no candidate.
        """
        engine = self._candidates.get(target_id)
        if engine is None:
            return None
        now = self._now
        stats = self._outcomes.stats(engine)
        load = stats.expected_load(now) / engine.slots
        cost_s = stats.tie_breaker + FULL_LOAD_COST_S * load * load
        if stats.load is not None and stats.load.queued:
            cost_s += QUEUE_COST_S
        cost_s += stats.failure_share
        if self._shares is not None:
            cost_s += self._shares.price_s(target_id, engine.service, now)
        slowness = stats.speed.slowness(now)
        if stats.speed.is_reported(now):
            slowness *= target_speed.crowding_factor(load)
        stats.engine_cost = cost_s
        stats.token_cost = slowness / PREFILL_TOKENS_PER_S
        self._outcomes.min_token_cost = min(
            self._outcomes.min_token_cost, stats.token_cost
        )
        return stats


def unshared_tokens(prompt: requests.PromptShape | None) -> int:
    """Return the count of tokens that no other request shares."""
    if prompt is None:
        return 0
    if not prompt.part_tokens:
        return prompt.input_tokens
    return prompt.part_tokens[-1]


def uncached_tokens(
    prompt: requests.PromptShape | None,
    engine: registrations.RegisteredTarget,
    caches: prompt_caches.PromptCaches | None,
) -> int:
    """Return the tokens of a prompt that an engine is expected to prefill."""
    if prompt is None:
        return 0
    if caches is None:
        return prompt.input_tokens
    return max(0, prompt.input_tokens - caches.cached_tokens(prompt, engine))


class PrefillTracker:
    """Requests that one host placed and whose prefill is not complete.

    Prompts differ widely in length. A short one behind a long one waits for
    its first event until the long one is prefilled, although the engine runs
    few requests.
    """

    def __init__(self) -> None:
        self._requests_by_job: dict[str, _PlacedRequest] = {}
        self._tokens_by_engine: dict[str, float] = {}

    @property
    def tokens_by_engine(self) -> Mapping[str, float]:
        """Tokens that each engine still has to prefill, if any."""
        return self._tokens_by_engine

    def pending_tokens(self, target_id: str) -> float:
        """Return the tokens that an engine still has to prefill."""
        return self._tokens_by_engine.get(target_id, 0.0)

    def add(self, job_id: str, target_id: str, tokens: float) -> None:
        """Track a request that is placed on an engine."""
        self.remove(job_id)
        self._requests_by_job[job_id] = _PlacedRequest(target_id, tokens)
        self._tokens_by_engine[target_id] = (
            self.pending_tokens(target_id) + tokens
        )

    def remove(self, job_id: str) -> None:
        """Stop tracking a request that is prefilled or that never will be."""
        placed = self._requests_by_job.pop(job_id, None)
        if placed is None:
            return
        remaining = self.pending_tokens(placed.target_id) - placed.tokens
        if remaining > 0.5:
            self._tokens_by_engine[placed.target_id] = remaining
        else:
            self._tokens_by_engine.pop(placed.target_id, None)


@dataclasses.dataclass(frozen=True, slots=True)
class _PlacedRequest:
    target_id: str
    tokens: float


def expected_prefill_tokens(prompt: requests.PromptShape | None) -> float:
    """Return the expected count of tokens that an engine has to prefill."""
    unshared = unshared_tokens(prompt)
    if prompt is None:
        return unshared
    return unshared + SHARED_PREFILL_FRACTION * (
        prompt.input_tokens - unshared
    )


def _preferred_engine(target_ids: Iterable[str], shared_part: str) -> str:
    """Return the id of the engine for a shared part that none holds yet.

    All hosts name the same engine, so that owners of several cells send the
    requests that share the part to it.
    """
    part_digest = _digest(shared_part)
    return max(
        [
            (
                (part_digest ^ _digest(target_id)) * HASH_FACTOR & HASH_MASK,
                target_id,
            )
            for target_id in target_ids
        ]
    )[1]
