"""Benchmark of real processes under the standard and the naive policies.

Prints a table and writes ``bench/results.json`` and, for each scenario that
runs under both policies, a plot of attainment over time. The exit status is 0
only if every figure meets its bound.
"""

import argparse
import collections
import concurrent.futures
import itertools
import json
import pathlib
import signal
import sys
import threading
import time

import leather

from bench import probes
from bench import scenarios
from standins import checker
from standins import fleet
from standins import fleet_plans
from standins import ledger

__all__ = ['main']

_FOLDER = pathlib.Path(__file__).parent
_SEED = 20_261_203
_CALLER_TIMEOUT_S = 60.0
_WARM_UP_S = 2.0
_VIOLATION_COUNTS = ('lost', 'doubled', 'misdelivered', 'false_not_run')
_POLICIES = ('standard', 'naive')


class Run:
    """One scenario under one policy."""

    def __init__(self, scenario: scenarios.Scenario, policy: str) -> None:
        self.scenario = scenario
        self.policy = policy
        self.events: list[ledger.LedgerEvent] = []
        self.report: checker.Report
        self.output = ''

    def execute(self) -> 'Run':
        """Run the load and store the ledger events and the report."""
        plan = fleet_plans.FleetPlan(
            hosts=self.scenario.hosts,
            pools=scenarios.POOLS,
            settings={'policies': {'policy': self.policy}},
        )
        with fleet.Fleet(plan) as running:
            stopped = threading.Event()
            crash_thread = threading.Thread(
                target=self._crash_targets, args=(running, stopped)
            )
            self._start_faults(running)
            sender = running.start_caller(
                scenarios.loads(self.scenario), seed=_SEED
            )
            crash_thread.start()
            assert sender.process is not None
            sender.process.wait(_CALLER_TIMEOUT_S)
            stopped.set()
            crash_thread.join()
            self.events = ledger.read_ledger(running.ledger_folder)
            self.report = running.check_ledger()
        return self

    def _start_faults(self, running: fleet.Fleet) -> None:
        fault = self.scenario.fault
        if fault.log_down:
            running.set_log_faults(down=True)
        if fault.slowdown > 1:
            for pool in scenarios.POOLS:
                running.set_target_behaviour(
                    f'{pool.service}-1', slowdown=fault.slowdown
                )

    def _crash_targets(
        self, running: fleet.Fleet, stopped: threading.Event
    ) -> None:
        interval_s = self.scenario.fault.crash_every_s
        if interval_s <= 0:
            return
        # Pools are taken in turn so that each of them loses targets.
        numbers = itertools.count()
        while not stopped.wait(interval_s):
            number = next(numbers)
            pool = scenarios.POOLS[number % len(scenarios.POOLS)]
            index = number // len(scenarios.POOLS) % pool.targets
            target_id = f'{pool.service}-{index + 1}'
            running.targets_by_id[target_id].signal(signal.SIGKILL)
            restart = threading.Timer(
                interval_s, running.start_target, args=(target_id,)
            )
            restart.start()
            if stopped.wait(0):
                break

    def value(self) -> float:
        """Return the value of the figure of the scenario."""
        if self.scenario.figure.startswith('goodput'):
            return self._goodput()
        answers = self._final_answers()
        in_time = sum(
            event.outcome == 'complete' and not event.late for event in answers
        )
        return in_time / len(answers) if answers else 0.0

    def describe(self) -> str:
        """Return the figure and why answers were incomplete or late."""
        missed = collections.Counter(
            'late' if event.outcome == 'complete' else event.reason
            for event in self._final_answers()
            if event.outcome != 'complete' or event.late
        )
        return (
            f'{self.scenario.figure} {self.policy}: {self.value():.4f} of '
            f'{self.report.sent}, missed {dict(missed)}'
        )

    def attainment_by_second(self) -> list[tuple[float, float]]:
        """Return the share of answers in time by the second of sending."""
        answers = self._final_answers()
        if not answers:
            return []
        first_sent_at = min(
            event.time_s - event.latency_s for event in answers
        )
        flags_by_second: dict[int, list[bool]] = {}
        for event in answers:
            second = int(event.time_s - event.latency_s - first_sent_at)
            in_time = event.outcome == 'complete' and not event.late
            flags_by_second.setdefault(second, []).append(in_time)
        return [
            (second, sum(flags) / len(flags))
            for second, flags in sorted(flags_by_second.items())
        ]

    def _final_answers(self) -> list[ledger.LedgerEvent]:
        last_by_nonce = {
            event.nonce: event
            for event in self.events
            if event.kind is ledger.EventKind.ANSWERED
        }
        members = self.scenario.counted_members
        return [
            event
            for event in last_by_nonce.values()
            if not members or event.member_id in members
        ]

    def _goodput(self) -> float:
        """Return the rate of answers in time as a share of capacity.

        The warm-up, during which the queues fill, and the time after the last
        request was sent are excluded.
        """
        sent = [
            event.time_s
            for event in self.events
            if event.kind is ledger.EventKind.SENT
        ]
        start, end = min(sent) + _WARM_UP_S, max(sent)
        in_time = sum(
            event.outcome == 'complete'
            and not event.late
            and start <= event.time_s < end
            for event in self._final_answers()
        )
        return in_time / (end - start) / scenarios.CAPACITY_PER_S


