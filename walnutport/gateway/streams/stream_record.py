"""What the runs of targets have brought to the response of one call."""

import enum

from walnutport.http1 import messages
from walnutport.relay import resumable
from walnutport.routing import target_runs
from walnutport.world import registrations

__all__ = [
    'CHECKED_OUTCOMES',
    'CloseOutcome',
    'Framing',
    'MAX_KEPT_RUNS',
    'StreamRecord',
    'StreamRun',
]

# Runs that are kept of a response: the first one and the latest ones.
MAX_KEPT_RUNS = 4


class CloseOutcome(enum.StrEnum):
    """How a response was judged that only the close has ended."""

    #: Complete: the check of its target found no crash.
    CONFIRMED = 'confirmed'
    #: Broken off, by the check of its target.
    REFUTED = 'refuted'
    #: A success without a body, which counts as broken off unchecked.
    EMPTY = 'empty'
    #: Not checked, as it is not usable or incomplete in itself.
    UNCHECKED = 'unchecked'


#: Outcomes of the check of a target.
CHECKED_OUTCOMES = (CloseOutcome.CONFIRMED, CloseOutcome.REFUTED)


class Framing(enum.StrEnum):
    """What marks the end of the body of a response."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CLOSE = 'close'


class StreamRun:
    """Events of one attempt that were forwarded.

    :param target: registration of the target when the request was sent.
    :param binding: run that has reported itself, None if none has.
    :ivar incarnation: start of the run in Unix milliseconds.
    :ivar version: software version of the run; None if it is not known.
    :ivar first_id: id of the first event with one; None without any.
    :ivar last_id: id of the last event with one; None without any.
    :ivar events: forwarded events.
    """

    __slots__ = (
        'events',
        'first_id',
        'incarnation',
        'last_id',
        'target_id',
        'version',
    )

    def __init__(
        self,
        target: registrations.RegisteredTarget,
        binding: target_runs.RunBinding | None,
    ) -> None:
        self.target_id = target.target_id
        self.incarnation = target.incarnation
        self.version: str | None = target.software_version
        if binding is not None:
            self.incarnation = binding.incarnation
            self.version = binding.version
        self.first_id: int | None = None
        self.last_id: int | None = None
        self.events = 0

    def describe(self) -> dict[str, str | int | None]:
        """Return the run as it is logged."""
        return {
            'target': self.target_id,
            'incarnation': self.incarnation,
            'version': self.version,
            'first': self.first_id,
            'last': self.last_id,
            'events': self.events,
        }


class StreamRecord:
    """Runs that have brought the response to one call, and its end.

    Responses that are no streams have only ends.

    :ivar runs: the first run and the latest ones that have brought events.
    :ivar run_count: all runs that have brought events.
    :ivar versions: software versions of these runs.
    :ivar events: forwarded events.
    :ivar first_id: id of the first forwarded event with one; None without any.
    :ivar last_id: id of the last forwarded event with one; None without any.
    :ivar framing: framing of the last response of a target; None before it.
    :ivar close_outcome: how the last response was judged, if only the close
        has ended it; None otherwise.
    :ivar close_checked_by: what has checked this; empty without a check.
    :ivar close_outcomes: how all such responses were judged.
    """

    __slots__ = (
        '_is_new_run',
        '_relay',
        'close_checked_by',
        'close_outcome',
        'close_outcomes',
        'events',
        'first_id',
        'framing',
        'last_id',
        'run_count',
        'runs',
        'versions',
    )

    def __init__(self) -> None:
        self.runs: list[StreamRun] = []
        self.run_count = 0
        self.versions: set[str | None] = set()
        self.events = 0
        self.first_id: int | None = None
        self.last_id: int | None = None
        self.framing: Framing | None = None
        self.close_outcome: CloseOutcome | None = None
        self.close_checked_by = ''
        self.close_outcomes: list[CloseOutcome] = []
        self._is_new_run = True
        self._relay: resumable.EventRelay | None = None

    @property
    def repeated_events(self) -> int:
        """Events that runs have repeated and that were dropped."""
        return 0 if self._relay is None else self._relay.repeated_events

    @property
    def gaps(self) -> int:
        """Runs in which an event was missing."""
        return 0 if self._relay is None else self._relay.gaps

    def response_began(
        self, relay: resumable.EventRelay, head: messages.ResponseHead
    ) -> None:
        """Record that a target has begun to respond to a stream."""
        self._relay = relay
        self._is_new_run = True
        self.framing = _framing(head)
        self.close_outcome = None
        self.close_checked_by = ''

    def forwarded(
        self,
        target: registrations.RegisteredTarget,
        relay: resumable.EventRelay,
        binding: target_runs.RunBinding | None = None,
    ) -> None:
        """Record that what the relay has accepted last was forwarded.

        :param binding: run to which the stream is bound, None if to none.
        """
        if not relay.run_events:
            # Only comments.
            return
        if self._is_new_run:
            self._is_new_run = False
            self._add_run(StreamRun(target, binding))
        run = self.runs[-1]
        self.events += relay.run_events - run.events
        run.events = relay.run_events
        run.first_id = relay.run_first_id
        if run.first_id is None:
            return
        run.last_id = self.last_id = relay.last_id
        if self.first_id is None:
            self.first_id = run.first_id

    def response_ended(
        self, close_outcome: CloseOutcome | None, checked_by: str
    ) -> None:
        """Record the end of a response.

        :param close_outcome: None unless only the close has ended it.
        :param checked_by: what tells whether its target has crashed.
        """
        if close_outcome is None:
            return
        self.close_outcome = close_outcome
        if close_outcome in CHECKED_OUTCOMES:
            self.close_checked_by = checked_by
        self.close_outcomes.append(close_outcome)

    def _add_run(self, run: StreamRun) -> None:
        if len(self.runs) == MAX_KEPT_RUNS:
            del self.runs[1]
        self.runs.append(run)
        self.run_count += 1
        self.versions.add(run.version)


def _framing(head: messages.ResponseHead) -> Framing:
    if head.header(b'transfer-encoding') is not None:
        return Framing.CHUNKS
    if head.header(b'content-length') is not None:
        return Framing.LENGTH
    return Framing.CLOSE
