"""Replays of contended loads, compared with the former policy.

The former policy decided on each job by its forecast, took the standing of
teams but not the kind of request into account, ordered jobs by their latest
start with empty calls, and held no places for refused callers.
"""

import functools

import pytest

from tests.stages import replay
from walnutport.stages import admission
from walnutport.stages import returns
from walnutport.stages import scheduler
from walnutport.stages import team_shares
from walnutport.stages import timing

FORMER_OVER_SHARE_MARGIN_RATIO = 0.3


class NoPlaces(returns.ReturnPlaces):
    """Places of the former policy, which had none."""

    def has_room(self, *args, **kwargs) -> bool:
        return False


def former_key(job, rules, now: float) -> tuple[bool, float]:
    """Return the former scheduling key."""
    latest_start_at = timing.latest_start(job, rules)
    return now > latest_start_at + timing.LATE_MARGIN_S, latest_start_at


@functools.cache
def present(load: str) -> replay.Replay:
    """Replay a load with the present policy."""
    factor, duration_s = replay.LOADS[load]
    cell = scheduler.StageScheduler()
    return replay.Replay(cell, factor, duration_s).run()


@functools.cache
def former(load: str) -> replay.Replay:
    """Replay a load with the former policy."""
    factor, duration_s = replay.LOADS[load]
    cell = scheduler.StageScheduler()
    cell.cell_load.returns = NoPlaces()
    cell.cell_load._kinds = team_shares.Shares(min_claimants=1_000)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(timing, 'scheduling_key', former_key)
        patch.setattr(
            admission,
            'OVER_SHARE_MARGIN_RATIO',
            FORMER_OVER_SHARE_MARGIN_RATIO,
        )
        return replay.Replay(cell, factor, duration_s).run()


@pytest.mark.parametrize('load', replay.LOADS)
def test_returning_callers_are_refused_a_third_as_often(load):
    """Guards against callers who return at the named time in vain."""
    assert present(load).refused(2) <= former(load).refused(2) / 3


@pytest.mark.parametrize('load', replay.LOADS)
def test_every_kind_keeps_its_value(load):
    """Guards against a kind that pays for the others' burst.

    The worst kind gets three quarters of its value, and all kinds together
    get no less than before.
    """
    found = present(load)
    for kind in 'ABC':
        assert found.value(kind=kind) >= 0.75
        assert found.served(kind=kind) >= 0.75 * found.served()
    assert found.value() >= former(load).value()


def test_burst_of_one_team_is_its_own_loss():
    """Guards against teams that lose value by the burst of another one."""
    found = present('one_team')
    burst = found.value(team=replay.TEAMS[0])
    for team in replay.TEAMS[1:]:
        assert found.value(team=team) > burst
        assert found.value(team=team) >= 0.75 * found.value()


@pytest.mark.parametrize('kind', replay.KINDS, ids=lambda kind: kind.name)
def test_policy_for_one_kind_is_not_worse(kind):
    """Guards against rules for contention that cost a kind on its own."""
    factor = 6.0 if kind is replay.KIND_C else 3.5
    load = replay.burst(factor, kind.name, (2.0,), 4.0)
    found = [
        replay.Replay(cell, load, 8.0, (kind,)).run()
        for cell in (scheduler.StageScheduler(), former_cell())
    ]
    assert found[0].refused(2) <= found[1].refused(2)
    assert found[0].value() >= 0.95 * found[1].value()


def former_cell() -> scheduler.StageScheduler:
    """Return a cell that holds no places and knows no kinds."""
    cell = scheduler.StageScheduler()
    cell.cell_load.returns = NoPlaces()
    cell.cell_load._kinds = team_shares.Shares(min_claimants=1_000)
    return cell
