"""State of one request of a caller while an entry host serves it."""

import dataclasses
import time

from walnutport.gateway.streams import stream_record
from walnutport.http1 import messages
from walnutport.http1 import server
from walnutport.platform import headers
from walnutport.routing import stream_origins
from walnutport.routing import target_runs
from walnutport.world import registrations
from walnutport.world import requests
from walnutport.world import routes

__all__ = ['CallerCall']


@dataclasses.dataclass(slots=True, eq=False)
class CallerCall:
    """Request of a caller with its route, its team and its progress.

    Times that end in ``_at`` are those of the monotonic clock.

    :param fields: values of the request headers.
    :param service: service that serves the request, chosen from the route.
    :param digest: digest of the content, which identifies requests that
        crash targets.
    :param priority: priority of the team, or of the route if the team has
        none; 0 is the most urgent.
    :param kind_priority: priority of the route among the requests of teams of
        the same priority; 0 if the team has none.
    :param deadline_at: when the timeout of the caller or of the route ends.
    :param aim_at: when the latency target of the route ends.
    :param possible_runs: number of targets that were sent the request and did
        not report that they did not run it.
    :param spent_s: time that earlier attempts of the request took; 0 if none
        is known.
    :param targets: ids of the targets that the request was sent to, in order;
        one may have got it twice.
    :param lacked_inputs: ids of the targets that did not run the request as
        its inputs were gone. They may get it again with new inputs.
    :param inputs: handles of the stage results that the request reads.
    :param unreachable: ids of the targets that could not be connected to.
    :param passed_over: ids of the targets that were not sent the request
        because of the run that answers there.
    :param outcome: outcome for the log and the metrics.
    :param status: status of the response; 0 before it is sent.
    :param stages_s: time that the stages of the request took; 0 without
        stages.
    :param stages_begun_at: when the stages began that are running, 0 while
        none are.
    :param is_underway: whether a target or a peer has the request, and its
        response is awaited.
    :param engine_id: id of the engine that the owner of the cell recommends.
    :param first_event_at: when the first event was forwarded, 0 before.
    :param probed_parts: quarantined parts of the prompt that the request
        probes, so that it is sent all the same.
    :param last_attempt_at: when the last attempt began, 0 before the first.
    :param relayed_by: name of the peer that relays the request of its caller;
        empty for the callers of this host.
    :param waits_for_permit: whether only cold targets are left, so that the
        request waits for a permit while its aim allows.
    :param cold_denied: targets, by id, that are cold and for which the request
        got no permit.
    :param was_permit_refused: whether it has waited for a permit, or could
        not, so that it is refused unless a warm target is left.
    :param origin: where the stream began, None before its first event. Only
        targets of that service and version may go on with it.
    :param binding: run of the target to which the present attempt is bound,
        None if to none.
    :param holds_part: whether the caller may hold the part of a stream that it
        claims to hold.
    :param delivery: runs that have brought the response, and its end.
    :param desired_version: version of the desired state by which the request
        was matched to its route.
    """

    request: server.ServerRequest
    fields: requests.RequestFields
    route: routes.Route
    service: str
    team: str | None
    priority: int
    digest: bytes
    arrived_at: float
    deadline_at: float
    aim_at: float
    possible_runs: int = 0
    spent_s: float = 0.0
    targets: list[str] = dataclasses.field(default_factory=list)
    lacked_inputs: set[str] = dataclasses.field(default_factory=set)
    inputs: tuple[str, ...] | None = None
    input_bytes_by_data_centre: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    unreachable: set[str] = dataclasses.field(default_factory=set)
    passed_over: set[str] = dataclasses.field(default_factory=set)
    outcome: str = ''
    status: int = 0
    stages_s: float = 0.0
    stages_begun_at: float = 0.0
    is_underway: bool = False
    engine_id: str = ''
    first_event_at: float = 0.0
    origin: stream_origins.StreamOrigin | None = None
    binding: target_runs.RunBinding | None = None
    holds_part: bool = False
    probed_parts: tuple[str, ...] = ()
    last_attempt_at: float = 0.0
    relayed_by: str = ''
    waits_for_permit: bool = False
    cold_denied: dict[str, registrations.RegisteredTarget] = dataclasses.field(
        default_factory=dict
    )
    was_permit_refused: bool = False
    kind_priority: int = 0
    delivery: stream_record.StreamRecord = dataclasses.field(
        default_factory=stream_record.StreamRecord
    )
    desired_version: int = 0

    @property
    def request_id(self) -> str:
        """Id that the caller gave this attempt of its request."""
        return self.fields.request_id

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.possible_runs > 0

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is routes.RequestKind.STREAM

    @property
    def continues(self) -> bool:
        """Whether the caller holds a part of a stream and takes it up."""
        return self.is_stream and self.fields.continues_stream

    @property
    def may_go_on_elsewhere(self) -> bool:
        """Whether two targets may bring events of the stream."""
        return self.is_stream and (
            self.route.resumable or self.origin is not None
        )

    @property
    def origin_version(self) -> str | None:
        """Software version that has to go on with the stream.

        None if any may.
        """
        return None if self.origin is None else self.origin.version

    def record_send(self, target_id: str) -> None:
        """Record that the request is sent to a target."""
        self.possible_runs += 1
        self.targets.append(target_id)
        self.lacked_inputs.discard(target_id)

    def used_targets(self) -> set[str]:
        """Return the ids of the targets that do not get the request again.

        They count against the limit of the route.
        """
        return set(self.targets) - self.lacked_inputs

    def excluded_targets(self) -> set[str]:
        """Return the ids of the targets that are not tried again."""
        return self.unreachable | self.passed_over | self.used_targets()

    def may_get(self, target_id: str) -> bool:
        """Return whether the limit of the route allows a target.

        Beyond the limit, only targets that lacked the inputs get the request
        again, as they count already.
        """
        return (
            target_id in self.lacked_inputs
            or len(set(self.targets)) < self.route.max_targets
        )

    def record_earlier_attempts(self, spent_s: float) -> None:
        """Record the time that earlier attempts of the request took.

        :param spent_s: 0 if none is known.
        """
        self.aim_at += self.spent_s - spent_s
        self.spent_s = spent_s

    def permit_wait_s(self) -> float:
        """Return how long the request can wait for a permit.

        A stream that has begun cannot be refused, and waits until its caller
        would leave.
        """
        if not self.waits_for_permit:
            return 0.0
        now = time.monotonic()
        until = self.aim_at
        if self.request.head_sent:
            until = now + self.route.event_patience_s
        return max(0.0, min(until, self.deadline_at) - now)

    def time_left_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline_at - time.monotonic()

    def send_local_response(
        self,
        status: int,
        outcome: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Send a response of the host itself."""
        self.outcome = outcome
        self.status = status
        self.request.respond(
            status,
            headers.local_response_headers(self.request_id, retry_after_s),
            b'',
        )

    def forward_response(
        self, head: messages.ResponseHead, body: bytes
    ) -> None:
        """Send the complete response of a target."""
        self.outcome = 'answered'
        self.status = head.status
        self.request.respond(
            head.status, headers.forwarded_response_headers(head), body
        )
