"""Bench: scenarios with real processes, standard beside naive policies.

Prints a table, writes ``bench/results.json`` and a plot of attainment over
time for each scenario with a fault. The exit status is 0 only if every
figure meets its target.
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
_LIMIT_S = 60.0
_WARM_UP_S = 2.0
_PROMISES = ('lost', 'doubled', 'misdelivered', 'false_not_run')
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
        """Run the load and keep the ledger."""
        plan = fleet_plans.FleetPlan(
            hosts=self.scenario.hosts,
            pools=scenarios.POOLS,
            settings={'policies': {'policy': self.policy}},
        )
        with fleet.Fleet(plan) as running:
            stop = threading.Event()
            crasher = threading.Thread(
                target=self._crash, args=(running, stop)
            )
            self._start_faults(running)
            sender = running.start_caller(
                scenarios.loads(self.scenario), seed=_SEED
            )
            crasher.start()
            assert sender.process is not None
            sender.process.wait(_LIMIT_S)
            stop.set()
            crasher.join()
            self.events = ledger.read_ledger(running.ledger_folder)
            self.report = running.check()
        return self

    def _start_faults(self, running: fleet.Fleet) -> None:
        fault = self.scenario.fault
        if fault.log_down:
            running.control_log(down=True)
        if fault.slowdown > 1:
            for pool in scenarios.POOLS:
                running.control_target(
                    f'{pool.service}-1', slowdown=fault.slowdown
                )

    def _crash(self, running: fleet.Fleet, stop: threading.Event) -> None:
        every_s = self.scenario.fault.crash_every_s
        if every_s <= 0:
            return
        # The pools take turns, so that each of them loses a target.
        numbers = itertools.count()
        while not stop.wait(every_s):
            number = next(numbers)
            pool = scenarios.POOLS[number % len(scenarios.POOLS)]
            turn = number // len(scenarios.POOLS) % pool.targets
            target_id = f'{pool.service}-{turn + 1}'
            running.targets_by_id[target_id].signal(signal.SIGKILL)
            restart = threading.Timer(
                every_s, running.start_target, args=(target_id,)
            )
            restart.start()
            if stop.wait(0):
                break

    def value(self) -> float:
        """Return the figure of the scenario."""
        if self.scenario.figure.startswith('goodput'):
            return self._goodput()
        answers = self._final_answers()
        good = sum(
            event.outcome == 'complete' and not event.late for event in answers
        )
        return good / len(answers) if answers else 0.0

    def describe(self) -> str:
        """Return the figure and why answers were not complete in time."""
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
        """Return the share of answers in time by second of sending."""
        answers = self._final_answers()
        if not answers:
            return []
        first = min(event.time_s - event.latency_s for event in answers)
        by_second: dict[int, list[bool]] = {}
        for event in answers:
            second = int(event.time_s - event.latency_s - first)
            good = event.outcome == 'complete' and not event.late
            by_second.setdefault(second, []).append(good)
        return [
            (second, sum(goods) / len(goods))
            for second, goods in sorted(by_second.items())
        ]

    def _final_answers(self) -> list[ledger.LedgerEvent]:
        last_by_nonce = {
            event.nonce: event
            for event in self.events
            if event.kind is ledger.EventKind.ANSWERED
        }
        counted = self.scenario.counted
        return [
            event
            for event in last_by_nonce.values()
            if not counted or event.member_id in counted
        ]

    def _goodput(self) -> float:
        """Return answers in time as a share of capacity.

        The first seconds, in which the queues fill, and everything after
        the last send are left out.
        """
        sent = [
            event.time_s
            for event in self.events
            if event.kind is ledger.EventKind.SENT
        ]
        start, end = min(sent) + _WARM_UP_S, max(sent)
        good = sum(
            event.outcome == 'complete'
            and not event.late
            and start <= event.time_s < end
            for event in self._final_answers()
        )
        return good / (end - start) / scenarios.CAPACITY_PER_S


def main() -> int:
    """Run every scenario and probe and return the exit status."""
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
        for name in _PROMISES:
            results[name] = sum(getattr(run.report, name) for run in standard)
    for run in standard:
        for finding in run.report.findings:
            sys.stdout.write(f'{run.scenario.figure}: {finding}\n')
    for name, probe in probes.PROBES.items():
        if not only or name in only:
            results.update(probe())
    _plot(runs)
    return _write(results, time.monotonic() - started, bool(only))


def _run_scenarios(only: set[str]) -> list[Run]:
    """Run the scenarios, the two policies of one scenario side by side."""
    runs = []
    with concurrent.futures.ThreadPoolExecutor(len(_POLICIES)) as executor:
        for scenario in scenarios.SCENARIOS:
            if only and scenario.figure not in only:
                continue
            policies = _POLICIES if scenario.naive else _POLICIES[:1]
            wanted = [Run(scenario, policy) for policy in policies]
            runs += list(executor.map(Run.execute, wanted))
            for run in runs[-len(wanted) :]:
                sys.stdout.write(f'{run.describe()}\n')
                sys.stdout.flush()
    return runs


def _plot(runs: list[Run]) -> None:
    """Draw attainment over time where both policies ran."""
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


def _write(results: dict[str, float], elapsed_s: float, partial: bool) -> int:
    failures = 0
    for name in sorted(results):
        bound, is_lower = scenarios.TARGETS.get(name, (None, False))
        verdict = ''
        if bound is not None:
            value = results[name]
            met = value >= bound if is_lower else value <= bound
            failures += not met
            sign = '>=' if is_lower else '<='
            verdict = f'{sign} {bound:<8g} {"met" if met else "NOT MET"}'
        sys.stdout.write(f'{name:<36}{results[name]:>12g}  {verdict}\n')
    missing = set(scenarios.TARGETS) - set(results)
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
