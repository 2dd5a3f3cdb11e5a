"""Tests of the batching, placement and refusal of stage work."""

import dataclasses

import pytest

from tests.stages import builders
from walnutport.stages import pieces
from walnutport.stages import scheduler
from walnutport.stages import stage_targets


def make_scheduler(*targets, rules=None) -> scheduler.StageScheduler:
    """Return a scheduler with the given targets."""
    found = scheduler.StageScheduler()
    found.update_targets(rules or builders.RULES, targets, 0.0)
    return found


def finish_call(cell, call, now: float, prefix: str = 'h') -> None:
    """Complete a call with a result handle for each piece."""
    outcomes = [
        f'{prefix}/{item.request_id}/{item.stage}.{item.piece}'
        for item in call.pieces
    ]
    cell.call_done(call.call_id, outcomes, now)


def test_pieces_of_many_requests_share_a_call():
    """Guards against one call per request, which overloads the targets."""
    cell = make_scheduler(builders.target('t1'))
    cell.submit(builders.job_spec('1'), 0.0)
    first = cell.next_calls(0.0)
    assert len(first) == 1 and len(first[0].pieces) == 2
    for number in ('2', '3', '4'):
        cell.submit(builders.job_spec(number), 0.05)
    assert cell.next_calls(0.1) == []
    finish_call(cell, first[0], 0.2)
    (second,) = cell.next_calls(0.2)
    assert len(second.pieces) == 6


def test_burst_is_refused_once_answers_would_be_late():
    """Replays a burst of 2.6 times the capacity of the targets.

    Guards against a queue that admits everything and makes all answers late.
    """
    cell = make_scheduler(
        *(builders.target(f't{number}') for number in range(2))
    )
    accepted = []
    busy: list[tuple[float, pieces.BatchCall]] = []
    done_at: dict[str, float] = {}
    refusals = 0
    for step in range(600):
        now = step * 0.01
        for end, call in [entry for entry in busy if entry[0] <= now]:
            busy.remove((end, call))
            finish_call(cell, call, now)
        for number in range(1 if step % 3 else 0):
            job_id = f'{step}-{number}'
            refusal = cell.submit(builders.job_spec(job_id), now)
            if refusal is None:
                accepted.append((job_id, now))
            else:
                refusals += 1
                assert refusal.retry_after_s > 0
        for outcome in cell.take_outcomes():
            done_at[outcome.job_id] = now
            cell.release(outcome.job_id)
        for call in cell.next_calls(now):
            took = 0.15 + 0.02 * len(call.pieces)
            busy.append((now + took, call))
    assert refusals > 50
    settled = [entry for entry in accepted if entry[1] < 5.0]
    on_time = sum(
        done_at.get(job_id, 99.0) - now <= 0.8 for job_id, now in settled
    )
    assert on_time >= 0.95 * len(settled)


def test_job_that_cannot_meet_its_deadline_is_refused_immediately():
    """Guards against queueing a request that cannot be served in time."""
    cell = make_scheduler(builders.target('t1'))
    refusal = cell.submit(
        builders.job_spec('1', aim_s=0.1, deadline_s=0.2), 0.0
    )
    assert refusal is not None
    assert refusal.reason == 'deadline'


def test_job_without_target_is_refused():
    """Guards against a request that waits for a service without targets."""
    refusal = make_scheduler().submit(builders.job_spec('1'), 0.0)
    assert refusal is not None
    assert refusal.reason == 'no_target'


def test_result_memory_bounds_the_size_of_a_call():
    """Guards against results that exceed the memory of their target."""
    cell = make_scheduler(builders.target('t1'))
    for number in range(6):
        cell.submit(
            builders.job_spec(str(number), aim_s=30.0, deadline_s=30.0), 0.0
        )
    pieces_held = 0
    now = 0.0
    for _ in range(4):
        now += 1.0
        for call in cell.next_calls(now):
            pieces_held += len(call.pieces)
            finish_call(cell, call, now + 0.3)
    assert pieces_held <= 9
    for outcome in cell.take_outcomes():
        cell.release(outcome.job_id)
    assert cell.take_freed_handles(6.0)
    assert cell.next_calls(now + 1)


def cell_with_busy_near_target(
    aim_s: float, inputs_at: float
) -> scheduler.StageScheduler:
    """Return a cell with a job that has large inputs in data centre ``a``.

    The only target there is busy from 0.2 s and expected to be free at
    0.44 s; a target in another data centre is idle.

    :param aim_s: aim of the job, which is submitted at 0.2 s.
    :param inputs_at: time at which its inputs are available.
    """
    stages = (
        builders.CHAIN[0].__class__('encode', (), 400_000),
        builders.CHAIN[1],
    )
    cell = make_scheduler(
        builders.target('t1'),
        builders.target('near', 'rank', 'a'),
        builders.target('far', 'rank', 'b'),
    )
    cell.submit(builders.job_spec('1', stages, (1, 4)), 0.0)
    (call,) = cell.next_calls(0.0)
    finish_call(cell, call, 0.2)
    (placed,) = cell.next_calls(0.2)
    assert placed.target.target_id == 'near'
    cell.submit(builders.job_spec('2', stages, (1, 4), aim_s=aim_s), 0.2)
    (call,) = cell.next_calls(0.2)
    finish_call(cell, call, inputs_at)
    return cell


