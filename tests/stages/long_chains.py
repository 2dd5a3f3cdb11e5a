"""Load of kinds of requests whose chains of stages differ in length.

Three kinds share three stage services: an urgent one with a single stage, a
less urgent one with the longest chain and a tight aim, and the least urgent
one with most of the traffic and twice that aim. Traffic comes in waves, with
bursts, and a part of the targets of the first service is lost for some
seconds. Rates, sizes, aims and worths are those of a played day of an
installation, as in issue 41.
"""

import collections
from collections.abc import Mapping
import dataclasses
import math
import random

from tests.stages import replay
from walnutport.stages import pieces
from walnutport.stages import scheduler
from walnutport.stages import stage_targets
from walnutport.world import registrations
from walnutport.world import routes

SERVICES = {
    'scan': (10, routes.BatchRules(1, 2, 10, 0.15, 0.013, 52_000_000)),
    'lookup': (8, routes.BatchRules(1, 2, 49, 0.15, 0.00265, 8_700_000)),
    'share': (9, routes.BatchRules(1, 2, 88, 0.15, 0.0015, 1_500_000)),
}
DATA_CENTRES = 'abcd'
DURATION_S = 34.0
# Traffic is a wave around its mean.
WAVE_SWING = 0.27
WAVE_PERIOD_S = 11.0
# Targets of the first service that are lost, and for how long.
LOST_SERVICE = 'scan'
LOST_COUNT = 3
LOST_FROM = 11.0
LOST_UNTIL = 15.5
# Variation of the duration of single calls.
CALL_VARIATION = (0.8, 1.2)
# Time after which a lost target is no longer listed.
UNLISTED_AFTER_S = 1.0


def _spread(
    rng: random.Random, mean: float, spread: float, limit: float
) -> int:
    """Draw a number of pieces, 1 or more, with a long tail."""
    drawn = rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
    return max(1, round(min(limit, drawn)))


SINGLE = replay.Kind(
    'single',
    38.2,
    0,
    1.035,
    6.2,
    (routes.StageSpec('scan', (), 3_000_000),),
    lambda rng: (_spread(rng, 2.5, 0.6, 10) if rng.random() < 0.7 else 0,),
    worth=5.6,
    late_worth=0.34,
)
LONG_CHAIN = replay.Kind(
    'long',
    22.0,
    1,
    1.515,
    15.1,
    (
        routes.StageSpec('scan', (), 3_000_000),
        routes.StageSpec('scan', (), 8_000),
        routes.StageSpec('lookup', (1,), 60_000),
        routes.StageSpec('share', (2,), 6_000),
    ),
    lambda rng: (
        _spread(rng, 1.5, 0.6, 6) if rng.random() < 0.4 else 0,
        1,
        8,
        _spread(rng, 16, 0.4, 40),
    ),
    worth=0.69,
    late_worth=0.1,
    piece_work=(1.0, 0.3, 1.0, 1.0),
)
CHAIN = replay.Kind(
    'chain',
    76.4,
    2,
    3.02,
    6.04,
    (
        routes.StageSpec('scan', (), 8_000),
        routes.StageSpec('lookup', (0,), 60_000),
        routes.StageSpec('share', (1,), 6_000),
    ),
    lambda rng: (1, 8, _spread(rng, 16, 0.4, 40)),
    worth=0.83,
    late_worth=0.18,
    piece_work=(0.3, 1.0, 1.0),
)
KINDS = (SINGLE, LONG_CHAIN, CHAIN)


def factor(kind: replay.Kind, team: str, at: float) -> float:
    """Return by how much the usual traffic is multiplied at a time."""
    found = 1 + WAVE_SWING * math.sin(2 * math.pi * at / WAVE_PERIOD_S)
    if kind.name == SINGLE.name and 2.4 <= at < 7.6:
        found *= 2.1
    if kind.name == CHAIN.name and (3.7 <= at < 8.9 or 16.0 <= at < 22.9):
        found *= 2.3
    if 25.0 <= at < 29.0:
        found *= 1.6
    return found


@dataclasses.dataclass(frozen=True)
class Setting:
    """What makes the services scarce.

    :param slowness: range of the duration of calls at the targets of each
        service, relative to its rules. Targets differ in speed and share their
        machines with others.
    :param final_s: mean duration of the request after its stages, by kind.
        Results occupy their targets until then.
    :param rate_by_kind: rate of a kind relative to its usual one.
    :param urgent_teams: number of teams whose priority is 0 while that of the
        others is 1; None if teams have no priority of their own.
    """

    slowness: Mapping[str, tuple[float, float]]
    final_s: Mapping[str, float]
    rate_by_kind: Mapping[str, float] = dataclasses.field(default_factory=dict)
    urgent_teams: int | None = None


SETTINGS = {
    'slow_targets': Setting(
        dict.fromkeys(SERVICES, (1.2, 2.0)),
        {'single': 0.3, 'long': 0.2, 'chain': 0.2},
    ),
    'scarce_room': Setting(
        {'scan': (0.95, 1.1), 'lookup': (1.0, 1.2), 'share': (1.2, 1.6)},
        {'single': 0.5, 'long': 0.5, 'chain': 0.5},
    ),
    'full_calls': Setting(
        dict.fromkeys(SERVICES, (0.92, 1.17)),
        {'single': 0.1, 'long': 0.1, 'chain': 0.1},
        {'long': 1.3, 'chain': 1.3},
    ),
    'team_priorities': Setting(
        dict.fromkeys(SERVICES, (0.92, 1.17)),
        {'single': 0.1, 'long': 0.1, 'chain': 0.1},
        {'long': 1.3, 'chain': 1.3},
        urgent_teams=2,
    ),
}


