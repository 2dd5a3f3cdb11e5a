"""Tells peers that join what may crash targets, in pages."""

import dataclasses
import time

from walnutport.gateway.peers import peers
from walnutport.peer import fleet_messages
from walnutport.quarantine import prompt_parts
from walnutport.quarantine import suspects
from walnutport.quarantine import suspicion

__all__ = ['SuspectHandover', 'crash_message']

# Contents, and as many parts of prompts, in one page. A page of entries with
# the largest number of deaths stays below the size of a message.
PAGE_SIZE = 100
# Time between two pages to a peer: all hosts of a full mesh may send to the
# same one, which has to serve requests beside.
PAGE_INTERVAL_S = 0.02


@dataclasses.dataclass(slots=True)
class _Untold:
    """What a peer was not told yet, the gravest first."""

    digests: list[bytes]
    parts: list[str]


class SuspectHandover:
    """Sends peers all that this host knows, the gravest suspects first.

    :param table: contents of requests that may crash targets.
    :param parts: parts of prompts that may crash targets.
    """

    def __init__(
        self,
        reactor,
        log,
        mesh: peers.PeerMesh,
        table: suspects.SuspectTable,
        parts: prompt_parts.PartTable,
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._mesh = mesh
        self._table = table
        self._parts = parts
        self._untold_by_peer: dict[str, _Untold] = {}
        self._is_scheduled = False

    def begin(self, name: str) -> None:
        """Tell a peer, which may have just started, all that is known.

        The first page is sent at once.
        """
        now = time.monotonic()
        self._untold_by_peer[name] = _Untold(
            self._table.digests_to_tell(now), self._parts.parts_to_tell(now)
        )
        self._send_page(name)
        self._schedule()

    def _schedule(self) -> None:
        if self._untold_by_peer and not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(PAGE_INTERVAL_S, self._send_pages)

    def _send_pages(self) -> None:
        self._is_scheduled = False
        for name in list(self._untold_by_peer):
            self._send_page(name)
        self._schedule()

    def _send_page(self, name: str) -> None:
        untold = self._untold_by_peer[name]
        messages = self._messages(
            untold.digests[:PAGE_SIZE], untold.parts[:PAGE_SIZE]
        )
        if not all(self._mesh.send(name, message) for message in messages):
            # The peer is told again when it joins.
            del self._untold_by_peer[name]
            self._log.notable(
                'suspects_untold',
                peer=name,
                contents=len(untold.digests),
                parts=len(untold.parts),
            )
            return
        del untold.digests[:PAGE_SIZE]
        del untold.parts[:PAGE_SIZE]
        if not untold.digests and not untold.parts:
            del self._untold_by_peer[name]

    def _messages(
        self, digests: list[bytes], parts: list[str]
    ) -> list[fleet_messages.FleetMessage]:
        """Return the messages on some contents and parts."""
        now = time.monotonic()
        messages: list[fleet_messages.FleetMessage] = [
            crash_message(report, self._table.age_s(digest, now))
            for digest in digests
            for report in self._table.reports(digest, now)
        ]
        reports = [
            report
            for part in parts
            if (report := self._parts.report(part, now)) is not None
        ]
        if reports:
            messages.append(fleet_messages.PartReports(tuple(reports)))
        return messages


def crash_message(
    report: suspicion.SuspectReport, age_s: float = 0.0
) -> fleet_messages.CrashReport:
    """Return the message with a report on a content.

    :param age_s: time since this host has heard anything new of the content.
    """
    return fleet_messages.CrashReport(
        report.digest,
        tuple(report.deaths),
        report.cleared,
        age_s,
        report.probe_s,
    )
