"""Tests of the rate limit and the buffer limit of the decision log."""

import json

import pytest

from walnutport.gateway.operations import decision_log


class FakeStdout:
    """Standard output that accepts a limited number of bytes.

    :ivar writable: how many more bytes it accepts.
    """

    def __init__(self) -> None:
        self.writable = 10**9
        self.written = b''
        self.scheduled: list = []

    def write(self, data: bytes) -> int:
        accepted = data[: self.writable]
        self.writable -= len(accepted)
        self.written += accepted
        return len(accepted)

    def call_later(self, delay_s, call) -> None:
        self.scheduled.append(call)

    def run_scheduled(self) -> None:
        """Run the scheduled calls."""
        scheduled, self.scheduled = self.scheduled, []
        for call in scheduled:
            call()


def make_log(stdout: FakeStdout) -> decision_log.DecisionLog:
    """Return a log that writes to the given standard output."""
    return decision_log.DecisionLog('h', stdout.call_later, stdout.write)


def test_buffer_stays_bounded_while_the_reader_is_stalled():
    """Guards against a process that blocks or grows in memory with its log.

    Standard output accepts nothing, so no line leaves the buffer.
    """
    stdout = FakeStdout()
    stdout.writable = 0
    decisions = make_log(stdout)
    for number in range(50_000):
        decisions.notable('refused', id=str(number), reason='x' * 200)
        if number % 100 == 0:
            stdout.run_scheduled()
    assert decisions._buffered_bytes <= decision_log.MAX_BUFFERED_BYTES
    assert decisions.dropped_lines > 40_000


def test_burst_drops_routine_lines_first_and_logs_the_drop(monkeypatch):
    """Guards against failures that are lost among routine lines."""
    now = 0.0
    monkeypatch.setattr(decision_log.time, 'monotonic', lambda: now)
    stdout = FakeStdout()
    decisions = make_log(stdout)
    for step in range(2000):
        now = step * 0.001
        decisions.routine('placed', id=f'r{step}')
        if step % 20 == 0:
            decisions.notable('refused', id=f'n{step}')
    stdout.run_scheduled()
    stdout.run_scheduled()
    events = [json.loads(line) for line in stdout.written.splitlines()]
    refused = [event for event in events if event['event'] == 'refused']
    assert len(refused) == 100
    assert any(event['event'] == 'log_dropped' for event in events)
    assert len(events) < 900


def test_partially_written_line_is_completed_by_a_later_flush():
    """Guards against truncated lines when a reader is slow."""
    stdout = FakeStdout()
    decisions = make_log(stdout)
    decisions.notable('started', incarnation='i')
    stdout.writable = 10
    stdout.run_scheduled()
    stdout.writable = 10**9
    stdout.run_scheduled()
    assert json.loads(stdout.written)['event'] == 'started'


@pytest.mark.parametrize(
    'value',
    [
        pytest.param('\ud800', id='surrogate'),
        pytest.param({1: {'\ud800': []}}, id='nested_surrogate'),
        pytest.param(object(), id='object'),
        pytest.param(10**5000, id='5,001_digits'),
    ],
)
def test_line_with_any_field_is_written(value):
    """Guards against a field of other writers that ends who logs it."""
    stdout = FakeStdout()
    decisions = make_log(stdout)
    decisions.notable('target_unreadable', target='t', problem=value)
    decisions.notable('started')
    stdout.run_scheduled()
    lines = [json.loads(line) for line in stdout.written.splitlines()]
    assert [line['event'] for line in lines] == [
        'target_unreadable',
        'started',
    ]
    assert lines[0]['target'] == 't'
    assert lines[0].keys() == {'time', 'host', 'event', 'target', 'problem'}
