"""Protocol types for external systems and for replaceable policies.

Policies do no I/O: each call takes the current time ``now`` in seconds of a
monotonic clock and returns a decision. External systems return Deferreds.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any, Protocol, TYPE_CHECKING

from expression import Result

from walnutport import exceptions
from walnutport.gates import ClaimGate
from walnutport.gates import ClaimGrant
from walnutport.gates import ClaimIdentity
from walnutport.gates import ClaimRefusal
from walnutport.gates import PermitGate
from walnutport.gates import PermitRefusal
from walnutport.peer import messages
from walnutport.policy_types import AttemptResult
from walnutport.policy_types import AttemptStatus
from walnutport.policy_types import Decision
from walnutport.policy_types import DecisionKind
from walnutport.policy_types import RetryDecision
from walnutport.policy_types import RouteQuery
from walnutport.policy_types import SuspicionState
from walnutport.policy_types import Ticket
from walnutport import world

if TYPE_CHECKING:
    # Policies must be importable without Twisted.
    from twisted.internet.defer import Deferred

__all__ = [
    'Admission',
    'AdmissionQueue',
    'AttemptResult',
    'AttemptStatus',
    'ClaimGate',
    'ClaimGrant',
    'ClaimIdentity',
    'ClaimRefusal',
    'Clock',
    'CostSink',
    'Decision',
    'DecisionKind',
    'HostList',
    'HostListPage',
    'LogFollower',
    'LogRecord',
    'LogService',
    'PeerBus',
    'PermitGate',
    'PermitRefusal',
    'Quarantine',
    'RetryDecision',
    'RetryPolicy',
    'RouteQuery',
    'Router',
    'StreamPage',
    'SuspicionState',
    'Ticket',
]


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes backwards."""

    def wall(self) -> float:
        """Return the Unix time in seconds."""


# External systems


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """A record of a log stream.

    :param time_ms: Unix time in ms at which the log accepted the record.
    """

    offset: int
    time_ms: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPage:
    """Records of one stream, starting at a requested offset.

    :param first_offset: oldest retained offset.
    :param next_offset: offset to read from next.
    :param end_offset: offset that the next append will get.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int
    end_offset: int
    expired: bool = False


class LogService(Protocol):
    """Append-only streams with offsets, provided by the platform."""

    def append(
        self, stream: str, payload: bytes
    ) -> Deferred[Result[int, exceptions.LogServiceError]]:
        """Append one record; the result is its offset.

        The error is ``LogUnavailable`` (the record was not appended) or
        ``AppendAmbiguous``.
        """

    def read(
        self, offsets: Mapping[str, int], wait_s: float
    ) -> Deferred[
        Result[Mapping[str, StreamPage], exceptions.LogServiceError]
    ]:
        """Read streams from offsets, waiting up to ``wait_s`` for records.

        A page with ``expired`` set means that the requested offset is no
        longer retained.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class HostListPage:
    """Content of the platform's list of hosts and targets."""

    hosts_by_id: Mapping[str, world.Host]
    targets_by_id: Mapping[str, world.Target]


class HostList(Protocol):
    """The platform's list of hosts and targets, which may be stale."""

    def read(
        self,
    ) -> Deferred[Result[HostListPage, exceptions.HostListError]]:
        """Read the list."""


# Policies


class AdmissionQueue(Protocol):
    """Limits the work admitted to a catalogue entry or to a pool."""

    def offer(self, ticket: Ticket, now: float) -> Decision:
        """Request admission; a queued ticket is granted or refused later."""

    def release(self, ticket_id: str, now: float) -> Sequence[Decision]:
        """Release a granted ticket or withdraw a queued one.

        :returns: resulting decisions on other tickets.
        """

    def advance(self, now: float) -> Sequence[Decision]:
        """Return the decisions that are due at the time ``now``."""