def test_large_inputs_wait_for_a_near_target():
    """Guards against unnecessary transfers between data centres."""
    cell = cell_with_busy_near_target(aim_s=2.0, inputs_at=0.3)
    assert cell.next_calls(0.3) == []
    # The near target is overdue, and waiting longer would miss the aim.
    (moved,) = cell.next_calls(1.85)
    assert moved.target.target_id == 'far'


def test_job_does_not_wait_for_near_target_beyond_its_aim():
    """Replays a burst in which calls are full and near targets are busy.

    Guards against a wait computed from the duration of an almost empty call:
    the last call of the job is full and takes 0.27 s, not 0.15 s.
    """
    cell = cell_with_busy_near_target(aim_s=0.77, inputs_at=0.4)
    # A call that starts at the near target at 0.49 and takes 0.27 s leaves
    # 0.21 s for the request, which needs 0.2 s.
    assert cell.next_calls(0.4) == []
    # The near target is overdue; 0.08 s later the same wait is too long.
    (moved,) = cell.next_calls(0.48)
    assert moved.target.target_id == 'far'


def test_pieces_of_a_refused_call_are_retried():
    """Guards against pieces that are lost when a target is busy."""
    cell = make_scheduler(builders.target('t1'))
    cell.submit(builders.job_spec('1'), 0.0)
    (call,) = cell.next_calls(0.0)
    cell.call_failed(call.call_id, stage_targets.CallFailure.BUSY, 0.01)
    assert cell.next_calls(0.02) == []
    (again,) = cell.next_calls(0.2)
    assert again.pieces[0].piece == call.pieces[0].piece


def test_pieces_of_a_timed_out_call_go_to_another_target():
    """Guards against a request that waits for an unresponsive target."""
    cell = make_scheduler(builders.target('t1'), builders.target('t2'))
    cell.submit(builders.job_spec('1'), 0.0)
    (call,) = cell.next_calls(0.0)
    cell.call_failed(call.call_id, stage_targets.CallFailure.TIMEOUT, 0.6)
    (again,) = cell.next_calls(0.6)
    assert again.target != call.target


def test_results_of_a_restarted_target_are_recomputed():
    """Guards against inputs that refer to results lost by a restart."""
    cell = make_scheduler(builders.target('t1'), builders.target('r1', 'rank'))
    cell.submit(builders.job_spec('1', builders.CHAIN, (1, 1)), 0.0)
    (call,) = cell.next_calls(0.0)
    finish_call(cell, call, 0.2)
    cell.update_targets(
        builders.RULES,
        [
            builders.target('t1', incarnation=2),
            builders.target('r1', 'rank'),
        ],
        0.25,
    )
    (again,) = cell.next_calls(0.25)
    assert again.pieces[0].stage == 0


def test_draining_target_gets_no_calls():
    """Guards against new work for a target that is shutting down."""
    cell = make_scheduler(builders.target('t1', draining=True))
    assert cell.submit(builders.job_spec('1'), 0.0) is not None
    assert cell.next_calls(0.0) == []


@pytest.mark.parametrize('lost', ['gone', 'error'])
def test_failed_piece_is_retried(lost):
    """Guards against a job that hangs after one failed piece."""
    failure = {
        'gone': pieces.PieceFailure.INPUT_GONE,
        'error': pieces.PieceFailure.ERROR,
    }[lost]
    cell = make_scheduler(builders.target('t1'))
    cell.submit(builders.job_spec('1', counts=(1,)), 0.0)
    (call,) = cell.next_calls(0.0)
    cell.call_done(call.call_id, [failure], 0.2)
    (again,) = cell.next_calls(0.2)
    finish_call(cell, again, 0.4)
    (done,) = cell.take_outcomes()
    assert isinstance(done, pieces.JobResult)


def test_jobs_are_admitted_despite_one_slow_target():
    """Guards against refusing requests that the fast targets can serve.

    A call takes 2 s at one target and 0.19 s at the other three.
    """
    cell = make_scheduler(
        *(builders.target(f't{number}') for number in range(4))
    )
    slow_until = 0.0
    for step in range(40):
        now = step * 0.5
        cell.submit(builders.job_spec(f'warm-{step}', aim_s=9.0), now)
        for call in cell.next_calls(now):
            slow = call.target.target_id == 't0'
            took = 2.0 if slow else 0.19
            slow_until = max(slow_until, now + took)
            finish_call(cell, call, now + took)
        for outcome in cell.take_outcomes():
            cell.release(outcome.job_id)
    now = slow_until + 1.0
    accepted = sum(
        cell.submit(builders.job_spec(f'job-{number}'), now) is None
        for number in range(12)
    )
    assert accepted >= 9


