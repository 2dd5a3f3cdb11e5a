"""Capacity series over teams and their entries; see ``bench.capacity``.

The real components run in this process without sockets. Names, sizes and
seeds are fixed.
"""

import collections
import hashlib
import itertools
import types

import msgspec

from bench import capacity_hosts
from bench import slopes
from walnutport.admission import control
from walnutport.admission import fair_queue
from walnutport.admission import limits
from walnutport.admission import queue_rules
from walnutport.admission import stage_latencies
from walnutport.catalogue import fold
from walnutport.catalogue import records
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.metrics import histograms
from walnutport.service.requests import request_validator
from walnutport import world

__all__ = ['SERIES', 'member_entries']

_HOSTS = 730


def _queue(members: int) -> fair_queue.FairQueue:
    """Return a queue with one waiting ticket per member."""
    rules = queue_rules.QueueRules(
        resource_keys=lambda ticket: (f'entry/{ticket.entry_id}', 'window/a'),
        time_needed=lambda _: queue_rules.TimeNeeded(0.05, 0.2),
    )
    queue = fair_queue.FairQueue(max_queued=100_000, rules=rules)
    queue.set_capacity('window/a', 50)
    for number in range(members + 50):
        queue.offer(_ticket(number, members), 0.0)
    return queue


def _ticket(number: int, members: int) -> interfaces.Ticket:
    return interfaces.Ticket(
        f't{number}',
        f'e{number % 14}',
        f'm{number % members}',
        f'c{number % 3}',
        100.0 + number * 0.001,
    )


def _queue_cpu(members: int) -> float:
    """Return CPU us of an offer and a release that grants another ticket."""
    queue = _queue(members)
    running = collections.deque(f't{number}' for number in range(50))
    numbers = itertools.count(members + 50)

    def decide() -> None:
        number = next(numbers)
        now = number * 0.001
        decisions = [queue.offer(_ticket(number, members), now)]
        decisions += queue.release(running.popleft(), now)
        running.extend(
            decision.ticket_id
            for decision in decisions
            if decision.kind is interfaces.DecisionKind.GRANTED
        )

    return slopes.cpu_us(decide, 1_000)


def _histogram_bytes(pairs: int) -> float:
    def build() -> object:
        latencies = histograms.LatencyHistograms()
        answer = answers.Answer(answers.Outcome.COMPLETE, answers.Reason.OK)
        for number in range(pairs):
            key = histograms.MetricKey(f'team-{number:04}', 'standard')
            latencies.record(key, answer, 0.5)
        return latencies

    return slopes.retained_bytes(build)


def _contracts(count: int) -> dict[str, world.Contract]:
    return {
        f'entry-{n:04}': world.Contract(
            f'entry-{n:04}', f'team-{n:04}', 'standard', 'pipeline'
        )
        for n in range(count)
    }


def _admission(contracts: int) -> control.AdmissionControl:
    admission = control.AdmissionControl('host-0000', 2_000)
    stage = world.Stage('generate', 'engine')
    admission.catalogue_changed(
        _contracts(contracts),
        {'pipeline': world.Pipeline('pipeline', (stage,))},
        {},
        {},
    )
    admission.targets_changed(capacity_hosts.many_targets(64), 0.0)
    admission.hosts_changed(
        capacity_hosts.host_ids(9), capacity_hosts.host_ids(_HOSTS), 0.0
    )
    return admission


def _adjust_cpu(contracts: int) -> float:
    """Return CPU us of adjusting idle limits, done ten times a second."""
    admission = _admission(contracts)
    ticks = itertools.count(1)
    return slopes.cpu_us(lambda: admission.advance(next(ticks) * 0.2), 5)


def _busy_adjust_cpu(contracts: int) -> float:
    """Return CPU us of adjusting limits that hold one request each."""
    admission = _admission(contracts)
    for n in range(contracts):
        ticket = interfaces.Ticket(
            f't{n}', f'entry-{n:04}', f'team-{n:04}', 'standard', 1e9
        )
        admission.entry_queue.offer(ticket, 0.0)
        admission.record_stage_time(f'entry-{n:04}', 'generate', 0.0, 0.1, 1e6)
    ticks = itertools.count(1)
    return slopes.cpu_us(lambda: admission.advance(next(ticks) * 0.2), 5)


