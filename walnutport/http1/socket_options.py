"""Options and state of the sockets of client channels.

The options let the loss of a connection be noticed in time.
"""

import socket

__all__ = ['has_unread', 'set_client_options']

# The kernel closes a connection whose written data stays unacknowledged for
# this long, as when the network to the peer fails. The failure must be
# detected within the shortest request deadlines.
UNACKED_TIMEOUT_MS = 1500
# Keep-alive probes detect an unreachable peer while a response is awaited
# and no written data is unacknowledged. As UNACKED_TIMEOUT_MS is shorter than
# the idle time, Linux gives up at the first probe that is unanswered for an
# interval, whatever their count: after 4 s. A shorter interval would end the
# channels of a target that is silent for a second and goes on.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 1


def set_client_options(handle: socket.socket) -> None:
    """Set the options of the socket of a client channel."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
    )
    for level, option, value in options:
        handle.setsockopt(level, option, value)


def has_unread(handle: socket.socket) -> bool:
    """Return whether a socket has bytes to read, or was closed by its peer.

    :param handle: socket that does not block.
    """
    try:
        handle.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        # The connection was reset.
        return True
    return True
