"""Model of the log, of hosts with a claimant, and a naive reference."""

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
RULES = keys.KeyValidator(MEMORY_S, SKEW_S)


@dataclasses.dataclass
class Submission:
    """A request as its caller sees it."""

    number: int
    host: 'HostModel'
    identity: bytes
    body: bytes
    issued_s: int
    deadline: float
    outcome: answers.Outcome | None = None
    source: str = ''
    sent: bool = False
    asked: bool = False


@dataclasses.dataclass
class Appending:
    """A batch on its way to the log; it may be taken once at any time."""

    host: 'HostModel'
    batch: records.Batch
    taken: bool = False
    answered: bool = False


@dataclasses.dataclass
class World:
    """The log, true time and everything that was run or said."""

    now: float = 1_000.0
    log_down: bool = False
    log_offset_s: float = 0.0
    body_by_claim: dict[str, bytes] = dataclasses.field(default_factory=dict)
    log: list[tuple[float, records.Batch]] = dataclasses.field(
        default_factory=list
    )
    first: int = 0
    appending: list[Appending] = dataclasses.field(default_factory=list)
    runs: list[bytes] = dataclasses.field(default_factory=list)
    answer_by_claim: dict[str, answers.Outcome] = dataclasses.field(
        default_factory=dict
    )
    submissions: list[Submission] = dataclasses.field(default_factory=list)
    claim_ids: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )

    def take(self, appending: Appending) -> None:
        appending.taken = True
        time_s = self.now + self.log_offset_s
        self.log.append((time_s, appending.batch))

    def holders(self, end: int) -> dict[bytes, str]:
        """Decide by the rule alone, over the whole log, forgetting nothing."""
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
    """One host process: does what the shell does, one event at a time."""

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
        self.gap = False
        self.position = 0
        self.outbox: list[records.Item] = []
        self.granted: dict[str, Submission] = {}
        self.running: dict[str, Submission] = {}

    def submit(self, submission: Submission, key: str) -> None:
        wall = self.world.now + self.offset_s
        checked = RULES.validate(key, wall)
        if checked.is_error():
            self._say(submission, refused(checked.error))
            return
        self._request(submission)

    def _request(self, submission: Submission) -> None:
        submission.source = ''
        submission.asked = False
        self.claimant.log_available = not self.world.log_down
        request = actions.Request(
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
                EVENTS['freed'] += 1
                self._restart(step.claim_id)
                continue
            submission = self.world.submissions[step.waiter_id]
            assert submission.outcome is None
            if isinstance(step, actions.Grant):
                self._grant(submission, step.claim_id)
            elif isinstance(step, actions.Refuse):
                self._refuse(submission, step.reason)
            elif isinstance(step, actions.Join):
                EVENTS['joined'] += 1
                self._watch(submission, step.claim_id)
                self._tell_joined(step.claim_id)
            else:
                EVENTS['asked'] += 1
                submission.asked = True
                self._watch(submission, step.holder.claim_id)

    def _watch(self, submission: Submission, claim_id: str) -> None:
        """Guards against the answer of another body."""
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
        if not self.gap:
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
                # "Not run" of a known claim is true only of a released one.
                phase = self.claimant.phase(held.claim_id)
                assert held.owner == self.owner
                assert phase is claimant.Phase.RELEASING
        self._say(submission, refused(reason))

    def _say(self, submission: Submission, outcome: answers.Outcome) -> None:
        submission.outcome = outcome
        if outcome is answers.Outcome.NOT_RUN:
            assert not submission.sent

    def _restart(self, claim_id: str) -> None:
        for submission in self._waiting_for(claim_id):
            self._request(submission)

    def _waiting_for(self, claim_id: str) -> list[Submission]:
        return [
            submission
            for submission in self.world.submissions
            if submission.host is self
            and submission.source == claim_id
            and submission.outcome is None
        ]

    def _tell_joined(self, claim_id: str) -> None:
        outcome = self.world.answer_by_claim.get(claim_id)
        if outcome is not None:
            for submission in self._waiting_for(claim_id):
                self._say(submission, outcome)

    def flush(self) -> None:
        """Send what is still wanted as one batch."""
        items, self.outbox = self.outbox, []
        wanted = [item for item in items if self.claimant.is_wanted(item)]
        if wanted:
            batch = records.decode_batch(
                records.encode_batch(records.Batch(self.owner, tuple(wanted)))
            )
            self.world.appending.append(Appending(self, batch))
        for item in items:
            if item not in wanted:
                self.answered(item, exceptions.LogUnavailable('withdrawn'))

    def answered(self, item: records.Item, error) -> None:
        self.perform(
            self.claimant.append_finished(item, error, self.world.now)
        )

    def read(self, count: int) -> None:
        """Read records as the follower of the stream does."""
        world = self.world
        if self.position < world.first:
            kept = world.log[world.first :]
            if self.claimant.synced:
                EVENTS['gap'] += 1
                self.gap = True
                wall = world.now + self.offset_s
                self.claimant.reject_keys_before(
                    kept[0][0] if kept else wall + SKEW_S
                )
                self.perform(self.claimant.records_skipped(world.now))
            self.position = world.first
        end = min(len(world.log), self.position + count)
        while self.position < end:
            time_s, batch = world.log[self.position]
            steps = self.claimant.apply(batch, time_s, world.now)
            self.perform(steps)
            self.position += 1
        if self.position == len(world.log):
            self.claimant.synced = True

    def send(self, claim_id: str) -> None:
        """Start a granted run, however late: a pause may come before it."""
        submission = self.granted.pop(claim_id)
        EVENTS['sent'] += 1
        submission.sent = True
        self.running[claim_id] = submission
        self.world.runs.append(submission.identity)

    def finish(self, claim_id: str) -> None:
        """End a run, or a granted run of which no byte was sent."""
        ran = claim_id in self.running
        (self.running if ran else self.granted).pop(claim_id)
        outcome = answers.Outcome.COMPLETE if ran else answers.Outcome.NOT_RUN
        self.world.answer_by_claim[claim_id] = outcome
        steps = self.claimant.finish_run(claim_id, ran, self.world.now)
        self._tell_joined(claim_id)
        self.perform(steps)

    def advance(self) -> None:
        self.claimant.log_available = not self.world.log_down
        self.perform(self.claimant.advance(self.world.now))


def refused(reason: answers.Reason) -> answers.Outcome:
    """Return the outcome that the shell gives to a reason."""
    if reason is answers.Reason.KEY_EXPIRED:
        return answers.Outcome.UNKNOWN
    return answers.Outcome.NOT_RUN
