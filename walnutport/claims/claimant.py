"""Life cycle of the claims of one host, from the request to the end of a run.

=========  ============================================================
Phase      Meaning
=========  ============================================================
pending    appended or about to be; not read back yet
running    read back as the winner and granted to one request
finished   the run ended; the claim stays until its key has expired
releasing  the run will never start; the release was not read back yet
=========  ============================================================

A pending claim outlives the requests that wait for it: it may still win. Then
it is released, or granted to a retry that has arrived in the meantime.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import math

from walnutport.claims import actions
from walnutport.claims import fold
from walnutport.claims import records
from walnutport import exceptions
from walnutport.lifecycle import answers

__all__ = ['Claimant', 'Phase']


_RELEASE_RETRY_S = 0.25


class Phase(enum.StrEnum):
    """Phase of a claim of this host."""

    PENDING = 'pending'
    RUNNING = 'running'
    FINISHED = 'finished'
    RELEASING = 'releasing'


@dataclasses.dataclass(slots=True)
class _OwnClaim:
    """A claim of this host and the requests that wait for it.

    :param resubmit_at: time at which its release is appended again.
    """

    claim: records.Claim
    phase: Phase = Phase.PENDING
    # Requests by waiter id in order of arrival, with the times at which they
    # stop waiting for the claim.
    waiting: dict[int, tuple[actions.ClaimRequest, float]] = dataclasses.field(
        default_factory=dict
    )
    resubmit_at: float = math.inf


class Claimant:
    """Creates, grants and releases the claims of one host process.

    The methods do no I/O; they return the actions that the caller is to
    perform. All times are monotonic seconds unless noted otherwise.

    :param owner: this process.
    :param claims: fold of the claims stream, fed through ``apply``.
    :param timeout_s: longest wait for a claim to be read back in seconds.
    :param new_claim_id: returns a new random id.
    """

    def __init__(
        self,
        owner: records.Owner,
        claims: fold.ClaimFold,
        timeout_s: float,
        new_claim_id: Callable[[], str],
    ) -> None:
        self._owner = owner
        self._fold = claims
        self._timeout_s = timeout_s
        self._new_claim_id = new_claim_id
        self._own_by_claim: dict[str, _OwnClaim] = {}
        self._unsettled_by_claim: dict[str, _OwnClaim] = {}
        self._pending_by_identity: dict[bytes, _OwnClaim] = {}
        self._claim_by_waiter: dict[int, str] = {}
        self._reject_issued_before_s = -math.inf
        self._pruned_s = -math.inf
        self.synced = False
        self.log_available = False

    @property
    def unsettled(self) -> int:
        """Return the number of claims that are pending or being released."""
        return len(self._unsettled_by_claim)

    def phase(self, claim_id: str) -> Phase | None:
        """Return the phase of a claim of this host, or None if unknown."""
        own = self._own_by_claim.get(claim_id)
        return own.phase if own else None

    def is_wanted(self, item: records.Item) -> bool:
        """Return whether an item that is not appended yet is still needed."""
        own = self._own_by_claim.get(item.claim_id)
        if own is None:
            return False
        if isinstance(item, records.Release):
            return own.phase is Phase.RELEASING
        return bool(own.waiting)

    def records_skipped(self, now: float) -> list[actions.Action]:
        """Release the pending claims after records expired unread.

        An earlier claim of the same identity may be in those records.
        """
        steps: list[actions.Action] = []
        for own in list(self._pending_by_identity.values()):
            steps += self._refuse_all(
                self._end_pending(own), answers.Reason.CLAIM_UNAVAILABLE
            )
            steps.append(self._start_release(own, now))
        return steps

    def reject_keys_before(self, newest_lost_s: float) -> None:
        """Refuse keys whose claims may be in records that expired unread.

        :param newest_lost_s: latest log time of such a record in Unix seconds.
        """
        # A host accepts keys issued up to one skew ahead of its clock, which
        # itself may be one skew ahead of the log's clock.
        reject_before_s = newest_lost_s + 2 * self._fold.skew_s
        self._reject_issued_before_s = max(
            self._reject_issued_before_s, reject_before_s
        )

    def request_claim(
        self, request: actions.ClaimRequest, now: float
    ) -> list[actions.Action]:
        """Handle a request: join a known run, refuse it, or claim a run."""
        waiter_id = request.waiter_id
        holder = self._fold.holder(request.identity)
        if holder is not None:
            return [self._answer_from_holder(request, holder)]
        if now >= request.deadline:
            return [actions.Refuse(waiter_id, answers.Reason.DEADLINE_PAST)]
        if request.issued_s < max(
            self._reject_issued_before_s, self._fold.oldest_issue_s
        ):
            return [actions.Refuse(waiter_id, answers.Reason.KEY_EXPIRED)]
        if not (self.synced and self.log_available):
            return [
                actions.Refuse(waiter_id, answers.Reason.CLAIM_UNAVAILABLE)
            ]
        return self._claim(request, now)

    def append_finished(
        self,
        item: records.Item,
        error: exceptions.LogServiceError | None,
        now: float,
    ) -> list[actions.Action]:
        """Handle the outcome of an append.

        ``LogUnavailable`` means that the item was not appended. After any
        other outcome the item may be in the stream, so what is read back
        decides.
        """
        own = self._unsettled_by_claim.get(item.claim_id)
        if own is None or not isinstance(error, exceptions.LogUnavailable):
            return []
        if isinstance(item, records.Release):
            own.resubmit_at = now + _RELEASE_RETRY_S
            return []
        if own.phase is not Phase.PENDING:
            return []
        return self._refuse_all(
            self._drop_claim(own), answers.Reason.CLAIM_UNAVAILABLE
        )

    def apply(
        self, batch: records.Batch, log_time_s: float, now: float
    ) -> list[actions.Action]:
        """Apply the next record of the claims stream."""
        steps: list[actions.Action] = []
        for decision in self._fold.apply(batch, log_time_s):
            if decision.outcome is fold.ItemOutcome.RELEASED:
                steps.append(actions.ClaimReleased(decision.item.claim_id))
            elif decision.owner == self._owner:
                steps += self._apply_own_claim(decision, now)
            elif decision.outcome is fold.ItemOutcome.WON:
                steps += self._join_waiting(decision)
        if batch.owner == self._owner:
            self._remove_released(batch)
        return steps

    def advance(self, now: float) -> list[actions.Action]:
        """Refuse requests that timed out and repeat overdue releases."""
        steps: list[actions.Action] = []
        for own in list(self._unsettled_by_claim.values()):
            if own.phase is Phase.PENDING:
                steps += self._refuse_timed_out(own, now)
            elif now >= own.resubmit_at and self.log_available:
                steps.append(self._append_release(own, now))
        self._prune()
        return steps

    def cancel_request(self, waiter_id: int) -> None:
        """Remove a request whose caller has disconnected."""
        claim_id = self._claim_by_waiter.pop(waiter_id, None)
        if claim_id is not None:
            self._own_by_claim[claim_id].waiting.pop(waiter_id, None)

    def finish_run(
        self, claim_id: str, ran: bool, now: float
    ) -> list[actions.Action]:
        """End a granted run, and release its claim if it never started.

        :param ran: whether any byte was sent to a target.
        """
        own = self._own_by_claim.get(claim_id)
        if own is None or own.phase is not Phase.RUNNING:
            return []
        if ran:
            own.phase = Phase.FINISHED
            return []
        return [self._start_release(own, now)]

    def _answer_from_holder(
        self, request: actions.ClaimRequest, holder: fold.Holder
    ) -> actions.Action:
        if holder.body_digest != request.body_digest:
            return actions.Refuse(request.waiter_id, answers.Reason.KEY_REUSED)
        if holder.owner != self._owner:
            return actions.QueryHolder(request.waiter_id, holder)
        if self.phase(holder.claim_id) in (Phase.RUNNING, Phase.FINISHED):
            return actions.Join(request.waiter_id, holder.claim_id)
        return actions.Refuse(
            request.waiter_id, answers.Reason.CLAIM_UNAVAILABLE
        )

    def _claim(
        self, request: actions.ClaimRequest, now: float
    ) -> list[actions.Action]:
        own = self._pending_by_identity.get(request.identity)
        if own is None:
            own = self._create_claim(request)
            steps: list[actions.Action] = [actions.Append(own.claim)]
        elif own.claim.body_digest != request.body_digest:
            return [
                actions.Refuse(request.waiter_id, answers.Reason.KEY_REUSED)
            ]
        else:
            steps = []
        timeout_at = min(now + self._timeout_s, request.deadline)
        own.waiting[request.waiter_id] = (request, timeout_at)
        self._claim_by_waiter[request.waiter_id] = own.claim.claim_id
        return steps

    def _create_claim(self, request: actions.ClaimRequest) -> _OwnClaim:
        claim = records.Claim(
            self._new_claim_id(),
            request.identity,
            request.body_digest,
            request.issued_s,
        )
        own = _OwnClaim(claim)
        self._own_by_claim[claim.claim_id] = own
        self._unsettled_by_claim[claim.claim_id] = own
        self._pending_by_identity[claim.identity] = own
        return own

    def _apply_own_claim(
        self, decision: fold.ClaimDecision, now: float
    ) -> list[actions.Action]:
        own = self._unsettled_by_claim.get(decision.item.claim_id)
        if own is None or own.phase is not Phase.PENDING:
            # The append was reported as failed, but the claim is in the log.
            return self._release_unexpected(decision, now)
        if decision.outcome is fold.ItemOutcome.WON:
            return self._grant_run(own, now)
        waiting = self._drop_claim(own)
        if decision.outcome is fold.ItemOutcome.EXPIRED:
            return self._refuse_all(waiting, answers.Reason.KEY_EXPIRED)
        assert decision.holder is not None
        return [
            self._answer_from_holder(request, decision.holder)
            for request in waiting
        ]

    def _join_waiting(
        self, decision: fold.ClaimDecision
    ) -> list[actions.Action]:
        """Answer the waiting requests after another host's claim has won.

        The own claim stays pending: it wins if the other one is released
        before the own one is read back.
        """
        own = self._pending_by_identity.get(decision.item.identity)
        if own is None or decision.holder is None:
            return []
        waiting = self._take_waiting(own)
        return [
            self._answer_from_holder(request, decision.holder)
            for request in waiting
        ]

    def _grant_run(self, own: _OwnClaim, now: float) -> list[actions.Action]:
        """Grant the run to the first request whose deadline is not past.

        The host may have been paused since the request arrived, so its
        deadline is checked again. A request past its deadline joins the run
        of a later one, as ``not_run`` would no longer be true of its key.
        """
        waiting = self._end_pending(own)
        runner = next((item for item in waiting if now < item.deadline), None)
        if runner is None:
            refused = self._refuse_all(
                waiting, answers.Reason.DEADLINE_EXCEEDED
            )
            return [*refused, self._start_release(own, now)]
        own.phase = Phase.RUNNING
        claim_id = own.claim.claim_id
        return [
            actions.Grant(runner.waiter_id, claim_id),
            *(
                actions.Join(item.waiter_id, claim_id)
                for item in waiting
                if item is not runner
            ),
        ]

    def _release_unexpected(
        self, decision: fold.ClaimDecision, now: float
    ) -> list[actions.Action]:
        """Release a claim that has won but is no longer pending."""
        if decision.outcome is not fold.ItemOutcome.WON:
            return []
        assert isinstance(decision.item, records.Claim)
        own = _OwnClaim(decision.item)
        self._own_by_claim[decision.item.claim_id] = own
        return [self._start_release(own, now)]

    def _start_release(self, own: _OwnClaim, now: float) -> actions.Action:
        own.phase = Phase.RELEASING
        self._unsettled_by_claim[own.claim.claim_id] = own
        return self._append_release(own, now)

    def _append_release(self, own: _OwnClaim, now: float) -> actions.Action:
        own.resubmit_at = now + self._timeout_s
        return actions.Append(
            records.Release(own.claim.claim_id, own.claim.identity)
        )

    def _remove_released(self, batch: records.Batch) -> None:
        for item in batch.items:
            if isinstance(item, records.Release):
                self._unsettled_by_claim.pop(item.claim_id, None)
                self._own_by_claim.pop(item.claim_id, None)

    def _refuse_timed_out(
        self, own: _OwnClaim, now: float
    ) -> list[actions.Action]:
        steps: list[actions.Action] = []
        for request, timeout_at in list(own.waiting.values()):
            if now >= timeout_at:
                self.cancel_request(request.waiter_id)
                reason = answers.Reason.CLAIM_UNAVAILABLE
                if now >= request.deadline:
                    reason = answers.Reason.DEADLINE_EXCEEDED
                steps.append(actions.Refuse(request.waiter_id, reason))
        return steps

    def _refuse_all(
        self, waiting: Iterable[actions.ClaimRequest], reason: answers.Reason
    ) -> list[actions.Action]:
        return [
            actions.Refuse(request.waiter_id, reason) for request in waiting
        ]

    def _end_pending(self, own: _OwnClaim) -> list[actions.ClaimRequest]:
        """End the pending phase and return the waiting requests."""
        self._unsettled_by_claim.pop(own.claim.claim_id, None)
        if self._pending_by_identity.get(own.claim.identity) is own:
            del self._pending_by_identity[own.claim.identity]
        return self._take_waiting(own)

    def _take_waiting(self, own: _OwnClaim) -> list[actions.ClaimRequest]:
        waiting = [request for request, _ in own.waiting.values()]
        for request in waiting:
            self._claim_by_waiter.pop(request.waiter_id, None)
        # clear() frees the hash table of the dict; removing each key does not.
        own.waiting.clear()
        return waiting

    def _drop_claim(self, own: _OwnClaim) -> list[actions.ClaimRequest]:
        waiting = self._end_pending(own)
        del self._own_by_claim[own.claim.claim_id]
        return waiting

    def _prune(self) -> None:
        """Drop claims whose keys are so old that no claim on them can win."""
        oldest_s = self._fold.oldest_issue_s
        if oldest_s < self._pruned_s + 1.0:
            return
        self._pruned_s = oldest_s
        for own in list(self._own_by_claim.values()):
            if own.claim.issued_s >= oldest_s:
                continue
            if own.phase is Phase.FINISHED:
                del self._own_by_claim[own.claim.claim_id]
            elif own.phase is not Phase.RUNNING and not own.waiting:
                self._drop_claim(own)
