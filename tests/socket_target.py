"""A target on a real socket that writes exact bytes at exact points."""

from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import re
import select
import socket
import struct
import threading

from twisted.internet import defer
from twisted.internet import reactor
from twisted.python import failure as twisted_failure

__all__ = [
    'Connection',
    'SocketTarget',
    'in_thread',
    'run',
    'start',
    'wait_readable',
]

TIMEOUT_S = 10.0
# A test that waits for something that never happens ends after this time.
RUN_TIMEOUT_S = 30.0
_LENGTH = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)


class Connection:
    """Connection whose bytes a test reads and writes with blocking calls."""

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected
        self._socket.settimeout(TIMEOUT_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read_request(self) -> bytes:
        """Read a whole request, by its length; empty at the end."""
        data = b''
        while b'\r\n\r\n' not in data:
            received = self._socket.recv(65536)
            if not received:
                return b''
            data += received
        length = _LENGTH.search(data)
        size = data.index(b'\r\n\r\n') + 4
        size += int(length.group(1)) if length else 0
        while len(data) < size:
            data += self._socket.recv(65536)
        return data

    def has_request(self) -> bool:
        """Read a whole request; return False if the connection has ended."""
        try:
            return bool(self.read_request())
        except ConnectionError:
            return False

    def read_until(self, end: bytes) -> bytes:
        """Read until some bytes have arrived, or the connection ends."""
        data = b''
        while end not in data:
            received = self._socket.recv(65536)
            if not received:
                break
            data += received
        return data

    def read_all(self) -> bytes:
        """Read until the other side closes the connection."""
        data = b''
        while received := self._socket.recv(65536):
            data += received
        return data

    def write(self, data: bytes) -> None:
        """Write bytes, which are in the other side's kernel afterwards."""
        self._socket.sendall(data)

    def write_if_open(self, data: bytes) -> None:
        """Write bytes unless the other side has closed the connection."""
        with contextlib.suppress(ConnectionError):
            self.write(data)

    def shut_down(self) -> None:
        """Write no more; the other side reads the end."""
        self._socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Reset the connection."""
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self._socket.close()

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def fileno(self) -> int:
        """Return the file descriptor, to wait for bytes."""
        return self._socket.fileno()


class SocketTarget:
    """Listens on a loopback port; a context manager."""

    def __init__(self) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.settimeout(TIMEOUT_S)
        self._connections: list[Connection] = []
        self.address: tuple[str, int] = self._listener.getsockname()

    def __enter__(self) -> 'SocketTarget':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._listener.close()
        for connection in self._connections:
            connection.close()

    def accept(self) -> Connection:
        """Wait for the next connection."""
        connection = Connection(self._listener.accept()[0])
        self._connections.append(connection)
        return connection

    def next_request(self, kept: Connection) -> Connection:
        """Read the next request, on a kept connection or on a new one.

        :returns: the connection that has carried it.
        """
        sources = [kept, self._listener]
        readable, _, _ = select.select(sources, [], [], TIMEOUT_S)
        if kept in readable and kept.has_request():
            return kept
        connection = self.accept()
        connection.read_request()
        return connection


def wait_readable(transport) -> None:
    """Wait until the kernel holds bytes that a transport has not read.

    The reactor does not run meanwhile.
    """
    handle = transport.getHandle()
    readable, _, _ = select.select([handle], [], [], TIMEOUT_S)
    assert readable


def in_thread(function: Callable, *args) -> defer.Deferred:
    """Call a blocking function in a thread of its own."""
    done: defer.Deferred = defer.Deferred()

    def call() -> None:
        try:
            result = function(*args)
        except BaseException:
            failed = twisted_failure.Failure()
            reactor.callFromThread(done.errback, failed)
        else:
            reactor.callFromThread(done.callback, result)

    threading.Thread(target=call, daemon=True).start()
    return done


def start(coroutine: Coroutine) -> defer.Deferred:
    """Start a coroutine."""
    return defer.Deferred.fromCoroutine(coroutine)


def run(coroutine: Coroutine) -> object:
    """Run a coroutine in the reactor, then end what it has left there."""
    outcomes: list = []

    def begin() -> None:
        done = start(coroutine)
        done.addTimeout(RUN_TIMEOUT_S, reactor)
        done.addBoth(outcomes.append)
        done.addBoth(lambda _: reactor.crash())

    reactor.callLater(0, begin)
    reactor.run(installSignalHandlers=False)
    for item in reactor.removeAll():
        item.connectionLost(twisted_failure.Failure(ConnectionAbortedError()))
    for call in reactor.getDelayedCalls():
        call.cancel()
    (outcome,) = outcomes
    if isinstance(outcome, twisted_failure.Failure):
        outcome.raiseException()
    return outcome
