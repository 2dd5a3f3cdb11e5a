"""Shares reports on what crashes targets with the other hosts."""

from collections.abc import Callable
import dataclasses
import time

from twisted.internet import defer
from twisted.python import failure as twisted_failure

from walnutport import exceptions
from walnutport.gateway.peers import peers
from walnutport.gateway.peers import suspect_handover
from walnutport.http1 import channel_pool
from walnutport.http1 import messages
from walnutport.peer import fleet_messages
from walnutport.platform import target_probe
from walnutport.quarantine import content_rule
from walnutport.quarantine import prompt_parts
from walnutport.quarantine import suspects
from walnutport.quarantine import suspicion
from walnutport.routing import outcomes
from walnutport.world import registrations

__all__ = ['SuspectExchange']

# Timeouts of the connection that checks whether a target crashed, and of its
# answer.
CRASH_CHECK_TIMEOUT_S = 0.5
# A retry waits this long at most for the result. Most crashed targets refuse
# the connection within milliseconds.
MAX_RETRY_DELAY_S = 0.15
# Crashes that this host has reported this shortly before it was cut off are
# retracted: a path to several targets may fail one target after the other.
RETRACT_S = 2.0
# Own reports on contents, and on parts of prompts, that can be retracted.
MAX_RECENT_REPORTS = 200


