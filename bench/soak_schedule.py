"""Faults of one soak round, drawn from a seed."""

import dataclasses
import random

from standins import fault_proxy

__all__ = ['ROUND_S', 'FaultAction', 'draw']

# Faults begin within this time; the last ones end some seconds later.
ROUND_S = 9.0
# Faults of a round: enough that several overlap at most moments.
FEWEST = 14
MOST = 26
# Targets that run the requests themselves have this many faults for one at a
# stage target, as what they break cannot be made good by a repeat.
RUNNER_WEIGHT = 4
# Part of the faults that come as a series on the same place.
SERIES_PART = 0.3

_NETWORK = ('delay', 'reset', 'silent', 'half_open', 'drip')
_TARGET_MODES = (
    'fail',
    'full',
    'reset',
    'reset_after',
    'reset_after',
    'reset_midway',
    'reset_midway',
)
_STAGES = ('encode-', 'rank-')
_STORE_MODES = ('busy', 'reset')
_HOST_KINDS = ('pause', 'kill', 'stop')
_KINDS = (
    *('network',) * 5,
    *('mode',) * 6,
    *('host',) * 4,
    *('store',) * 2,
    *('desired',) * 2,
    *('leave',) * 2,
)


@dataclasses.dataclass(frozen=True, slots=True)
class FaultAction:
    """One fault.

    :param kind: ``network``, ``mode``, ``host``, ``store``, ``desired`` or
        ``leave``.
    :param place: id of a target, number of a host, or ``store``.
    :param how: variant of the kind.
    :param at_s: from the start of the round.
    :param for_s: how long it holds.
    """

    kind: str
    place: str
    how: str
    at_s: float
    for_s: float
    faults: fault_proxy.Faults = fault_proxy.Faults()


def draw(
    seed: int, target_ids: tuple[str, ...], hosts: int
) -> list[FaultAction]:
    """Return the faults of a round in the order of their begin."""
    rng = random.Random(seed)
    found: list[FaultAction] = []
    for _ in range(rng.randint(FEWEST, MOST)):
        action = _one(rng, target_ids, hosts)
        found.append(action)
        if rng.random() < SERIES_PART:
            gap_s = rng.uniform(0.1, 1.5)
            found.append(
                dataclasses.replace(
                    action, at_s=action.at_s + action.for_s + gap_s
                )
            )
    return sorted(found, key=lambda action: action.at_s)


def _one(
    rng: random.Random, target_ids: tuple[str, ...], hosts: int
) -> FaultAction:
    kind = rng.choice(_KINDS)
    at_s = round(rng.uniform(0.0, ROUND_S), 2)
    for_s = round(rng.uniform(0.2, 3.0), 2)
    weights = [
        1 if target_id.startswith(_STAGES) else RUNNER_WEIGHT
        for target_id in target_ids
    ]
    (target_id,) = rng.choices(target_ids, weights)
    if kind == 'network':
        place = rng.choice((target_id, target_id, 'store'))
        how = rng.choice(_NETWORK)
        return FaultAction(kind, place, how, at_s, for_s, _faults(rng, how))
    if kind == 'mode':
        return FaultAction(
            kind, target_id, rng.choice(_TARGET_MODES), at_s, for_s
        )
    if kind == 'host':
        place = str(rng.randrange(hosts))
        return FaultAction(kind, place, rng.choice(_HOST_KINDS), at_s, for_s)
    if kind == 'store':
        return FaultAction(
            kind, 'store', rng.choice(_STORE_MODES), at_s, for_s
        )
    if kind == 'leave':
        how = rng.choice(('draining', 'gone'))
        return FaultAction(kind, target_id, how, at_s, for_s)
    return FaultAction(kind, 'store', 'version', at_s, 0.0)


def _faults(rng: random.Random, how: str) -> fault_proxy.Faults:
    direction = rng.choice(list(fault_proxy.Direction))
    if how == 'delay':
        return fault_proxy.Faults(direction, delay_s=rng.uniform(0.05, 0.8))
    if how == 'reset':
        return fault_proxy.Faults(reset=True)
    if how == 'silent':
        return fault_proxy.Faults(direction, black_hole=True)
    if how == 'half_open':
        return fault_proxy.Faults(half_open=True)
    return fault_proxy.Faults(
        direction, drip_bytes=rng.choice((1, 7, 64)), drip_s=0.02
    )
