"""Tests of batching, placing and refusing stage work."""

import pytest

from tests.stages import builders
from walnutport.stages import pieces
from walnutport.stages import scheduler
from walnutport.stages import stage_targets


def filled(*targets, rules=None) -> scheduler.StageScheduler:
    """Return a scheduler with targets."""
    found = scheduler.StageScheduler()
    found.update_targets(rules or builders.RULES, targets, 0.0)
    return found


def finish(cell, call, now: float, prefix: str = 'h') -> None:
    """Answer a call with a handle for each piece."""
    outcomes = [
        f'{prefix}/{item.request_id}/{item.stage}.{item.piece}'
        for item in call.work
    ]
    cell.call_done(call.call_id, outcomes, now)


def test_pieces_of_many_requests_share_a_call():
    """Guards against one call for each request, which overloads targets."""
    cell = filled(builders.target('t1'))
    cell.submit(builders.order('1'), 0.0)
    first = cell.next_calls(0.0)
    assert len(first) == 1 and len(first[0].work) == 2
    for number in ('2', '3', '4'):
        cell.submit(builders.order(number), 0.05)
    assert cell.next_calls(0.1) == []
    finish(cell, first[0], 0.2)
    (second,) = cell.next_calls(0.2)
    assert len(second.work) == 6


def test_burst_is_refused_once_answers_would_be_late():
    """Replays a burst of 2.6 times what the targets can do.

    Guards against a queue that takes everything and makes all answers late.
    """
    cell = filled(*(builders.target(f't{number}') for number in range(2)))
    accepted = []
    busy: list[tuple[float, pieces.StageCall]] = []
    done_at: dict[str, float] = {}
    refusals = 0
    for step in range(600):
        now = step * 0.01
        for end, call in [entry for entry in busy if entry[0] <= now]:
            busy.remove((end, call))
            finish(cell, call, now)
        for number in range(1 if step % 3 else 0):
            job_id = f'{step}-{number}'
            refusal = cell.submit(builders.order(job_id), now)
            if refusal is None:
                accepted.append((job_id, now))
            else:
                refusals += 1
                assert refusal.retry_after_s > 0
        for outcome in cell.take_outcomes():
            done_at[outcome.job_id] = now
            cell.release(outcome.job_id)
        for call in cell.next_calls(now):
            took = 0.15 + 0.02 * len(call.work)
            busy.append((now + took, call))
    assert refusals > 50
    settled = [entry for entry in accepted if entry[1] < 5.0]
    on_time = sum(
        done_at.get(job_id, 99.0) - now <= 0.8 for job_id, now in settled
    )
    assert on_time >= 0.95 * len(settled)


def test_job_that_cannot_meet_its_deadline_is_refused_at_once():
    """Guards against holding a request that cannot be served."""
    cell = filled(builders.target('t1'))
    refusal = cell.submit(builders.order('1', aim_s=0.1, deadline_s=0.2), 0.0)
    assert refusal is not None
    assert refusal.reason == 'deadline'


def test_no_target_is_a_refusal():
    """Guards against a request that waits for a service without targets."""
    refusal = filled().submit(builders.order('1'), 0.0)
    assert refusal is not None
    assert refusal.reason == 'no_target'


def test_memory_for_results_bounds_a_call():
    """Guards against results that their target has no room for."""
    cell = filled(builders.target('t1'))
    for number in range(6):
        cell.submit(
            builders.order(str(number), aim_s=30.0, deadline_s=30.0), 0.0
        )
    pieces_held = 0
    now = 0.0
    for _ in range(4):
        now += 1.0
        for call in cell.next_calls(now):
            pieces_held += len(call.work)
            finish(cell, call, now + 0.3)
    assert pieces_held <= 9
    for outcome in cell.take_outcomes():
        cell.release(outcome.job_id)
    assert cell.take_freed_handles()
    assert cell.next_calls(now + 1)


def awaiting_near_target(
    aim_s: float, inputs_at: float
) -> scheduler.StageScheduler:
    """Return a cell with a job that has large inputs in data centre ``a``.

    The only target there is busy from 0.2 on and should be free at 0.44; a
    target in another data centre is idle.

    :param aim_s: aim of the job, which is taken at 0.2.
    :param inputs_at: when its inputs are there.
    """
    stages = (
        builders.CHAIN[0].__class__('encode', (), 400_000),
        builders.CHAIN[1],
    )
    cell = filled(
        builders.target('t1'),
        builders.target('near', 'rank', 'a'),
        builders.target('far', 'rank', 'b'),
    )
    cell.submit(builders.order('1', stages, (1, 4)), 0.0)
    (call,) = cell.next_calls(0.0)
    finish(cell, call, 0.2)
    (placed,) = cell.next_calls(0.2)
    assert placed.target_id == 'near'
    cell.submit(builders.order('2', stages, (1, 4), aim_s=aim_s), 0.2)
    (call,) = cell.next_calls(0.2)
    finish(cell, call, inputs_at)
    return cell


def test_large_inputs_wait_for_a_near_target():
    """Guards against results that cross data centres without need."""
    cell = awaiting_near_target(aim_s=2.0, inputs_at=0.3)
    assert cell.next_calls(0.3) == []
    # The near target is late, and the aim of the job comes close.
    (moved,) = cell.next_calls(1.85)
    assert moved.target_id == 'far'


