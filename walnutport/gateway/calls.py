"""One request of a caller on its way through an entry host."""

import dataclasses
import time

from walnutport.http1 import messages
from walnutport.http1 import server
from walnutport.platform import headers
from walnutport.world import requests
from walnutport.world import routes

__all__ = ['CallerCall']


@dataclasses.dataclass(slots=True, eq=False)
class CallerCall:
    """Request with the route and team that were found for it.

    :param deadline_at: when the caller or the route gives up.
    :param aim_at: until when an answer has its full value.
    :param status: status of the answer, 0 while there is none.
    :param returned: whether the caller comes back after a refusal.
    :param targets: targets that the request was sent to.
    :param unreachable: targets that could not be connected.
    :param open_runs: targets that were sent the request and have not said
        that they did not run it.
    """

    request: server.ServerRequest
    fields: requests.RequestFields
    route: routes.Route
    service: str
    team: str | None
    urgency: int
    digest: bytes
    arrived_at: float
    deadline_at: float
    aim_at: float
    open_runs: int = 0
    returned: bool = False
    targets: list[str] = dataclasses.field(default_factory=list)
    inputs: tuple[str, ...] | None = None
    input_bytes_by_place: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    unreachable: set[str] = dataclasses.field(default_factory=set)
    outcome: str = ''
    status: int = 0
    stages_s: float = 0.0
    engine_id: str = ''
    first_event_at: float = 0.0

    @property
    def request_id(self) -> str:
        """Id of the caller's attempt."""
        return self.fields.request_id

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.open_runs > 0

    def tried(self) -> set[str]:
        """Return the targets that are not tried again."""
        return self.unreachable.union(self.targets)

    def left_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline_at - time.monotonic()

    def answer(
        self,
        status: int,
        outcome: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Send an answer of the system itself."""
        self.outcome = outcome
        self.status = status
        self.request.respond(
            status,
            headers.local_response_headers(self.request_id, retry_after_s),
            b'',
        )

    def pass_on(self, head: messages.ResponseHead, body: bytes) -> None:
        """Send a target's whole answer."""
        self.outcome = 'answered'
        self.status = head.status
        self.request.respond(
            head.status, headers.forwarded_response_headers(head), body
        )
