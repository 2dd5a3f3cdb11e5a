"""Model of the log and of hosts with a claimant, and a reference fold."""

import collections
import dataclasses
import itertools

from walnutport.claims import actions
from walnutport.claims import claimant
from walnutport.claims import fold
from walnutport.claims import keys
from walnutport.claims import records
from walnutport import exceptions
from walnutport.lifecycle import answers

MEMORY_S = 60.0
SKEW_S = 3.0
RETENTION_S = 120.0
TIMEOUT_S = 1.5
EVENTS: collections.Counter[str] = collections.Counter()
VALIDATOR = keys.KeyValidator(MEMORY_S, SKEW_S)


@dataclasses.dataclass
class Submission:
    """A request and what its caller knows of it."""

    number: int
    host: 'HostModel'
    identity: bytes
    body: bytes
    issued_s: int
    deadline: float
    outcome: answers.Outcome | None = None
    source: str = ''
    sent: bool = False
    queried_holder: bool = False


@dataclasses.dataclass
class PendingAppend:
    """A batch sent to the log, which may store it once at any later time.

    :param resolved: whether the log has stored or dropped it.
    :param answered: whether the host knows the outcome.
    """

    host: 'HostModel'
    batch: records.Batch
    resolved: bool = False
    answered: bool = False


@dataclasses.dataclass
class World:
    """The log, the true time, and all runs and answers so far."""

    now: float = 1_000.0
    log_unavailable: bool = False
    log_offset_s: float = 0.0
    body_by_claim: dict[str, bytes] = dataclasses.field(default_factory=dict)
    log: list[tuple[float, records.Batch]] = dataclasses.field(
        default_factory=list
    )
    first_offset: int = 0
    appending: list[PendingAppend] = dataclasses.field(default_factory=list)
    runs: list[bytes] = dataclasses.field(default_factory=list)
    answer_by_claim: dict[str, answers.Outcome] = dataclasses.field(
        default_factory=dict
    )
    submissions: list[Submission] = dataclasses.field(default_factory=list)
    claim_ids: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )

    def store(self, appending: PendingAppend) -> None:
        appending.resolved = True
        time_s = self.now + self.log_offset_s
        self.log.append((time_s, appending.batch))

    def holders(self, end: int) -> dict[bytes, str]:
        """Return the claim of each identity, computed from the whole log."""
        held: dict[bytes, tuple[str, records.Owner]] = {}
        latest_s = 0.0
        for time_s, batch in self.log[:end]:
            latest_s = max(latest_s, time_s)
            for item in batch.items:
                if isinstance(item, records.Release):
                    if held.get(item.identity) == (item.claim_id, batch.owner):
                        del held[item.identity]
                elif item.issued_s >= latest_s - MEMORY_S - SKEW_S:
                    held.setdefault(
                        item.identity, (item.claim_id, batch.owner)
                    )
        return {identity: claim for identity, (claim, _) in held.items()}


