"""Push and pull sockets of pynng between hosts, driven by the reactor.

The asynchronous calls of pynng take 0.5 ms per message. Therefore the receive
descriptor is registered with the reactor, and messages are received without
blocking.
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

_MAX_FRAMES_PER_READ = 64
_RECEIVE_BUFFER_MESSAGES = 128
_SEND_BUFFER_MESSAGES = 16
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 1_000


@implementer(twisted_interfaces.IReadDescriptor)
class PullSocket:
    """Context manager that receives frames from any peer.

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
            recv_buffer_size=_RECEIVE_BUFFER_MESSAGES,
            recv_max_size=codec.MAX_FRAME_BYTES,
        )
        try:
            socket.listen(f'tcp://{self._address}')
        except pynng.NNGException as error:
            socket.close()
            raise exceptions.PeerError(
                f'cannot listen on {self._address}: {error}'
            ) from error
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
        """Return the descriptor that is readable while frames are pending."""
        return self._fd

    def logPrefix(self) -> str:  # noqa: N802 - name set by the interface
        """Return the prefix that the reactor logs for this reader."""
        return PREFIX

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Do nothing: the pynng socket owns the descriptor."""

    def doRead(self) -> None:  # noqa: N802 - name set by the interface
        """Receive pending frames.

        The batch is bounded so that a flood of messages does not block the
        reactor; the descriptor stays readable while frames are pending.
        """
        for _ in range(_MAX_FRAMES_PER_READ):
            if self._socket is None:
                return
            try:
                frame = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.NNGException as error:
                LOG.warning('%s receiving a frame failed: %s', PREFIX, error)
                return
            self._on_frame(frame)


class PushSocket:
    """Sends frames to one peer and reconnects after a lost connection."""

    def __init__(self, address: world.Address) -> None:
        self.address = address
        self._socket = pynng.Push0(
            send_buffer_size=_SEND_BUFFER_MESSAGES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        try:
            self._socket.dial(f'tcp://{address}', block=False)
        except pynng.NNGException as error:
            self._socket.close()
            raise exceptions.PeerError(
                f'cannot connect to {address}: {error}'
            ) from error

    def send(self, frame: bytes) -> bool:
        """Queue a frame without blocking; return False if that fails.

        It fails if the queue is full.
        """
        try:
            self._socket.send(frame, block=False)
        except pynng.NNGException:
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
