"""Replay of traffic with shared prompt parts on uneven engines.

The figures are those of a known installation: 36 engines with 64 slots at 0.6,
1.0 and 1.6 times the usual speed, slow spells of 600 ms in 15% of the time,
and three kinds of requests. One owner places all requests; it gets the load of
each engine 200 ms late.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from walnutport.routing import engines
from walnutport.routing import outcomes
from walnutport.routing import prompt_caches
from walnutport.world import registrations
from walnutport.world import requests

__all__ = [
    'EARLIER_CACHED_FRACTION',
    'KINDS',
    'Kind',
    'Outcome',
    'Replay',
    'earlier_choice',
]

CACHE_TOKENS = 530_339
PREFILL_TOKENS_PER_S = 92_000.0
SPEEDS = (0.6, 1.0, 1.6)
SPELL_S = 0.6
SPELL_FACTOR = 2.5
# Mean time between two spells, which makes them 15% of the time.
SPELL_GAP_S = 3.4
EVENT_S = 0.02
EARLIER_CACHED_FRACTION = 0.7
REPORT_INTERVAL_S = 0.05
REPORT_AGE_S = 0.2


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request.

    :param first_parts: number of different first parts.
    :param second_parts: number of different second parts, each of which
        belongs to one first part.
    :param exponent: second parts are chosen by a Zipf-like law with it.
    """

    name: str
    rate_per_s: float
    first_tokens: int
    first_parts: int
    second_tokens: int
    second_parts: int
    own_tokens: int
    events: int = 12
    exponent: float = 0.3

    def draw(self, rng: random.Random, number: int) -> requests.PromptShape:
        """Return the prompt of a request."""
        second = int(
            self.second_parts * rng.random() ** (1 / (1 - self.exponent))
        )
        return self.prompt(second, number)

    def prompt(self, second: int, number: int) -> requests.PromptShape:
        """Return the prompt of a request with a given second part."""
        return requests.PromptShape(
            self.first_tokens + self.second_tokens + self.own_tokens,
            self.events,
            (
                f'{self.name}-{second % self.first_parts}',
                f'{self.name}-{second}-s',
                f'{self.name}-{number}-own',
            ),
            (self.first_tokens, self.second_tokens, self.own_tokens),
        )


