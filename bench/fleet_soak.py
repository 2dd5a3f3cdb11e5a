"""Soak of entry hosts under faults from outside.

Real hosts run on the stand-in of a platform behind a fault proxy. Faults from
a seed come while callers send requests; afterwards the promises are checked
from what callers and targets saw. A round that fails prints its seed, its
faults and the folder with the logs.
"""

import argparse
from collections.abc import Iterator
import concurrent.futures
import itertools
import pathlib
import secrets
import shutil
import signal
import sys
import tempfile
import threading
import time

from bench import soak_callers
from bench import soak_checks
from bench import soak_schedule
from standins import fault_proxy
from standins import platform_fleet
from walnutport.gateway import events

__all__ = ['main', 'run_round']

HOSTS = 3
CALLERS = 10
# Time of a request at a plain target: long enough for resets to meet it.
WORK_MS = 50.0
# Time after the last fault in which the fleet must have recovered.
RECOVERY_S = 4.0
# Requests of each route that must then be served, and their deadline.
FINAL_REQUESTS = 3
FINAL_DEADLINE_S = 4.0
# A round that takes longer than this has a thread that hangs.
JOIN_LIMIT_S = 60.0


def main(argv: list[str] | None = None) -> int:
    """Run rounds until the minutes are over and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--minutes', type=float, default=5.0)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('seeds', nargs='*', type=int)
    arguments = parser.parse_args(argv)
    seeds: Iterator[int] = iter(arguments.seeds)
    if not arguments.seeds:
        seeds = _fresh_seeds(arguments.minutes)
    rounds, failed = _run_all(seeds, arguments.jobs)
    sys.stdout.write(f'soak: {rounds} rounds, {failed} failed\n')
    return 1 if failed else 0


def _fresh_seeds(minutes: float) -> Iterator[int]:
    """Give out new seeds until the time is over."""
    ends_at = time.monotonic() + minutes * 60
    while time.monotonic() < ends_at:
        yield secrets.randbits(32)


def _run_all(seeds: Iterator[int], jobs: int) -> tuple[int, int]:
    """Play a round for each seed, some at a time.

    :returns: rounds played, and how many of them failed.
    """
    rounds = 0
    failed = 0
    seed_by_round: dict[concurrent.futures.Future, int] = {}
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        while True:
            for seed in itertools.islice(seeds, jobs - len(seed_by_round)):
                seed_by_round[pool.submit(run_round, seed)] = seed
            if not seed_by_round:
                return rounds, failed
            done, _ = concurrent.futures.wait(
                seed_by_round, return_when=concurrent.futures.FIRST_COMPLETED
            )
            for future in done:
                seed = seed_by_round.pop(future)
                problems, requests = future.result()
                rounds += 1
                failed += bool(problems)
                _say(f'soak: seed {seed}: {requests} requests', problems)


def run_round(
    seed: int, folder: pathlib.Path | None = None
) -> tuple[list[str], int]:
    """Play one round.

    :param folder: where logs go; a new one by default.
    :returns: broken promises and the count of requests.
    """
    own_folder = folder is None
    folder = folder or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    fleet = platform_fleet.PlatformFleet(
        folder, HOSTS, proxied=True, work_ms=WORK_MS
    )
    with fleet:
        target_ids = tuple(plan.target_id for plan in fleet.plans)
        schedule = soak_schedule.draw(seed, target_ids, HOSTS)
        injector = _Injector(fleet)
        with soak_callers.Callers(fleet, seed, CALLERS) as callers:
            injector.play(schedule)
            time.sleep(RECOVERY_S)
        outcomes = list(callers.outcomes)
        problems = injector.problems + _final_requests(fleet, seed, outcomes)
        problems += soak_checks.violations(
            outcomes,
            fleet.all_runs(),
            injector.disturbances,
            platform_fleet.STREAM,
        )
    for number in range(HOSTS):
        problems += [
            f'host {number} wrote {line}'
            for line in fleet.log_lines(number)
            if line['event'] == 'error' or events.schema_violations(line)
        ]
    if problems:
        problems.append(f'logs in {folder}')
        problems += [str(action) for action in schedule]
    elif own_folder:
        shutil.rmtree(folder)
    return problems, len(outcomes)


def _final_requests(
    fleet: platform_fleet.PlatformFleet,
    seed: int,
    outcomes: list[soak_checks.Outcome],
) -> list[str]:
    """Check that every host serves every kind of request again."""
    problems = []
    for host in range(HOSTS):
        for route in soak_callers.ROUTES:
            for number in range(FINAL_REQUESTS):
                connection = soak_callers.connect(fleet.caller_ports[host])
                outcome = soak_callers.send(
                    connection,
                    host,
                    route,
                    f'{seed}-final-{host}-{route}-{number}',
                    FINAL_DEADLINE_S,
                )
                connection.close()
                outcomes.append(outcome)
                if outcome.status != 200 or not outcome.whole:
                    problems.append(f'not recovered: {outcome}')
    return problems


def _say(head: str, problems: list[str]) -> None:
    sys.stdout.write(head + (' FAILED\n' if problems else ' ok\n'))
    for problem in problems:
        sys.stdout.write(f'  {problem}\n')
    sys.stdout.flush()


class _Injector:
    """Puts faults into force and takes them back."""

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        self._fleet = fleet
        self._host_locks = [threading.Lock() for _ in range(HOSTS)]
        self._version = 1
        self.disturbances: list[soak_checks.Disturbance] = []
        self.problems: list[str] = []

    def play(self, schedule: list[soak_schedule.FaultAction]) -> None:
        """Play all faults to their end."""
        started_at = time.monotonic()
        threads = [
            threading.Thread(
                target=self._play, args=(action, started_at), daemon=True
            )
            for action in schedule
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(JOIN_LIMIT_S)
            if thread.is_alive():
                self.problems.append('a fault did not come to its end')

    def _play(
        self, action: soak_schedule.FaultAction, started_at: float
    ) -> None:
        time.sleep(max(0.0, started_at + action.at_s - time.monotonic()))
        try:
            if action.kind == 'host':
                self._disturb(action)
                return
            self._begin(action)
            time.sleep(action.for_s)
            self._end(action)
        except Exception as error:
            # A fault that could not be played makes the round worthless.
            self.problems.append(f'{action} was not played: {error!r}')

    def _begin(self, action: soak_schedule.FaultAction) -> None:
        fleet = self._fleet
        if action.kind == 'network':
            fleet.set_faults(action.place, action.faults)
        elif action.kind == 'mode':
            fleet.control(modes={action.place: action.how})
        elif action.kind == 'store':
            fleet.control(store=action.how)
        elif action.kind == 'leave':
            fleet.control(states={action.place: action.how})
        else:
            self._version += 1
            fleet.control(desired=platform_fleet.desired(self._version))

    def _end(self, action: soak_schedule.FaultAction) -> None:
        fleet = self._fleet
        if action.kind == 'network':
            fleet.set_faults(action.place, fault_proxy.Faults())
        elif action.kind == 'mode':
            fleet.control(modes={action.place: 'ok'})
        elif action.kind == 'store':
            fleet.control(store='ok')
        elif action.kind == 'leave':
            fleet.control(states={action.place: 'ready'})

    def _disturb(self, action: soak_schedule.FaultAction) -> None:
        number = int(action.place)
        with self._host_locks[number]:
            process = self._fleet.hosts[number]
            begin = time.monotonic()
            if action.how == 'pause':
                process.signal(signal.SIGSTOP)
                time.sleep(action.for_s)
                process.signal(signal.SIGCONT)
            else:
                if action.how == 'kill':
                    process.kill()
                elif process.terminate() != 0:
                    self.problems.append(f'host {number} did not stop cleanly')
                time.sleep(action.for_s / 2)
                self._fleet.restart(number)
                self._fleet.wait_ready(number)
            self.disturbances.append(
                soak_checks.Disturbance(
                    number, action.how, begin, time.monotonic()
                )
            )


if __name__ == '__main__':
    sys.exit(main())