class SuspectExchange:
    """Suspects of this host, kept in sync with its peers.

    :param verify_cut: returns a result that fires with whether this host is
        cut off from all targets, given when the attempt that failed began.
    :param is_leaving: returns whether a target is shutting down.
    :ivar table: contents of requests that may crash targets.
    :ivar parts: parts of prompts that may crash targets.
    """

    def __init__(
        self,
        reactor,
        log,
        mesh: peers.PeerMesh,
        pool: channel_pool.ChannelPool,
        target_outcomes: outcomes.TargetOutcomes,
        verify_cut: Callable[[float], defer.Deferred],
        is_leaving: Callable[[registrations.RegisteredTarget], bool],
    ) -> None:
        self._is_leaving = is_leaving
        self._verify_cut = verify_cut
        self._reactor = reactor
        self._log = log
        self._mesh = mesh
        self._pool = pool
        self._outcomes = target_outcomes
        # Reports of this host on crashes, with their times.
        self._reported: list[tuple[float, suspicion.SuspectReport]] = []
        self._reported_parts: list[tuple[float, prompt_parts.PartReport]] = []
        self.table = suspects.SuspectTable(
            self._publish, content_rule.PROBED_RULE
        )
        self.parts = prompt_parts.PartTable(self._publish_parts)
        self._handover = suspect_handover.SuspectHandover(
            reactor, log, mesh, self.table, self.parts
        )

    def merge_report(
        self, name: str, message: fleet_messages.CrashReport
    ) -> None:
        """Merge a report of a peer on a request into the table.

        A peer that reports a cleared death has missed the clear, and is told.
        In a partial mesh, the hosts that are linked with this one may have no
        link to the peer, so what is new is passed on.
        """
        now = time.monotonic()
        report = suspicion.SuspectReport(
            message.digest, message.deaths, message.cleared, message.probe_s
        )
        is_new = self.table.merge(report, now, message.age_s)
        if is_new and self._mesh.is_partial:
            self._mesh.broadcast(message)
        cleared = self.table.cleared_deaths(report, now)
        if cleared:
            self._mesh.send(
                name,
                fleet_messages.CrashReport(
                    message.digest,
                    cleared,
                    True,
                    self.table.age_s(message.digest, now),
                ),
            )

    def merge_part_reports(
        self, name: str, message: fleet_messages.PartReports
    ) -> None:
        """Merge the reports of a peer on parts of prompts.

        The peer is told of clears that it has missed, and in a partial mesh,
        what is new is passed on, as for requests. Of what a peer knew before
        it joined, only parts that are or were quarantined have a line of the
        log each.
        """
        now = time.monotonic()
        new = []
        missed = []
        unlogged_count = 0
        for report in message.reports:
            was_quarantined = self.parts.is_quarantined(report.part, now)
            if self.parts.merge(report, now):
                new.append(report)
                if (
                    report.age_s == 0
                    or was_quarantined
                    or self.parts.is_quarantined(report.part, now)
                ):
                    self._log_part(report, f'peer {name}')
                else:
                    unlogged_count += 1
            clear = self.parts.missed_clear(report, now)
            if clear is not None:
                missed.append(clear)
        if unlogged_count:
            self._log.notable(
                'part_suspects_told', peer=name, count=unlogged_count
            )
        if missed:
            self._mesh.send(name, fleet_messages.PartReports(tuple(missed)))
        if new and self._mesh.is_partial:
            self._mesh.broadcast(fleet_messages.PartReports(tuple(new)))

    def peer_joined(self, name: str) -> None:
        """Tell a peer, which may have just started, about the suspects."""
        self._handover.begin(name)

    def check_for_crash(
        self,
        target: registrations.RegisteredTarget,
        attempt_id: str,
        was_alive: bool = True,
    ) -> defer.Deferred:
        """Record the end of an attempt, and whether its target crashed.

        The target counts as gone when a new connection to it fails, or ends
        without an answer, unless this host reaches no target at all. Parts of
        prompts are implicated only if it is refused or ends: a target that
        cannot be reached may run on, and one that is shutting down ends by
        itself.

        An intermediary may accept connections for a target that is down, and
        close them or answer that it is down. Then an attempt that was sent to
        it while it was down ends as one that was in flight, and shows a crash
        only if its target was alive.

        :param was_alive: whether the target has answered on the channel of the
            attempt.
        :returns: fires when the end is recorded, or after some time if that is
            not clear by then.
        """
        started_at = time.monotonic()
        recorded: defer.Deferred = defer.Deferred()
        recorded.addTimeout(
            MAX_RETRY_DELAY_S, self._reactor, lambda result, timeout: None
        )

        def on_alive() -> None:
            self._attempt_finished(attempt_id)
            recorded.callback(None)

        def on_response(response: messages.Response) -> None:
            if target_probe.is_of_intermediary(response):
                on_failure(
                    twisted_failure.Failure(
                        exceptions.ChannelError(
                            f'status {response.status} of an intermediary',
                            written=True,
                        )
                    )
                )
            else:
                on_alive()

        def on_failure(failure: twisted_failure.Failure) -> None:
            if _may_live(failure):
                on_alive()
                return
            self._verify_cut(started_at).addCallback(on_verified, failure)

        def on_verified(
            is_cut: bool, failure: twisted_failure.Failure
        ) -> None:
            if is_cut:
                self._attempt_finished(attempt_id)
                recorded.callback(None)
                return
            now = time.monotonic()
            self._outcomes.record_failure(target, now, unreachable=True)
            self._pool.close_address(target.address)
            if was_alive or not _is_closed(failure):
                self._hold_death(target, now, started_at, _shows_end(failure))
            self._attempt_finished(attempt_id)
            recorded.callback(None)

        defer.Deferred.fromCoroutine(
            channel_pool.fetch(
                self._reactor,
                self._pool,
                target.address,
                target_probe.encode_probe(target.address),
                CRASH_CHECK_TIMEOUT_S,
                is_new=True,
            )
        ).addCallbacks(on_response, on_failure)
        return recorded

    def _hold_death(
        self,
        target: registrations.RegisteredTarget,
        now: float,
        noticed_at: float,
        has_ended: bool,
    ) -> None:
        """Record a death against the requests in flight at a target.

        :param has_ended: whether the target is known to have ended.
        """
        incarnation = str(target.incarnation)
        self.table.target_died(target.target_id, now, incarnation, noticed_at)
        if has_ended and not self._is_leaving(target):
            self.parts.target_died(
                target.target_id,
                incarnation,
                now,
                self.table.repeats(target.target_id, incarnation),
                noticed_at,
            )

    def retract_recent(self) -> None:
        """Retract recent reports, as this host is cut off from all targets."""
        earliest = time.monotonic() - RETRACT_S
        reported, self._reported = self._reported, []
        for at, report in reported:
            if at >= earliest:
                message = dataclasses.replace(report, cleared=True)
                self.table.merge(message, time.monotonic())
                self._publish(message)
        retracted = [
            prompt_parts.PartReport(
                part_report.part, cleared=tuple(part_report.death_ages)
            )
            for at, part_report in self._reported_parts
            if at >= earliest
        ]
        self._reported_parts = []
        for part_report in retracted:
            self.parts.merge(part_report, time.monotonic())
        if retracted:
            self._publish_parts(retracted)

    def _attempt_finished(self, attempt_id: str) -> None:
        now = time.monotonic()
        self.table.attempt_finished(attempt_id, False, now)
        self.parts.attempt_finished(attempt_id, False, now)

    def _publish(self, message: suspicion.SuspectReport) -> None:
        if message.deaths and not message.cleared:
            self._reported = [
                *self._reported[-MAX_RECENT_REPORTS:],
                (time.monotonic(), message),
            ]
        self._log.notable(
            'suspect',
            digest=message.digest.hex(),
            deaths=message.deaths,
            cleared=message.cleared,
            probe_s=message.probe_s,
        )
        self._mesh.broadcast(suspect_handover.crash_message(message))

    def _publish_parts(self, reports: list[prompt_parts.PartReport]) -> None:
        now = time.monotonic()
        self._reported_parts = [
            *self._reported_parts[-MAX_RECENT_REPORTS:],
            *((now, report) for report in reports if report.death_ages),
        ]
        for report in reports:
            self._log_part(report, 'own')
        self._mesh.broadcast(fleet_messages.PartReports(tuple(reports)))

    def _log_part(self, report: prompt_parts.PartReport, source: str) -> None:
        deaths = self.parts.death_count(report.part, time.monotonic())
        self._log.notable(
            'part_suspect',
            part=report.part,
            deaths=sorted(report.death_ages),
            cleared=bool(report.cleared),
            count=deaths,
            quarantined=self.parts.is_quarantined(
                report.part, time.monotonic()
            ),
            probe_s=round(report.probe_s, 1),
            source=source,
        )


def _may_live(failure: twisted_failure.Failure) -> bool:
    """Return whether an accepted connection is silent, or brought bytes."""
    problem = failure.value
    return (
        isinstance(problem, exceptions.ChannelError)
        and problem.written
        and (problem.timed_out or problem.malformed or problem.oversized)
    )


def _is_closed(failure: twisted_failure.Failure) -> bool:
    """Return whether an accepted connection brought no answer of a target."""
    return (
        isinstance(failure.value, exceptions.ChannelError)
        and failure.value.written
    )


def _shows_end(failure: twisted_failure.Failure) -> bool:
    """Return whether a connection was refused, or closed."""
    return _is_closed(failure) or (
        isinstance(failure.value, exceptions.ChannelError)
        and failure.value.refused
    )
