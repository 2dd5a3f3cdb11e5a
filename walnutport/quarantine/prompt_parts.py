"""Finds parts of prompts that crash the targets that answer on them.

Covers requests that have nothing in common but one part of their prompts, so
that each of them is new to the suspect table. All requests in flight at a
target share its death, so that their other parts are implicated as well. A
part that crashes targets mostly does so as they begin to answer, while other
parts are soon answered: a part is quarantined after several deaths without a
success since. A stream is a success after a few events already.

Covers as well parts that crash targets later, in the middle of a stream. A
stream that has brought some events is implicated by a late death, and each
other request by one besides the early one, as its answer may have begun later.
Long sound streams are so as well, thus more late deaths are needed, and only a
whole answer clears them.

Requests with a quarantined part are refused, but for a probe from time to
time. A success of the probe clears the part, and each failed probe makes the
next one rarer.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

from walnutport.quarantine import crash_evidence
from walnutport.quarantine import part_decision
from walnutport.quarantine import part_entry

__all__ = ['MAX_ENTRIES', 'PartReport', 'PartTable']

# Further time before a request with several quarantined parts probes them. Its
# failure would not tell which part is the cause, and other requests may clear
# all parts but one until then.
JOINT_PROBE_DELAY_S = 2.5
# A probe whose outcome is unknown after this time, as its host was lost, no
# longer prevents the next one.
PROBE_TIMEOUT_S = 5.0
MAX_ENTRIES = 2_000
ENTRY_TTL_S = 600.0
# Callers may retry a refused request after this time at the earliest.
MIN_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class PartReport:
    """What a host has learned of a part of prompts.

    :param death_ages: time in seconds since each death, by its id.
    :param cleared: ids of the deaths that a later success cleared.
    :param failed_probes: ids of the deaths of targets that ran a probe of
        this part and of no other one.
    :param repeated: ids of the deaths of targets that ran a request with the
        part under which another target had died before.
    :param probe_s: time for which a probe is under way; 0 if none is.
    :param probe_ended: whether a probe has ended without a result.
    :param age_s: time since the sender has heard anything new of the part.
    """

    part: str
    death_ages: dict[str, float] = dataclasses.field(default_factory=dict)
    cleared: tuple[str, ...] = ()
    failed_probes: tuple[str, ...] = ()
    repeated: tuple[str, ...] = ()
    probe_s: float = 0.0
    probe_ended: bool = False
    age_s: float = 0.0


class PartTable:
    """Evidence against the parts of prompts, from this host and its peers.

    Times are seconds of a monotonic clock, passed in as ``now``.

    :param publish: called with the reports for the other hosts.
    """

    def __init__(
        self,
        publish: Callable[[list[PartReport]], None] = lambda reports: None,
    ) -> None:
        self._publish = publish
        self._entry_by_part: collections.OrderedDict[
            str, part_entry.PartEntry
        ] = collections.OrderedDict()
        self._attempt_by_id: dict[str, part_entry.PartAttempt] = {}

    def __len__(self) -> int:
        return len(self._entry_by_part)

    def death_count(self, part: str, now: float) -> int:
        """Return the number of deaths that speak against a part."""
        entry = self._find(part, now)
        return 0 if entry is None else entry.death_count()

    def is_suspect(self, parts: Iterable[str], now: float) -> bool:
        """Return whether a request should not be retried after a failure."""
        return any(
            entry.has_deaths(
                part_entry.SUSPECT_DEATHS, part_entry.LATE_SUSPECT_DEATHS
            )
            for part in parts
            if (entry := self._find(part, now)) is not None
        )

    def is_quarantined(self, part: str, now: float) -> bool:
        """Return whether requests with a part are refused, but for probes."""
        entry = self._find(part, now)
        return entry is not None and entry.is_quarantined()

    def check(
        self, request_id: str, parts: Iterable[str], now: float
    ) -> part_decision.PartDecision:
        """Return whether a request may be sent now.

        :param request_id: id of the request, which may be a probe already.
        """
        quarantined = self._quarantined(parts, now)
        joint_delay_s = JOINT_PROBE_DELAY_S if len(quarantined) > 1 else 0.0
        for part, entry in quarantined.items():
            delay_s = entry.next_probe_at() + joint_delay_s - now
            if entry.probe_id != request_id and delay_s > 0:
                return part_decision.PartDecision(
                    part, (), entry.death_count(), max(MIN_RETRY_S, delay_s)
                )
        return part_decision.PartDecision('', tuple(quarantined))

    def begin_probe(
        self, request_id: str, parts: Iterable[str], now: float
    ) -> None:
        """Reserve the next probe of quarantined parts for a request."""
        reports = []
        for part in parts:
            entry = self._find(part, now)
            if entry is not None and entry.probe_id != request_id:
                entry.probe_id = request_id
                entry.probing_until = now + PROBE_TIMEOUT_S
                reports.append(PartReport(part, probe_s=PROBE_TIMEOUT_S))
        if reports:
            self._publish(reports)

    def end_probe(
        self, request_id: str, parts: Iterable[str], now: float
    ) -> None:
        """Release the reservation of a request that has ended."""
        reports = []
        for part in parts:
            entry = self._find(part, now)
            if entry is not None and entry.probe_id == request_id:
                entry.probe_id = ''
                if entry.probing_until > now:
                    entry.probing_until = now
                    reports.append(PartReport(part, probe_ended=True))
        if reports:
            self._publish(reports)

    def attempt_started(
        self,
        attempt_id: str,
        parts: tuple[str, ...],
        target_id: str,
        incarnation: str,
        now: float,
    ) -> None:
        """Record that an attempt is in flight."""
        if not parts:
            return
        quarantined = list(self._quarantined(parts, now))
        self._attempt_by_id[attempt_id] = part_entry.PartAttempt(
            now,
            parts,
            crash_evidence.death_id(target_id, incarnation),
            quarantined[0] if len(quarantined) == 1 else '',
        )

    def attempt_answered(self, attempt_id: str, now: float) -> None:
        """Record that enough of an answer has come to clear its parts.

        Late deaths are not cleared, as they come after as many events.
        """
        attempt = self._attempt_by_id.get(attempt_id)
        if attempt is not None:
            attempt.is_answered = True
            self._clear(attempt.parts, now, with_late=False)

    def attempt_finished(self, attempt_id: str, ok: bool, now: float) -> None:
        """Record the end of an attempt.

        :param ok: whether the answer was complete, which clears its parts.
        """
        attempt = self._attempt_by_id.pop(attempt_id, None)
        if attempt is not None and ok:
            self._clear(attempt.parts, now, with_late=True)

    def target_died(
        self,
        target_id: str,
        incarnation: str,
        now: float,
        repeats: Collection[str] = (),
        started_by: float = math.inf,
    ) -> None:
        """Record a death against the parts of all requests in flight.

        :param repeats: ids of the attempts under whose requests another target
            had died before.
        :param started_by: when the death was noticed. Attempts that began
            later were not in flight.
        """
        death = crash_evidence.death_id(target_id, incarnation)
        deaths_by_part: dict[str, set[str]] = {}
        repeated_by_part: dict[str, set[str]] = {}
        probed: dict[str, str] = {}
        for attempt_id, attempt in self._attempt_by_id.items():
            if attempt.death == death and attempt.started_at <= started_by:
                late = death + part_entry.LATE_SUFFIX
                # A target may crash on a part in the middle of one stream
                # while other requests with the part have no answer yet.
                own = {late} if attempt.is_answered else {death, late}
                for part in attempt.parts:
                    deaths_by_part.setdefault(part, set()).update(own)
                    if attempt_id in repeats:
                        repeated_by_part.setdefault(part, set()).update(own)
                probed[attempt.sole_probe] = late
        self._merge_and_publish(
            [
                PartReport(
                    part,
                    dict.fromkeys(sorted(deaths), 0.0),
                    failed_probes=(probed[part],) if part in probed else (),
                    repeated=tuple(sorted(repeated_by_part.get(part, ()))),
                )
                for part, deaths in sorted(deaths_by_part.items())
            ],
            now,
        )

    def merge(self, report: PartReport, now: float) -> bool:
        """Merge a report; return whether it says anything new.

        The clear of a death that is not known is kept, but is not new.
        """
        if report.age_s >= ENTRY_TTL_S:
            return False
        told_at = now - report.age_s
        entry = self._find(report.part, now)
        if entry is None:
            if not self._make_room(report):
                return False
            entry = part_entry.PartEntry(crash_evidence.CrashEvidence(told_at))
            self._entry_by_part[report.part] = entry
        is_new = False
        for death, age_s in report.death_ages.items():
            if entry.evidence.add_death(death, now - age_s, told_at):
                is_new = True
                entry.probing_until = now
        for death in report.cleared:
            is_new |= entry.evidence.clear(death, told_at)
        for death in report.failed_probes:
            is_new |= death not in entry.failed_probes
            entry.failed_probes.add(death)
        entry.failed_probes.intersection_update(entry.evidence.deaths)
        for death in report.repeated:
            is_new |= death not in entry.repeated
            entry.repeated.add(death)
        entry.repeated.intersection_update(entry.evidence.deaths)
        if report.probe_ended and entry.probing_until > now:
            entry.probing_until = now
            is_new = True
        if report.probe_s and entry.probing_until <= now:
            entry.probing_until = now + report.probe_s
            is_new = True
        if is_new:
            self._entry_by_part.move_to_end(report.part)
        return is_new

    def missed_clear(
        self, report: PartReport, now: float
    ) -> PartReport | None:
        """Return the clears that the sender of a report has missed, if any."""
        entry = self._find(report.part, now)
        if entry is None:
            return None
        cleared = entry.evidence.cleared_among(
            report.death_ages.keys() - report.cleared
        )
        age_s = now - entry.evidence.updated_at
        if not cleared:
            return None
        return PartReport(report.part, cleared=cleared, age_s=age_s)

    def parts_to_tell(self, now: float) -> list[str]:
        """Return the parts that a host should know of that joins.

        :returns: quarantined ones first, then those with the most deaths, and
            of equal ones the newest; those that were cleared are last.
        """
        known = [
            (
                entry.is_quarantined(),
                entry.evidence.uncleared_count(),
                entry.evidence.updated_at,
                part,
            )
            for part in list(self._entry_by_part)
            if (entry := self._find(part, now)) is not None
            and entry.evidence.deaths
        ]
        return [part for *_, part in sorted(known, reverse=True)]

    def report(self, part: str, now: float) -> PartReport | None:
        """Return what a host should know of a part that joins."""
        entry = self._find(part, now)
        if entry is None:
            return None
        deaths = entry.evidence.deaths
        uncleared = entry.evidence.uncleared_deaths()
        return PartReport(
            part,
            {death: now - deaths[death] for death in uncleared},
            cleared=tuple(sorted(entry.evidence.cleared)),
            failed_probes=tuple(
                sorted(entry.failed_probes.intersection(uncleared))
            ),
            repeated=tuple(sorted(entry.repeated.intersection(uncleared))),
            probe_s=max(0.0, entry.probing_until - now),
            age_s=now - entry.evidence.updated_at,
        )

    def reports(self, now: float, max_count: int) -> list[PartReport]:
        """Return what a host should know that joins, the gravest first."""
        reports = (self.report(part, now) for part in self.parts_to_tell(now))
        return [report for report in reports if report][:max_count]

    def _quarantined(
        self, parts: Iterable[str], now: float
    ) -> dict[str, part_entry.PartEntry]:
        """Return the entries of the quarantined parts, by part."""
        entry_by_part = {
            part: self._find(part, now)
            for part in parts
            if part in self._entry_by_part
        }
        return {
            part: entry
            for part, entry in entry_by_part.items()
            if entry is not None and entry.is_quarantined()
        }

    def _clear(
        self, parts: Iterable[str], now: float, with_late: bool
    ) -> None:
        """Clear the deaths that speak against some parts."""
        reports = []
        for part in parts:
            entry = self._find(part, now)
            if entry is None:
                continue
            cleared = tuple(
                death
                for death in entry.evidence.uncleared_deaths()
                if with_late or not death.endswith(part_entry.LATE_SUFFIX)
            )
            if cleared:
                reports.append(PartReport(part, cleared=cleared))
        self._merge_and_publish(reports, now)

    def _merge_and_publish(
        self, reports: list[PartReport], now: float
    ) -> None:
        new = [report for report in reports if self.merge(report, now)]
        if new:
            self._publish(new)

    def _make_room(self, report: PartReport) -> bool:
        """Make room for an entry; return whether it may be added.

        Only deaths displace what is held against another part.
        """
        if len(self._entry_by_part) >= MAX_ENTRIES:
            dropped = crash_evidence.least_grave(
                (part, entry.evidence)
                for part, entry in self._entry_by_part.items()
            )
            evidence = self._entry_by_part[dropped].evidence
            if evidence.uncleared_count() and not report.death_ages:
                return False
            del self._entry_by_part[dropped]
        return True

    def _find(self, part: str, now: float) -> part_entry.PartEntry | None:
        entry = self._entry_by_part.get(part)
        if entry is None:
            return None
        if now - entry.evidence.updated_at >= ENTRY_TTL_S:
            del self._entry_by_part[part]
            return None
        return entry
