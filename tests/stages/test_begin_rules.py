"""Tests of which jobs may have their first call."""

import random

import pytest

from tests.stages import builders
from walnutport.stages import begin_rules
from walnutport.stages import pieces
from walnutport.stages import scheduler
from walnutport.stages import stage_targets
from walnutport.world import routes

# Results of the second stage are held until the first event of the request,
# so that the memory of its target is what is scarce.
LARGE_CHAIN = (
    routes.StageSpec('encode', (), 500_000),
    routes.StageSpec('rank', (0,), 3_000_000),
)


class _NoRules(begin_rules.BeginRules):
    """Lets every job begin, as before."""

    def select(self, entries, now):
        return list(entries)


def make_scheduler(
    with_rules: bool = True, encoders: int = 3
) -> scheduler.StageScheduler:
    """Return a cell with one target for the second stage."""
    cell = scheduler.StageScheduler()
    if not with_rules:
        cell.begin_rules = _NoRules(cell._targets)
    cell.update_targets(
        builders.RULES,
        [
            *(builders.target(f't{number}') for number in range(encoders)),
            builders.target('r1', 'rank'),
        ],
        0.0,
    )
    return cell


def finish(cell: scheduler.StageScheduler, call, now: float) -> None:
    """Complete a call."""
    cell.call_done(
        call.call_id,
        [
            f'{item.request_id}.{item.stage}.{item.piece}'
            for item in call.pieces
        ],
        now,
    )


def replay(with_rules: bool, seed: int) -> tuple[float, int, int]:
    """Replay a burst of jobs whose requests read their results slowly.

    :returns: seconds of stage work that is thrown away, jobs that finish, and
        jobs that fail after they have begun.
    """
    rng = random.Random(seed)
    cell = make_scheduler(with_rules)
    work_s: dict[str, float] = {}
    finished = 0
    failed_begun = 0
    thrown_s = 0.0
    calls: list[tuple[float, pieces.BatchCall, float]] = []
    releases: list[tuple[float, str]] = []
    for step in range(3000):
        now = step * 0.01
        for entry in [entry for entry in calls if entry[0] <= now]:
            calls.remove(entry)
            _, call, took_s = entry
            finish(cell, call, now)
            for item in call.pieces:
                work_s[item.request_id] = work_s.get(
                    item.request_id, 0.0
                ) + took_s / len(call.pieces)
        if rng.random() < 0.07:
            # Admission is not what is tested here.
            spec = builders.job_spec(
                str(step),
                LARGE_CHAIN,
                (2, 3),
                aim_s=60.0,
                deadline_s=4.0,
            )
            cell.submit(spec, now)
        for entry in [entry for entry in releases if entry[0] <= now]:
            releases.remove(entry)
            cell.release(entry[1])
        cell.expire_jobs(now)
        for call in cell.next_calls(now):
            took_s = (
                call.timeout_s - stage_targets.TIMEOUT_MARGIN_S
            ) / stage_targets.TIMEOUT_RATIO
            calls.append((now + took_s, call, took_s))
        for outcome in cell.take_outcomes():
            if isinstance(outcome, pieces.JobResult):
                finished += 1
                # The engine reads the results of a request after a while.
                releases.append((now + 1.2, outcome.job_id))
                continue
            spent_s = work_s.get(f'request-{outcome.job_id}', 0.0)
            failed_begun += spent_s > 0
            thrown_s += spent_s
    return thrown_s, finished, failed_begun


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_less_work_is_thrown_away(seed):
    """Replays a burst at scarce memory, without and with the rules.

    Guards against first stages whose results wait for room at the next stage
    until they are late. A third of the work thrown away is the bound of the
    design page; as many jobs must finish.
    """
    earlier_s, earlier_finished, earlier_failed = replay(False, seed)
    found_s, finished, failed = replay(True, seed)
    assert found_s <= earlier_s / 3
    assert failed <= earlier_failed / 3
    assert finished >= earlier_finished


def test_job_begins_when_the_next_stage_has_room():
    """Guards against a first call whose results nothing can use in time.

    The second stage has memory for nine results and promises it to twelve;
    each job needs seven there.
    """
    cell = make_scheduler()
    for job_id in ('1', '2'):
        cell.submit(
            builders.job_spec(job_id, LARGE_CHAIN, (2, 7), aim_s=9.0), 0.0
        )
    (call,) = cell.next_calls(0.0)
    assert {item.request_id for item in call.pieces} == {'request-1'}
    assert cell.begin_rules.blocked_services == {'rank'}
    assert cell.begin_rules.reserved_bytes('rank') == 21_000_000
    for start in (0.2, 0.5):
        finish(cell, call, start)
        (call,) = cell.next_calls(start)
        assert call.target.target_id == 'r1'
    finish(cell, call, 0.8)
    assert cell.next_calls(0.8) == []
    cell.release('1')
    (call,) = cell.next_calls(0.9)
    assert {item.request_id for item in call.pieces} == {'request-2'}


def test_less_urgent_job_does_not_take_the_room_of_a_blocked_one():
    """Guards against a large job that starves behind small ones."""
    cell = make_scheduler()
    counts_by_id = {'running': 7, 'large': 6, 'small': 1}
    for number, (job_id, count) in enumerate(counts_by_id.items()):
        cell.submit(
            builders.job_spec(
                job_id, LARGE_CHAIN, (1, count), aim_s=8.0 + number
            ),
            0.0,
        )
    begun = {
        item.request_id
        for call in cell.next_calls(0.0)
        for item in call.pieces
    }
    assert begun == {'request-running'}


def test_job_larger_than_the_memory_begins_alone():
    """Guards against a job that waits for room that never exists."""
    cell = make_scheduler()
    cell.submit(builders.job_spec('1', LARGE_CHAIN, (1, 12), aim_s=9.0), 0.0)
    assert len(cell.next_calls(0.0)) == 1


def test_job_that_cannot_finish_is_not_begun():
    """Guards against work on a job whose answer would be too late.

    Two calls and half of the request need 0.4 s.
    """
    cell = make_scheduler(encoders=1)
    spec = builders.job_spec('1', LARGE_CHAIN, (1, 1), deadline_s=1.0)
    assert cell.submit(spec, 0.0) is None
    assert cell.next_calls(0.65) == []
    (failure,) = cell.take_outcomes()
    assert failure.reason == 'deadline'


def test_room_of_a_released_job_is_returned():
    """Guards against reservations that outlive their job."""
    cell = make_scheduler()
    cell.submit(builders.job_spec('1', LARGE_CHAIN, (2, 5), aim_s=9.0), 0.0)
    cell.next_calls(0.0)
    cell.release('1')
    assert cell.begin_rules.reserved_bytes('rank') == 0.0
