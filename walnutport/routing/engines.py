"""Choice of a model engine for a prompt and its inputs.

Prompts share long parts, and inputs have several megabytes. Prefilling a part
again costs an engine as much as a whole short prompt, and inputs that cross
data centres use the links between them. Requests with the same parts
therefore go to an engine that holds these while its load allows.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import hashlib

from walnutport.routing import outcomes
from walnutport.routing import prompt_caches
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
# Prefill rate of an engine, in order of magnitude.
PREFILL_TOKENS_PER_S = 40_000.0
# Bytes sent between data centres that cost one second; all requests share the
# links.
CROSS_LINK_BYTES_PER_S = 40e6
# Average fraction of the shared tokens that an engine has to prefill.
SHARED_PREFILL_FRACTION = 0.3
# The engine that all hosts prefer for a shared part may hold it already, as
# the owner of another cell may have sent it there.
PREFERRED_PREFILL_FRACTION = 0.7


def rendezvous_weight(part_id: str, target_id: str) -> int:
    """Return the rendezvous hashing weight of an engine for a prompt part."""
    digest = hashlib.blake2b(
        f'{part_id}/{target_id}'.encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, 'big')


def choose_engine(
    engines: Iterable[registrations.RegisteredTarget],
    target_outcomes: outcomes.TargetOutcomes,
    prompt: requests.PromptShape | None,
    input_bytes_by_data_centre: dict[str, int],
    now: float,
    avoid: set[str] | frozenset[str] = frozenset(),
    pending_tokens: Callable[[str], float] = lambda target_id: 0.0,
    caches: prompt_caches.PromptCaches | None = None,
) -> registrations.RegisteredTarget | None:
    """Return the engine with the lowest expected cost, None without engines.

    :param input_bytes_by_data_centre: bytes of the inputs in each data centre.
    :param avoid: ids of engines that were tried already.
    :param pending_tokens: returns the tokens that an engine still has to
        prefill for earlier requests.
    :param caches: expected contents of the caches of the engines.
    """
    candidates = target_outcomes.exclude_ejected(
        [engine for engine in engines if engine.target_id not in avoid], now
    )
    if not candidates:
        return None
    total_bytes = sum(input_bytes_by_data_centre.values())
    preferred_id = _preferred_engine(candidates, prompt)

    def cost(engine: registrations.RegisteredTarget) -> float:
        stats = target_outcomes.stats(engine)
        load = stats.expected_load(now) / engine.slots
        total_s = FULL_LOAD_COST_S * load * load
        if stats.load is not None and stats.load.queued:
            total_s += QUEUE_COST_S
        total_s += stats.failure_share
        remote_bytes = total_bytes - input_bytes_by_data_centre.get(
            engine.data_centre, 0
        )
        total_s += remote_bytes / CROSS_LINK_BYTES_PER_S
        tokens = float(uncached_tokens(prompt, engine, caches))
        if engine.target_id == preferred_id:
            tokens *= PREFERRED_PREFILL_FRACTION
        tokens += pending_tokens(engine.target_id)
        total_s += tokens / PREFILL_TOKENS_PER_S
        return total_s

    return min(candidates, key=lambda engine: (cost(engine), engine.target_id))


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


def _preferred_engine(
    engines: list[registrations.RegisteredTarget],
    prompt: requests.PromptShape | None,
) -> str:
    """Return the id of the engine for a shared part that none holds yet.

    All hosts name the same engine, so that owners of several cells send the
    requests that share the part to it.
    """
    if prompt is None or len(prompt.part_ids) < 2:
        return ''
    shared_part = prompt.part_ids[-2]
    return max(
        engines,
        key=lambda engine: rendezvous_weight(shared_part, engine.target_id),
    ).target_id