def _demands_cpu(contracts: int) -> float:
    """Return CPU us of computing limit demands while no limit is used."""
    admission = _admission(contracts)
    admission.advance(1.0)
    return slopes.cpu_us(lambda: admission.demands(2.0), 5)


def _latency_tracker_bytes(stages: int) -> float:
    def build() -> object:
        tracker = stage_latencies.LatencyTracker()
        for n in range(stages):
            for at in (1.0, 2.0):
                tracker.record(
                    stage_latencies.StageKey(f'entry-{n}', 's'), 0.01, 0.1, at
                )
        return tracker

    return slopes.retained_bytes(build)


def _limit_share_bytes(entries: int) -> float:
    """Return the bytes retained by the limit shares at 730 known hosts."""

    def build() -> object:
        fleet_limits = limits.FleetLimits('host-0000')
        fleet_limits.hosts_changed(
            capacity_hosts.host_ids(9), capacity_hosts.host_ids(_HOSTS), 0.0
        )
        for number in range(entries):
            fleet_limits.set_limit(f'entry/{number}', 1_000)
            fleet_limits.share(f'entry/{number}', 0.0)
        return fleet_limits

    return slopes.retained_bytes(build)


def _share_cpu(hosts: int) -> float:
    """Return CPU us of the first limit share after the live hosts changed."""
    fleet_limits = limits.FleetLimits('host-0000')
    fleet_limits.set_limit('entry/e', 1_000)
    host_lists = itertools.cycle(
        [capacity_hosts.host_ids(hosts), capacity_hosts.host_ids(hosts)[:-1]]
    )

    def divide_and_share() -> None:
        fleet_limits._divide_among(frozenset(next(host_lists)))
        fleet_limits.share('entry/e', 0.0)

    return slopes.cpu_us(divide_and_share, 20)


def _authentication_cpu(members: int) -> float:
    state = fold.CatalogueFold()
    state.merge(member_entries(members))
    view = state.view()
    request = types.SimpleNamespace(
        getHeader=lambda name: f'Bearer token-{members // 2}'
    )
    return slopes.cpu_us(
        lambda: request_validator._authenticate(view, request), 50
    )


def member_entries(count: int) -> list[fold.Entry]:
    """Return catalogue entries of members that have one token each."""
    return [
        fold.Entry(
            records.EntryKind.MEMBER,
            f'team-{n:04}',
            1,
            f'change-{n}',
            'op',
            _member_body(n),
        )
        for n in range(count)
    ]


def _member_body(number: int) -> str:
    digest = hashlib.sha256(f'token-{number}'.encode()).hexdigest()
    body = {'member_id': f'team-{number:04}', 'token_digests': [digest]}
    return msgspec.json.encode(body).decode()


_Series = slopes.Series
_TEAMS = (500, 1_000, 2_000, 4_000)
_ENTRIES = (50, 100, 200, 400)
SERIES = (
    _Series(
        'share CPU', 'known hosts', 'us', _share_cpu, (90, 180, 365, 730), 730
    ),
    _Series('fair queue CPU', 'teams', 'us', _queue_cpu, _TEAMS, 5_800),
    _Series(
        'fair queue memory',
        'teams',
        'B',
        lambda count: slopes.retained_bytes(lambda: _queue(count)),
        _TEAMS,
        5_800,
    ),
    _Series(
        'histogram memory',
        'team and class pairs',
        'B',
        _histogram_bytes,
        _ENTRIES,
        1_000,
    ),
    _Series(
        'authentication CPU', 'teams', 'us', _authentication_cpu, _TEAMS, 5_800
    ),
    _Series('adjust CPU', 'entries', 'us', _adjust_cpu, _ENTRIES, 5_800),
    _Series(
        'busy adjust CPU',
        'entries in use',
        'us',
        _busy_adjust_cpu,
        _ENTRIES,
        480,
    ),
    _Series('demands CPU', 'entries', 'us', _demands_cpu, _TEAMS, 5_800),
    _Series(
        'latency memory',
        'entry stages',
        'B',
        _latency_tracker_bytes,
        (100, 200, 400, 800),
        26_100,
    ),
    _Series(
        'limit memory',
        'entries',
        'B',
        _limit_share_bytes,
        (25, 50, 100, 200),
        5_800,
    ),
)
