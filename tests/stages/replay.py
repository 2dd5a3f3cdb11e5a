"""Replays loads on the scheduler of a cell, without a network.

The sizes are those of an installation whose stage services have 9, 8 and 8
targets of one slot each. All random draws come from one seeded generator.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import heapq
import itertools
import random

from tests.stages import builders
from walnutport.stages import pieces
from walnutport.stages import scheduler
from walnutport.world import registrations
from walnutport.world import routes

SERVICES = {
    'one': (9, routes.BatchRules(1, 2, 14, 0.15, 0.0092, 77_000_000)),
    'two': (8, routes.BatchRules(1, 2, 64, 0.15, 0.0020, 77_000_000)),
    'three': (8, routes.BatchRules(1, 2, 91, 0.15, 0.0014, 77_000_000)),
}
TEAMS = tuple(f'team-{number}' for number in range(16))
# A caller honours a Retry-After up to this fraction of the time it has left.
MAX_RETRY_AFTER_RATIO = 1 / 3
NETWORK_S = 0.01
FINAL_S = 0.3
TICK_S = 0.02


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request.

    :param rate: usual requests a second.
    :param counts: draws the number of pieces of each stage.
    :param final_s: mean duration of the request after its stages.
    :param worth: value of an answer within the aim.
    :param late_worth: value of a later answer.
    :param piece_work: work of a piece of each stage, relative to the rules of
        its service; 1 for all if empty.
    """

    name: str
    rate: float
    urgency: int
    aim_s: float
    deadline_s: float
    stages: tuple[routes.StageSpec, ...]
    counts: Callable[[random.Random], tuple[int, ...]]
    final_s: float = FINAL_S
    worth: float = 1.0
    late_worth: float = 0.0
    piece_work: tuple[float, ...] = ()


KIND_A = Kind(
    'A',
    72.0,
    1,
    0.96,
    6.0,
    (routes.StageSpec('one', (), 3_000_000),),
    lambda rng: (rng.randint(1, 4) if rng.random() < 0.7 else 0,),
)
KIND_B = Kind(
    'B',
    89.0,
    0,
    1.5,
    5.0,
    (
        routes.StageSpec('one', (), 8_000),
        routes.StageSpec('two', (0,), 8_000),
        routes.StageSpec('three', (1,), 8_000),
    ),
    lambda rng: (1, rng.randint(6, 10), rng.randint(6, 10)),
)
KIND_C = Kind(
    'C',
    30.0,
    2,
    1.5,
    15.0,
    (
        routes.StageSpec('one', (), 8_000),
        routes.StageSpec('three', (0,), 8_000),
    ),
    lambda rng: (rng.randint(1, 3), rng.randint(4, 12)),
)
KINDS = (KIND_A, KIND_B, KIND_C)


@dataclasses.dataclass(eq=False)
class Request:
    """One request and what became of it."""

    kind: Kind
    team: str
    at: float
    content: bytes
    counts: tuple[int, ...]
    refusals: int = 0
    refusal_reasons: list[str] = dataclasses.field(default_factory=list)
    stages_done_at: float | None = None
    done_at: float | None = None

    @property
    def on_time(self) -> bool:
        """Whether the answer came within the aim."""
        return (
            self.done_at is not None
            and self.done_at - self.at <= self.kind.aim_s
        )


