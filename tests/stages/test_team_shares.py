"""Tests of the fair shares of teams in stage targets."""

import collections
from collections.abc import Callable
import dataclasses
import math

from hypothesis import given
from hypothesis import strategies as st

from tests.stages import builders
from walnutport.stages import pieces
from walnutport.stages import scheduler
from walnutport.stages import team_shares

Standing = team_shares.Standing


def test_small_demands_are_met_in_full():
    """Guards against proportional cuts, which starve small demands."""
    assert team_shares.fair_level([1.0, 1.0, 20.0], 10.0) == 8.0
    assert team_shares.fair_level([1.0, 2.0], 10.0) == math.inf
    assert team_shares.fair_level([9.0, 9.0], 10.0) == 5.0


@given(
    st.lists(st.floats(0.0, 100.0), min_size=1, max_size=20),
    st.floats(0.1, 200.0),
)
def test_fair_level_allocates_all_capacity(demands, capacity):
    """Guards against idle capacity while a team is limited to its share."""
    level = team_shares.fair_level(demands, capacity)
    given_out = sum(min(demand, level) for demand in demands)
    if level == math.inf:
        assert given_out <= capacity * 1.000001
    else:
        assert abs(given_out - capacity) < 1e-6 * capacity


@given(
    st.lists(
        st.tuples(st.floats(0.0, 100.0), st.floats(0.1, 4.0)),
        min_size=1,
        max_size=20,
    ),
    st.floats(0.1, 200.0),
)
def test_weight_guarantees_a_minimum(claims, capacity):
    """Guards against a kind or team that is starved by the others."""
    demands, weights = zip(*claims)
    level = team_shares.fair_level(demands, capacity, weights)
    for demand, weight in claims:
        minimum = capacity * weight / sum(weights)
        share = min(demand, level * weight)
        assert share >= min(demand, minimum) * 0.999999


def test_bursting_team_is_over_its_share_and_others_under():
    """Replays a team that asks for four times the capacity of a target."""
    shares = team_shares.Shares()
    for step in range(100):
        now = step * 0.05
        shares.record_demand('north', {'encode': 0.2}, now)
        shares.record_admitted('north', {'encode': 0.04}, now)
        shares.record_demand('south', {'encode': 0.01}, now)
        shares.record_admitted('south', {'encode': 0.01}, now)
    slots = {'encode': 1.0}
    assert shares.standing('north', slots, now) is Standing.FAIR
    shares.record_admitted('north', {'encode': 1.0}, now)
    assert shares.standing('north', slots, now) is Standing.OVER
    assert shares.standing('south', slots, now) is Standing.UNDER
    assert shares.standing('east', slots, now) is Standing.UNDER


def test_shares_do_not_apply_without_contention():
    """Guards against limiting a team to its share on idle targets."""
    shares = team_shares.Shares()
    shares.record_demand('north', {'encode': 1.0}, 0.0)
    shares.record_admitted('north', {'encode': 1.0}, 0.0)
    for team in ('north', 'south'):
        assert shares.standing(team, {'encode': 4.0}, 0.0) is Standing.FAIR


def test_demand_of_a_burst_decays():
    """Guards against penalising a team long after its burst has ended."""
    shares = team_shares.Shares()
    for team in ('north', 'south'):
        shares.record_demand(team, {'encode': 9.0}, 0.0)
    shares.record_admitted('north', {'encode': 9.0}, 0.0)
    slots = {'encode': 1.0}
    assert shares.standing('north', slots, 0.0) is Standing.OVER
    later = 5 * team_shares.WINDOW_S
    assert shares.standing('north', slots, later) is Standing.FAIR


def test_demand_for_removed_services_is_dropped():
    """Guards against memory growth with each renamed service."""
    shares = team_shares.Shares()
    for team in ('north', 'south'):
        shares.record_demand(team, {'old': 9.0, 'encode': 9.0}, 0.0)
        shares.record_admitted(team, {'old': 5.0, 'encode': 5.0}, 0.0)
    shares.retain_services({'encode'})
    assert shares.standing('north', {'old': 1.0}, 0.0) is Standing.FAIR
    assert shares.standing('north', {'encode': 1.0}, 0.0) is Standing.OVER


def test_burst_of_one_team_does_not_cause_refusals_for_others():
    """Replays 6 s in which one team asks for three times the capacity.

    Two targets serve about 33 pieces/s each in full calls. North sends 100
    requests/s of two pieces, south and east 4 requests/s each, which is well
    below a third of the capacity.
    """

    def arrivals(step: int) -> list[pieces.JobSpec]:
        teams = ['north', 'south', 'east'] if step % 25 == 0 else ['north']
        return [
            builders.job_spec(f'{team}-{step}', team=team) for team in teams
        ]

    shares = admitted_shares(arrivals, lambda spec: spec.team)
    assert shares['north'] < 0.6, 'the targets are overloaded'
    for team in ('south', 'east'):
        assert shares[team] >= 0.95


def test_frequent_requests_of_a_team_do_not_cost_its_urgent_ones():
    """Replays 6 s in which one team asks for three times the capacity.

    North sends 100 less urgent requests/s and 4 urgent ones. Guards against
    refusing the urgent ones, as its team uses more than its share.
    """

    def arrivals(step: int) -> list[pieces.JobSpec]:
        found = []
        for route, urgency, aim_s, team, interval in (
            ('frequent', 2, 2.0, 'north', 1),
            ('frequent', 2, 2.0, 'south', 10),
            ('urgent', 1, 0.8, 'north', 25),
            ('urgent', 1, 0.8, 'south', 25),
        ):
            if step % interval == 0:
                spec = builders.job_spec(
                    f'{team}-{route}-{step}',
                    urgency=urgency,
                    aim_s=aim_s,
                    team=team,
                )
                found.append(dataclasses.replace(spec, route=route))
        return found

    shares = admitted_shares(arrivals, lambda spec: spec.route)
    assert shares['frequent'] < 0.6, 'the targets are overloaded'
    assert shares['urgent'] >= 0.95


def admitted_shares(
    arrivals: Callable[[int], list[pieces.JobSpec]],
    group_of: Callable[[pieces.JobSpec], str],
) -> dict[str, float]:
    """Return the fraction of jobs of each group that two targets admit.

    :param arrivals: returns the jobs that arrive in each step of 0.01 s.
    """
    cell = scheduler.StageScheduler()
    targets = [builders.target(f't{number}') for number in range(2)]
    cell.update_targets(builders.RULES, targets, 0.0)
    busy: list = []
    sent: collections.Counter[str] = collections.Counter()
    admitted: collections.Counter[str] = collections.Counter()
    for step in range(600):
        now = step * 0.01
        for end, call in [entry for entry in busy if entry[0] <= now]:
            busy.remove((end, call))
            handles = [f'{call.call_id}/{n}' for n in range(len(call.pieces))]
            cell.call_done(call.call_id, handles, now)
        for spec in arrivals(step):
            sent[group_of(spec)] += 1
            if cell.submit(spec, now) is None:
                admitted[group_of(spec)] += 1
        for outcome in cell.take_outcomes():
            cell.release(outcome.job_id)
        for call in cell.next_calls(now):
            busy.append((now + 0.16 + 0.02 * len(call.pieces), call))
    return {name: admitted[name] / count for name, count in sent.items()}
