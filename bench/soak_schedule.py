"""Random fault schedules for soak rounds."""

import dataclasses
import random

from standins import fault_proxy

__all__ = [
    'CUT_FAULTS',
    'DATA_CENTRES',
    'ROUND_S',
    'STATEMENTS',
    'FaultAction',
    'draw',
]

# Faults begin within this time; the last ones end a few seconds later.
ROUND_S = 9.0
# Number of faults of a round, high enough that several overlap most of the
# time.
MIN_FAULTS = 14
MAX_FAULTS = 26
# Targets that run the requests themselves are chosen this many times as often
# as stage targets, because a retry cannot always make up for their faults.
RUN_TARGET_WEIGHT = 4
# Share of the faults that are repeated at the same location.
REPEAT_SHARE = 0.3
# Share of the rounds in which the store returns from an older copy, and the
# share of these in which it does so again.
STORE_RETURN_SHARE = 0.5

# Share of the rounds in which a target states something in its responses, and
# the share of these in which another statement follows.
STATEMENT_SHARE = 0.7

# Share of the rounds in which some hosts are cut off from all targets, and the
# share of these in which they are so again.
CUT_SHARE = 0.5

# Share of the rounds in which the operator evacuates data centres, and the
# share of these in which it does so again.
EVACUATION_SHARE = 0.5
#: Data centres of the targets in these rounds.
DATA_CENTRES = ('a', 'b')

# Share of the rounds in which targets become cold, and the share of these in
# which another one does.
COLD_SHARE = 0.5
# Targets of these services crash if they are pushed while they are cold.
COLD_PREFIXES = ('plain-', 'llm-', 'rank-')

# Share of the rounds in which all targets and the store stand still for a
# while, and the share of these in which they do so again.
FREEZE_SHARE = 0.4
# Share of the rounds in which bytes arrive one by one, or responses a second
# time, and the share of these in which it happens once more.
TRICKLE_SHARE = 0.6

#: Faults between these hosts and all targets, in order, by variant.
CUT_FAULTS = {
    'reset': (
        fault_proxy.Faults(reset=True),
        fault_proxy.Faults(refuse=True),
    ),
    'refuse': (fault_proxy.Faults(refuse=True),),
    'silent': (fault_proxy.Faults(black_hole=True, stall=True),),
}

#: Headers that a target adds to its responses, by variant.
STATEMENTS = {
    'limit': {'Server-Limit': '2.5'},
    'wait': {'Retry-After': '0.7'},
    'leaving': {'Server-Leaving': '1'},
    'nonsense': {
        'Server-Limit': 'nan',
        'Server-Leaving': 'perhaps',
        'Retry-After': '-1',
    },
}

_NETWORK_FAULTS = ('delay', 'reset', 'silent', 'half_open', 'drip')
_TARGET_MODES = (
    'fail',
    'full',
    'reset',
    'reset_after',
    'reset_after',
    'reset_midway',
    'reset_midway',
)
_STAGE_TARGET_PREFIXES = ('encode-', 'rank-')
_STORE_MODES = ('busy', 'reset')
_HOST_FAULTS = ('pause', 'kill', 'stop')
_WEIGHTED_KINDS = (
    *('network',) * 5,
    *('mode',) * 6,
    *('host',) * 4,
    *('store',) * 2,
    *('desired',) * 2,
    *('leave',) * 2,
)


@dataclasses.dataclass(frozen=True, slots=True)
class FaultAction:
    """A fault that is injected during a round.

    :param kind: ``network``, ``mode``, ``host``, ``store``, ``desired``,
        ``leave``, ``return``, ``state``, ``cut``, ``evacuate``, ``cold`` or
        ``freeze``. With ``return``, the store takes a copy at the start and
        returns from it at the end. With ``state``, a target states something
        in its responses. An evacuation is withdrawn at the end. With
        ``freeze``, the process of all targets and the store is stopped.
    :param location: target id, host number or ``store``.
    :param variant: which fault of this kind.
    :param at_s: start, relative to the start of the round.
    :param for_s: duration.
    """

    kind: str
    location: str
    variant: str
    at_s: float
    for_s: float
    faults: fault_proxy.Faults = fault_proxy.Faults()


