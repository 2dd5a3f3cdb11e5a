"""Shares reports on requests that crash targets with the other hosts."""

import time

from twisted.internet import defer

from walnutport.gateway import peers
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.peer import fleet_messages
from walnutport.quarantine import suspects
from walnutport.quarantine import suspicion
from walnutport.routing import outcomes
from walnutport.world import registrations

__all__ = ['SuspectExchange']

# Timeout of the connection that checks whether a target crashed; the target
# counts as crashed when the connection fails.
CRASH_CHECK_TIMEOUT_S = 0.5
# Suspects that a peer is told when it joins.
MAX_REPORTS_ON_JOIN = 200


class SuspectExchange:
    """Suspect table of this host, kept in sync with its peers."""

    def __init__(
        self,
        reactor,
        log,
        mesh: peers.PeerMesh,
        pool: channel_pool.ChannelPool,
        target_outcomes: outcomes.TargetOutcomes,
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._mesh = mesh
        self._pool = pool
        self._outcomes = target_outcomes
        self.table = suspects.SuspectTable(self._publish)

    def merge_report(self, message: fleet_messages.CrashReport) -> None:
        """Merge a report of a peer on a request into the table.

        In a partial mesh, the hosts that are linked with this one may have no
        link to the peer, so a report that changes the state is passed on.
        """
        now = time.monotonic()
        before = self.table.state(message.digest, now)
        self.table.merge(
            suspicion.SuspectReport(
                message.digest, message.deaths, message.cleared
            ),
            now,
        )
        is_changed = self.table.state(message.digest, now) is not before
        if is_changed and self._mesh.is_partial:
            self._mesh.broadcast(message)

    def peer_joined(self, name: str) -> None:
        """Tell a peer, which may have just started, about the suspects."""
        for report in self.table.reports(
            time.monotonic(), MAX_REPORTS_ON_JOIN
        ):
            self._mesh.send(name, _to_message(report))

    def check_for_crash(
        self, target: registrations.RegisteredTarget, attempt_id: str
    ) -> None:
        """Record the end of an attempt, and whether its target crashed.

        The target counts as crashed when a new connection to it fails.
        """

        def on_connected(channel: client_channel.ClientChannel) -> None:
            channel.close()
            self.table.attempt_finished(attempt_id, False, time.monotonic())

        def on_failure(failure) -> None:
            now = time.monotonic()
            self._outcomes.record_failure(target, now, unreachable=True)
            self._pool.close_address(target.address)
            self.table.target_died(
                target.target_id, now, str(target.incarnation)
            )
            self.table.attempt_finished(attempt_id, False, now)

        defer.Deferred.fromCoroutine(
            client_channel.connect(
                self._reactor, target.address, CRASH_CHECK_TIMEOUT_S
            )
        ).addCallbacks(on_connected, on_failure)

    def _publish(self, message: suspicion.SuspectReport) -> None:
        self._log.notable(
            'suspect',
            digest=message.digest.hex(),
            deaths=message.deaths,
            cleared=message.cleared,
        )
        self._mesh.broadcast(_to_message(message))


def _to_message(
    report: suspicion.SuspectReport,
) -> fleet_messages.CrashReport:
    return fleet_messages.CrashReport(
        report.digest, tuple(report.deaths), report.cleared
    )
