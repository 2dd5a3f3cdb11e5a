"""Soak test of entry hosts under injected faults.

Real hosts run on the platform stand-in behind a fault proxy. Faults drawn from
a seed are injected while callers send requests; afterwards the guarantees are
checked against the records of callers and targets. A failing round prints its
seed, its faults and the folder with the logs.
"""

import argparse
from collections.abc import Iterator
import concurrent.futures
import itertools
import pathlib
import random
import secrets
import shutil
import sys
import tempfile
import time

from bench import soak_callers
from bench import soak_checks
from bench import soak_final
from bench import soak_injector
from bench import soak_releases
from bench import soak_schedule
from bench import soak_stops
from standins import platform_fleet

__all__ = ['main', 'run_round']

HOSTS = 3
CALLERS = 10
# Share of the rounds with random seeds that play a release.
RELEASE_SHARE = 0.3
# Share of these rounds in which hosts are stopped in series.
STOPS_SHARE = 0.3
# Share of the rounds in which the two engines differ in their version.
MIXED_VERSIONS_SHARE = 0.5
# Hosts that are cut off from all targets, in the rounds where that happens.
CUT_HOSTS = 2
# Service time at a plain target, long enough for resets to hit requests that
# are running.
WORK_MS = 50.0
# Time after the last fault within which the fleet must recover.
RECOVERY_LIMIT_S = 4.0
# The same after the store has returned from an older copy in a round with
# evacuations: they are held over for 3.5 s, and end once the store, which some
# hosts read every second, has confirmed that.
HELD_OVER_LIMIT_S = 6.0
# Time after which nothing may reach an evacuated data centre.
EVACUATE_S = 5.0


