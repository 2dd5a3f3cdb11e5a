"""Choice of a model engine for a prompt and its inputs.

Load pattern: prompts with long shared parts and inputs of several megabytes.
Reading a part again costs an engine as much as a whole short prompt, and
inputs that cross data centres cost links, so requests with the same parts go
to the same engine near their inputs while its load allows.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import hashlib

from walnutport.routing import outcomes
from walnutport.world import registrations
from walnutport.world import requests

__all__ = [
    'PrefillTracker',
    'FirstEventForecast',
    'choose_engine',
    'expected_prefill_tokens',
    'preference',
    'unshared_tokens',
]

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
# Time to the first event besides reading: the way there and one step.
FIRST_EVENT_BASE_S = 0.03
# Share of the shared tokens that an engine reads on average.
SHARED_UNREAD = 0.3
# Short prompts say nothing about the reading rate.
LEAST_LEARNT_TOKENS = 500
MOST_RATE_RATIO = 4.0
RATE_GAIN = 0.05
# One in so many engines of a data centre keeps a first part. Fewer keepers
# read it less often, more keepers carry more load.
KEEPER_SHARE = 3


def preference(part_id: str, target_id: str) -> int:
    """Return the rendezvous weight of an engine for a part of a prompt."""
    digest = hashlib.blake2b(
        f'{part_id}/{target_id}'.encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, 'big')


def choose_engine(
    engines: Iterable[registrations.RegisteredTarget],
    standings: outcomes.TargetOutcomes,
    prompt: requests.PromptShape | None,
    input_bytes_by_place: dict[str, int],
    now: float,
    avoid: set[str] | frozenset[str] = frozenset(),
    pending_tokens: Callable[[str], float] = lambda target_id: 0.0,
) -> registrations.RegisteredTarget | None:
    """Return the engine with the least expected cost.

    :param input_bytes_by_place: bytes of the inputs in each data centre.
    :param avoid: ids of engines that were tried already.
    :param pending_tokens: tokens that an engine has still to read for
        requests that were placed before.
    """
    candidates = standings.in_service(
        [engine for engine in engines if engine.target_id not in avoid], now
    )
    if not candidates:
        return None
    total_bytes = sum(input_bytes_by_place.values())
    by_place = total_bytes >= BINDING_BYTES
    unread = _unread_tokens(candidates, prompt, by_place)

    def cost(engine: registrations.RegisteredTarget) -> float:
        found = standings.stats(engine)
        load = found.expected_load(now) / engine.slots
        total = FULL_LOAD_S * load * load
        if found.load is not None and found.load.waiting:
            total += WAITING_S
        total += found.failure_share
        far = total_bytes - input_bytes_by_place.get(engine.data_centre, 0)
        total += far / CROSS_BYTES_PER_S
        tokens = float(unread.get(engine.target_id, 0))
        tokens += pending_tokens(engine.target_id)
        total += tokens / READ_TOKENS_PER_S
        return total

    return min(candidates, key=lambda engine: (cost(engine), engine.target_id))


def unshared_tokens(prompt: requests.PromptShape | None) -> int:
    """Return the tokens that only this request has."""
    if prompt is None:
        return 0
    if not prompt.part_tokens:
        return prompt.input_tokens
    return prompt.part_tokens[-1]


class PrefillTracker:
    """Requests that engines are still reading, as one host placed them.

    Load pattern: prompts of very different length. A short one behind a long
    one waits for its first event for as long as the long one is read, though
    the engine runs few requests.
    """

    def __init__(self) -> None:
        self._placed_by_job: dict[str, _Placed] = {}
        self._tokens_by_engine: dict[str, float] = {}

    def pending_tokens(self, target_id: str) -> float:
        """Return the tokens that an engine has still to read."""
        return self._tokens_by_engine.get(target_id, 0.0)

    def add(self, job_id: str, target_id: str, tokens: float) -> None:
        """Take note of a request on its way to an engine."""
        self.remove(job_id)
        self._placed_by_job[job_id] = _Placed(target_id, tokens)
        self._tokens_by_engine[target_id] = (
            self.pending_tokens(target_id) + tokens
        )

    def remove(self, job_id: str) -> None:
        """Take note that an engine has read a request, or never will."""
        found = self._placed_by_job.pop(job_id, None)
        if found is None:
            return
        left = self.pending_tokens(found.target_id) - found.tokens
        if left > 0.5:
            self._tokens_by_engine[found.target_id] = left
        else:
            self._tokens_by_engine.pop(found.target_id, None)


@dataclasses.dataclass(frozen=True, slots=True)
class _Placed:
    target_id: str
    tokens: float


class FirstEventForecast:
    """Expected time from placing a request to its first event.

    It is linear in the tokens that the engine has to read, with a rate that
    follows the measured times.
    """

    def __init__(self) -> None:
        self._s_per_token = 1 / READ_TOKENS_PER_S

    def expected_s(self, prompt: requests.PromptShape | None) -> float:
        """Return the expected time of a prompt."""
        return (
            FIRST_EVENT_BASE_S
            + self._s_per_token * expected_prefill_tokens(prompt)
        )

    def observe(
        self, prompt: requests.PromptShape | None, took_s: float
    ) -> None:
        """Learn from one first event."""
        tokens = expected_prefill_tokens(prompt)
        if tokens < LEAST_LEARNT_TOKENS:
            return
        sample = max(0.0, took_s - FIRST_EVENT_BASE_S) / tokens
        # One request that waited long says little about the rate.
        sample = min(sample, MOST_RATE_RATIO * self._s_per_token)
        self._s_per_token += RATE_GAIN * (sample - self._s_per_token)


def expected_prefill_tokens(prompt: requests.PromptShape | None) -> float:
    """Return the tokens of a prompt that an engine likely has to read."""
    own = unshared_tokens(prompt)
    if prompt is None:
        return own
    return own + SHARED_UNREAD * (prompt.input_tokens - own)


def _unread_tokens(
    engines: list[registrations.RegisteredTarget],
    prompt: requests.PromptShape | None,
    by_place: bool,
) -> dict[str, int]:
    """Return the shared tokens that each engine is expected to read.

    All hosts deal the parts alike. A first part, which many prompts share, is
    kept by a share of the engines of each data centre; the part before the
    last, which few share, by one of these. The last part belongs to the
    request alone.
    """
    if prompt is None or len(prompt.part_ids) < 2:
        return {}
    engines_by_place: dict[str, list[registrations.RegisteredTarget]] = {}
    for engine in engines:
        engines_by_place.setdefault(engine.data_centre, []).append(engine)
    keepers: list[registrations.RegisteredTarget] = []
    for near in engines_by_place.values():
        near.sort(
            key=lambda engine: preference(
                prompt.part_ids[0], engine.target_id
            ),
            reverse=True,
        )
        keepers += near[: max(1, len(near) // KEEPER_SHARE)]
    best_by_place: dict[str, tuple[int, str]] = {}
    for engine in keepers:
        place = engine.data_centre if by_place else ''
        weight = preference(prompt.part_ids[-2], engine.target_id)
        best_by_place[place] = max(
            best_by_place.get(place, (0, '')), (weight, engine.target_id)
        )
    first_tokens = prompt.part_tokens[0]
    more_tokens = sum(prompt.part_tokens[1:-1])
    unread = {
        engine.target_id: first_tokens + more_tokens for engine in engines
    }
    for engine in keepers:
        unread[engine.target_id] = more_tokens
    for _, target_id in best_by_place.values():
        unread[target_id] = 0
    return unread