class Replay:
    """Offers a load to a scheduler and collects what became of it.

    :param factor: returns by how much the usual traffic of a kind and team
        is multiplied at a time.
    :param services: number of targets and batch rules of each service.
    :param data_centres: data centres that the targets of each service are
        spread over.
    """

    def __init__(
        self,
        cell: scheduler.StageScheduler,
        factor: Callable[[Kind, str, float], float],
        duration_s: float,
        kinds: tuple[Kind, ...] = KINDS,
        seed: int = 1,
        services: Mapping[str, tuple[int, routes.BatchRules]] = SERVICES,
        data_centres: Sequence[str] = 'ab',
    ) -> None:
        self.cell = cell
        self._data_centres = data_centres
        self.services = services
        self.requests: list[Request] = []
        self.now = 0.0
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._request_by_job: dict[str, Request] = {}
        self._running: dict[str, int] = collections.Counter()
        self._update_targets()
        for kind in kinds:
            for team in TEAMS:
                self._draw_arrivals(kind, team, factor, duration_s)
        self._at(0.0, lambda: self._tick(duration_s + 16.0))

    def run(self) -> 'Replay':
        """Play all events and return the replay."""
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()
            self._advance()
        return self

    def select(self, **wanted: object) -> list[Request]:
        """Return the requests of a kind (by name) or a team."""
        name, team = wanted.get('kind'), wanted.get('team')
        return [
            request
            for request in self.requests
            if name in (None, request.kind.name)
            and team in (None, request.team)
        ]

    def value(self, **wanted: object) -> float:
        """Return the fraction of requests served within their aim."""
        found = self.select(**wanted)
        return sum(request.on_time for request in found) / len(found)

    def served(self, **wanted: object) -> float:
        """Return the fraction of requests that were served at all."""
        found = self.select(**wanted)
        return sum(item.done_at is not None for item in found) / len(found)

    def worth(self, **wanted: object) -> float:
        """Return the earned part of the worth of requests."""
        found = self.select(**wanted)
        earned = sum(
            item.kind.worth if item.on_time else item.kind.late_worth
            for item in found
            if item.done_at is not None
        )
        return earned / sum(item.kind.worth for item in found)

    def refused(self, times: int, **wanted: object) -> int:
        """Return the number of requests refused at least so many times."""
        return sum(item.refusals >= times for item in self.select(**wanted))

    def summary(self) -> str:
        """Return one line of figures by kind."""
        return ' | '.join(
            f'{name}: value {self.value(kind=name):.3f} served '
            f'{self.served(kind=name):.3f} '
            f'refused {self.refused(1, kind=name)} '
            f'twice {self.refused(2, kind=name)}'
            f' of {len(self.select(kind=name))}'
            for name in sorted({item.kind.name for item in self.requests})
        )

    def _update_targets(self) -> None:
        self.cell.update_targets(
            {name: rules for name, (_, rules) in self.services.items()},
            self._targets(),
            self.now,
        )

    def _targets(self) -> list[registrations.RegisteredTarget]:
        """Return the registered targets."""
        return [
            builders.target(
                f'{name}-{number}',
                name,
                self._data_centres[number % len(self._data_centres)],
            )
            for name, (count, _) in self.services.items()
            for number in range(count)
        ]

    def _draw_arrivals(self, kind, team, factor, duration_s) -> None:
        peak, at = 12.0 * kind.rate / len(TEAMS), 0.0
        while True:
            at += self._rng.expovariate(peak)
            if at >= duration_s:
                return
            usual = kind.rate / len(TEAMS)
            if self._rng.random() * peak >= usual * factor(kind, team, at):
                continue
            request = Request(
                kind,
                team,
                at,
                self._rng.randbytes(16),
                kind.counts(self._rng),
            )
            self.requests.append(request)
            self._at(at, lambda request=request: self._submit(request))

    def _at(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _tick(self, until: float) -> None:
        self.cell.expire_jobs(self.now)
        if self.now < until:
            self._at(self.now + TICK_S, lambda: self._tick(until))

    def _submit(self, request: Request) -> None:
        job_id = str(next(self._numbers))
        refusal = self.cell.submit(self._job_spec(request, job_id), self.now)
        if refusal is not None:
            self._refuse(request, refusal)
        else:
            self._request_by_job[job_id] = request

    def _job_spec(self, request: Request, job_id: str) -> pieces.JobSpec:
        kind = request.kind
        left_s = request.at + kind.deadline_s - self.now
        spec = builders.job_spec(
            job_id,
            kind.stages,
            request.counts,
            kind.urgency,
            # The host that asks does not know how often a caller has come.
            kind.aim_s,
            left_s,
            kind.final_s,
            request.team,
            request.content,
        )
        if hasattr(spec, 'route'):
            spec = dataclasses.replace(spec, route=kind.name)
        return spec

    def _refuse(self, request: Request, refusal) -> None:
        request.refusals += 1
        request.refusal_reasons.append(refusal.reason)
        left_s = request.at + request.kind.deadline_s - self.now
        if request.refusals > 1 or left_s <= 0:
            return
        delay_s = refusal.retry_after_s
        if not getattr(refusal, 'reserved', False):
            delay_s *= self._rng.uniform(0.8, 1.2)
        delay_s = min(delay_s, left_s * MAX_RETRY_AFTER_RATIO)
        self._at(self.now + delay_s + NETWORK_S, lambda: self._submit(request))

    def _advance(self) -> None:
        for call in self.cell.next_calls(self.now):
            target_id = call.target.target_id
            assert not self._running[target_id], 'a second call at a target'
            self._running[target_id] += 1
            outcomes = self._run(call)
            self._at(
                self.now + self._duration_s(call, outcomes) + NETWORK_S,
                lambda call=call, outcomes=outcomes: self._finish(
                    call, outcomes
                ),
            )
        for outcome in self.cell.take_outcomes():
            request = self._request_by_job.pop(outcome.job_id)
            if isinstance(outcome, pieces.JobFailure):
                self._refuse(request, outcome)
                continue
            request.stages_done_at = self.now
            self._at(
                self.now + request.kind.final_s * self._rng.uniform(0.8, 1.2),
                lambda request=request, job_id=outcome.job_id: self._end(
                    request, job_id
                ),
            )
        for target, handles in self.cell.take_freed_handles(self.now):
            self._free(target.target_id, handles)

    def _run(self, call: pieces.BatchCall) -> list[str | pieces.PieceFailure]:
        """Return the outcomes of a call that starts now."""
        return [f'{call.call_id}/{n}' for n in range(len(call.pieces))]

    def _duration_s(
        self,
        call: pieces.BatchCall,
        outcomes: list[str | pieces.PieceFailure],
    ) -> float:
        """Return the duration of a call; nothing if it makes no result."""
        rules = self.services[call.target.service][1]
        count = sum(isinstance(item, str) for item in outcomes)
        return rules.call_s + count * rules.piece_s if count else 0.0

    def _free(self, target_id: str, handles: list[str]) -> None:
        """Free results at a target."""

    def _finish(
        self,
        call: pieces.BatchCall,
        outcomes: list[str | pieces.PieceFailure],
    ) -> None:
        self._running[call.target.target_id] -= 1
        self.cell.call_done(call.call_id, outcomes, self.now)

    def _end(self, request: Request, job_id: str) -> None:
        self.cell.release(job_id)
        request.done_at = self.now


def burst(
    factor: float,
    kinds: str = 'ABC',
    starts: tuple[float, ...] = (4.0,),
    length_s: float = 5.0,
) -> Callable[[Kind, str, float], float]:
    """Return the factor of a load with bursts of some kinds."""

    def find(kind: Kind, team: str, at: float) -> float:
        in_burst = any(start <= at < start + length_s for start in starts)
        return factor if in_burst and kind.name in kinds else 1.0

    return find


def one_team(kind: Kind, team: str, at: float) -> float:
    """Return the factor of a load in which one team sends too much.

    All others send 1.5 times the usual, which leaves little room.
    """
    return 7.5 if team == TEAMS[0] and 4 <= at < 12 else 1.5


#: Loads by name: factor and duration in seconds.
LOADS = {
    'peak': (burst(2.2, 'AB'), 16.0),
    'long_jobs': (burst(2.4, 'ABC'), 16.0),
    'herd': (burst(4.0, 'ABC', (4.0,), 1.5), 14.0),
    'waves': (burst(2.2, 'ABC', (4.0, 17.0, 30.0), 5.0), 42.0),
    'one_team': (one_team, 18.0),
}
