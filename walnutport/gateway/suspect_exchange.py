"""Shares with the other hosts which requests killed targets."""

import time

from twisted.internet import defer

from walnutport.gateway import peers
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.peer import fleet_messages
from walnutport.peer import messages as peer_messages
from walnutport.quarantine import suspects
from walnutport.routing import outcomes
from walnutport.world import registrations

__all__ = ['SuspectNews']

# A death is confirmed by a refused connection.
PROBE_TIMEOUT_S = 0.5


class SuspectNews:
    """Book of suspects of this host, kept in step with its peers."""

    def __init__(
        self,
        reactor,
        log,
        mesh: peers.PeerMesh,
        pool: channel_pool.ChannelPool,
        standings: outcomes.TargetOutcomes,
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._mesh = mesh
        self._pool = pool
        self._standings = standings
        self.book = suspects.SuspectTable(self._publish)

    def heard(self, message: fleet_messages.CrashReport) -> None:
        """Take over what a peer knows of a request."""
        self.book.merge(
            peer_messages.SuspectReport(
                message.digest, message.deaths, message.cleared
            ),
            time.monotonic(),
        )

    def confirm_death(
        self, target: registrations.RegisteredTarget, attempt_id: str
    ) -> None:
        """End an attempt once it is known whether its target died."""

        def alive(channel: client_channel.ClientChannel) -> None:
            channel.close()
            self.book.attempt_finished(attempt_id, False, time.monotonic())

        def dead(failure) -> None:
            now = time.monotonic()
            self._standings.failed(target, now, unreachable=True)
            self._pool.close_address(target.address)
            self.book.target_died(
                target.target_id, now, str(target.incarnation)
            )
            self.book.attempt_finished(attempt_id, False, now)

        defer.Deferred.fromCoroutine(
            client_channel.connect(
                self._reactor, target.address, PROBE_TIMEOUT_S
            )
        ).addCallbacks(alive, dead)

    def _publish(self, message: peer_messages.SuspectReport) -> None:
        self._log.notable(
            'suspect',
            digest=message.digest.hex(),
            deaths=message.deaths,
            cleared=message.cleared,
        )
        self._mesh.broadcast(
            fleet_messages.CrashReport(
                message.digest, tuple(message.deaths), message.cleared
            )
        )