def test_near_target_is_not_awaited_at_the_cost_of_the_aim():
    """Replays a burst in which calls leave full and near targets are busy.

    Guards against a wait that counts on calls as short as those of one job:
    the last call of the job is full and takes 0.27 s, not 0.15 s.
    """
    cell = awaiting_near_target(aim_s=0.77, inputs_at=0.4)
    # A call that starts at the near target at 0.49 and takes 0.27 s leaves
    # 0.21 s for the request, which needs 0.2 s.
    assert cell.next_calls(0.4) == []
    # The near target is late; 0.08 s later the same wait is too long.
    (moved,) = cell.next_calls(0.48)
    assert moved.target_id == 'far'


def test_refused_call_keeps_its_pieces():
    """Guards against pieces that are lost when a target is full."""
    cell = filled(builders.target('t1'))
    cell.submit(builders.order('1'), 0.0)
    (call,) = cell.next_calls(0.0)
    cell.call_failed(call.call_id, stage_targets.CallFailure.BUSY, 0.01)
    assert cell.next_calls(0.02) == []
    (again,) = cell.next_calls(0.2)
    assert again.work[0].piece == call.work[0].piece


def test_silent_target_is_left_out_and_its_pieces_go_elsewhere():
    """Guards against a request that waits for a target gone dark."""
    cell = filled(builders.target('t1'), builders.target('t2'))
    cell.submit(builders.order('1'), 0.0)
    (call,) = cell.next_calls(0.0)
    cell.call_failed(call.call_id, stage_targets.CallFailure.TIMEOUT, 0.6)
    (again,) = cell.next_calls(0.6)
    assert again.target_id != call.target_id


def test_restarted_target_has_lost_its_results():
    """Guards against inputs that point to a lifetime that is over."""
    cell = filled(builders.target('t1'), builders.target('r1', 'rank'))
    cell.submit(builders.order('1', builders.CHAIN, (1, 1)), 0.0)
    (call,) = cell.next_calls(0.0)
    finish(cell, call, 0.2)
    cell.update_targets(
        builders.RULES,
        [
            builders.target('t1', incarnation=2),
            builders.target('r1', 'rank'),
        ],
        0.25,
    )
    (again,) = cell.next_calls(0.25)
    assert again.work[0].stage == 0


def test_draining_target_gets_no_calls():
    """Guards against new work at a target that leaves."""
    cell = filled(builders.target('t1', draining=True))
    assert cell.submit(builders.order('1'), 0.0) is not None
    assert cell.next_calls(0.0) == []


@pytest.mark.parametrize('lost', ['gone', 'error'])
def test_lost_piece_is_made_again(lost):
    """Guards against a job that hangs after one failed piece."""
    failure = {
        'gone': pieces.PieceFailure.INPUT_GONE,
        'error': pieces.PieceFailure.ERROR,
    }[lost]
    cell = filled(builders.target('t1'))
    cell.submit(builders.order('1', counts=(1,)), 0.0)
    (call,) = cell.next_calls(0.0)
    cell.call_done(call.call_id, [failure], 0.2)
    (again,) = cell.next_calls(0.2)
    finish(cell, again, 0.4)
    (done,) = cell.take_outcomes()
    assert isinstance(done, pieces.JobResult)


def test_one_slow_target_does_not_close_a_service():
    """Guards against refusing requests that the fast targets can serve.

    Replays a target that takes eight times as long beside three good ones.
    """
    cell = filled(*(builders.target(f't{number}') for number in range(4)))
    slow_until = 0.0
    for step in range(40):
        now = step * 0.5
        cell.submit(builders.order(f'warm-{step}', aim_s=9.0), now)
        for call in cell.next_calls(now):
            slow = call.target_id == 't0'
            took = 2.0 if slow else 0.19
            slow_until = max(slow_until, now + took)
            finish(cell, call, now + took)
        for outcome in cell.take_outcomes():
            cell.release(outcome.job_id)
    now = slow_until + 1.0
    accepted = sum(
        cell.submit(builders.order(f'job-{number}'), now) is None
        for number in range(12)
    )
    assert accepted >= 9


def test_call_of_a_slow_target_counts_once():
    """Replays a service whose only target became four times slower.

    Guards against refusing what the target can do: the slowness is part of
    the time that a running call is expected to take.
    """
    cell = filled(builders.target('t1'))
    now = 0.0
    for number in range(30):
        cell.submit(builders.order(f'{number}', aim_s=9.0), now)
        (call,) = cell.next_calls(now)
        now += 4 * (0.15 + 0.02 * len(call.work) + scheduler.CALL_OVERHEAD_S)
        finish(cell, call, now)
        cell.release(f'{number}')
    cell.take_outcomes()
    assert cell.submit(builders.order('first', aim_s=9.0), now) is None
    cell.next_calls(now)
    # The running call takes 0.8 s, a full one after it 1.1 s, and the request
    # itself 0.2 s. Counted twice, the first of these would be 3.2 s.
    assert cell.submit(builders.order('second', aim_s=3.0), now) is None