def draw(
    seed: int, target_ids: tuple[str, ...], hosts: int
) -> list[FaultAction]:
    """Return the faults of a round in order of their start."""
    rng = random.Random(seed)
    actions: list[FaultAction] = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        action = _draw_fault(rng, target_ids, hosts)
        actions.append(action)
        if rng.random() < REPEAT_SHARE:
            gap_s = rng.uniform(0.1, 1.5)
            actions.append(
                dataclasses.replace(
                    action, at_s=action.at_s + action.for_s + gap_s
                )
            )
    actions += _draw_store_returns(seed)
    actions += _draw_statements(seed, target_ids)
    actions += _draw_cuts(seed)
    actions += _draw_evacuations(seed)
    actions += _draw_cold(seed, target_ids)
    actions += _draw_freezes(seed)
    actions += _draw_trickles(seed, target_ids)
    return sorted(actions, key=lambda action: action.at_s)


def _draw_store_returns(seed: int) -> list[FaultAction]:
    """Return the times at which the store returns from an older copy.

    The variant is the time after which the lost records are written again.
    """
    rng = random.Random(f'{seed}/store-returns')
    actions: list[FaultAction] = []
    while rng.random() < STORE_RETURN_SHARE:
        actions.append(
            FaultAction(
                'return',
                'store',
                f'{rng.uniform(0.05, 1.8):.2f}',
                round(rng.uniform(0.0, ROUND_S), 2),
                round(rng.uniform(0.2, 4.0), 2),
            )
        )
    return actions


def _draw_cuts(seed: int) -> list[FaultAction]:
    """Return when some hosts are cut off from all targets, and how."""
    rng = random.Random(f'{seed}/cuts')
    actions: list[FaultAction] = []
    while rng.random() < CUT_SHARE:
        actions.append(
            FaultAction(
                'cut',
                'targets',
                rng.choice(tuple(CUT_FAULTS)),
                round(rng.uniform(0.0, ROUND_S), 2),
                round(rng.uniform(0.5, 4.0), 2),
            )
        )
    return actions


def _draw_evacuations(seed: int) -> list[FaultAction]:
    """Return when the operator evacuates which data centres."""
    rng = random.Random(f'{seed}/evacuations')
    actions: list[FaultAction] = []
    while rng.random() < EVACUATION_SHARE:
        actions.append(
            FaultAction(
                'evacuate',
                rng.choice(DATA_CENTRES),
                'operator',
                round(rng.uniform(0.0, ROUND_S), 2),
                round(rng.uniform(0.1, 4.0), 2),
            )
        )
    return actions


def _draw_freezes(seed: int) -> list[FaultAction]:
    """Return when the process of the targets and the store is stopped."""
    rng = random.Random(f'{seed}/freezes')
    actions: list[FaultAction] = []
    while rng.random() < FREEZE_SHARE:
        actions.append(
            FaultAction(
                'freeze',
                'targets',
                'stop',
                round(rng.uniform(0.0, ROUND_S), 2),
                round(rng.uniform(0.1, 1.4), 2),
            )
        )
    return actions


def _draw_cold(seed: int, target_ids: tuple[str, ...]) -> list[FaultAction]:
    """Return which targets become cold, when, and for how long."""
    rng = random.Random(f'{seed}/cold')
    actions: list[FaultAction] = []
    limited = [
        target_id
        for target_id in target_ids
        if target_id.startswith(COLD_PREFIXES)
    ]
    while limited and rng.random() < COLD_SHARE:
        actions.append(
            FaultAction(
                'cold',
                rng.choice(limited),
                'cold',
                round(rng.uniform(0.0, ROUND_S), 2),
                round(rng.uniform(3.0, 6.0), 2),
            )
        )
    return actions


