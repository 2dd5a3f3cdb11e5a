"""Sends and receives messages between hosts."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging
from typing import Any

from walnutport.adapters import peer_socket
from walnutport import exceptions
from walnutport import interfaces
from walnutport.peer import codec
from walnutport.peer import messages
from walnutport.peer import replay
from walnutport import world

__all__ = ['PeerNetwork']

LOG = logging.getLogger(__name__)
PREFIX = 'peers:'

_MAX_SOCKETS = 64


class PeerNetwork:
    """Implements ``interfaces.PeerBus`` over pynng.

    A context manager that owns the sockets. A connection is opened with the
    first message to a host; the least recently used one is closed if there
    are more than ``_MAX_SOCKETS``.

    :param origin: this host and its incarnation.
    :param keyring: None opens no listener and sends nothing, as messages
        without authentication must not be trusted.
    :param live_peers: returns the ids of the hosts that receive broadcasts.
    """

    def __init__(
        self,
        listen: world.Address,
        origin: messages.PeerOrigin,
        keyring: codec.Keyring | None,
        clock: interfaces.Clock,
        reactor,
        live_peers: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.origin = origin
        self.live_peers = live_peers
        self.counts: collections.Counter[str] = collections.Counter()
        self._codec = codec.Codec(keyring) if keyring else None
        self._clock = clock
        self._replay_guard = replay.ReplayGuard()
        self._pull_socket = peer_socket.PullSocket(
            listen, self.receive, reactor
        )
        self._addresses_by_host: dict[str, world.Address] = {}
        self._sockets_by_address: collections.OrderedDict[
            world.Address, peer_socket.PushSocket
        ] = collections.OrderedDict()
        self._handlers_by_type: dict[
            type, list[Callable[[messages.PeerOrigin, Any], None]]
        ] = collections.defaultdict(list)
        self._sequence = 0

    def __enter__(self) -> 'PeerNetwork':
        if self._codec is None:
            LOG.warning(
                '%s peers.keys is not set: messages between hosts are off',
                PREFIX,
            )
        else:
            self._pull_socket.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._pull_socket.__exit__()
        while self._sockets_by_address:
            self._sockets_by_address.popitem()[1].close()

    def update_addresses(
        self, addresses_by_host: Mapping[str, world.Address]
    ) -> None:
        """Replace the known addresses and close connections to others."""
        self._addresses_by_host = dict(addresses_by_host)
        kept = set(self._addresses_by_host.values())
        for address in set(self._sockets_by_address) - kept:
            self._sockets_by_address.pop(address).close()

    def subscribe(
        self,
        message_type: type[messages.PeerMessage],
        handler: Callable[[messages.PeerOrigin, Any], None],
    ) -> None:
        """Call ``handler`` with every received message of a type."""
        self._handlers_by_type[message_type].append(handler)

    def send(self, host_id: str, message: messages.PeerMessage) -> bool:
        """Send to one host; False if it is unknown or its queue is full."""
        address = self._addresses_by_host.get(host_id)
        if address is None:
            self.counts['send_unknown_host'] += 1
            return False
        frame = self._encode_frame(message)
        return frame is not None and self._push(address, frame)

    def send_to_addresses(
        self, addresses: Iterable[world.Address], message: messages.PeerMessage
    ) -> int:
        """Send one frame to several addresses; return how many were queued."""
        frame = self._encode_frame(message)
        if frame is None:
            return 0
        return sum(self._push(address, frame) for address in addresses)

    def broadcast(self, message: messages.PeerMessage) -> int:
        """Send to every live peer; return how many messages were queued."""
        addresses = [
            self._addresses_by_host[host_id]
            for host_id in self.live_peers()
            if host_id in self._addresses_by_host
        ]
        return self.send_to_addresses(addresses, message)

    def receive(self, frame: bytes) -> None:
        """Pass a frame to the subscribers, or count and drop it."""
        self.counts['received'] += 1
        self.counts['received_bytes'] += len(frame)
        if self._codec is None:
            return
        try:
            received = self._codec.decode(frame)
        except exceptions.CodecError:
            self.counts['dropped_malformed'] += 1
            return
        except exceptions.PeerError:
            self.counts['dropped_unauthenticated'] += 1
            return
        verdict = self._replay_guard.check(
            received.origin, received.sequence, self._clock.monotonic()
        )
        if verdict is not replay.CheckResult.FRESH:
            self.counts[f'dropped_{verdict}'] += 1
            return
        if received.origin.host_id == self.origin.host_id:
            self.counts['dropped_own'] += 1
            return
        self._dispatch(received)

    def _dispatch(self, received: codec.ReceivedMessage) -> None:
        for handler in self._handlers_by_type[type(received.message)]:
            try:
                handler(received.origin, received.message)
            except Exception:  # noqa: BLE001 - one must not stop the others
                self.counts['handler_errors'] += 1
                LOG.exception('%s message handler failed', PREFIX)

    def _encode_frame(self, message: messages.PeerMessage) -> bytes | None:
        if self._codec is None:
            return None
        self._sequence += 1
        try:
            return self._codec.encode(self.origin, self._sequence, message)
        except exceptions.PeerError as error:
            self.counts['send_refused'] += 1
            LOG.error('%s %s', PREFIX, error)
            return None

    def _push(self, address: world.Address, frame: bytes) -> bool:
        try:
            socket = self._push_socket(address)
        except exceptions.PeerError as error:
            LOG.warning('%s %s', PREFIX, error)
            self.counts['send_failed'] += 1
            return False
        if not socket.send(frame):
            self.counts['send_queue_full'] += 1
            return False
        self.counts['sent'] += 1
        self.counts['sent_bytes'] += len(frame)
        return True

    def _push_socket(self, address: world.Address) -> peer_socket.PushSocket:
        socket = self._sockets_by_address.get(address)
        if socket is None:
            socket = peer_socket.PushSocket(address)
            self._sockets_by_address[address] = socket
            if len(self._sockets_by_address) > _MAX_SOCKETS:
                self._sockets_by_address.popitem(last=False)[1].close()
        self._sockets_by_address.move_to_end(address)
        return socket
