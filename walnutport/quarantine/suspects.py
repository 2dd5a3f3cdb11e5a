"""Finds requests that crash the targets that run them.

Each content has two sets of death ids: target deaths during which it was in
flight, and those that a later success cleared. Both sets only grow until the
entry expires, so records may arrive late, repeatedly or in any order. Content
is suspect after one uncleared death; a rule says when it is quarantined, and
when a request with it may be sent all the same, as a probe. A success of the
probe clears it, and each failed one makes the next one rarer.
"""

import collections
from collections.abc import Callable
import dataclasses
import math

from walnutport.quarantine import content_rule
from walnutport.quarantine import crash_evidence
from walnutport.quarantine import suspicion

__all__ = ['MAX_ENTRIES', 'SuspectTable']

MAX_ENTRIES = 10_000
ENTRY_TTL_S = 3_600.0
# Deaths of any targets whose times are kept, to tell a content that crashes
# its targets from those that run on targets as they crash.
MAX_RECENT_DEATHS = 200
# A probe whose outcome is unknown after this time, as its host was lost, no
# longer prevents the next one.
PROBE_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _AttemptInFlight:
    """Attempt in flight.

    :param is_repeat: whether a target had died under its content before.
    """

    digest: bytes
    target_id: str
    incarnation: str
    is_repeat: bool
    started_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Probe:
    """Probe of a quarantined content.

    :param request_id: request of this host that probes it; empty if it is one
        of another host.
    :param until: end of the time in which it prevents the next one.
    """

    request_id: str
    until: float


