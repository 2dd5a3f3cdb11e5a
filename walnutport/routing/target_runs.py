"""Which run of a target a stream is bound to, and its software version.

A target that starts again keeps its id and its address, may run another
version, and may serve before it has registered. So an entry does not tell
which process is at the other end of a channel; the process itself does, in the
report that it sends on the channel. A run has one version for its whole life,
and the entry with the same start names it.
"""

import collections
import dataclasses
import enum
import math

from walnutport.world import registrations

__all__ = [
    'UNKNOWN_RUN',
    'RunBinding',
    'RunSource',
    'UnregisteredRuns',
    'bind',
    'bound_version',
]

# Three intervals of heartbeats, after which the entry of a target that does
# not write any more is removed.
MAX_UNREGISTERED_S = 4.0
# Reads of the store for one such run are at least so far apart, and after that
# time so far.
READ_INTERVAL_S = 0.25
LATE_READ_INTERVAL_S = 1.0
MAX_UNREGISTERED_RUNS = 1_000


class RunSource(enum.Enum):
    """Who has named the run at the other end of a channel."""

    #: The process itself, in its report on this channel.
    REPORT = 'report'
    #: The entry of the target, as the process does not report its start.
    ENTRY = 'entry'


@dataclasses.dataclass(frozen=True, slots=True)
class RunBinding:
    """Run of a target to which a stream is bound.

    :param incarnation: start of the run in Unix milliseconds.
    :param version: software version of the run; None if no entry of it is
        known.
    :param source: who has named the run.
    """

    incarnation: int
    version: str | None
    source: RunSource


def bind(
    reported: int | None,
    chosen: registrations.RegisteredTarget,
    registered: registrations.RegisteredTarget | None,
) -> RunBinding | None:
    """Return the binding of a stream to the run behind a channel.

    :param reported: start that the process has reported on the channel, in
        Unix milliseconds; None if it does not report.
    :param chosen: entry by which the target was chosen.
    :param registered: present entry of the target, None if there is none.
    :returns: None if the run has ended, as the entry of another one is known
        by now. The version is None if the run is not registered.
    """
    if reported is None:
        if (
            registered is None
            or registered.incarnation_key != chosen.incarnation_key
            or registered.software_version != chosen.software_version
        ):
            return None
        return RunBinding(
            chosen.incarnation, chosen.software_version, RunSource.ENTRY
        )
    if registered is not None and registered.incarnation == reported:
        return RunBinding(
            reported, registered.software_version, RunSource.REPORT
        )
    if chosen.incarnation == reported:
        return None
    return RunBinding(reported, None, RunSource.REPORT)


def bound_version(
    binding: RunBinding | None,
    chosen: registrations.RegisteredTarget,
    registered: registrations.RegisteredTarget | None,
) -> str | None:
    """Return the software version of a run whose first event has arrived.

    Its entry may have been read since the request was sent.

    :param binding: run to which the stream is bound, None if to none.
    :param chosen: entry by which the target was chosen.
    :param registered: present entry of the target, None if there is none.
    :returns: None if it is not known.
    """
    present = chosen
    if registered is not None and registered.address == chosen.address:
        present = registered
    if binding is None:
        return present.software_version
    if binding.source is RunSource.ENTRY:
        # Either run may have sent the event.
        is_same = present.software_version == binding.version
        return binding.version if is_same else None
    if binding.version is None and present.incarnation == binding.incarnation:
        return present.software_version
    return binding.version


#: Binding to a process that has not told which run it is.
UNKNOWN_RUN = RunBinding(-1, None, RunSource.REPORT)


@dataclasses.dataclass(slots=True)
class _UnregisteredRun:
    """When a run was first seen, and the last read of the store for it."""

    first_seen_at: float
    read_at: float = -math.inf
    is_confirmed: bool = False


class UnregisteredRuns:
    """Runs that serve and have no entry.

    Nothing new is sent to such a run at first, as it will register. One that
    does not for long may serve streams, which nobody can go on with.
    """

    def __init__(self) -> None:
        self._seen_by_run: collections.OrderedDict[
            tuple[str, int], _UnregisteredRun
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._seen_by_run)

    def may_serve(self, target_id: str, incarnation: int, now: float) -> bool:
        """Return whether a run without an entry may serve streams.

        :param incarnation: start that the run has reported.
        :param now: monotonic time in seconds.
        """
        seen = self._seen(target_id, incarnation, now)
        return now - seen.first_seen_at >= MAX_UNREGISTERED_S

    def is_read_due(
        self, target_id: str, incarnation: int, now: float
    ) -> bool:
        """Return whether the store is to be read for the entry of a run.

        A run whose report and entry never agree would cost a read for each of
        its streams.
        """
        seen = self._seen(target_id, incarnation, now)
        interval_s = (
            LATE_READ_INTERVAL_S
            if now - seen.first_seen_at >= MAX_UNREGISTERED_S
            else READ_INTERVAL_S
        )
        return now - seen.read_at >= interval_s

    def read_ended(
        self, target_id: str, incarnation: int, has_answered: bool, now: float
    ) -> None:
        """Record a read that has brought no entry of a run.

        :param has_answered: whether the store has answered.
        """
        seen = self._seen(target_id, incarnation, now)
        seen.read_at = now
        seen.is_confirmed = has_answered

    def is_confirmed(
        self, target_id: str, incarnation: int, now: float
    ) -> bool:
        """Return whether the last read has shown that there is no entry."""
        return self._seen(target_id, incarnation, now).is_confirmed

    def _seen(
        self, target_id: str, incarnation: int, now: float
    ) -> _UnregisteredRun:
        seen = self._seen_by_run.setdefault(
            (target_id, incarnation), _UnregisteredRun(now)
        )
        if len(self._seen_by_run) > MAX_UNREGISTERED_RUNS:
            self._seen_by_run.popitem(last=False)
        return seen
