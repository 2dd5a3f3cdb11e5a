"""Soak rounds in which hosts are stopped in two series that overlap.

Most or all hosts get the stop signal one after the other and are started
again when they have ended. Callers use their connections until these close,
and others open new connections to hosts that stop.
"""

import collections
import pathlib
import shutil
import signal
import subprocess
import tempfile
import threading
import time

from bench import soak_checks
from bench import soak_final
from bench import soak_stop_callers
from bench import soak_stop_checks
from bench import soak_stop_days
from standins import platform_fleet

__all__ = ['run_round']

# Both engines have eight slots: the keepers take most of them.
KEEPERS = 16
OPENERS = 6
EVENT_MS = 75.0
WORK_MS = 50.0
# Longest time that the routes allow for a request.
TIMEOUT_MS = 8000
SPELL_FACTOR = 2.0
RECOVERY_LIMIT_S = 2.0
# A host that has not ended at the time of its kill is killed this much later,
# so that the report says by how much it was late.
MAX_OVERRUN_S = 1.0
THREAD_JOIN_TIMEOUT_S = 60.0


def run_round(
    seed: int, folder: pathlib.Path | None = None
) -> tuple[list[str], str]:
    """Run one round.

    :param folder: folder for the logs; by default a temporary one, which is
        removed after a round without problems.
    :returns: problems found, and how many responses there were by status.
    """
    is_temporary = folder is None
    folder = folder or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    day = soak_stop_days.draw(seed)
    with platform_fleet.PlatformFleet(
        folder,
        day.hosts,
        events=day.events,
        event_ms=EVENT_MS,
        work_ms=WORK_MS,
        host_settings=(f'bounds.graceS={day.grace_s}',),
    ) as fleet:
        _prepare(fleet, day)
        series = _Series(fleet, day)
        with soak_stop_callers.StopCallers(
            fleet, seed, KEEPERS, OPENERS, lambda: set(series.stopping)
        ) as callers:
            series.play()
            time.sleep(RECOVERY_LIMIT_S)
        outcomes = list(callers.outcomes)
        problems = series.problems
        problems += soak_final.request_problems(
            fleet, seed, outcomes, count=1, at_once=day.hosts
        )
        runs = fleet.all_runs()
        problems += soak_checks.violations(
            outcomes,
            runs,
            [
                soak_checks.Disturbance(
                    stop.host, 'stop', stop.signalled_at, stop.ready_at
                )
                for stop in series.stops
            ],
            (platform_fleet.stream_body('v1', day.events),),
        )
        problems += soak_stop_checks.violations(
            outcomes, runs, series.stops, soak_stop_callers.AGAIN
        )
    problems += soak_final.log_problems(fleet)
    counts = collections.Counter(
        f'{outcome.status}{"" if outcome.complete else " cut"}'
        for outcome in outcomes
    )
    if problems:
        problems += [f'logs in {folder}', str(day)]
    elif is_temporary:
        shutil.rmtree(folder)
    return (
        problems,
        f'{len(outcomes)} requests, {dict(sorted(counts.items()))}',
    )


def _prepare(
    fleet: platform_fleet.PlatformFleet, day: soak_stop_days.StopDay
) -> None:
    """Let hosts start as after the first start, and streams last long."""
    fleet.end_first_start()
    desired = platform_fleet.desired_state(2)
    for route in desired['routes']:
        route['timeoutMs'] = TIMEOUT_MS
    fleet.control_platform(desired=desired)
    if day.has_spells:
        fleet.control_platform(speeds={'spell_factor': SPELL_FACTOR})


class _Series:
    """Stops the hosts of a fleet and starts them again.

    :ivar stopping: hosts that have got the signal and have not ended.
    :ivar stops: the stops that are over.
    """

    def __init__(
        self,
        fleet: platform_fleet.PlatformFleet,
        day: soak_stop_days.StopDay,
    ) -> None:
        self._fleet = fleet
        self._day = day
        self._host_locks = [threading.Lock() for _ in fleet.hosts]
        self.stopping: tuple[int, ...] = ()
        self.stops: list[soak_stop_checks.StoppedHost] = []
        self.problems: list[str] = []
        self._lock = threading.Lock()

    def play(self) -> None:
        """Play the day; return when all hosts are back."""
        began_at = time.monotonic()
        threads = [
            threading.Thread(
                target=self._run_stop, args=(stop, began_at), daemon=True
            )
            for stop in self._day.stops
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(THREAD_JOIN_TIMEOUT_S)
            if thread.is_alive():
                self.problems.append('a stop did not finish in time')

    def _run_stop(self, stop: soak_stop_days.Stop, began_at: float) -> None:
        time.sleep(max(0.0, began_at + stop.at_s - time.monotonic()))
        try:
            with self._host_locks[stop.host]:
                self._stop(stop)
        except Exception as error:
            # The round is invalid without one of its stops.
            self.problems.append(f'{stop} could not be played: {error!r}')

    def _stop(self, stop: soak_stop_days.Stop) -> None:
        process = self._fleet.hosts[stop.host].process
        assert process is not None
        signalled_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        self._change_stopping({stop.host}, set())
        try:
            status = process.wait(self._day.grace_s + MAX_OVERRUN_S)
            if status not in (0, 1):
                self.problems.append(f'{stop} ended with status {status}')
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        exited_at = time.monotonic()
        took_s = exited_at - signalled_at
        if took_s >= self._day.grace_s:
            self.problems.append(f'{stop} lasted {took_s:.2f} s, to its kill')
        self._change_stopping(set(), {stop.host})
        time.sleep(stop.down_s)
        self._fleet.restart(stop.host)
        self._fleet.wait_ready(stop.host)
        self.stops.append(
            soak_stop_checks.StoppedHost(
                stop.host,
                signalled_at,
                exited_at,
                time.monotonic(),
                self._day.grace_s,
            )
        )

    def _change_stopping(self, added: set[int], removed: set[int]) -> None:
        with self._lock:
            self.stopping = tuple({*self.stopping, *added} - removed)