def _draw_trickles(
    seed: int, target_ids: tuple[str, ...]
) -> list[FaultAction]:
    """Return where bytes arrive one by one, or responses a second time."""
    rng = random.Random(f'{seed}/trickles')
    actions: list[FaultAction] = []
    while rng.random() < TRICKLE_SHARE:
        variant = rng.choice(('trickle', *fault_proxy.Repeat))
        faults = fault_proxy.Faults(drip_bytes=1, drip_s=0.004)
        if variant != 'trickle':
            faults = fault_proxy.Faults(
                repeat=fault_proxy.Repeat(variant),
                repeat_s=rng.uniform(0.0, 0.3),
            )
        actions.append(
            FaultAction(
                'network',
                rng.choice(('store', *target_ids)),
                variant or 'none',
                round(rng.uniform(0.0, ROUND_S), 2),
                round(rng.uniform(0.5, 3.0), 2),
                faults,
            )
        )
    return actions


def _draw_statements(
    seed: int, target_ids: tuple[str, ...]
) -> list[FaultAction]:
    """Return what targets state in their responses, and when.

    A target that leaves does not come back, so that the first one of each
    service never does.
    """
    rng = random.Random(f'{seed}/statements')
    actions: list[FaultAction] = []
    while rng.random() < STATEMENT_SHARE:
        target_id = rng.choice(target_ids)
        variant = rng.choice(tuple(STATEMENTS))
        if variant == 'leaving' and target_id.endswith('-1'):
            continue
        actions.append(
            FaultAction(
                'state',
                target_id,
                variant,
                round(rng.uniform(0.0, ROUND_S), 2),
                round(rng.uniform(0.2, 4.0), 2),
            )
        )
    return actions


def _draw_fault(
    rng: random.Random, target_ids: tuple[str, ...], hosts: int
) -> FaultAction:
    kind = rng.choice(_WEIGHTED_KINDS)
    at_s = round(rng.uniform(0.0, ROUND_S), 2)
    for_s = round(rng.uniform(0.2, 3.0), 2)
    weights = [
        1
        if target_id.startswith(_STAGE_TARGET_PREFIXES)
        else RUN_TARGET_WEIGHT
        for target_id in target_ids
    ]
    (target_id,) = rng.choices(target_ids, weights)
    if kind == 'network':
        location = rng.choice((target_id, target_id, 'store'))
        variant = rng.choice(_NETWORK_FAULTS)
        return FaultAction(
            kind, location, variant, at_s, for_s, _proxy_faults(rng, variant)
        )
    if kind == 'mode':
        return FaultAction(
            kind, target_id, rng.choice(_TARGET_MODES), at_s, for_s
        )
    if kind == 'host':
        location = str(rng.randrange(hosts))
        return FaultAction(
            kind, location, rng.choice(_HOST_FAULTS), at_s, for_s
        )
    if kind == 'store':
        return FaultAction(
            kind, 'store', rng.choice(_STORE_MODES), at_s, for_s
        )
    if kind == 'leave':
        variant = rng.choice(('draining', 'gone'))
        return FaultAction(kind, target_id, variant, at_s, for_s)
    return FaultAction(kind, 'store', 'version', at_s, 0.0)


def _proxy_faults(rng: random.Random, variant: str) -> fault_proxy.Faults:
    direction = rng.choice(list(fault_proxy.Direction))
    if variant == 'delay':
        return fault_proxy.Faults(direction, delay_s=rng.uniform(0.05, 0.8))
    if variant == 'reset':
        return fault_proxy.Faults(reset=True)
    if variant == 'silent':
        return fault_proxy.Faults(direction, black_hole=True)
    if variant == 'half_open':
        return fault_proxy.Faults(half_open=True)
    return fault_proxy.Faults(
        direction, drip_bytes=rng.choice((1, 7, 64)), drip_s=0.02
    )