def main() -> int:
    """Run the scenarios and probes and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('only', nargs='*', help='figures to measure')
    only = set(parser.parse_args().only)
    started = time.monotonic()
    results: dict[str, float] = {}
    runs = _run_scenarios(only)
    for run in runs:
        suffix = '' if run.policy == 'standard' else '_naive'
        results[run.scenario.figure + suffix] = round(run.value(), 4)
    standard = [run for run in runs if run.policy == 'standard']
    if not only:
        for name in _VIOLATION_COUNTS:
            results[name] = sum(getattr(run.report, name) for run in standard)
    for run in standard:
        for finding in run.report.findings:
            sys.stdout.write(f'{run.scenario.figure}: {finding}\n')
    for name, probe in probes.PROBES.items():
        if not only or name in only:
            results.update(probe())
    _plot_attainment(runs)
    return _write_results(results, time.monotonic() - started, bool(only))


def _run_scenarios(only: set[str]) -> list[Run]:
    """Run the scenarios; both policies of a scenario run in parallel."""
    runs = []
    with concurrent.futures.ThreadPoolExecutor(len(_POLICIES)) as executor:
        for scenario in scenarios.SCENARIOS:
            if only and scenario.figure not in only:
                continue
            policies = _POLICIES if scenario.compare_naive else _POLICIES[:1]
            scenario_runs = [Run(scenario, policy) for policy in policies]
            runs += list(executor.map(Run.execute, scenario_runs))
            for run in runs[-len(scenario_runs) :]:
                sys.stdout.write(f'{run.describe()}\n')
                sys.stdout.flush()
    return runs


def _plot_attainment(runs: list[Run]) -> None:
    """Plot attainment over time for scenarios that ran under both policies."""
    for name in {run.scenario.figure: None for run in runs}:
        shown = [run for run in runs if run.scenario.figure == name]
        if len(shown) < len(_POLICIES):
            continue
        chart = leather.Chart(f'{name}: share answered in time')
        chart.add_x_axis(name='second in which the request was sent')
        chart.add_y_scale(0, 1)
        for run in shown:
            chart.add_line(run.attainment_by_second(), name=run.policy)
        chart.to_svg(str(_FOLDER / f'{name}.svg'))


def _write_results(
    results: dict[str, float], elapsed_s: float, partial: bool
) -> int:
    failures = 0
    for name in sorted(results):
        bound, is_minimum = scenarios.BOUNDS_BY_FIGURE.get(name, (None, False))
        result = ''
        if bound is not None:
            value = results[name]
            is_met = value >= bound if is_minimum else value <= bound
            failures += not is_met
            sign = '>=' if is_minimum else '<='
            result = f'{sign} {bound:<8g} {"met" if is_met else "NOT MET"}'
        sys.stdout.write(f'{name:<36}{results[name]:>12g}  {result}\n')
    missing = set(scenarios.BOUNDS_BY_FIGURE) - set(results)
    if not partial:
        for name in sorted(missing):
            sys.stdout.write(f'{name:<36}not measured\n')
        failures += len(missing)
        path = _FOLDER / 'results.json'
        path.write_text(json.dumps(results, indent=2, sort_keys=True) + '\n')
    sys.stdout.write(f'bench: {failures} not met, {elapsed_s:.0f} s\n')
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
