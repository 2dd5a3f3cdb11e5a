"""Replays of contended loads, compared with the former policy.

The former policy decided on each job by its forecast, took the standing of
teams but not the kind of request into account, ordered jobs by their latest
start with empty calls, and held no places for refused callers.
"""

import functools

import hypothesis
from hypothesis import strategies as st
import pytest

from tests.stages import replay
from walnutport.stages import admission
from walnutport.stages import batching
from walnutport.stages import cell_load
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
        patch.setattr(
            cell_load, '_team_claimant', lambda spec, kind: spec.team
        )
        patch.setattr(cell_load, '_kind_weight', lambda urgency: 1.0)
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


class CheckedReplay(replay.Replay):
    """Replay that checks after each event that no target idles."""

    def _advance(self) -> None:
        super()._advance()
        targets = self.cell._targets
        for service, free in targets.free_by_service(self.now).items():
            ready = self.cell._ready_by_service.get(service, {})
            for (_, stage), job in ready.items():
                if batching.WaitingPieces(job, stage, []).data_centres:
                    # It may wait for a target near its inputs.
                    continue
                rules = targets.rules_by_service[service]
                assert all(
                    target.held_bytes + 3_000_000 > rules.memory_bytes
                    for target in free
                ), (service, stage)


# A failure is shown as found; shrinking a replay takes minutes.
@hypothesis.settings(
    max_examples=4, deadline=None, phases=[hypothesis.Phase.generate]
)
@hypothesis.given(st.tuples(*[st.floats(0.0, 4.0)] * 3), st.integers(0, 2**16))
def test_random_loads_leave_no_target_idle_and_no_job_behind(factors, seed):
    """Guards against idle targets, and against jobs that never end."""
    by_name = dict(zip('ABC', factors))

    def factor(kind: replay.Kind, team: str, at: float) -> float:
        return by_name[kind.name]

    found = CheckedReplay(
        scheduler.StageScheduler(), factor, 1.5, seed=seed
    ).run()
    assert found.cell.job_count == 0
    for request in found.requests:
        assert request.done_at is not None or request.refusals > 0
    for kind in 'ABC':
        if len(found.select(kind=kind)) > 50:
            assert found.served(kind=kind) >= 0.5 * found.served()