class HostModel:
    """One host process; stands in for the service around the claimant."""

    def __init__(
        self, world: World, name: str, incarnation: int, offset_s: float
    ) -> None:
        self.world = world
        self.owner = records.Owner(name, incarnation)
        self.offset_s = offset_s
        self.fold = fold.ClaimFold(MEMORY_S, SKEW_S)
        self.claimant = claimant.Claimant(
            self.owner,
            self.fold,
            TIMEOUT_S,
            lambda: f'c{next(world.claim_ids)}',
        )
        self.alive = True
        self.paused = False
        self.missed_records = False
        self.position = 0
        self.outbox: list[records.Item] = []
        self.granted: dict[str, Submission] = {}
        self.running: dict[str, Submission] = {}

    def submit(self, submission: Submission, key: str) -> None:
        wall = self.world.now + self.offset_s
        checked = VALIDATOR.validate(key, wall)
        if checked.is_error():
            self._set_outcome(submission, outcome_of_refusal(checked.error))
            return
        self._request_claim(submission)

    def _request_claim(self, submission: Submission) -> None:
        submission.source = ''
        submission.queried_holder = False
        self.claimant.log_available = not self.world.log_unavailable
        request = actions.ClaimRequest(
            submission.number,
            submission.identity,
            submission.body,
            submission.issued_s,
            submission.deadline,
        )
        self.perform(self.claimant.request_claim(request, self.world.now))

    def perform(self, steps: list[actions.Action]) -> None:
        for step in steps:
            if isinstance(step, actions.Append):
                self._append(step.item)
                continue
            if isinstance(step, actions.ClaimReleased):
                EVENTS['claim_released'] += 1
                self._claim_again(step.claim_id)
                continue
            submission = self.world.submissions[step.waiter_id]
            assert submission.outcome is None
            if isinstance(step, actions.Grant):
                self._grant(submission, step.claim_id)
            elif isinstance(step, actions.Refuse):
                self._refuse(submission, step.reason)
            elif isinstance(step, actions.Join):
                EVENTS['joined'] += 1
                self._wait_for_answer(submission, step.claim_id)
                self._answer_joined(step.claim_id)
            else:
                EVENTS['holder_queried'] += 1
                submission.queried_holder = True
                self._wait_for_answer(submission, step.holder.claim_id)

    def _wait_for_answer(self, submission: Submission, claim_id: str) -> None:
        """Wait for the answer of a claim, which must be for the same body."""
        assert self.world.body_by_claim[claim_id] == submission.body
        submission.source = claim_id

    def _append(self, item: records.Item) -> None:
        self.outbox.append(item)
        if isinstance(item, records.Claim):
            self.world.body_by_claim[item.claim_id] = item.body_digest
        else:
            done = self.world.answer_by_claim.get(item.claim_id)
            assert done is not answers.Outcome.COMPLETE
            assert item.claim_id not in self.running
            never_ran = item.claim_id not in self.world.answer_by_claim
            EVENTS['late_release'] += never_ran

    def _grant(self, submission: Submission, claim_id: str) -> None:
        assert self.world.now < submission.deadline
        if not self.missed_records:
            decided = self.world.holders(self.position + 1)
            assert decided.get(submission.identity) == claim_id
        EVENTS['granted'] += 1
        submission.source = claim_id
        self.granted[claim_id] = submission

    def _refuse(self, submission: Submission, reason: answers.Reason) -> None:
        EVENTS[reason.value] += 1
        if reason not in (
            answers.Reason.KEY_REUSED,
            answers.Reason.KEY_EXPIRED,
        ):
            held = self.fold.holder(submission.identity)
            if held is not None:
                # ``not_run`` is true of a known claim only if it is being
                # released.
                phase = self.claimant.phase(held.claim_id)
                assert held.owner == self.owner
                assert phase is claimant.Phase.RELEASING
        self._set_outcome(submission, outcome_of_refusal(reason))

    def _set_outcome(
        self, submission: Submission, outcome: answers.Outcome
    ) -> None:
        submission.outcome = outcome
        if outcome is answers.Outcome.NOT_RUN:
            assert not submission.sent

    def _claim_again(self, claim_id: str) -> None:
        for submission in self._waiting_for(claim_id):
            self._request_claim(submission)

    def _waiting_for(self, claim_id: str) -> list[Submission]:
        return [
            submission
            for submission in self.world.submissions
            if submission.host is self
            and submission.source == claim_id
            and submission.outcome is None
        ]

    def _answer_joined(self, claim_id: str) -> None:
        outcome = self.world.answer_by_claim.get(claim_id)
        if outcome is not None:
            for submission in self._waiting_for(claim_id):
                self._set_outcome(submission, outcome)

    def flush(self) -> None:
        """Append the items that are still needed as one batch."""
        items, self.outbox = self.outbox, []
        needed = [item for item in items if self.claimant.is_wanted(item)]
        if needed:
            batch = records.decode_batch(
                records.encode_batch(records.Batch(self.owner, tuple(needed)))
            )
            self.world.appending.append(PendingAppend(self, batch))
        for item in items:
            if item not in needed:
                self.append_finished(
                    item, exceptions.LogUnavailable('withdrawn')
                )

    def append_finished(self, item: records.Item, error) -> None:
        self.perform(
            self.claimant.append_finished(item, error, self.world.now)
        )

    def read(self, count: int) -> None:
        """Read up to a count of records, as the stream follower does."""
        world = self.world
        if self.position < world.first_offset:
            kept = world.log[world.first_offset :]
            if self.claimant.synced:
                EVENTS['gap'] += 1
                self.missed_records = True
                wall = world.now + self.offset_s
                self.claimant.reject_keys_before(
                    kept[0][0] if kept else wall + SKEW_S
                )
                self.perform(self.claimant.records_skipped(world.now))
            self.position = world.first_offset
        end = min(len(world.log), self.position + count)
        while self.position < end:
            time_s, batch = world.log[self.position]
            steps = self.claimant.apply(batch, time_s, world.now)
            self.perform(steps)
            self.position += 1
        if self.position == len(world.log):
            self.claimant.synced = True

    def send(self, claim_id: str) -> None:
        """Start a granted run, perhaps long after the grant (host pause)."""
        submission = self.granted.pop(claim_id)
        EVENTS['sent'] += 1
        submission.sent = True
        self.running[claim_id] = submission
        self.world.runs.append(submission.identity)

    def finish(self, claim_id: str) -> None:
        """End a run, or a granted run that was never sent."""
        ran = claim_id in self.running
        (self.running if ran else self.granted).pop(claim_id)
        outcome = answers.Outcome.COMPLETE if ran else answers.Outcome.NOT_RUN
        self.world.answer_by_claim[claim_id] = outcome
        steps = self.claimant.finish_run(claim_id, ran, self.world.now)
        self._answer_joined(claim_id)
        self.perform(steps)

    def advance(self) -> None:
        self.claimant.log_available = not self.world.log_unavailable
        self.perform(self.claimant.advance(self.world.now))


def outcome_of_refusal(reason: answers.Reason) -> answers.Outcome:
    """Return the outcome of an answer that refuses for a reason."""
    if reason is answers.Reason.KEY_EXPIRED:
        return answers.Outcome.UNKNOWN
    return answers.Outcome.NOT_RUN
