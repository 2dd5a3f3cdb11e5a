"""Lets a request run only as its standing in the quarantine allows."""

import dataclasses

from twisted.internet import task

from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.quarantine import first_runs
from walnutport.service.fleet import permits as permit_service
from walnutport.service import policies as host_policies
from walnutport.service.requests import attempt
from walnutport.service.requests import calls

__all__ = ['SuspectGuard']

# A request that was in flight at a death waits for its turn this long; a
# fresh one is refused at once.
LONGEST_WAIT_S = 2.0
TURN_S = 0.05
FIRST_RUN_TURN_S = 0.005
# Copies of a crashing request on several hosts end several targets at about
# the same time. Their hosts learn of each other's deaths before a re-run.
SETTLE_S = 0.05
# A copy waits this long for the first run of its content. It must not cost
# the deadline of an innocent copy whose first run takes long.
FIRST_RUN_WAIT_S = 1.0
FIRST_RUN_DEADLINE_SHARE = 0.25


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
        self._first_runs = first_runs.FirstRunLimiter()

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
        settle = True
        while True:
            state = self.state(call)
            if state is interfaces.SuspicionState.QUARANTINED:
                return _quarantined()
            if state is interfaces.SuspicionState.CLEAR or call.permit_id:
                return call
            if self._permits is None:
                return call
            if settle:
                settle = False
                await task.deferLater(self._reactor, SETTLE_S)
                continue
            entered = await self._acquire(call, self._permits)
            if isinstance(entered, calls.Call):
                return entered
            now = self._clock.monotonic()
            if not wait or now + TURN_S >= give_up_at:
                return entered
            await task.deferLater(self._reactor, TURN_S)

    async def begin(
        self, call: calls.Call, stage: str
    ) -> calls.Call | attempt.StageFailure:
        """Return the call once an attempt of a stage may start.

        Every begin that returns a call needs an ``end``.
        """
        key = (call.digest(), stage)
        now = self._clock.monotonic()
        share_s = (call.deadline - now) * FIRST_RUN_DEADLINE_SHARE
        wait_until = now + min(FIRST_RUN_WAIT_S, share_s)
        while True:
            entered = await self.enter(call, wait=True)
            if isinstance(entered, attempt.StageFailure):
                return entered
            if (
                entered.permit_id
                or self._permits is None
                or self._first_runs.may_begin(key)
                or self._clock.monotonic() >= wait_until
            ):
                self._first_runs.begin(key)
                return entered
            await task.deferLater(self._reactor, FIRST_RUN_TURN_S)

    def end(self, call: calls.Call, stage: str, ok: bool) -> None:
        """End an attempt of a stage."""
        self._first_runs.end((call.digest(), stage), ok)

    def leave(self, call: calls.Call, outer: calls.Call) -> None:
        """Release the permit of a call unless ``outer`` holds it already."""
        if self._permits and call.permit_id != outer.permit_id:
            self._permits.release(call.permit_id, call.digest())

    async def _acquire(
        self, call: calls.Call, permits: interfaces.PermitGate
    ) -> calls.Call | attempt.StageFailure:
        asked_at = self._clock.monotonic()
        deadline = min(call.deadline, asked_at + permit_service.MAX_RUN_S)
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
