"""Replays of the placement of prompts, beside the earlier choice of engines.

The bounds are those of docs/design/overview.md, part 4: half of the tokens of
shared parts that were read again, and at most 1.2 times the mean of requests
at the busiest engine.
"""

import random

import pytest

from tests.routing import placement_replay
from walnutport.routing import engines
from walnutport.routing import outcomes
from walnutport.routing import prompt_caches
from walnutport.routing import request_shares
from walnutport.world import requests

MAX_BUSIEST = 1.2


def placement(
    preferred_fraction: float = engines.PREFERRED_PREFILL_FRACTION,
) -> placement_replay.Choice:
    """Return the present choice, with the memory of one host."""
    shares = request_shares.RequestShares()

    def choose(replay: placement_replay.Replay, prompt, now: float) -> str:
        engine = engines.choose_engine(
            replay.infos,
            replay.outcomes,
            prompt,
            {},
            now,
            pending_tokens=replay.prefills.tokens_by_engine,
            caches=replay.caches,
            shares=shares,
            preferred_fraction=preferred_fraction,
        )
        assert engine is not None
        shares.record(engine.target_id, now)
        replay.outcomes.stats(engine).changed()
        return engine.target_id

    return choose


def run_all_kinds(
    choose: placement_replay.Choice,
    seed: int,
    reports_figure: bool = False,
    is_earlier: bool = False,
) -> placement_replay.Outcome:
    """Replay 40 s of all kinds of requests."""
    replay = placement_replay.Replay(
        choose,
        seed,
        reports_figure,
        placement_replay.EARLIER_CACHED_FRACTION if is_earlier else 1.0,
    )
    for kind in placement_replay.KINDS:
        replay.add_kind(kind, 0.0, 40.0)
    return replay.run(40.0)


def at_random_hosts(
    choices: list[placement_replay.Choice],
) -> placement_replay.Choice:
    """Return the choice of hosts that know only their own requests."""
    rng = random.Random(8)
    hosts = [
        (
            choose,
            outcomes.TargetOutcomes(random.Random(number)),
            prompt_caches.PromptCaches(),
            engines.PrefillTracker(),
        )
        for number, choose in enumerate(choices)
    ]

    def choose_at_host(
        replay: placement_replay.Replay, prompt, now: float
    ) -> str:
        choose, replay.outcomes, replay.caches, replay.prefills = rng.choice(
            hosts
        )
        return choose(replay, prompt, now)

    return choose_at_host


@pytest.mark.parametrize('hosts', [4, 195])
def test_hosts_that_know_little_of_each_other_agree(hosts):
    """Guards against a copy of each part for each owner of a cell or host.

    Most of what is read again is due to hosts that cannot know each other's
    load, with either choice.
    """
    earlier = run_all_kinds(
        at_random_hosts([placement_replay.earlier_choice] * hosts),
        1,
        is_earlier=True,
    )
    found = run_all_kinds(
        at_random_hosts(
            [placement(engines.UNSEEN_PREFILL_FRACTION) for _ in range(hosts)]
        ),
        1,
    )
    assert found.reread_tokens <= 1.1 * earlier.reread_tokens
    assert found.busiest <= max(MAX_BUSIEST, earlier.busiest)


@pytest.mark.parametrize('reports_figure', [False, True])
@pytest.mark.parametrize('seed', [1, 2])
def test_parts_are_read_again_half_as_often(seed, reports_figure):
    """Guards against sessions that leave the engine that holds their parts.

    No engine may get more of the requests for it, and first events may not
    come later.
    """
    earlier = run_all_kinds(
        placement_replay.earlier_choice, seed, reports_figure, is_earlier=True
    )
    found = run_all_kinds(placement(), seed, reports_figure)
    assert found.reread_tokens <= earlier.reread_tokens / 2
    assert found.busiest <= MAX_BUSIEST < earlier.busiest
    assert found.late_s <= 1.05 * earlier.late_s


def run_sudden_demand(
    choose: placement_replay.Choice, cached_fraction: float = 1.0
) -> tuple[placement_replay.Outcome, int]:
    """Replay usual traffic, and one session that 150 requests a second use.

    :returns: the outcome, and the engines that read the part within a second.
    """
    replay = placement_replay.Replay(
        choose, 5, cached_fraction=cached_fraction
    )
    sessions = placement_replay.KINDS[0]
    for kind in placement_replay.KINDS:
        replay.add_kind(kind, 0.0, 16.0)
    prompts = 900
    for number in range(prompts):
        replay.at(
            10.0 + number / 150,
            lambda now, number=number: replay.place(
                sessions.prompt(7, -number - 1), now
            ),
        )
    engine_counts = []
    part_id = sessions.prompt(7, 0).part_ids[1]
    replay.at(
        11.0,
        lambda now: engine_counts.append(len(replay.engines_by_part[part_id])),
    )
    outcome = replay.run(16.0)
    return outcome, engine_counts[0]


def test_part_in_sudden_demand_spreads():
    """Guards against one engine that gets all requests with a part.

    150 requests a second with 2,890 tokens of their own need five engines of
    usual speed for the reading alone. Requests may not wait longer than with
    the earlier choice, which reads the part at nearly all engines.
    """
    earlier, earlier_copies = run_sudden_demand(
        placement_replay.earlier_choice,
        placement_replay.EARLIER_CACHED_FRACTION,
    )
    found, copies = run_sudden_demand(placement())
    assert 5 <= copies <= earlier_copies
    assert found.late_s <= 1.05 * earlier.late_s
    assert found.reread_tokens < earlier.reread_tokens


def test_second_engine_is_warmed_before_the_first_is_full():
    """Guards against a second copy that is read only under overload.

    A part that 40 requests a second use is a fifth of all traffic and would
    keep an engine at seven times the mean.
    """
    replay = placement_replay.Replay(placement(), 6)
    sessions = placement_replay.KINDS[0]
    for kind in placement_replay.KINDS:
        replay.add_kind(kind, 0.0, 20.0)
    running: dict[str, int] = {}
    for number in range(400):
        replay.at(
            10.0 + number / 40,
            lambda now, number=number: running.update(
                {
                    replay.place(
                        sessions.prompt(7, -number - 1), now
                    ): replay.max_running()
                }
            ),
        )
    replay.run(20.0)
    assert len(running) >= 2
    assert max(running.values()) < 64 / 2


def test_engine_in_a_slow_spell_is_passed_over():
    """Guards against prompts without cached parts at a slow machine."""
    replay = placement_replay.Replay(placement(), 7, reports_figure=True)
    slow = {info.target_id for info in replay.infos[:18]}
    for info in replay.infos:
        figure = 2.5 if info.target_id in slow else 1.0
        replay.outcomes.stats(info).speed.report(figure, 0.0)
    choose = placement()
    chosen = {
        choose(
            replay,
            requests.PromptShape(1800, 12, (f'own-{number}',), (1800,)),
            0.01 + number / 1000,
        )
        for number in range(18)
    }
    assert not chosen & slow
