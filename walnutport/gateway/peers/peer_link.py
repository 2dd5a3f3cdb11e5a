"""Connections between entry hosts.

Messages go over plain TCP, each with its length as a prefix.
"""

import socket
import time
from typing import Protocol

from twisted.internet import protocol
from twisted.protocols import basic

from walnutport import exceptions
from walnutport.gateway.operations import decision_log
from walnutport.gateway.peers import message_encoder
from walnutport.peer import fleet_messages

__all__ = ['LinkHandler', 'PeerLink']

# The kernel closes a link whose data stays unacknowledged for this long, which
# detects a host that lost power or its network before heartbeats do.
UNACKED_TIMEOUT_MS = 950


class LinkHandler(Protocol):
    """Handles the messages and the end of links."""

    log: decision_log.DecisionLog
    encoder: message_encoder.MessageEncoder

    def create_hello(self) -> fleet_messages.Hello:
        """Return the first message of a link."""

    def message_received(
        self, link: 'PeerLink', message: fleet_messages.FleetMessage
    ) -> None:
        """Handle a message that arrived on a link."""

    def unknown_received(self, link: 'PeerLink', kind: str) -> None:
        """Handle a message of a kind that only later builds know."""

    def link_lost(self, link: 'PeerLink') -> None:
        """Handle the end of a link."""


class PeerLink(basic.Int32StringReceiver):
    """One connection to a peer.

    :param dialled: whether this host opened the connection.
    """

    MAX_LENGTH = message_encoder.MAX_MESSAGE_BYTES

    def __init__(self, mesh: LinkHandler, dialled: bool) -> None:
        self.mesh = mesh
        self.dialled = dialled
        self.name = ''
        self.last_received_at = time.monotonic()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.getHandle().setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS
        )
        self.send(self.mesh.create_hello())

    def send(self, message: fleet_messages.FleetMessage) -> bool:
        """Send a message, unless the connection is closed.

        :returns: False if the message cannot be encoded, and was left out.
        """
        data = self.mesh.encoder.encode(message)
        if data is None:
            return False
        self.send_encoded(data)
        return True

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded message, unless the connection is closed."""
        if self.connected:
            self.sendString(data)

    def stringReceived(self, string: bytes) -> None:
        self.last_received_at = time.monotonic()
        try:
            message = fleet_messages.decode(string)
        except exceptions.UnknownMessage as problem:
            self.mesh.unknown_received(self, problem.kind)
            return
        except exceptions.CodecError as problem:
            self.mesh.log.notable('peer_garbled', problem=str(problem))
            self.transport.abortConnection()
            return
        self.mesh.message_received(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        self.mesh.log.notable(
            'peer_garbled',
            problem=f'message of {length} bytes is too long',
        )
        self.transport.abortConnection()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self.mesh.link_lost(self)
