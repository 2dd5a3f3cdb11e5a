"""Checks of what callers and targets see of hosts that stop."""

import collections
from collections.abc import Iterable
import dataclasses

from bench import soak_checks

__all__ = ['StoppedHost', 'violations']

# A request whose channel stays open this long after its last byte counts as
# read by the host.
LOSS_SLACK_S = 0.2
# Requests that were sent this long after the signal must not be cut off.
LATE_S = 3.0
# Before this share of the grace, no request may be cut off.
UNCUT_SHARE = 5 / 6
# Targets work no longer than this for a caller who has gone.
LEFT_WORK_S = 0.5
# A response may come this long before the deadline of its request and still be
# due to it.
DEADLINE_SLACK_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class StoppedHost:
    """Planned stop of a host, with times of the monotonic clock.

    :param signalled_at: when the signal was sent.
    :param exited_at: when the process had ended.
    :param ready_at: when the host took requests again.
    :param grace_s: time between the signal and the kill.
    """

    host: int
    signalled_at: float
    exited_at: float
    ready_at: float
    grace_s: float


def violations(
    outcomes: Iterable[soak_checks.Outcome],
    runs: Iterable[dict],
    stops: Iterable[StoppedHost],
    again: str,
) -> list[str]:
    """Return a description of each violated guarantee.

    There are no other faults than the stops.

    :param runs: records of the runs of requests and pieces at targets.
    :param again: part of the ids of requests that were sent again after a
        refusal, to a host that did not stop.
    """
    runs_by_id: dict[str, list[dict]] = collections.defaultdict(list)
    for run in runs:
        runs_by_id[run['request_id']].append(run)
    stops_by_host: dict[int, list[StoppedHost]] = collections.defaultdict(list)
    for stop in stops:
        stops_by_host[stop.host].append(stop)
    problems = []
    for outcome in outcomes:
        own_runs = runs_by_id.get(outcome.request_id, [])
        stop = _stop_during(outcome, stops_by_host[outcome.host])
        problems += [
            f'{problem}: {outcome}, {stop}, runs {_described(own_runs)}'
            for problem in (
                _check_cut(outcome, own_runs, stop),
                _check_late(outcome, stop),
                _check_left_work(outcome, own_runs),
                _check_again(outcome, stop, again),
            )
            if problem
        ]
    return problems


def _stop_during(
    outcome: soak_checks.Outcome, stops: list[StoppedHost]
) -> StoppedHost | None:
    for stop in stops:
        if stop.signalled_at <= outcome.end and outcome.begin <= stop.ready_at:
            return stop
    return None


def _described(runs: list[dict]) -> list[dict]:
    names = ('target_id', 'stage', 'begun_at', 'ended_at')
    return [{name: run.get(name) for name in names} for run in runs]


def _is_at_deadline(outcome: soak_checks.Outcome) -> bool:
    used_s = outcome.end - outcome.begin
    return used_s >= outcome.deadline_s - DEADLINE_SLACK_S


def _check_cut(
    outcome: soak_checks.Outcome,
    runs: list[dict],
    stop: StoppedHost | None,
) -> str:
    """Check that a request which the host has read was not cut off."""
    if outcome.complete or _is_at_deadline(outcome):
        return ''
    if 'Refused' in outcome.error:
        # No host listened at the port.
        return ''
    is_read = (
        bool(outcome.status or runs)
        or outcome.sent_at is not None
        and outcome.end - outcome.sent_at > LOSS_SLACK_S
    )
    if not is_read:
        return ''
    if stop is None:
        return 'a request was cut off although its host did not stop'
    if outcome.begin > stop.signalled_at + LATE_S:
        return 'a request that was sent late after the signal was cut off'
    if outcome.end < stop.signalled_at + UNCUT_SHARE * stop.grace_s:
        return 'a request was cut off long before the kill of its host'
    if not runs:
        return 'a request that was not passed on got no response'
    return ''


def _check_late(outcome: soak_checks.Outcome, stop: StoppedHost | None) -> str:
    """Check that a late request is served or refused."""
    if (
        stop is not None
        and outcome.complete
        and outcome.begin > stop.signalled_at + LATE_S
        and outcome.status not in (200, 503)
        and not _is_at_deadline(outcome)
    ):
        return 'a late request at a host that stops was not refused'
    return ''


def _check_left_work(outcome: soak_checks.Outcome, runs: list[dict]) -> str:
    """Check that targets do not work on for a caller who is gone."""
    limit = outcome.end + LEFT_WORK_S
    for run in runs:
        if run['begun_at'] > limit:
            return 'a target began work whose caller was gone'
        if run['stage'] < 0 and (
            run['ended_at'] is None or run['ended_at'] > limit
        ):
            return 'a target worked on for a caller who was gone'
    return ''


def _check_again(
    outcome: soak_checks.Outcome, stop: StoppedHost | None, again: str
) -> str:
    """Check that a refused caller is served by a host that runs."""
    if again in outcome.request_id and stop is None and outcome.status != 200:
        return 'a refused caller was not served by a host that runs'
    return ''
