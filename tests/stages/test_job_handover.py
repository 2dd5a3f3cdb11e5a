"""Jobs of an owner whose host stops before they can end."""

import dataclasses

import msgspec

from tests.stages import builders
from walnutport.lifecycle import host_end
from walnutport.peer import fleet_messages
from walnutport.stages import admission_counts
from walnutport.stages import pieces
from walnutport.stages import scheduler

# A call with two pieces takes 0.19 s, and a chain of two of them 0.38 s.
CHAIN_SPEC = builders.job_spec('1', builders.CHAIN, (2, 2))
TARGETS = (builders.target('t-1'), builders.target('t-2', 'rank'))


def make_cell() -> scheduler.StageScheduler:
    """Return a cell with a target for each stage of a chain."""
    cell = scheduler.StageScheduler()
    cell.update_targets(builders.RULES, list(TARGETS), 0.0)
    return cell


def ends_at(time_s: float) -> host_end.HostEnd:
    """Return the end of a host at a time."""
    end = host_end.HostEnd()
    end.set(time_s)
    return end


def withdraw(
    cell: scheduler.StageScheduler, end_s: float, now: float = 0.0
) -> list[pieces.JobHandover]:
    """Withdraw the jobs that end after the host."""
    return cell.withdraw_jobs(ends_at(end_s), lambda spec: True, now)


def run_call(
    cell: scheduler.StageScheduler, now: float
) -> list[pieces.PieceRequest]:
    """Run the next call of a cell, and return its pieces."""
    (call,) = cell.next_calls(now)
    cell.call_done(
        call.call_id,
        [f'{item.stage}.{item.piece}' for item in call.pieces],
        now + 0.19,
    )
    return list(call.pieces)


def after_first_stage() -> pieces.JobHandover:
    """Return a job that is handed over after its first stage."""
    cell = make_cell()
    assert cell.submit(CHAIN_SPEC, 0.0) is None
    run_call(cell, 0.0)
    (handover,) = withdraw(cell, 0.4, now=0.2)
    return handover


def handed(handover: pieces.JobHandover) -> pieces.JobSpec:
    """Return the job as its host submits it to the next owner."""
    return dataclasses.replace(
        CHAIN_SPEC,
        was_admitted=handover.was_admitted,
        held=handover.results,
    )


def test_job_that_ends_in_time_stays():
    """Guards against work that moves though its owner can finish it."""
    cell = make_cell()
    assert cell.submit(CHAIN_SPEC, 0.0) is None
    assert withdraw(cell, 0.7) == []
    assert cell.withdraw_jobs(host_end.HostEnd(), lambda spec: True, 0.0) == []
    run_call(cell, 0.0)
    run_call(cell, 0.2)
    (result,) = cell.take_outcomes()
    assert isinstance(result, pieces.JobResult)
    # The request itself needs the results, but not their owner.
    assert withdraw(cell, 0.4, now=0.4) == []


def test_job_that_has_not_begun_is_handed_over_at_once():
    """Guards against callers who wait for an owner until it is gone."""
    cell = make_cell()
    assert cell.submit(CHAIN_SPEC, 0.0) is None
    assert withdraw(cell, 0.5) == [pieces.JobHandover('1', True)]
    assert cell.job_count == 0
    assert cell.next_calls(0.0) == []
    assert cell.take_outcomes() == []
    event = admission_counts.JobEvent.HANDED_OVER
    assert cell.gate.counts.by_key[('', 'north', event)] == 1


def test_running_call_is_awaited_if_it_ends_in_time():
    """Guards against calls that run a second time."""
    cell = make_cell()
    assert cell.submit(CHAIN_SPEC, 0.0) is None
    (call,) = cell.next_calls(0.0)
    assert withdraw(cell, 0.5) == []
    cell.call_done(call.call_id, ['a', 'b'], 0.2)
    # The next stage is left to the next owner.
    assert cell.next_calls(0.2) == []
    (handover,) = withdraw(cell, 0.5, now=0.2)
    assert [held.handle for held in handover.results] == ['a', 'b']


