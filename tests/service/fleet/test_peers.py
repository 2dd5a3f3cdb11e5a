"""Tests of the peer network over loopback sockets."""

import contextlib

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from standins import processes
from walnutport import clock
from walnutport.peer import codec
from walnutport.peer import messages
from walnutport.service.fleet import peers
from walnutport import world

KEYRING = codec.Keyring('k1', {'k1': b'0123456789abcdef'})
MESSAGE_COUNT = 300


def new_network(host_id: str, address, keyring=KEYRING) -> peers.PeerNetwork:
    """Return the peer network of a host on the loopback address."""
    return peers.PeerNetwork(
        address,
        messages.PeerOrigin(host_id, 7),
        keyring,
        clock.SystemClock(),
        reactor,
    )


class PeerNetworkTest(unittest.TestCase):
    """Runs two networks in one reactor."""

    timeout = 60

    def setUp(self) -> None:
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.address = world.Address('127.0.0.1', processes.free_port())
        self.receiver = self.stack.enter_context(
            new_network('host-2', self.address)
        )

    def open_sender(self, keyring=KEYRING) -> peers.PeerNetwork:
        """Return a network that knows the address of the receiver."""
        address = world.Address('127.0.0.1', processes.free_port())
        sender = self.stack.enter_context(
            new_network('host-1', address, keyring)
        )
        sender.update_addresses({'host-2': self.address})
        return sender

    async def wait_until(self, condition) -> None:
        """Run the reactor until the condition holds."""
        while not condition():
            await task.deferLater(reactor, 0.005)

    @defer.inlineCallbacks
    def test_every_message_arrives_in_order(self):
        """Guards against frames that stay in the socket after a full batch."""
        sender = self.open_sender()
        arrived: list[int] = []
        self.receiver.subscribe(
            messages.StateRequest, lambda _, item: arrived.append(item.part)
        )

        async def run() -> None:
            for part in range(MESSAGE_COUNT):
                message = messages.StateRequest('q', part)
                while not sender.send('host-2', message):
                    await task.deferLater(reactor, 0.001)
            await self.wait_until(lambda: len(arrived) == MESSAGE_COUNT)

        yield defer.Deferred.fromCoroutine(run())
        self.assertEqual(arrived, list(range(MESSAGE_COUNT)))

    @defer.inlineCallbacks
    def test_invalid_frames_are_counted_and_dropped(self):
        """Guards against an invalid frame that stops the receiver."""
        untrusted_sender = self.open_sender(
            codec.Keyring('k1', {'k1': b'x' * 16})
        )
        untrusted_sender.send('host-2', messages.StateRequest('q'))
        counts = self.receiver.counts
        yield defer.Deferred.fromCoroutine(
            self.wait_until(lambda: counts['dropped_unauthenticated'] == 1)
        )
        self.receiver.receive(b'\xff')
        self.assertEqual(counts['dropped_malformed'], 1)
        self.assertFalse(
            untrusted_sender.send('host-9', messages.StateRequest('q'))
        )

    def test_send_to_a_full_queue_does_not_block(self):
        """Guards against a send to a dead host that blocks the reactor."""
        sender = self.open_sender()
        dead = world.Address('127.0.0.1', processes.free_port())
        sender.update_addresses({'host-3': dead})
        sent = [
            sender.send('host-3', messages.StateRequest('q'))
            for _ in range(MESSAGE_COUNT)
        ]
        self.assertFalse(all(sent))
        self.assertEqual(sender.counts['send_queue_full'], sent.count(False))

    def test_a_failing_handler_does_not_stop_others(self):
        """Guards against a failing handler that starves the next one."""
        arrived = []
        for handler in (lambda *_: 1 / 0, lambda *_: arrived.append(1)):
            self.receiver.subscribe(messages.StateRequest, handler)
        origin = messages.PeerOrigin('host-1', 1)
        frame = codec.Codec(KEYRING).encode(
            origin, 1, messages.StateRequest('q')
        )
        for _ in range(2):
            self.receiver.receive(frame)
        self.assertEqual(arrived, [1])
        self.assertEqual(self.receiver.counts['dropped_repeated'], 1)