KINDS = (
    Kind('sessions', 72.0, 2500, 4, 3800, 1130, 2890),
    Kind('short', 89.0, 341, 16, 227, 3116, 1800),
    Kind('long-answers', 30.0, 103, 8, 69, 400, 543, events=40),
)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a replay.

    :param reread_tokens: tokens of shared parts that an engine read although
        some engine had read them before.
    :param busiest: requests of the busiest engine divided by the mean.
    :param first_event_s: mean time to the first event.
    :param late_s: time to the first event that 95% of the requests keep.
    """

    reread_tokens: int
    busiest: float
    first_event_s: float
    late_s: float


class _Engine:
    """True state of an engine."""

    def __init__(self, info: registrations.RegisteredTarget, speed: float):
        self.info = info
        self.speed = speed
        self.spell_until = 0.0
        self.prefilled_at = 0.0
        self.running = 0
        self.placed = 0
        self.cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.cached_tokens = 0

    def factor(self, now: float) -> float:
        """Return how long work takes now."""
        spell = SPELL_FACTOR if self.spell_until > now else 1.0
        return spell / self.speed

    def read(self, prompt: requests.PromptShape) -> list[tuple[str, int]]:
        """Read a prompt, and return the parts that were not cached."""
        parts = list(zip(prompt.part_ids, prompt.part_tokens))
        known = 0
        while known < len(parts) and parts[known][0] in self.cache:
            known += 1
        missing = parts[known:]
        for part_id, tokens in reversed(parts):
            if part_id not in self.cache:
                self.cached_tokens += tokens
            self.cache[part_id] = tokens
            self.cache.move_to_end(part_id)
        while self.cached_tokens > CACHE_TOKENS:
            self.cached_tokens -= self.cache.popitem(last=False)[1]
        return missing


#: Returns the engine for a prompt, from all engines, what the owner knows and
#: the time.
Choice = Callable[['Replay', requests.PromptShape, float], str]


class Replay:
    """Requests of some kinds on uneven engines, in simulated time.

    :param choose: returns the id of the engine for a prompt.
    :param reports_figure: whether engines report how long work takes.
    :param cached_fraction: part of the memory of an engine that is assumed to
        hold parts of prompts.
    """

    def __init__(
        self,
        choose: Choice,
        seed: int,
        reports_figure: bool = False,
        cached_fraction: float = 1.0,
    ) -> None:
        self._choose = choose
        self._assumed_tokens = CACHE_TOKENS * cached_fraction
        self._rng = random.Random(seed)
        self._reports_figure = reports_figure
        self.infos = [
            registrations.RegisteredTarget(
                f'e{number}',
                1,
                'llm',
                ('10.0.0.1', 8000 + number),
                'abcd'[number % 4],
                64,
                False,
                0.0,
            )
            for number in range(36)
        ]
        self._engine_by_id = {
            info.target_id: _Engine(info, SPEEDS[number % 3])
            for number, info in enumerate(self.infos)
        }
        self.outcomes = outcomes.TargetOutcomes(random.Random(seed + 1))
        self.caches = prompt_caches.PromptCaches()
        self.prefills = engines.PrefillTracker()
        self.engines_by_part: dict[str, set[str]] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._reread_tokens = 0
        self._first_event_s: list[float] = []

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def add_kind(self, kind: Kind, start: float, end: float) -> None:
        """Add the requests of a kind, which arrive at random."""

        def arrive(now: float) -> None:
            self.place(kind.draw(self._rng, next(self._numbers)), now)
            later = now + self._rng.expovariate(kind.rate_per_s)
            if later < end:
                self.at(later, arrive)

        self.at(start + self._rng.expovariate(kind.rate_per_s), arrive)

    def run(self, end: float) -> Outcome:
        """Run all requests that arrive until a time."""
        self.at(0.0, lambda now: self._report(now, end))
        for engine in self._engine_by_id.values():
            self._schedule_spell(engine, 0.0, end)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        counts = [engine.placed for engine in self._engine_by_id.values()]
        times = sorted(self._first_event_s)
        return Outcome(
            self._reread_tokens,
            max(counts) * len(counts) / sum(counts),
            sum(times) / len(times),
            times[int(0.95 * len(times))],
        )

    def place(self, prompt: requests.PromptShape, now: float) -> str:
        """Place a request and simulate it; return the id of its engine."""
        engine = self._engine_by_id[self._choose(self, prompt, now)]
        info = engine.info
        uncached = engines.uncached_tokens(prompt, info, self.caches)
        job_id = str(next(self._numbers))
        prefills = self.prefills
        prefills.add(job_id, info.target_id, uncached)
        self.caches.record(prompt, info, self._assumed_tokens)
        engine.placed += 1
        engine.running += 1
        missing = engine.read(prompt)
        for part_id, tokens in missing[:-1]:
            readers = self.engines_by_part.setdefault(part_id, set())
            if readers:
                self._reread_tokens += tokens
            readers.add(info.target_id)
        read_s = sum(tokens for _, tokens in missing) / PREFILL_TOKENS_PER_S
        engine.prefilled_at = max(
            now, engine.prefilled_at
        ) + read_s * engine.factor(now)
        first_at = engine.prefilled_at + EVENT_S * engine.factor(now)
        self._first_event_s.append(first_at - now)
        self.at(first_at + 0.02, lambda _: prefills.remove(job_id))

        def end_request(_: float) -> None:
            engine.running -= 1

        self.at(
            first_at
            + prompt.max_output_tokens * EVENT_S * engine.factor(first_at),
            end_request,
        )
        return info.target_id

    def max_running(self) -> int:
        """Return the requests that the fullest engine runs."""
        return max(engine.running for engine in self._engine_by_id.values())

    def _report(self, now: float, end: float) -> None:
        for engine in self._engine_by_id.values():
            figure = 2.5 if engine.spell_until > now else 1.0
            load = requests.ResponseLoad(
                min(64, engine.running),
                max(0, engine.running - 64),
                64,
                figure if self._reports_figure else None,
            )
            self.at(
                now + REPORT_AGE_S,
                lambda later, info=engine.info, load=load: (
                    self.outcomes.update_load(info, load, later)
                ),
            )
        if now + REPORT_INTERVAL_S < end:
            self.at(
                now + REPORT_INTERVAL_S,
                lambda later: self._report(later, end),
            )

    def _schedule_spell(self, engine: _Engine, now: float, end: float) -> None:
        start = now + self._rng.expovariate(1 / SPELL_GAP_S)
        if start >= end:
            return

        def begin(at: float) -> None:
            engine.spell_until = at + SPELL_S
            self._schedule_spell(engine, at + SPELL_S, end)

        self.at(start, begin)


def earlier_choice(
    replay: Replay, prompt: requests.PromptShape, now: float
) -> str:
    """Choose as commit 3e22dd2 does."""
    preferred_id = max(
        replay.infos,
        key=lambda engine: engines.rendezvous_weight(
            prompt.part_ids[-2], engine.target_id
        ),
    ).target_id

    def cost(engine: registrations.RegisteredTarget) -> tuple[float, str]:
        stats = replay.outcomes.stats(engine)
        load = stats.expected_load(now) / engine.slots
        total_s = 0.6 * load * load
        if stats.load is not None and stats.load.queued:
            total_s += 1.0
        tokens = float(engines.uncached_tokens(prompt, engine, replay.caches))
        if engine.target_id == preferred_id:
            tokens *= 0.7
        tokens += replay.prefills.pending_tokens(engine.target_id)
        return total_s + tokens / 40_000.0, engine.target_id

    return min(replay.infos, key=cost).target_id
