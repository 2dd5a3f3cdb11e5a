"""Tests of latencies, windows and the deadline gate."""

import math
import random

from walnutport.admission import control
from walnutport.admission import drain
from walnutport.admission import gate
from walnutport.admission import stage_latencies
from walnutport import interfaces
from walnutport import world

_STAGES = tuple(
    world.Stage(name, name) for name in ('encoder', 'retriever', 'engine')
)
_PIPELINE = world.Pipeline('p', _STAGES)
_CONTRACT = world.Contract('e', 'owner', 'c', 'p')


def _control(slots: int = 4) -> control.AdmissionControl:
    found = control.AdmissionControl('host-1', max_queued=100)
    found.catalogue_changed({'e': _CONTRACT}, {'p': _PIPELINE}, {}, {})
    address = world.Address('127.0.0.1', 1)
    targets = [
        world.Target(stage.service, stage.service, 'dc', address, slots)
        for stage in _STAGES
    ]
    found.targets_changed({item.target_id: item for item in targets}, 0.0)
    found.advance(0.0)
    return found


def _ticket(number: int, deadline: float) -> interfaces.Ticket:
    return interfaces.Ticket(f't{number}', 'e', 'm', 'c', deadline)


def test_quantiles_follow_the_last_samples() -> None:
    """Guards against quantiles that differ from those of a sorted list."""
    rng = random.Random(1)
    book = stage_latencies.DecayedLatencies()
    samples = [rng.lognormvariate(-3.0, 1.0) for _ in range(5_000)]
    for index in range(5_000):
        book.add(10.0, now=index / 1_000)
    for index, sample in enumerate(samples):
        book.add(sample, now=400.0 + index / 1_000)
    samples.sort()
    for quantile in (0.1, 0.5, 0.9, 0.99):
        found = book.quantile_s(quantile, now=405.0)
        wanted = samples[int(quantile * len(samples))]
        assert found is not None
        assert abs(math.log(found / wanted)) < 0.1
    assert book.quantile_s(0.5, now=411.0) is None


def test_what_could_finish_on_an_idle_fleet_is_granted() -> None:
    """Guards against refusals by high quantiles while nothing waits."""
    found = _control()
    granted = interfaces.DecisionKind.GRANTED
    assert found.entry_queue.offer(_ticket(0, 0.001), 0.0).kind is granted
    for index in range(100):
        for stage in _STAGES:
            held_s = 0.010 if index % 2 else 0.200
            found.record_stage_time('e', stage.name, 0.0, held_s, index / 100)
    found.advance(1.0)
    assert found.entry_queue.offer(_ticket(1, 1.04), 1.0).kind is granted
    hopeless = found.entry_queue.offer(_ticket(2, 1.02), 1.0)
    assert hopeless.reason == 'deadline_infeasible'
    # Stages that were not measured for some seconds count as unknown.
    found.advance(10.0)
    assert found.entry_queue.offer(_ticket(3, 10.02), 10.0).kind is granted


def test_the_slowest_pool_bounds_what_is_admitted() -> None:
    """Guards against requests that pile up in front of a later stage."""
    found = _control()
    for index in range(100):
        for stage, held_s in zip(_STAGES, (0.01, 0.01, 0.2)):
            found.record_stage_time('e', stage.name, 0.0, held_s, index / 100)
    found.advance(1.0)
    decisions = [
        found.entry_queue.offer(_ticket(index, 60.0), 1.0)
        for index in range(40)
    ]
    granted = [
        item.ticket_id
        for item in decisions
        if item.kind is interfaces.DecisionKind.GRANTED
    ]
    for ticket_id in granted:
        for service in ('encoder', 'retriever'):
            made = found.release_window(ticket_id, service, 1.0)
            granted += [item.ticket_id for item in made]
    wanted = gate.window_units(4, 0.2, 0.02, depth=2)
    assert len(granted) == wanted < 4 * 3
    made = found.release_window('t0', 'engine', 1.1)
    assert [item.ticket_id for item in made] == [f't{wanted}']


def test_pool_slots_follow_list_and_load_reports() -> None:
    """Guards against a pool that keeps the slots of a leaving target."""
    found = _control(slots=8)
    queue = found.pool_queue('engine')
    assert queue.capacity('pool/engine') == 8 * control.POOL_FACTOR
    found.load_reported('engine', world.LoadReport(0, 0, 4), 1.0)
    found.advance(1.0)
    assert queue.capacity('pool/engine') == 4 * control.POOL_FACTOR
    leaving = world.LoadReport(0, 0, 4, state=world.TargetState.LEAVING)
    found.load_reported('engine', leaving, 2.0)
    found.advance(2.0)
    assert queue.capacity('pool/engine') == math.inf


def test_a_drained_queue_refuses_with_an_honest_retry_time() -> None:
    """Guards against work that is held although it is going to be late."""
    found = _control()
    queue = found.entry_queue
    queue.set_capacity('window/engine', 1)
    for number in range(41):
        queue.offer(_ticket(number, 3.0), 0.0)
    for number in range(20):
        queue.release(f't{number}', 0.1 * (number + 1))
    refused = queue.offer(_ticket(99, 3.0), 2.0)
    assert refused.kind is interfaces.DecisionKind.REFUSED
    assert refused.reason == 'overload'
    # About 21 tickets at 10 per second, with a margin of a quarter, stand
    # against one second.
    assert 1.0 < refused.retry_after_s < 2.5


def test_only_saturated_time_counts_for_the_drain_rate() -> None:
    """Guards against an idle hour that looks like a slow resource."""
    meter = drain.DrainMeter()
    for step in range(50):
        meter.observe(step * 0.1, saturated=True)
        meter.release(1)
    before = meter.rate_per_s()
    meter.observe(3_600.0, saturated=False)
    assert meter.rate_per_s() == before
