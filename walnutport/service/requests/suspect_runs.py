"""Limits the runs of requests that may crash targets.

A request whose content was in flight when a target crashed is a suspect and
runs only under a permit. Quarantined content does not run at all.
"""

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

# A request that was in flight when a target crashed waits this long for a
# permit; a new request is refused at once.
MAX_PERMIT_WAIT_S = 2.0
PERMIT_POLL_S = 0.05
FIRST_RUN_POLL_S = 0.005
# Copies of a crashing request on several hosts crash several targets at about
# the same time. This delay lets the hosts exchange reports of these crashes
# before the request runs again.
PERMIT_DELAY_S = 0.05
# A copy waits this long for the first run of its content, but at most for
# this share of its remaining time, so that a harmless copy does not miss its
# deadline when the first run is slow.
MAX_FIRST_RUN_WAIT_S = 1.0
MAX_FIRST_RUN_WAIT_SHARE = 0.25


class SuspectGuard:
    """Checks the suspicion state of a request before each of its attempts.

    :param permits: grants permits to suspects; None lets them run without.
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
        """Return the suspicion state of a request."""
        return self._policies.quarantine.state(
            call.digest(), self._clock.monotonic()
        )

    async def acquire_permit(
        self, call: calls.Call, *, wait: bool
    ) -> calls.Call | attempt.StageFailure:
        """Return the call, with a permit if it needs one, or a failure.

        :param wait: whether to wait for a permit that another run holds. If
            that run succeeds, the content is clear and needs no permit.
        """
        give_up_at = min(
            call.deadline, self._clock.monotonic() + MAX_PERMIT_WAIT_S
        )
        is_first = True
        while True:
            state = self.state(call)
            if state is interfaces.SuspicionState.QUARANTINED:
                return _quarantined()
            if state is interfaces.SuspicionState.CLEAR or call.permit_id:
                return call
            if self._permits is None:
                return call
            if is_first:
                is_first = False
                await task.deferLater(self._reactor, PERMIT_DELAY_S)
                continue
            permitted = await self._acquire(call, self._permits)
            if isinstance(permitted, calls.Call):
                return permitted
            now = self._clock.monotonic()
            if not wait or now + PERMIT_POLL_S >= give_up_at:
                return permitted
            await task.deferLater(self._reactor, PERMIT_POLL_S)

    async def begin_attempt(
        self, call: calls.Call, stage: str
    ) -> calls.Call | attempt.StageFailure:
        """Return the call once an attempt of a stage may start.

        If it returns a call, ``end_attempt`` must follow.
        """
        key = (call.digest(), stage)
        now = self._clock.monotonic()
        max_wait_s = (call.deadline - now) * MAX_FIRST_RUN_WAIT_SHARE
        wait_until = now + min(MAX_FIRST_RUN_WAIT_S, max_wait_s)
        while True:
            permitted = await self.acquire_permit(call, wait=True)
            if isinstance(permitted, attempt.StageFailure):
                return permitted
            if (
                permitted.permit_id
                or self._permits is None
                or self._first_runs.may_begin(key)
                or self._clock.monotonic() >= wait_until
            ):
                self._first_runs.begin(key)
                return permitted
            await task.deferLater(self._reactor, FIRST_RUN_POLL_S)

    def end_attempt(self, call: calls.Call, stage: str, ok: bool) -> None:
        """Record the end of an attempt of a stage."""
        self._first_runs.end((call.digest(), stage), ok)

    def release_permit(self, call: calls.Call, outer_call: calls.Call) -> None:
        """Release the permit of a call unless ``outer_call`` holds it too."""
        if self._permits and call.permit_id != outer_call.permit_id:
            self._permits.release(call.permit_id, call.digest())

    async def _acquire(
        self, call: calls.Call, permits: interfaces.PermitGate
    ) -> calls.Call | attempt.StageFailure:
        now = self._clock.monotonic()
        deadline = min(call.deadline, now + permit_service.MAX_RUN_S)
        digest = call.digest()
        permit = await permits.acquire(digest, deadline)
        if permit.is_error():
            return attempt.StageFailure(
                answers.Reason.SUSPECT_BUSY,
                '',
                retry_after_s=permit.error.retry_after_s,
            )
        if self.state(call) is interfaces.SuspicionState.QUARANTINED:
            # The content was quarantined while the permit was acquired.
            permits.release(permit.ok, digest)
            return _quarantined()
        return dataclasses.replace(
            call, permit_id=permit.ok, deadline=deadline
        )


def _quarantined() -> attempt.StageFailure:
    return attempt.StageFailure(answers.Reason.QUARANTINED, '')
