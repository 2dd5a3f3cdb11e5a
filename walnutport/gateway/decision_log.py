"""Decision log: JSON lines on standard output.

Writing never blocks. Lines beyond the budget or the buffer are dropped and
counted; routine lines go first.
"""

import collections
from collections.abc import Callable
import os
import time

import msgspec

__all__ = ['DecisionLog']

# Lines a second, and how many may come at once. A line costs some 20 us.
LINES_PER_S = 150.0
BURST_LINES = 300.0
# Below this many lines left in the budget, routine lines are dropped.
ROUTINE_RESERVE = 100.0
# Bytes that wait for a reader of standard output.
BUFFER_BYTES = 256 * 1024
FLUSH_S = 0.1


class DecisionLog:
    """Writes one line for each decision.

    :param host: name of this host, on every line.
    :param call_later: schedules the next flush.
    :param write: writes bytes without blocking and returns how many.
    """

    def __init__(
        self,
        host: str,
        call_later: Callable,
        write: Callable[[bytes], int] | None = None,
    ) -> None:
        self._host = host
        self._call_later = call_later
        self._write = write or _write_stdout
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._tokens = BURST_LINES
        self._filled_at = time.monotonic()
        self._flushing = False
        self.dropped = 0
        self._dropped_said = 0

    def routine(self, event: str, **inputs: object) -> None:
        """Log a decision that follows the normal course."""
        if self._take(ROUTINE_RESERVE):
            self._append(event, inputs)

    def notable(self, event: str, **inputs: object) -> None:
        """Log a refusal, a failure or a change of what is believed."""
        if self._take(0.0):
            self._append(event, inputs)

    def flush(self) -> None:
        """Write what is buffered, as far as the reader takes it."""
        self._flushing = False
        if self.dropped > self._dropped_said:
            self._dropped_said = self.dropped
            self._append('log_dropped', {'lines': self.dropped})
        while self._buffer:
            line = self._buffer[0]
            written = self._write(line)
            if written < len(line):
                self._buffered -= written
                self._buffer[0] = line[written:]
                break
            self._buffer.popleft()
            self._buffered -= len(line)
        if self._buffer:
            self._schedule()

    def _take(self, reserve: float) -> bool:
        now = time.monotonic()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._filled_at) * LINES_PER_S
        )
        self._filled_at = now
        if self._tokens < 1 + reserve:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True

    def _append(self, event: str, inputs: dict[str, object]) -> None:
        record = {
            'time': round(time.time(), 3),
            'host': self._host,
            'event': event,
        }
        record.update(inputs)
        line = self._encode(record) + b'\n'
        if self._buffered + len(line) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered += len(line)
        self._schedule()

    def _schedule(self) -> None:
        if not self._flushing:
            self._flushing = True
            self._call_later(FLUSH_S, self.flush)


def _write_stdout(data: bytes) -> int:
    try:
        return os.write(1, data)
    except BlockingIOError:
        return 0
    except OSError:
        # The reader of standard output is gone; nobody can be told.
        return len(data)
