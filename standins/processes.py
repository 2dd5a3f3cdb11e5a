"""Starts, signals and ends the processes of tests, demos and benchmarks."""

import dataclasses
import functools
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import msgspec

__all__ = [
    'FIRST_PORT_VARIABLE',
    'ManagedProcess',
    'PORTS_PER_SLICE',
    'first_port',
    'free_port',
    'http_request',
    'wait_http',
]

# Environment variable with the first port of the slice to use.
FIRST_PORT_VARIABLE = 'WALNUTPORT_FIRST_PORT'
PORTS_PER_SLICE = 200
_STOP_TIMEOUT_S = 40.0
_POLL_S = 0.02
_FIRST_PORT = 10_000
_SLICE_COUNT = 110
_PORT_OFFSETS = itertools.count()


@dataclasses.dataclass(frozen=True, slots=True)
class _Slice:
    """Ports of one process, held by a socket that is bound to the first."""

    first_port: int
    guard: socket.socket | None


@functools.cache
def _claim_slice(pid: int) -> _Slice:
    """Claim a slice of ports for a process, until it ends.

    :raises OSError: if other processes hold all slices.
    """
    given = os.environ.get(FIRST_PORT_VARIABLE)
    if given is not None:
        return _Slice(int(given), None)
    for number in range(pid, pid + _SLICE_COUNT):
        port = _FIRST_PORT + number % _SLICE_COUNT * PORTS_PER_SLICE
        guard = socket.socket()
        try:
            guard.bind(('127.0.0.1', port))
        except OSError:
            guard.close()
            continue
        return _Slice(port, guard)
    raise OSError(f'all {_SLICE_COUNT} slices of ports are in use')


def first_port() -> int:
    """Return the first port of the slice of this process.

    :raises OSError: if other processes hold all slices.
    """
    return _claim_slice(os.getpid()).first_port


def free_port(ip: str = '127.0.0.1') -> int:
    """Return a TCP port that is free and not yet given out.

    Ports are given out again once the slice is used up.

    All ports lie below the ephemeral range, as an outgoing connection could
    otherwise take the port before its process listens. Each test process has
    a slice of ports of its own, also beside other runs of the tests: a port
    is free until its program listens. A program that a test starts may get the
    slice of the test through the environment.

    :raises OSError: if the slice has no free port, or there is no free slice.
    """
    first = first_port()
    for _ in range(1, PORTS_PER_SLICE):
        port = first + 1 + next(_PORT_OFFSETS) % (PORTS_PER_SLICE - 1)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port
    raise OSError(f'no free port from {first} on')


def http_request(
    url: str, body: object = None, timeout_s: float = 5.0
) -> bytes:
    """Send a GET, or a POST with a JSON body, and return the response body."""
    data = None if body is None else msgspec.json.encode(body)
    request = urllib.request.Request(url, data=data)
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        return response.read()


def wait_http(url: str, timeout_s: float = 20.0) -> float:
    """Wait until a GET succeeds and return the waiting time in seconds.

    :raises TimeoutError: after ``timeout_s``.
    """
    started = time.monotonic()
    while time.monotonic() - started < timeout_s:
        try:
            http_request(url, timeout_s=1.0)
            return time.monotonic() - started
        except (urllib.error.URLError, OSError):
            time.sleep(_POLL_S)
    raise TimeoutError(f'{url} does not answer after {timeout_s} s')


@dataclasses.dataclass
class ManagedProcess:
    """A child process that is ended when the context closes.

    :param arguments: arguments after ``python -m``.
    :param output: file for standard output and standard error.
    :param environment: variables in addition to those of this process.
    :param folder: folder with the source of the program; None for that of
        this process.
    """

    arguments: list[str]
    output: pathlib.Path
    environment: dict[str, str] = dataclasses.field(default_factory=dict)
    folder: pathlib.Path | None = None
    process: subprocess.Popen | None = None

    def __enter__(self) -> 'ManagedProcess':
        self.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.kill()

    def start(self) -> None:
        """Start the process."""
        with self.output.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, '-m', *self.arguments],
                stdout=output,
                stderr=output,
                cwd=self.folder or pathlib.Path(__file__).parent.parent,
                env={
                    **os.environ,
                    'PYTHONUNBUFFERED': '1',
                    **self.environment,
                },
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self.process is not None
        return self.process.pid

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, signum: int) -> None:
        """Send a signal."""
        os.kill(self.pid, signum)

    def terminate(self) -> int:
        """Send SIGTERM and return the exit code."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(_STOP_TIMEOUT_S)

    def kill(self) -> None:
        """Kill the process if it still runs, also when it is stopped."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(_STOP_TIMEOUT_S)