def test_slowness_of_a_running_call_counts_once():
    """Checks a service whose only target became four times slower.

    Guards against applying the slowness twice: it is already part of the
    expected time of a running call, and jobs that the target could serve
    would be refused.
    """
    cell = make_scheduler(builders.target('t1'))
    now = 0.0
    for number in range(30):
        cell.submit(builders.job_spec(f'{number}', aim_s=9.0), now)
        (call,) = cell.next_calls(now)
        now += 4 * (
            0.15 + 0.02 * len(call.pieces) + stage_targets.CALL_OVERHEAD_S
        )
        finish_call(cell, call, now)
        cell.release(f'{number}')
    cell.take_outcomes()
    assert cell.submit(builders.job_spec('first', aim_s=9.0), now) is None
    cell.next_calls(now)
    # The running call takes 0.8 s, a full one after it 1.1 s, and the request
    # itself 0.2 s. With the slowness applied twice, the first would be 3.2 s.
    assert cell.submit(builders.job_spec('second', aim_s=3.0), now) is None


def test_new_request_with_a_short_deadline_keeps_its_aim():
    """Guards against new requests that are refused as late retries.

    Callers send deadlines that differ by up to 15%. Only a request whose
    content was refused before has used up a part of its aim.
    """
    cell = make_scheduler(builders.target('t1'))
    cell.submit(builders.job_spec('1', deadline_s=4.2, content=b'1'), 0.0)
    cell.submit(builders.job_spec('2', deadline_s=5.0, content=b'2'), 0.0)
    assert [cell._job_by_id[job_id].aim_at for job_id in '12'] == [1.0, 1.0]


def test_retry_has_the_rest_of_the_aim_of_its_first_attempt():
    """Guards against answers that are on time only for the last attempt."""
    cell = make_scheduler(builders.target('t1'))
    for number in range(20):
        cell.submit(builders.job_spec(str(number)), 0.0)
    refusal = cell.submit(builders.job_spec('first', content=b'1'), 0.0)
    assert refusal is not None and refusal.spent_s == 0.0
    second = cell.submit(builders.job_spec('second', content=b'1'), 0.3)
    assert second is not None and second.spent_s == pytest.approx(0.3)
    for number in range(20):
        cell.release(str(number))
    assert cell.submit(builders.job_spec('third', content=b'1'), 0.6) is None
    assert cell._job_by_id['third'].aim_at == pytest.approx(1.0)


def overloaded_cell() -> scheduler.StageScheduler:
    """Return a cell that refuses new jobs."""
    cell = make_scheduler(builders.target('t1'))
    for number in range(20):
        cell.submit(builders.job_spec(f'load-{number}'), 0.0)
    return cell


def test_return_before_its_time_gains_nothing():
    """Guards against callers that return at once to be admitted earlier."""
    cell = overloaded_cell()
    first = cell.submit(builders.job_spec('1', content=b'1'), 0.0)
    assert first is not None and first.reserved
    early = cell.submit(builders.job_spec('2', content=b'1'), 0.1)
    assert early is not None and early.reserved
    assert early.retry_after_s == pytest.approx(first.retry_after_s - 0.1)
    due = first.retry_after_s + 0.01
    assert cell.submit(builders.job_spec('3', content=b'1'), due) is None
    assert len(cell.cell_load.returns) == 0


def test_return_without_a_place_is_recognized_by_its_deadline():
    """Guards against a second refusal after the owner of a cell was lost."""
    cell = overloaded_cell()
    spec = dataclasses.replace(
        builders.job_spec('1', aim_s=0.2, deadline_s=4.0), spent_s=0.8
    )
    assert cell.submit(spec, 0.0) is None


def test_unstarted_job_that_missed_its_aim_releases_its_place():
    """Guards against hopeless jobs that are served before timely ones."""
    cell = make_scheduler(builders.target('t1'))
    cell.submit(builders.job_spec('1', deadline_s=9.0, content=b'1'), 0.0)
    cell.submit(builders.job_spec('2', deadline_s=1.2, content=b'2'), 0.0)
    # No target was free until the aim was out of reach.
    cell.expire_jobs(0.9)
    (failure,) = cell.take_outcomes()
    assert failure.job_id == '2' and failure.reason == 'aim_missed'
    assert cell.submit(builders.job_spec('3'), 0.9) is None
    (call,) = cell.next_calls(0.9)
    assert [item.request_id for item in call.pieces][:2] == ['request-3'] * 2
