"""Each fault of the proxy has its effect and no other one."""

from collections.abc import Iterator
import contextlib
import socket
import threading
import time

import msgspec
import pytest

from standins import fault_proxy
from standins import processes

_QUIET_S = 0.2
_LIMIT_S = 10.0
_BOTH_ENDS = ('client', 'target')


class Pair:
    """A client and a target with the proxy between them."""

    def __init__(self, control: str, port: int) -> None:
        self._control = control
        self._port = port
        self._listener = socket.create_server(('127.0.0.1', port + 1))
        self._listener.settimeout(_LIMIT_S)

    def set_faults(self, **faults) -> None:
        processes.http_json(f'{self._control}/control/{self._port}', faults)

    def client(self) -> socket.socket:
        return socket.create_connection(('127.0.0.1', self._port), _LIMIT_S)

    @contextlib.contextmanager
    def open(self) -> Iterator[dict[str, socket.socket]]:
        """Open a connection over which a byte has gone both ways."""
        with self.client() as client:
            target, _ = self._listener.accept()
            with target:
                target.settimeout(_LIMIT_S)
                ends = {'client': client, 'target': target}
                for sender, receiver in (_BOTH_ENDS, _BOTH_ENDS[::-1]):
                    ends[sender].sendall(b'!')
                    assert ends[receiver].recv(1) == b'!'
                yield ends


@pytest.fixture(scope='module', name='started')
def fixture_started(tmp_path_factory) -> Iterator[Pair]:
    control = processes.free_port()
    port = processes.free_port()
    while processes.free_port() != port + 1:
        port = processes.free_port()
    settings = fault_proxy.FaultProxySettings(
        control, {port: f'127.0.0.1:{port + 1}'}
    )
    text = msgspec.json.encode(settings).decode()
    output = tmp_path_factory.mktemp('proxy') / 'proxy.log'
    with processes.ManagedProcess(['standins', 'proxy', text], output):
        url = f'http://127.0.0.1:{control}'
        processes.wait_http(f'{url}/stats')
        yield Pair(url, port)


@pytest.fixture(name='pair')
def fixture_pair(started: Pair) -> Iterator[Pair]:
    yield started
    started.set_faults()


def is_silent(end: socket.socket) -> bool:
    """Return whether nothing arrives on an open connection."""
    end.settimeout(_QUIET_S)
    try:
        end.recv(1)
    except TimeoutError:
        return True
    finally:
        end.settimeout(_LIMIT_S)
    return False


def read_all(end: socket.socket) -> list[bytes]:
    """Return the pieces that arrive until the connection is closed."""
    return list(iter(lambda: end.recv(65_536), b''))


@pytest.mark.parametrize(
    'direction, lost',
    [
        ('both', _BOTH_ENDS),
        ('to_target', ('target',)),
        ('to_client', ('client',)),
    ],
)
def test_black_hole(pair: Pair, direction: str, lost) -> None:
    """Guards against loss in the wrong direction or a stream with a gap."""
    with pair.open() as ends:
        pair.set_faults(black_hole=True, direction=direction)
        for after in (False, True):
            for sender, receiver in (_BOTH_ENDS, _BOTH_ENDS[::-1]):
                ends[sender].sendall(b'x')
                if receiver in lost:
                    assert is_silent(ends[receiver])
                else:
                    assert ends[receiver].recv(1) == b'x'
            if not after:
                pair.set_faults()
    with pair.open():
        pass


def test_reset(pair: Pair) -> None:
    """Guards against a reset that looks like an orderly end."""
    with pair.open() as ends:
        pair.set_faults(reset=True)
        for name in _BOTH_ENDS:
            with pytest.raises(ConnectionResetError):
                ends[name].recv(1)
    # The reset may already end the connect.
    with pytest.raises(ConnectionResetError), pair.client() as client:
        client.recv(1)


def test_half_open(pair: Pair) -> None:
    """Guards against a client that learns of the end of the far side."""
    with pair.open() as ends:
        pair.set_faults(half_open=True)
        with pytest.raises(ConnectionResetError):
            ends['target'].recv(1)
        ends['client'].sendall(b'x')
        assert is_silent(ends['client'])
        with pair.client() as late:
            late.sendall(b'x')
            assert is_silent(late)


def test_delay_keeps_order_and_every_byte(pair: Pair) -> None:
    """Guards against data cut off or reordered behind a delay."""
    sent = [b'%03d' % number for number in range(100)]
    delay_s = 0.3
    with pair.open() as ends:
        pair.set_faults(delay_s=delay_s)
        before = time.monotonic()
        for piece in sent:
            ends['target'].sendall(piece)
        ends['target'].shutdown(socket.SHUT_WR)
        assert b''.join(read_all(ends['client'])) == b''.join(sent)
        # A lower bound only: a loaded machine makes it later.
        assert time.monotonic() - before >= delay_s


def test_drip_cuts_data_into_pieces(pair: Pair) -> None:
    """Guards against a drip that sends all at once or loses the rest."""
    sent = bytes(range(40))
    with pair.open() as ends:
        pair.set_faults(drip_bytes=2, drip_s=0.02, direction='to_client')
        reader: list[bytes] = []
        thread = threading.Thread(
            target=lambda: reader.extend(read_all(ends['client']))
        )
        thread.start()
        before = time.monotonic()
        ends['target'].sendall(sent)
        ends['target'].close()
        thread.join(_LIMIT_S)
    assert b''.join(reader) == sent
    assert time.monotonic() - before >= 20 * 0.02