class SuspectTable:
    """Suspicion state of contents; see ``interfaces.Quarantine``.

    :param publish: called with each message for the other hosts.
    :param rule: when contents are quarantined and probed.
    """

    def __init__(
        self,
        publish: Callable[[suspicion.SuspectReport], None] = lambda message: (
            None
        ),
        rule: content_rule.ContentRule = content_rule.FINAL_RULE,
    ) -> None:
        self.publish = publish
        self._rule = rule
        self._probe_by_digest: dict[bytes, _Probe] = {}
        self._recent_deaths: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Called with the digest when the entry of quarantined content changes.
        self.on_quarantined: Callable[[bytes], None] = lambda digest: None
        self._entries: collections.OrderedDict[
            bytes, crash_evidence.CrashEvidence
        ] = collections.OrderedDict()
        self._attempts_by_id: dict[str, _AttemptInFlight] = {}
        self._incarnations_by_target: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def state(self, digest: bytes, now: float) -> suspicion.SuspicionState:
        """Return the suspicion state of a digest."""
        entry = self._find(digest, now)
        return (
            suspicion.SuspicionState.CLEAR
            if entry is None
            else self._state(entry)
        )

    def probe_delay_s(
        self, digest: bytes, request_id: str, now: float
    ) -> float:
        """Return the time until a request with a content may be sent.

        :param request_id: id of the request, which may be a probe already.
        :returns: 0 if it may be now, ``math.inf`` if its quarantine has no
            probes.
        """
        entry = self._find(digest, now)
        if (
            entry is None
            or self._state(entry) is not suspicion.SuspicionState.QUARANTINED
        ):
            return 0.0
        if not self._rule.probe_delays_s:
            return math.inf
        due_at = self._rule.next_probe_at(
            entry.uncleared_count(), entry.last_death_at()
        )
        probe = self._probe_by_digest.get(digest)
        if probe is not None:
            if probe.request_id == request_id:
                return 0.0
            due_at = max(due_at, probe.until)
        return max(0.0, due_at - now)

    def begin_probe(self, digest: bytes, request_id: str, now: float) -> bool:
        """Reserve the probe of a quarantined content for a request.

        :returns: whether the request is a probe from now on.
        """
        entry = self._find(digest, now)
        probe = self._probe_by_digest.get(digest)
        if (
            entry is None
            or self._state(entry) is not suspicion.SuspicionState.QUARANTINED
            or probe is not None
            and probe.request_id == request_id
        ):
            return False
        self._probe_by_digest[digest] = _Probe(
            request_id, now + PROBE_TIMEOUT_S
        )
        self.publish(
            suspicion.SuspectReport(digest, (), probe_s=PROBE_TIMEOUT_S)
        )
        return True

    def end_probe(self, digest: bytes, request_id: str) -> None:
        """Record the end of a request, which may have been a probe."""
        probe = self._probe_by_digest.get(digest)
        if probe is not None and probe.request_id == request_id:
            del self._probe_by_digest[digest]

    def digests_by_state(
        self, now: float
    ) -> dict[suspicion.SuspicionState, list[bytes]]:
        """Return the digests that are not clear, most recently used first.

        The time is linear in the entries, of which there are at most 10,000.
        """
        digests: dict[suspicion.SuspicionState, list[bytes]] = {
            suspicion.SuspicionState.SUSPECT: [],
            suspicion.SuspicionState.QUARANTINED: [],
        }
        for digest, entry in reversed(self._entries.items()):
            state = self._state(entry)
            if state in digests and now - entry.updated_at < ENTRY_TTL_S:
                digests[state].append(digest)
        return digests

    def digests_to_tell(self, now: float) -> list[bytes]:
        """Return the digests that a host should know of that joins.

        :returns: those with the most uncleared deaths first, and of those with
            equally many the newest; those that were cleared are last.
        """
        known = [
            (entry.uncleared_count(), entry.updated_at, digest)
            for digest, entry in self._entries.items()
            if now - entry.updated_at < ENTRY_TTL_S
        ]
        return [digest for _, _, digest in sorted(known, reverse=True)]

    def reports(
        self, digest: bytes, now: float
    ) -> list[suspicion.SuspectReport]:
        """Return what a host should know of a digest that joins.

        :returns: at most one report on what is held against it, and one on
            what was cleared.
        """
        entry = self._entries.get(digest)
        if entry is None or now - entry.updated_at >= ENTRY_TTL_S:
            return []
        reports = [
            suspicion.SuspectReport(digest, entry.uncleared_deaths()),
            suspicion.SuspectReport(
                digest, tuple(sorted(entry.cleared)), cleared=True
            ),
        ]
        return [report for report in reports if report.deaths]

    def age_s(self, digest: bytes, now: float) -> float:
        """Return the time since anything new was heard of a digest."""
        entry = self._entries.get(digest)
        return 0.0 if entry is None else now - entry.updated_at

    def attempt_started(
        self, digest: bytes, target_id: str, attempt_id: str, now: float
    ) -> None:
        """Record that an attempt is in flight."""
        self._attempts_by_id[attempt_id] = _AttemptInFlight(
            digest,
            target_id,
            self.incarnation_of(target_id),
            self.state(digest, now) is not suspicion.SuspicionState.CLEAR,
            now,
        )

    def attempt_finished(self, attempt_id: str, ok: bool, now: float) -> None:
        """Record the end of an attempt; a success clears a suspect."""
        attempt = self._attempts_by_id.pop(attempt_id, None)
        if attempt is None or not ok:
            return
        entry = self._find(attempt.digest, now)
        if entry is None or not entry.uncleared_deaths():
            return
        message = suspicion.SuspectReport(
            attempt.digest, entry.uncleared_deaths(), cleared=True
        )
        self.merge(message, now)
        self.publish(message)

    def incarnation_seen(self, target_id: str, incarnation: str) -> None:
        """Record the incarnation that a target reports."""
        if incarnation:
            self._incarnations_by_target[target_id] = incarnation

    def incarnation_of(self, target_id: str) -> str:
        """Return the last known incarnation of a target, empty if unknown."""
        return self._incarnations_by_target.get(target_id, '')

    def repeats(self, target_id: str, incarnation: str) -> frozenset[str]:
        """Return the attempts on a target that repeat suspected contents.

        :returns: ids of the attempts in flight that began after another target
            had died under their content.
        """
        return frozenset(
            attempt_id
            for attempt_id, attempt in self._attempts_by_id.items()
            if attempt.is_repeat
            and attempt.target_id == target_id
            and attempt.incarnation == incarnation
        )

    def target_died(
        self,
        target_id: str,
        now: float,
        incarnation: str | None = None,
        started_by: float = math.inf,
    ) -> None:
        """Mark every request in flight on the target as a suspect.

        :param incarnation: incarnation that died; None means the last known
            one.
        :param started_by: when the death was noticed. Attempts that began
            later were not in flight.
        """
        if incarnation is None:
            incarnation = self.incarnation_of(target_id)
        death = crash_evidence.death_id(target_id, incarnation)
        digests = {
            attempt.digest
            for attempt in self._attempts_by_id.values()
            if attempt.target_id == target_id
            and attempt.incarnation == incarnation
            and attempt.started_at <= started_by
        }
        for digest in sorted(digests):
            entry = self._find(digest, now)
            if entry is None or death not in entry.deaths:
                message = suspicion.SuspectReport(digest, (death,))
                self.merge(message, now)
                self.publish(message)

    def cleared_deaths(
        self, report: suspicion.SuspectReport, now: float
    ) -> tuple[str, ...]:
        """Return the deaths that a report holds against a cleared content."""
        entry = self._find(report.digest, now)
        if entry is None or report.cleared:
            return ()
        return entry.cleared_among(report.deaths)

    def merge(
        self,
        message: suspicion.SuspectReport,
        now: float,
        age_s: float = 0.0,
    ) -> bool:
        """Merge a message from another host or from the log.

        :param age_s: time since its sender has heard anything new of the
            content.
        :returns: whether it says anything new. The clear of a death that this
            host does not know is kept, but is not new.
        """
        if age_s >= ENTRY_TTL_S:
            return False
        if message.probe_s:
            return self._merge_probe(message, now)
        told_at = now - age_s
        entry = self._find(message.digest, now)
        if entry is None:
            if not self._make_room(message):
                return False
            entry = crash_evidence.CrashEvidence(told_at)
            self._entries[message.digest] = entry
        is_changed = False
        for death in message.deaths:
            if message.cleared:
                is_changed |= entry.clear(death, told_at)
            else:
                is_changed |= entry.add_death(death, told_at, told_at)
                self._record_death(death, told_at)
        if (
            is_changed
            and self._state(entry) is suspicion.SuspicionState.QUARANTINED
        ):
            self.on_quarantined(message.digest)
        return is_changed

    def _merge_probe(
        self, message: suspicion.SuspectReport, now: float
    ) -> bool:
        """Merge the report of a probe; return whether it is new."""
        probe = self._probe_by_digest.get(message.digest)
        if probe is not None and probe.until > now:
            return False
        # Those of other hosts end by time.
        for digest, found in list(self._probe_by_digest.items()):
            if found.until <= now and not found.request_id:
                del self._probe_by_digest[digest]
        self._probe_by_digest[message.digest] = _Probe(
            '', now + min(message.probe_s, PROBE_TIMEOUT_S)
        )
        return True

    def _record_death(self, death: str, died_at: float) -> None:
        """Keep the time of a death, whatever was in flight at it."""
        if death in self._recent_deaths:
            return
        self._recent_deaths[death] = died_at
        if len(self._recent_deaths) > MAX_RECENT_DEATHS:
            self._recent_deaths.popitem(last=False)

    def _state(
        self, entry: crash_evidence.CrashEvidence
    ) -> suspicion.SuspicionState:
        deaths = entry.uncleared_deaths()
        if not deaths:
            return suspicion.SuspicionState.CLEAR
        if self._rule.is_quarantined(
            deaths, entry.last_death_at(), self._recent_deaths
        ):
            return suspicion.SuspicionState.QUARANTINED
        return suspicion.SuspicionState.SUSPECT

    def _make_room(self, message: suspicion.SuspectReport) -> bool:
        """Make room for an entry; return whether it may be added.

        A clear does not displace what is held against another content.
        """
        if len(self._entries) >= MAX_ENTRIES:
            dropped = crash_evidence.least_grave(self._entries.items())
            if message.cleared and self._entries[dropped].uncleared_count():
                return False
            del self._entries[dropped]
        return True

    def _find(
        self, digest: bytes, now: float
    ) -> crash_evidence.CrashEvidence | None:
        entry = self._entries.get(digest)
        if entry is None:
            return None
        if now - entry.updated_at >= ENTRY_TTL_S:
            del self._entries[digest]
            return None
        self._entries.move_to_end(digest)
        return entry
