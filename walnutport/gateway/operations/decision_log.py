"""Decision log: JSON lines on standard output.

Writing never blocks. Lines over the rate limit or the buffer limit are
dropped and counted; routine lines are dropped first.
"""

import collections
from collections.abc import Callable
import os
import time

import msgspec

__all__ = ['DecisionLog']

# Rate and burst size of the token bucket. A line costs about 20 us.
LINES_PER_S = 150.0
BURST_LINES = 300.0
# Tokens that only notable lines may use.
ROUTINE_RESERVE_LINES = 100.0
# Limit on the bytes that wait for the reader of standard output.
MAX_BUFFERED_BYTES = 256 * 1024
FLUSH_DELAY_S = 0.1

# Errors of the encoder for values that JSON cannot hold.
_ENCODE_ERRORS = (TypeError, ValueError, OverflowError, RecursionError)


class DecisionLog:
    """Writes one line for each decision.

    :param host: name of this host, written on every line.
    :param call_later: schedules the next flush.
    :param write: writes bytes without blocking and returns how many it wrote.
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
        self._buffered_bytes = 0
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._flush_scheduled = False
        self.dropped_lines = 0
        self._reported_dropped_lines = 0

    def routine(self, event: str, **fields: object) -> None:
        """Log a decision of normal operation."""
        if self._try_acquire(ROUTINE_RESERVE_LINES):
            self._append(event, fields)

    def notable(self, event: str, **fields: object) -> None:
        """Log a refusal, a failure or a change of the known state."""
        if self._try_acquire(0.0):
            self._append(event, fields)

    def flush(self) -> None:
        """Write the buffered lines, as far as standard output accepts them."""
        self._flush_scheduled = False
        if self.dropped_lines > self._reported_dropped_lines:
            self._reported_dropped_lines = self.dropped_lines
            self._append('log_dropped', {'lines': self.dropped_lines})
        while self._buffer:
            line = self._buffer[0]
            written = self._write(line)
            if written < len(line):
                self._buffered_bytes -= written
                self._buffer[0] = line[written:]
                break
            self._buffer.popleft()
            self._buffered_bytes -= len(line)
        if self._buffer:
            self._schedule_flush()

    def _try_acquire(self, reserve: float) -> bool:
        now = time.monotonic()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1 + reserve:
            self.dropped_lines += 1
            return False
        self._tokens -= 1
        return True

    def _append(self, event: str, fields: dict[str, object]) -> None:
        record = {
            'time': round(time.time(), 3),
            'host': self._host,
            'event': event,
        }
        record.update(fields)
        line = self._encode_line(record) + b'\n'
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self._schedule_flush()

    def _encode_line(self, record: dict[str, object]) -> bytes:
        """Return the JSON text of a line.

        A field that cannot be encoded, such as a lone surrogate, is replaced
        by a description: who logs must not fail for what others have written.
        """
        try:
            return self._encode(record)
        except _ENCODE_ERRORS:
            return self._encode(
                {key: self._printable(value) for key, value in record.items()}
            )

    def _printable(self, value: object) -> object:
        try:
            self._encode(value)
        except _ENCODE_ERRORS as problem:
            return (
                f'{type(value).__name__} that cannot be logged: '
                f'{type(problem).__name__}'
            )
        return value

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._call_later(FLUSH_DELAY_S, self.flush)


def _write_stdout(data: bytes) -> int:
    try:
        return os.write(1, data)
    except BlockingIOError:
        return 0
    except OSError:
        # The reader of standard output is gone; the error cannot be reported.
        return len(data)