def main(argv: list[str] | None = None) -> int:
    """Run rounds for the given time and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--minutes', type=float, default=5.0)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument(
        '--releases',
        action='store_true',
        help='play releases only; without it, the given seeds draw faults',
    )
    parser.add_argument(
        '--stops',
        action='store_true',
        help='play rounds with hosts that are stopped in series only',
    )
    parser.add_argument('seeds', nargs='*', type=int)
    arguments = parser.parse_args(argv)
    seeds: Iterator[int] = iter(arguments.seeds)
    release_share = 1.0 if arguments.releases else 0.0
    stops_share = 1.0 if arguments.stops else 0.0
    if not arguments.seeds:
        seeds = _random_seeds(arguments.minutes)
        if not arguments.stops and not arguments.releases:
            release_share, stops_share = RELEASE_SHARE, STOPS_SHARE
    rounds, failed = _run_rounds(
        seeds, arguments.jobs, release_share, stops_share
    )
    sys.stdout.write(f'soak: {rounds} rounds, {failed} failed\n')
    return 1 if failed else 0


def _random_seeds(minutes: float) -> Iterator[int]:
    """Yield random seeds until the time is over."""
    ends_at = time.monotonic() + minutes * 60
    while time.monotonic() < ends_at:
        yield secrets.randbits(32)


def _run_rounds(
    seeds: Iterator[int], jobs: int, release_share: float, stops_share: float
) -> tuple[int, int]:
    """Run one round per seed, with at most ``jobs`` rounds in parallel.

    :param release_share: share of the rounds that play a release.
    :param stops_share: share of the rounds that stop hosts in series.
    :returns: number of rounds and number of failed rounds.
    """
    rounds = 0
    failed = 0
    names_by_future: dict[concurrent.futures.Future, str] = {}
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        while True:
            for seed in itertools.islice(seeds, jobs - len(names_by_future)):
                name, play = f'seed {seed}', run_round
                rng = random.Random(f'{seed}/releases')
                drawn = rng.random()
                if drawn < release_share:
                    name, play = f'release {seed}', soak_releases.run_round
                elif drawn < release_share + stops_share:
                    name, play = f'stops {seed}', soak_stops.run_round
                names_by_future[pool.submit(play, seed)] = name
            if not names_by_future:
                return rounds, failed
            done, _ = concurrent.futures.wait(
                names_by_future, return_when=concurrent.futures.FIRST_COMPLETED
            )
            for future in done:
                name = names_by_future.pop(future)
                problems, counts = future.result()
                rounds += 1
                failed += bool(problems)
                _print_round(f'soak: {name}: {counts}', problems)


def run_round(
    seed: int, folder: pathlib.Path | None = None
) -> tuple[list[str], str]:
    """Run one round.

    :param folder: folder for the logs; by default a temporary one, which is
        removed after a round without problems.
    :returns: problems found and how many requests there were.
    """
    is_temporary = folder is None
    folder = folder or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    is_mixed = (
        random.Random(f'{seed}/versions').random() < MIXED_VERSIONS_SHARE
    )
    versions = ('v1', 'v2') if is_mixed else ('v1', 'v1')
    kinds = {action.kind for action in soak_schedule.draw(seed, ('',), 1)}
    has_cold = any(
        action.kind == 'cold'
        for action in soak_schedule.draw(
            seed, soak_schedule.COLD_PREFIXES, HOSTS
        )
    )
    fleet = platform_fleet.PlatformFleet(
        folder,
        HOSTS,
        proxied=True,
        engine_versions=versions,
        cut_hosts=CUT_HOSTS if 'cut' in kinds else 0,
        data_centres=soak_schedule.DATA_CENTRES
        if 'evacuate' in kinds
        else ('a',),
        work_ms=WORK_MS,
    )
    with fleet:
        target_ids = tuple(plan.target_id for plan in fleet.plans)
        schedule = soak_schedule.draw(seed, target_ids, HOSTS)
        injector = soak_injector.Injector(fleet, schedule, has_cold)
        with soak_callers.Callers(fleet, seed, CALLERS) as callers:
            injector.inject_all(schedule)
            time.sleep(
                HELD_OVER_LIMIT_S
                if {'evacuate', 'return'} <= kinds
                else RECOVERY_LIMIT_S
            )
        outcomes = list(callers.outcomes)
        problems = injector.problems
        problems += soak_final.request_problems(fleet, seed, outcomes)
        if 'evacuate' in kinds:
            problems += _final_evacuation(fleet, seed, outcomes)
        problems += soak_checks.violations(
            outcomes,
            fleet.all_runs(),
            injector.disturbances,
            tuple(platform_fleet.stream_body(name) for name in versions),
        )
        for cold in injector.cold_times:
            problems += soak_checks.cold_violations(
                cold,
                fleet.cold_arrivals(cold.target_id),
                soak_injector.COLD_BOUND_PER_S,
            )
    problems += soak_final.log_problems(fleet)
    if problems:
        problems.append(f'logs in {folder}')
        problems += [str(action) for action in schedule]
    elif is_temporary:
        shutil.rmtree(folder)
    return problems, f'{len(outcomes)} requests'


def _final_evacuation(
    fleet: platform_fleet.PlatformFleet,
    seed: int,
    outcomes: list[soak_checks.Outcome],
) -> list[str]:
    """Check that hosts serve all routes without an evacuated data centre.

    The targets of the other one never leave for good.
    """
    name = soak_schedule.DATA_CENTRES[-1]
    fleet.evacuate(name)
    time.sleep(EVACUATE_S)
    before = fleet.runs_in(name)
    problems = soak_final.request_problems(fleet, seed, outcomes, 'evacuated')
    if fleet.runs_in(name) != before:
        problems.append(f'requests have reached evacuated data centre {name}')
    fleet.withdraw_evacuation(name)
    return problems


def _print_round(summary: str, problems: list[str]) -> None:
    sys.stdout.write(summary + (' FAILED\n' if problems else ' ok\n'))
    for problem in problems:
        sys.stdout.write(f'  {problem}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
