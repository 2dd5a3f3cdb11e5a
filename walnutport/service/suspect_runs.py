"""Lets a request run only as its standing in the quarantine allows."""

import dataclasses

from twisted.internet import task

from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.service import attempt
from walnutport.service import calls
from walnutport.service import permits as permit_service
from walnutport.service import policies as host_policies

__all__ = ['SuspectGuard']

# A request that was in flight at a death waits for its turn this long; a
# fresh one is refused at once.
LONGEST_WAIT_S = 2.0
TURN_S = 0.05
NO_PERMITS_RETRY_S = 1.0


class SuspectGuard:
    """Checks the standing of a request before each of its attempts.

    :param permits: grants runs of suspects; None refuses none.
    """

    def __init__(
        self,
        policies: host_policies.Policies,
        permits: interfaces.PermitGate | None,
        clock: interfaces.Clock,
        reactor,
    ) -> None:
        self._policies = policies
        self._permits = permits
        self._clock = clock
        self._reactor = reactor

    def state(self, call: calls.Call) -> interfaces.SuspicionState:
        """Return the standing of a request."""
        return self._policies.quarantine.state(
            call.digest(), self._clock.monotonic()
        )

    async def enter(
        self, call: calls.Call, *, wait: bool
    ) -> calls.Call | attempt.StageFailure:
        """Return the call, with a permit if it needs one.

        :param wait: whether to wait for a permit that another run holds. If
            that run succeeds, the content is clear and needs no permit.
        """
        give_up_at = min(
            call.deadline, self._clock.monotonic() + LONGEST_WAIT_S
        )
        while True:
            state = self.state(call)
            if state is interfaces.SuspicionState.QUARANTINED:
                return _quarantined()
            if state is interfaces.SuspicionState.CLEAR or call.permit_id:
                return call
            if self._permits is None:
                return call
            entered = await self._acquire(call, self._permits)
            if isinstance(entered, calls.Call):
                return entered
            now = self._clock.monotonic()
            if not wait or now + TURN_S >= give_up_at:
                return entered
            await task.deferLater(self._reactor, TURN_S)

    def leave(self, call: calls.Call, outer: calls.Call) -> None:
        """Release the permit of a call unless ``outer`` holds it already."""
        if self._permits and call.permit_id != outer.permit_id:
            self._permits.release(call.permit_id, call.digest())

    async def _acquire(
        self, call: calls.Call, permits: interfaces.PermitGate
    ) -> calls.Call | attempt.StageFailure:
        asked_at = self._clock.monotonic()
        deadline = min(call.deadline, asked_at + permit_service.LONGEST_RUN_S)
        digest = call.digest()
        permit = await permits.acquire(digest, deadline)
        if permit.is_error():
            return attempt.StageFailure(
                answers.Reason.SUSPECT_BUSY,
                '',
                retry_after_s=permit.error.retry_after_s,
            )
        if self.state(call) is interfaces.SuspicionState.QUARANTINED:
            # The verdict arrived while the permit was on its way.
            permits.release(permit.ok, digest)
            return _quarantined()
        return dataclasses.replace(
            call, permit_id=permit.ok, deadline=deadline
        )


def _quarantined() -> attempt.StageFailure:
    return attempt.StageFailure(answers.Reason.QUARANTINED, '')
