"""Tests of responses that their readers do not take."""

import pytest

from tests.http1 import test_write_notice
from walnutport.http1 import response_buffer

LIMIT_BYTES = 1 << 20
PIECE = b'x' * 10_000


class Source:
    """Source that counts its pauses."""

    def __init__(self) -> None:
        self.is_paused = False

    def pause_reading(self) -> None:
        assert not self.is_paused
        self.is_paused = True

    def resume_reading(self) -> None:
        assert self.is_paused
        self.is_paused = False


class Connection:
    """Connection whose peer reads when the test says so."""

    def __init__(self, unread: response_buffer.UnreadBytes) -> None:
        self.transport = test_write_notice.Transport(None)
        self.transport.accepted_bytes = 0
        self.source = Source()
        self.cut_bytes: list[int] = []
        self.buffer = response_buffer.ResponseBuffer(
            self.transport, unread, self._cut_off
        )

    def _cut_off(self, kept_bytes: int) -> None:
        self.cut_bytes.append(kept_bytes)
        self.buffer.discard()

    def stream(self, limit_bytes: int = 100 * LIMIT_BYTES) -> int:
        """Write until the source has to wait; return the bytes written."""
        written = 0
        self.buffer.set_source(self.source)
        while not self.source.is_paused and written < limit_bytes:
            self.buffer.write(PIECE)
            written += len(PIECE)
        return written

    def read(self, size: int) -> None:
        """Let the peer read so many bytes."""
        while size > 0:
            self.transport.accepted_bytes = min(size, 65536)
            size -= 65536
            self.transport.doWrite()
        self.transport.accepted_bytes = 0


@pytest.fixture
def now(monkeypatch) -> list[float]:
    """Return the time that buffers see, in a list."""
    times = [100.0]
    monkeypatch.setattr(response_buffer.time, 'monotonic', lambda: times[0])
    return times


def test_stream_waits_for_a_reader_and_comes_whole():
    """Guards against a stream that is kept without bound, or gets lost."""
    unread = response_buffer.UnreadBytes(LIMIT_BYTES)
    connection = Connection(unread)
    written = connection.stream()
    assert written <= LIMIT_BYTES
    connection.read(written)
    assert not connection.source.is_paused
    written += connection.stream()
    connection.buffer.clear_source(connection.source)
    connection.read(2 * written)
    assert connection.transport.written == b'x' * written
    assert unread.total == 0


def test_many_streams_share_the_limit():
    """Guards against a bound on each reader that many readers exceed."""
    unread = response_buffer.UnreadBytes(LIMIT_BYTES)
    connections = [Connection(unread) for _ in range(60)]
    for connection in connections:
        connection.stream()
    transports = sum(
        len(connection.transport.dataBuffer)
        + sum(map(len, connection.transport._tempDataBuffer))
        for connection in connections
    )
    kept_each = response_buffer.MIN_KEPT_BYTES + len(PIECE)
    assert unread.total <= LIMIT_BYTES + 60 * kept_each
    assert transports <= 60 * (response_buffer.PIECE_BYTES + len(PIECE))
    assert not any(connection.cut_bytes for connection in connections)


def test_complete_response_of_a_caller_that_reads_nothing_is_dropped(now):
    """Guards against large responses that nobody reads."""
    unread = response_buffer.UnreadBytes(LIMIT_BYTES)
    idle, small, reading, last = (Connection(unread) for _ in range(4))
    idle.buffer.write(b'x' * 800_000)
    small.buffer.write(b'x' * 100_000)
    reading.buffer.write(b'x' * 200_000)
    now[0] += 2 * response_buffer.STALL_S
    reading.read(150_000)
    last.buffer.write(b'x' * 600_000)
    assert len(idle.cut_bytes) == 1
    assert not small.cut_bytes + reading.cut_bytes + last.cut_bytes
    last.read(700_000)
    assert last.transport.written == b'x' * 600_000


def test_callers_that_have_just_begun_to_read_are_not_cut_off(now):
    """Guards against callers that lose a response as others come at once."""
    unread = response_buffer.UnreadBytes(LIMIT_BYTES)
    connections = [Connection(unread) for _ in range(3)]
    for connection in connections:
        connection.buffer.write(b'x' * 600_000)
    for connection in connections:
        connection.read(700_000)
        assert connection.transport.written == b'x' * 600_000


def test_end_of_a_connection_frees_what_was_kept():
    """Guards against a sum that rises with each caller that has left."""
    unread = response_buffer.UnreadBytes(LIMIT_BYTES)
    connection = Connection(unread)
    connection.stream()
    connection.transport.connectionLost(None)
    assert unread.total == 0
    assert not connection.source.is_paused
    connection.buffer.write(PIECE)
    assert unread.total == 0


def test_connection_closes_once_all_is_written():
    """Guards against a close that drops the end of a response."""
    connection = Connection(response_buffer.UnreadBytes(LIMIT_BYTES))
    drained = []
    connection.buffer.write(b'x' * 300_000)
    connection.buffer.when_drained(lambda: drained.append(True))
    assert not drained
    connection.read(400_000)
    assert drained and connection.transport.written == b'x' * 300_000
