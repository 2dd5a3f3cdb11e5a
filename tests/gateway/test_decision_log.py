"""Tests of the bounds of the decision log."""

import json

from walnutport.gateway import decision_log


class Reader:
    """Standard output whose reader may stand still."""

    def __init__(self) -> None:
        self.room = 10**9
        self.data = b''
        self.pending: list = []

    def write(self, data: bytes) -> int:
        taken = data[: self.room]
        self.room -= len(taken)
        self.data += taken
        return len(taken)

    def call_later(self, delay_s, call) -> None:
        self.pending.append(call)

    def run(self) -> None:
        """Run the flushes that are due."""
        pending, self.pending = self.pending, []
        for call in pending:
            call()


def log(reader: Reader) -> decision_log.DecisionLog:
    """Return a log that writes to the reader."""
    return decision_log.DecisionLog('h', reader.call_later, reader.write)


def test_reader_that_stands_still_bounds_the_memory():
    """Guards against a process that blocks or grows with its log."""
    reader = Reader()
    reader.room = 0
    found = log(reader)
    for number in range(50_000):
        found.notable('refused', id=str(number), reason='x' * 200)
        if number % 100 == 0:
            reader.run()
    assert found._buffered <= decision_log.BUFFER_BYTES
    assert found.dropped > 40_000


def test_burst_drops_routine_lines_first_and_says_so(monkeypatch):
    """Guards against failures that are lost behind routine lines."""
    now = 0.0
    monkeypatch.setattr(decision_log.time, 'monotonic', lambda: now)
    reader = Reader()
    found = log(reader)
    for step in range(2000):
        now = step * 0.001
        found.routine('placed', id=f'r{step}')
        if step % 20 == 0:
            found.notable('refused', id=f'n{step}')
    reader.run()
    reader.run()
    events = [json.loads(line) for line in reader.data.splitlines()]
    refused = [event for event in events if event['event'] == 'refused']
    assert len(refused) == 100
    assert any(event['event'] == 'log_dropped' for event in events)
    assert len(events) < 900


def test_line_that_was_cut_goes_on_later():
    """Guards against torn lines after a slow reader."""
    reader = Reader()
    found = log(reader)
    found.notable('started', incarnation='i')
    reader.room = 10
    reader.run()
    reader.room = 10**9
    reader.run()
    assert json.loads(reader.data)['event'] == 'started'
