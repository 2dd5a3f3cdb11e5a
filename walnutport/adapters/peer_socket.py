"""Sockets between hosts over pynng push/pull, driven by the reactor.

The asynchronous calls of pynng cost half a millisecond a message, so the
receive descriptor is registered with the reactor and messages are taken
without waiting.
"""

from collections.abc import Callable
import logging

import pynng
from twisted.internet import interfaces as twisted_interfaces
from zope.interface import implementer

from walnutport import exceptions
from walnutport.peer import codec
from walnutport import world

__all__ = ['PullSocket', 'PushSocket']

LOG = logging.getLogger(__name__)
PREFIX = 'peers:'

_MAX_BATCH = 64
_RECEIVE_BUFFER = 128
_SEND_BUFFER = 16
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 1_000


@implementer(twisted_interfaces.IReadDescriptor)
class PullSocket:
    """Receives frames from any peer; a context manager.

    :param on_frame: called with each frame.
    """

    def __init__(
        self,
        address: world.Address,
        on_frame: Callable[[bytes], None],
        reactor,
    ) -> None:
        self._address = address
        self._on_frame = on_frame
        self._reactor = reactor
        self._socket: pynng.Pull0 | None = None
        self._fd = -1

    def __enter__(self) -> 'PullSocket':
        socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_BUFFER,
            recv_max_size=codec.MAX_FRAME_BYTES,
        )
        try:
            socket.listen(f'tcp://{self._address}')
        except pynng.NNGException as error:
            socket.close()
            raise exceptions.PeerError(f'{self._address}: {error}') from error
        self._socket = socket
        self._fd = socket.recv_fd
        self._reactor.addReader(self)
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._socket is not None:
            self._reactor.removeReader(self)
            self._socket.close()
            self._socket = None

    def fileno(self) -> int:
        """Return the descriptor that is readable when a frame waits."""
        return self._fd

    def logPrefix(self) -> str:  # noqa: N802 - name set by the interface
        """Return the prefix for the log of the reactor."""
        return PREFIX

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Do nothing: the descriptor belongs to the socket."""

    def doRead(self) -> None:  # noqa: N802 - name set by the interface
        """Take the waiting frames.

        The batch is bounded, so that a flood of messages leaves room for
        other work; the descriptor stays readable while frames wait.
        """
        for _ in range(_MAX_BATCH):
            if self._socket is None:
                return
            try:
                frame = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.NNGException as error:
                LOG.warning('%s receive: %s', PREFIX, error)
                return
            self._on_frame(frame)


class PushSocket:
    """Sends frames to one peer and connects again after a break."""

    def __init__(self, address: world.Address) -> None:
        self.address = address
        self._socket = pynng.Push0(
            send_buffer_size=_SEND_BUFFER,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        try:
            self._socket.dial(f'tcp://{address}', block=False)
        except pynng.NNGException as error:
            self._socket.close()
            raise exceptions.PeerError(f'{address}: {error}') from error

    def send(self, frame: bytes) -> bool:
        """Queue a frame; False if the queue is full. Never waits."""
        try:
            self._socket.send(frame, block=False)
        except pynng.NNGException:
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