def test_call_that_does_not_end_in_time_is_not_awaited():
    """Guards against a job that is lost as its owner awaits a call.

    The result that comes yet is of no use and is freed.
    """
    cell = make_cell()
    assert cell.submit(CHAIN_SPEC, 0.0) is None
    (call,) = cell.next_calls(0.0)
    assert withdraw(cell, 0.3) == [pieces.JobHandover('1', True)]
    cell.call_done(call.call_id, ['a', 'b'], 0.2)
    ((target, handles),) = cell.take_freed_handles(0.2)
    assert (target.target_id, handles) == ('t-1', ['a', 'b'])


def test_successor_goes_on_with_the_results():
    """Guards against stages that run a second time at the next owner."""
    handover = after_first_stage()
    successor = make_cell()
    assert successor.submit(handed(handover), 0.3) is None
    assert successor.forecast_s('1') < CHAIN_SPEC.final_s + 0.3
    items = run_call(successor, 0.3)
    assert {(item.stage, item.inputs) for item in items} == {
        (1, ('0.0', '0.1'))
    }
    (result,) = successor.take_outcomes()
    assert [found.handle for found in result.results] == ['1.0', '1.1']
    successor.release('1')
    freed = dict(
        (target.target_id, handles)
        for target, handles in successor.take_freed_handles(0.6)
    )
    assert freed == {'t-1': ['0.0', '0.1'], 't-2': ['1.0', '1.1']}


def test_results_of_a_handed_over_job_are_not_freed():
    """Guards against an owner that frees what its successor needs."""
    cell = make_cell()
    assert cell.submit(CHAIN_SPEC, 0.0) is None
    run_call(cell, 0.0)
    assert withdraw(cell, 0.4, now=0.2)
    cell.release('1')
    assert cell.take_freed_handles(0.2) == []


def test_results_are_freed_if_the_successor_refuses_the_job():
    """Guards against results that nobody frees."""
    spec = dataclasses.replace(handed(after_first_stage()), deadline_s=0.1)
    successor = make_cell()
    assert successor.submit(spec, 0.3).reason == 'deadline'
    ((target, handles),) = successor.take_freed_handles(0.3)
    assert (target.target_id, handles) == ('t-1', ['0.0', '0.1'])


def test_memory_of_results_counts_at_the_owner_that_frees_them():
    """Guards against calls to targets whose memory is full."""
    size = builders.SINGLE[0].result_bytes
    spec = dataclasses.replace(
        builders.job_spec('1', counts=(9,)),
        held=tuple(
            pieces.HeldResult(0, piece, f'h-{piece}', 't-1', 'a', size)
            for piece in range(8)
        ),
    )
    cell = make_cell()
    assert cell.submit(spec, 0.0) is None
    assert cell.submit(builders.job_spec('2', counts=(4,)), 0.0) is None
    (call,) = cell.next_calls(0.0)
    # The memory of the target has room for nine results.
    assert len(call.pieces) == 1


def test_held_results_of_no_piece_are_ignored():
    """Guards against a message of a peer that ends the event loop's call."""
    spec = dataclasses.replace(
        CHAIN_SPEC,
        held=(
            pieces.HeldResult(0, 7, 'a', 't-1', 'a', 1),
            pieces.HeldResult(5, 0, 'b', 't-1', 'a', 1),
            pieces.HeldResult(0, -1, 'c', 't-9', 'a', 1),
        ),
    )
    cell = make_cell()
    assert cell.submit(spec, 0.0) is None
    assert len(run_call(cell, 0.0)) == 2


def test_job_of_an_earlier_build_brings_no_results():
    """Guards against a link that closes as a field of a job is missing."""
    message = fleet_messages.RunStages(CHAIN_SPEC, 0)
    fields = msgspec.msgpack.decode(fleet_messages.encode(message))
    del fields['order']['held']
    decoded = fleet_messages.decode(msgspec.msgpack.encode(fields))
    assert decoded == message and not decoded.order.held


def test_handover_keeps_its_results_on_the_way():
    """Guards against a handover that no host can decode."""
    message = fleet_messages.StagesHandedOver(after_first_stage())
    assert message.handover.results
    assert fleet_messages.decode(fleet_messages.encode(message)) == message