class LongChains(replay.Replay):
    """Replay of the load.

    :ivar waits: time that the pieces of each stage waited before their call
        started, by name of the kind and stage.
    """

    def __init__(
        self,
        setting: Setting,
        seed: int = 1,
        cell: scheduler.StageScheduler | None = None,
    ) -> None:
        self.waits: dict[tuple[str, int], list[float]] = (
            collections.defaultdict(list)
        )
        self._kind_by_id: dict[str, replay.Kind] = {}
        self._urgent_teams = setting.urgent_teams
        self._ready_at: dict[tuple[str, int], float] = {}
        self._lost: set[str] = set()
        super().__init__(
            cell or scheduler.StageScheduler(),
            factor,
            DURATION_S,
            tuple(
                dataclasses.replace(
                    kind,
                    final_s=setting.final_s[kind.name],
                    rate=kind.rate * setting.rate_by_kind.get(kind.name, 1.0),
                )
                for kind in KINDS
            ),
            seed,
            SERVICES,
            DATA_CENTRES,
        )
        self._slowness_by_target = {
            target.target_id: self._rng.uniform(
                *setting.slowness[target.service]
            )
            for target in self._targets()
        }
        self._at(LOST_FROM, self._lose_targets)
        self._at(LOST_FROM + UNLISTED_AFTER_S, self._update_targets)
        self._at(LOST_UNTIL, self._return_targets)

    def figures(self) -> str:
        """Return a table of figures by kind."""
        lines = []
        for kind in KINDS:
            found = self.select(kind=kind.name)
            served = [item for item in found if item.done_at is not None]
            timely = sum(item.on_time for item in served)
            reasons = collections.Counter(
                item.refusal_reasons[-1]
                for item in found
                if item.done_at is None
            )
            waits = [
                f'{sum(waits) / len(waits):.2f}'
                for (name, _), waits in sorted(self.waits.items())
                if name == kind.name
            ]
            lines.append(
                f'{kind.name}: {len(found)} asked, {timely} in aim, '
                f'{len(served) - timely} late, '
                f'{len(found) - len(served)} not served {dict(reasons)}, '
                f'worth {self.worth(kind=kind.name):.3f}, '
                f'served {self.served(kind=kind.name):.3f}, '
                f'waits s {" ".join(waits)}'
            )
        return '\n'.join(lines)

    def _targets(self) -> list[registrations.RegisteredTarget]:
        lost_ids = [f'{LOST_SERVICE}-{n}' for n in range(LOST_COUNT)]
        return [
            target
            if self.now < LOST_UNTIL or target.target_id not in lost_ids
            else replay.builders.target(
                target.target_id,
                target.service,
                target.data_centre,
                incarnation=2,
            )
            for target in super()._targets()
            if target.target_id not in self._lost
        ]

    def _lose_targets(self) -> None:
        self._lost = {f'{LOST_SERVICE}-{n}' for n in range(LOST_COUNT)}

    def _return_targets(self) -> None:
        self._lost = set()
        self._update_targets()

    def _job_spec(
        self, request: replay.Request, job_id: str
    ) -> pieces.JobSpec:
        spec = super()._job_spec(request, job_id)
        self._kind_by_id[spec.request_id] = request.kind
        for number, stage in enumerate(request.kind.stages):
            if not stage.after:
                self._ready_at[spec.request_id, number] = self.now
        if self._urgent_teams is None:
            return spec
        is_urgent = request.team in replay.TEAMS[: self._urgent_teams]
        return dataclasses.replace(
            spec,
            urgency=0 if is_urgent else 1,
            kind_urgency=request.kind.urgency,
        )

    def _run(self, call: pieces.BatchCall) -> list[str | pieces.PieceFailure]:
        for request_id, stage in {
            (piece.request_id, piece.stage) for piece in call.pieces
        }:
            ready_at = self._ready_at.get((request_id, stage), self.now)
            kind = self._kind_by_id[request_id]
            self.waits[kind.name, stage].append(self.now - ready_at)
        return super()._run(call)

    def _duration_s(
        self,
        call: pieces.BatchCall,
        outcomes: list[str | pieces.PieceFailure],
    ) -> float:
        if call.target.target_id in self._lost:
            return 0.0
        rules = SERVICES[call.target.service][1]
        work = 0.0
        for piece in call.pieces:
            kind = self._kind_by_id[piece.request_id]
            work += kind.piece_work[piece.stage] if kind.piece_work else 1.0
        slowness = self._slowness_by_target[call.target.target_id]
        slowness *= self._rng.uniform(*CALL_VARIATION)
        return slowness * (rules.call_s + work * rules.piece_s)

    def _finish(
        self,
        call: pieces.BatchCall,
        outcomes: list[str | pieces.PieceFailure],
    ) -> None:
        if call.target.target_id in self._lost:
            self._running[call.target.target_id] -= 1
            self.cell.call_failed(
                call.call_id, stage_targets.CallFailure.LOST, self.now
            )
            return
        for piece in call.pieces:
            kind = self._kind_by_id[piece.request_id]
            for number, stage in enumerate(kind.stages):
                if piece.stage in stage.after:
                    self._ready_at[piece.request_id, number] = self.now
        super()._finish(call, outcomes)
