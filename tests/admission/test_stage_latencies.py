"""Tests of measured latencies, admission windows and the deadline check."""

import math
import random

from walnutport.admission import control
from walnutport.admission import drain
from walnutport.admission import stage_latencies
from walnutport.admission import windows
from walnutport import interfaces
from walnutport import world

_STAGES = tuple(
    world.Stage(name, name) for name in ('encoder', 'retriever', 'engine')
)
_PIPELINE = world.Pipeline('p', _STAGES)
_CONTRACT = world.Contract('e', 'owner', 'c', 'p')


def _make_control(slots: int = 4) -> control.AdmissionControl:
    admission = control.AdmissionControl('host-1', max_queued=100)
    admission.catalogue_changed({'e': _CONTRACT}, {'p': _PIPELINE}, {}, {})
    address = world.Address('127.0.0.1', 1)
    targets = [
        world.Target(stage.service, stage.service, 'dc', address, slots)
        for stage in _STAGES
    ]
    admission.targets_changed({item.target_id: item for item in targets}, 0.0)
    admission.advance(0.0)
    return admission


def _ticket(number: int, deadline: float) -> interfaces.Ticket:
    return interfaces.Ticket(f't{number}', 'e', 'm', 'c', deadline)


def test_quantiles_follow_recent_samples() -> None:
    """Compares the quantiles with those of a sorted list."""
    rng = random.Random(1)
    latencies = stage_latencies.DecayingHistogram()
    samples = [rng.lognormvariate(-3.0, 1.0) for _ in range(5_000)]
    for index in range(5_000):
        latencies.add(10.0, now=index / 1_000)
    for index, sample in enumerate(samples):
        latencies.add(sample, now=400.0 + index / 1_000)
    samples.sort()
    for quantile in (0.1, 0.5, 0.9, 0.99):
        estimate_s = latencies.quantile_s(quantile, now=405.0)
        expected = samples[int(quantile * len(samples))]
        assert estimate_s is not None
        assert abs(math.log(estimate_s / expected)) < 0.1
    assert latencies.quantile_s(0.5, now=411.0) is None


def test_feasible_request_is_granted_on_an_idle_fleet() -> None:
    """Guards against refusals by a high quantile while nothing is queued."""
    admission = _make_control()
    granted = interfaces.DecisionKind.GRANTED
    assert admission.entry_queue.offer(_ticket(0, 0.001), 0.0).kind is granted
    for index in range(100):
        for stage in _STAGES:
            held_s = 0.010 if index % 2 else 0.200
            admission.record_stage_time(
                'e', stage.name, 0.0, held_s, index / 100
            )
    admission.advance(1.0)
    assert admission.entry_queue.offer(_ticket(1, 1.04), 1.0).kind is granted
    refused = admission.entry_queue.offer(_ticket(2, 1.02), 1.0)
    assert refused.reason == 'deadline_infeasible'
    # Latencies of stages without recent samples count as unknown.
    admission.advance(10.0)
    assert admission.entry_queue.offer(_ticket(3, 10.02), 10.0).kind is granted


def test_slowest_pool_bounds_admission() -> None:
    """Guards against requests that accumulate in front of a later stage."""
    admission = _make_control()
    for index in range(100):
        for stage, held_s in zip(_STAGES, (0.01, 0.01, 0.2)):
            admission.record_stage_time(
                'e', stage.name, 0.0, held_s, index / 100
            )
    admission.advance(1.0)
    decisions = [
        admission.entry_queue.offer(_ticket(index, 60.0), 1.0)
        for index in range(40)
    ]
    granted = [
        item.ticket_id
        for item in decisions
        if item.kind is interfaces.DecisionKind.GRANTED
    ]
    for ticket_id in granted:
        for service in ('encoder', 'retriever'):
            made = admission.release_window(ticket_id, service, 1.0)
            granted += [item.ticket_id for item in made]
    expected = windows.window_units(4, 0.2, 0.02, depth=2)
    assert len(granted) == expected < 4 * 3
    made = admission.release_window('t0', 'engine', 1.1)
    assert [item.ticket_id for item in made] == [f't{expected}']


def test_pool_slots_follow_target_list_and_load_reports() -> None:
    """Guards against a pool that keeps the slots of a leaving target."""
    admission = _make_control(slots=8)
    queue = admission.pool_queue('engine')
    assert queue.capacity('pool/engine') == 8 * control.POOL_OVERCOMMIT_FACTOR
    admission.load_reported('engine', world.LoadReport(0, 0, 4), 1.0)
    admission.advance(1.0)
    assert queue.capacity('pool/engine') == 4 * control.POOL_OVERCOMMIT_FACTOR
    leaving = world.LoadReport(0, 0, 4, state=world.TargetState.LEAVING)
    admission.load_reported('engine', leaving, 2.0)
    admission.advance(2.0)
    assert queue.capacity('pool/engine') == math.inf


def test_refusal_has_a_realistic_retry_time() -> None:
    """Guards against queueing work that is going to miss its deadline."""
    admission = _make_control()
    queue = admission.entry_queue
    queue.set_capacity('window/engine', 1)
    for number in range(41):
        queue.offer(_ticket(number, 3.0), 0.0)
    for number in range(20):
        queue.release(f't{number}', 0.1 * (number + 1))
    refused = queue.offer(_ticket(99, 3.0), 2.0)
    assert refused.kind is interfaces.DecisionKind.REFUSED
    assert refused.reason == 'overload'
    # About 21 tickets at 10 per second, plus a margin of a quarter, exceed
    # the one second that is left.
    assert 1.0 < refused.retry_after_s < 2.5


def test_only_saturated_time_counts_for_the_drain_rate() -> None:
    """Guards against an idle hour that lowers the measured drain rate."""
    meter = drain.DrainMeter()
    for step in range(50):
        meter.observe(step * 0.1, saturated=True)
        meter.release(1)
    before = meter.rate_per_s()
    meter.observe(3_600.0, saturated=False)
    assert meter.rate_per_s() == before
