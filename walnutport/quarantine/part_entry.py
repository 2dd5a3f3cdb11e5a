"""Evidence against one part of prompts, and when it is enough."""

import dataclasses
import math

from walnutport.quarantine import crash_evidence

__all__ = [
    'LATE_SUFFIX',
    'LATE_SUSPECT_DEATHS',
    'PROBE_DELAYS_S',
    'PartAttempt',
    'PartEntry',
    'SUSPECT_DEATHS',
]

# Deaths without a success since, after which a request is not retried, and
# after which the part is quarantined.
SUSPECT_DEATHS = 2
QUARANTINE_DEATHS = 3
# The same, with the late deaths. Parts of streams that run for long are in
# flight at more deaths by chance; after the fifth crash, no more requests with
# the part may reach targets.
LATE_SUSPECT_DEATHS = 4
LATE_QUARANTINE_DEATHS = 5
# End of the ids of late deaths.
LATE_SUFFIX = '#late'
# Deaths closer together count once, as targets with a common fault die at the
# same moment. Those of targets that ran a repeat of a request count each: the
# requests of one target are repeated at one moment, so that a part which
# crashes targets ends the next ones at one moment as well.
MIN_DEATH_SPACING_S = 0.015
# Time from the last evidence to the next probe, by the number of probes that
# have failed. The last value holds for all later ones. The first probe comes
# soon, as it clears the parts that were in flight at all deaths by chance.
PROBE_DELAYS_S = (0.5, 30.0, 60.0)


@dataclasses.dataclass(slots=True)
class PartAttempt:
    """Attempt in flight.

    :param started_at: when it began.
    :param parts: parts of the prompt of its request.
    :param death: id of the death of its target, if that died now.
    :param sole_probe: quarantined part that it probes, if it is only one.
    :param is_answered: whether some events of its answer have come.
    """

    started_at: float
    parts: tuple[str, ...]
    death: str
    sole_probe: str
    is_answered: bool = False


@dataclasses.dataclass(slots=True)
class PartEntry:
    """Evidence against one part.

    :param failed_probes: ids of deaths that ended a probe of this part alone.
    :param repeated: ids of deaths of targets that ran a request with the part
        under which another target had died before.
    :param probing_until: end of the time in which a probe is under way.
    :param probe_id: id of the request of this host that probes the part.
    """

    evidence: crash_evidence.CrashEvidence
    failed_probes: set[str] = dataclasses.field(default_factory=set)
    repeated: set[str] = dataclasses.field(default_factory=set)
    probing_until: float = 0.0
    probe_id: str = ''

    def death_count(self, with_late: bool = True) -> int:
        """Return the number of uncleared deaths that count."""
        repeated: set[str] = set()
        died_at_by_target: dict[str, float] = {}
        for death in self.evidence.uncleared_deaths():
            if with_late or not death.endswith(LATE_SUFFIX):
                # Hosts may notice one crash at different times.
                target = death.removesuffix(LATE_SUFFIX)
                if death in self.repeated:
                    repeated.add(target)
                died_at = self.evidence.deaths[death]
                died_at_by_target[target] = min(
                    died_at, died_at_by_target.get(target, died_at)
                )
        count = len(repeated)
        counted_at = -math.inf
        for died_at in sorted(
            died_at
            for target, died_at in died_at_by_target.items()
            if target not in repeated
        ):
            if died_at - counted_at >= MIN_DEATH_SPACING_S:
                count += 1
                counted_at = died_at
        return count

    def has_deaths(self, early: int, late: int) -> bool:
        """Return whether so many deaths, or with the late ones, are known."""
        return self.evidence.uncleared_count() >= min(early, late) and (
            self.death_count(with_late=False) >= early
            or self.death_count() >= late
        )

    def is_quarantined(self) -> bool:
        """Return whether the part is quarantined."""
        return self.has_deaths(QUARANTINE_DEATHS, LATE_QUARANTINE_DEATHS)

    def next_probe_at(self) -> float:
        """Return when a quarantined part may be probed again."""
        uncleared = self.evidence.uncleared_deaths()
        failed = len(self.failed_probes.intersection(uncleared))
        delay_s = PROBE_DELAYS_S[min(failed, len(PROBE_DELAYS_S) - 1)]
        last_death_at = max(
            (self.evidence.deaths[death] for death in uncleared), default=0.0
        )
        return max(last_death_at + delay_s, self.probing_until)
