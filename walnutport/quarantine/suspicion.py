"""Suspicion that a request crashes its targets, as hosts exchange it."""

import dataclasses
import enum

__all__ = ['SuspectReport', 'SuspicionState']


class SuspicionState(enum.StrEnum):
    """Suspicion that requests with a content digest crash targets."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """Crashes of targets while they ran a request with some content.

    :param digest: digest of the content.
    :param deaths: identifiers (target id and incarnation) of the crashes.
    :param cleared: whether the content has since completed.
    :param probe_s: time for which a probe of the content is under way; 0 if
        the report is on deaths.
    """

    digest: bytes
    deaths: tuple[str, ...]
    cleared: bool = False
    probe_s: float = 0.0
