"""Choice of a model engine for a prompt and its inputs.

Load pattern: prompts with long shared parts and inputs of several megabytes.
Reading a part again costs an engine as much as a whole short prompt, and
inputs that cross data centres cost links, so requests with the same parts go
to the same engine near their inputs while its load allows.
"""

from collections.abc import Iterable
import hashlib

from walnutport.routing import outcomes
from walnutport.world import requests
from walnutport.world import workers

__all__ = ['choose_engine', 'preference']

# Costs in seconds, so that they can be added up.
# A full engine delays a request by about this much.
FULL_LOAD_S = 0.6
# A request that waits at an engine finds it full and then some.
WAITING_S = 1.0
# Prompt tokens that an engine reads in a second, in order of magnitude.
READ_TOKENS_PER_S = 40_000.0
# Bytes that cross data centres in a second of cost: links between them are
# shared by all requests.
CROSS_BYTES_PER_S = 40e6
# Inputs smaller than this do not bind a request to a data centre.
BINDING_BYTES = 1_000_000


def preference(part_id: str, target_id: str) -> int:
    """Return the rendezvous weight of an engine for a part of a prompt."""
    digest = hashlib.blake2b(
        f'{part_id}/{target_id}'.encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, 'big')


def choose_engine(
    engines: Iterable[workers.RegisteredTarget],
    standings: outcomes.TargetOutcomes,
    prompt: requests.PromptShape | None,
    input_bytes_by_place: dict[str, int],
    now: float,
    avoid: set[str] | frozenset[str] = frozenset(),
) -> workers.RegisteredTarget | None:
    """Return the engine with the least expected cost.

    :param input_bytes_by_place: bytes of the inputs in each data centre.
    :param avoid: ids of engines that were tried already.
    """
    candidates = standings.in_service(
        [engine for engine in engines if engine.target_id not in avoid], now
    )
    if not candidates:
        return None
    total_bytes = sum(input_bytes_by_place.values())
    by_place = total_bytes >= BINDING_BYTES
    preferred = _preferred(candidates, prompt, by_place)
    shared_tokens = sum(prompt.part_tokens[:-1]) if prompt else 0

    def cost(engine: workers.RegisteredTarget) -> float:
        found = standings.standing(engine)
        load = found.expected_load(now) / engine.slots
        total = FULL_LOAD_S * load * load
        if found.load is not None and found.load.waiting:
            total += WAITING_S
        total += found.failure_share
        far = total_bytes - input_bytes_by_place.get(engine.data_centre, 0)
        total += far / CROSS_BYTES_PER_S
        if engine.target_id not in preferred:
            total += shared_tokens / READ_TOKENS_PER_S
        return total

    return min(candidates, key=lambda engine: (cost(engine), engine.target_id))


def _preferred(
    engines: list[workers.RegisteredTarget],
    prompt: requests.PromptShape | None,
    by_place: bool,
) -> set[str]:
    """Return the engines that all hosts prefer for a prompt.

    There is one for each data centre if inputs bind the choice, and one in
    all otherwise. The last part belongs to the request alone, so the part
    before it decides.
    """
    if prompt is None or not prompt.part_ids:
        return set()
    part_ids = prompt.part_ids
    part_id = part_ids[-2] if len(part_ids) > 1 else part_ids[0]
    best: dict[str, tuple[int, str]] = {}
    for engine in engines:
        place = engine.data_centre if by_place else ''
        weight = preference(part_id, engine.target_id)
        best[place] = max(best.get(place, (0, '')), (weight, engine.target_id))
    return {target_id for _, target_id in best.values()}
