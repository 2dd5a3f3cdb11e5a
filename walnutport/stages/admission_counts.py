"""Counts of the decisions on stage jobs, by kind of request and team.

Under contention, operators have to see whose requests are refused and which of
them come back in vain.
"""

import collections
import enum

__all__ = ['AdmissionCounts', 'JobEvent']


class JobEvent(enum.StrEnum):
    """What happened to a job."""

    #: It was admitted to be answered within its aim.
    ADMITTED = 'admitted'
    #: Its return was admitted to be answered within its deadline.
    ADMITTED_LATE = 'admitted_late'
    #: It continues a stream and was admitted before new jobs.
    ADMITTED_FIRST = 'admitted_first'
    #: It was refused, or abandoned before any of it ran.
    REFUSED = 'refused'
    #: It had been refused before.
    RETURNED = 'returned'
    #: It had been refused before and was refused again.
    REFUSED_AGAIN = 'refused_again'
    #: Another owner goes on with it, as the host of this one stops.
    HANDED_OVER = 'handed_over'
    #: Its stages are complete.
    SERVED = 'served'


class AdmissionCounts:
    """Counters of a cell.

    :ivar by_key: count of each event by route, team and event.
    """

    def __init__(self) -> None:
        self.by_key: collections.Counter[tuple[str, str, JobEvent]] = (
            collections.Counter()
        )

    def add(self, route: str, team: str, event: JobEvent) -> None:
        """Count an event."""
        self.by_key[(route, team, event)] += 1
