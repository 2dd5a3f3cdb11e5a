"""Ports on which a host listens for its peers."""

from twisted.internet import error
from twisted.internet import protocol

from walnutport import exceptions

__all__ = ['listen_in_range']


def listen_in_range(
    reactor, ip: str, ports: tuple[int, int], factory: protocol.Factory
) -> int:
    """Listen on the first free port of a range and return it.

    :raises PeerError: when no port is free.
    """
    for port in range(ports[0], ports[1] + 1):
        try:
            reactor.listenTCP(port, factory, interface=ip)
        except (error.CannotListenError, OSError):
            # A port in use may be noticed only when the socket listens.
            continue
        return port
    raise exceptions.PeerError(f'no free port for peers in the range {ports}')