class Admission(Protocol):
    """Admission queues of a host and the control of their capacities."""

    @property
    def entry_queue(self) -> AdmissionQueue:
        """Return the queue in front of the first stage."""

    def pool_queue(self, service: str) -> AdmissionQueue:
        """Return the queue in front of a pool."""

    def catalogue_changed(
        self,
        contracts_by_id: Mapping[str, world.Contract],
        pipelines_by_id: Mapping[str, world.Pipeline],
        classes_by_id: Mapping[str, world.ServiceClass],
        members_by_id: Mapping[str, world.Member],
    ) -> None:
        """Replace the catalogue entries in force."""

    def targets_changed(
        self, targets_by_id: Mapping[str, world.Target], now: float
    ) -> None:
        """Replace the targets of the platform's list."""

    def hosts_changed(
        self, live: Iterable[str], known: Iterable[str], now: float
    ) -> None:
        """Replace the recently heard hosts and the known hosts."""

    def load_reported(
        self, target_id: str, load: world.LoadReport, now: float
    ) -> None:
        """Record a load report."""

    def release_window(
        self, ticket_id: str, service: str, now: float
    ) -> Sequence[Decision]:
        """Release the admission window of a pool that a request has passed."""

    def min_remaining_s(self, ticket: Ticket) -> float:
        """Return a low quantile of the time that the remaining stages take."""

    def record_stage_time(
        self,
        entry_id: str,
        stage: str,
        waited_s: float,
        held_s: float,
        now: float,
    ) -> None:
        """Record how long a stage waited for its slot and held it."""

    def demands(self, now: float) -> Sequence[messages.LimitDemand]:
        """Return the limit demands to send with the next heartbeat."""

    def demands_received(
        self,
        host_id: str,
        demands: Sequence[messages.LimitDemand],
        now: float,
    ) -> None:
        """Process the limit demands in the heartbeat of a peer."""

    def advance(self, now: float) -> None:
        """Update the capacities."""


class Router(Protocol):
    """Chooses the target of an attempt and learns from its result."""

    def route(self, query: RouteQuery, now: float) -> world.Target | None:
        """Return a target, or None if no target can take the attempt."""

    def attempt_started(
        self, target_id: str, attempt_id: str, query: RouteQuery, now: float
    ) -> None:
        """Count an attempt as in flight."""

    def attempt_finished(self, result: AttemptResult, now: float) -> None:
        """Remove an attempt from the in-flight count."""

    def load_reported(
        self, target_id: str, load: world.LoadReport, now: float
    ) -> None:
        """Record a load report."""

    def hosts_changed(self, host_ids: Collection[str], now: float) -> None:
        """Replace the set of hosts, among which targets are distributed."""

    def targets_changed(
        self, targets_by_id: Mapping[str, world.Target], now: float
    ) -> None:
        """Replace the set of known targets."""


class RetryPolicy(Protocol):
    """Decides on retries within a budget."""

    def request_started(self, service: str, now: float) -> None:
        """Count a first attempt, which adds to the budget."""

    def after_failure(
        self,
        result: AttemptResult,
        *,
        attempts: int,
        repeatable: bool,
        suspect: bool,
        deadline: float,
        now: float,
    ) -> RetryDecision:
        """Decide whether to retry after a failed attempt."""

    def attempt_finished(self, result: AttemptResult, now: float) -> None:
        """Record the latency of an attempt."""

    def hedge_delay_s(
        self, service: str, *, repeatable: bool, suspect: bool, now: float
    ) -> float | None:
        """Return the delay before a hedge may start, or None for no hedge."""

    def try_acquire_hedge(self, service: str, now: float) -> bool:
        """Take one hedge out of the budget."""


class Quarantine(Protocol):
    """Finds requests that crash the targets that run them."""

    def state(self, digest: bytes, now: float) -> SuspicionState:
        """Return the suspicion state of a digest."""

    def attempt_started(
        self, digest: bytes, target_id: str, attempt_id: str, now: float
    ) -> None:
        """Record that an attempt is in flight."""

    def attempt_finished(self, attempt_id: str, ok: bool, now: float) -> None:
        """Record the end of an attempt; a success clears a suspect."""

    def target_died(self, target_id: str, now: float) -> None:
        """Mark every request in flight on the target as a suspect."""


class CostSink(Protocol):
    """Records the cost of attempts."""

    def record(
        self,
        *,
        member_id: str,
        owner: str,
        entry_id: str,
        stage: str,
        result: AttemptResult,
    ) -> None:
        """Record the cost of one attempt, whatever its outcome."""


# Services with I/O that other modules use


class PeerBus(Protocol):
    """Sends typed messages to other hosts and dispatches received ones."""

    def send(self, host_id: str, message: messages.PeerMessage) -> bool:
        """Send to one host; False if it is unknown or its queue is full."""

    def broadcast(self, message: messages.PeerMessage) -> int:
        """Send to every live peer and return their count."""

    def subscribe(
        self,
        message_type: type[messages.PeerMessage],
        handler: Callable[[messages.PeerOrigin, Any], None],
    ) -> None:
        """Call ``handler`` with each received message of a type."""


class LogFollower(Protocol):
    """Applies the records of one stream in log order."""

    stream: str

    def start_offset(self) -> int:
        """Return the offset to read from next."""

    def apply(self, page: StreamPage, now: float) -> None:
        """Apply the records of a page, which may be empty.

        ``page.expired`` means that earlier records are no longer retained.
        """
