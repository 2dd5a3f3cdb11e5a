"""Grants runs of requests that must run at most once."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import logging
import secrets

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet import defer

from walnutport.claims import actions
from walnutport.claims import claimant
from walnutport.claims import fold
from walnutport.claims import keys
from walnutport.claims import records
from walnutport.claims import store
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.peer import messages
from walnutport.service.fleet import answer_exchange
from walnutport.service.records import log_writer

__all__ = ['ClaimService']

LOG = logging.getLogger(__name__)
PREFIX = 'claims:'

_RETRY_AFTER_S = 1.0
HTTP_STATUS_BY_REASON = {
    answers.Reason.KEY_INVALID: 400,
    answers.Reason.KEY_EXPIRED: 410,
    answers.Reason.KEY_REUSED: 422,
}

ClaimOutcome = Result[interfaces.ClaimGrant, interfaces.ClaimRefusal]


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A request that waits for a grant or for the answer of a run.

    :param awaited_claim_id: claim whose answer it waits for; empty if none.
    """

    request: actions.ClaimRequest
    done: defer.Deferred[ClaimOutcome]
    awaited_claim_id: str = ''
    fetching: defer.Deferred[None] | None = None


class ClaimService:
    """Implements ``interfaces.ClaimGate`` over the stream ``claims``.

    :param owner: identity of this process.
    :param store_bytes: limit of the stored answers in bytes.
    :param is_log_available: returns whether the log can be read now.
    :param bus: sends messages to other hosts; without it, a request that
        another host claimed gets the outcome ``unknown`` immediately.
    """

    stream = records.CLAIMS_STREAM

    def __init__(
        self,
        owner: records.Owner,
        settings: config.PlatformSettings,
        store_bytes: int,
        writer: log_writer.LogWriter,
        clock: interfaces.Clock,
        reactor,
        is_log_available: Callable[[], bool],
        bus: interfaces.PeerBus | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._is_log_available = is_log_available
        self._key_validator = keys.KeyValidator(
            settings.claim_memory_s, settings.clock_skew_s
        )
        self.fold = fold.ClaimFold(
            settings.claim_memory_s, settings.clock_skew_s
        )
        self._claimant = claimant.Claimant(
            owner,
            self.fold,
            settings.claim_timeout_s,
            lambda: secrets.token_hex(8),
        )
        self.store = store.AnswerStore(store_bytes)
        self._batcher: log_writer.Batcher[records.Item] = log_writer.Batcher(
            writer,
            self.stream,
            lambda items: _encode_items(owner, items),
            clock,
            reactor,
            is_wanted=self._claimant.is_wanted,
        )
        self._answer_exchange = (
            answer_exchange.AnswerExchange(bus, self._lookup, clock, reactor)
            if bus is not None
            else None
        )
        self._waiter_ids = itertools.count(1)
        self._waiters_by_id: dict[int, _Waiter] = {}
        self._waiter_ids_by_claim: dict[str, set[int]] = {}
        self._offset = 0
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def unsettled(self) -> int:
        """Return the number of claims that are pending or being released."""
        return self._claimant.unsettled

    def claim(
        self,
        identity: interfaces.ClaimIdentity,
        body_digest: bytes,
        deadline: float,
    ) -> defer.Deferred[ClaimOutcome]:
        """Claim a run; see ``interfaces.ClaimGate``.

        Cancelling the Deferred cancels the request.
        """
        checked = self._key_validator.validate(
            identity.key, self._clock.wall()
        )
        if checked.is_error():
            self.counts[checked.error.value] += 1
            return defer.succeed(_refusal(_refusal_answer(checked.error)))
        waiter_id = next(self._waiter_ids)
        request = actions.ClaimRequest(
            waiter_id,
            keys.identity_digest(
                identity.member_id, identity.entry_id, identity.key
            ),
            body_digest,
            checked.ok,
            deadline,
        )
        waiter = _Waiter(
            request, defer.Deferred(lambda _: self._cancel(waiter_id))
        )
        self._waiters_by_id[waiter_id] = waiter
        self._request_claim(request)
        return waiter.done

    def finish_run(self, claim_id: str, answer: answers.Answer) -> None:
        """End a granted run; see ``interfaces.ClaimGate``."""
        ran = answer.outcome is not answers.Outcome.NOT_RUN
        if ran:
            self.store.put(claim_id, answer)
        steps = self._claimant.finish_run(
            claim_id, ran, self._clock.monotonic()
        )
        for waiter_id in self._take_waiters(claim_id):
            self._resolve(waiter_id, _refusal(answer))
        self._execute(steps)
        if self._answer_exchange is not None:
            self._answer_exchange.send_answer(claim_id)

    def start_offset(self) -> int:
        """Return the offset to read from next."""
        return self._offset

    def apply(self, page: interfaces.StreamPage, now: float) -> None:
        """Apply a page of the stream of claims."""
        if page.expired:
            self._handle_gap(page, now)
        self._claimant.log_available = True
        for record in page.records:
            self._apply_record(record, now)
        self._offset = page.next_offset
        if page.next_offset >= page.end_offset and not self._claimant.synced:
            self._claimant.synced = True
            LOG.info(
                '%s caught up with the log at offset %d', PREFIX, self._offset
            )

    def advance(self) -> None:
        """Apply the timeouts of claims and the deadlines of requests."""
        now = self._clock.monotonic()
        self._claimant.log_available = self._is_log_available()
        self._execute(self._claimant.advance(now))
        for waiter_id, waiter in list(self._waiters_by_id.items()):
            if waiter.awaited_claim_id and now >= waiter.request.deadline:
                self._resolve(
                    waiter_id,
                    _refusal(
                        _unknown_answer(answers.Reason.DEADLINE_EXCEEDED)
                    ),
                )

    def _request_claim(self, request: actions.ClaimRequest) -> None:
        self._claimant.log_available = self._is_log_available()
        self._execute(
            self._claimant.request_claim(request, self._clock.monotonic())
        )

    def _apply_record(self, record: interfaces.LogRecord, now: float) -> None:
        try:
            batch = records.decode_batch(record.payload)
        except exceptions.CodecError as error:
            self.counts['malformed'] += 1
            LOG.warning('%s record %d: %s', PREFIX, record.offset, error)
            return
        log_time_s = record.time_ms / 1000
        self._execute(self._claimant.apply(batch, log_time_s, now))

    def _handle_gap(self, page: interfaces.StreamPage, now: float) -> None:
        """Reject old keys if records expired before they were read.

        Records that expired before the start are ignored: they are older
        than the retention time and so hold no key that is still accepted.
        """
        if not self._claimant.synced:
            return
        newest_lost_s = self._clock.wall() + self._settings.clock_skew_s
        if page.records:
            newest_lost_s = page.records[0].time_ms / 1000
        self._claimant.reject_keys_before(newest_lost_s)
        self._execute(self._claimant.records_skipped(now))
        LOG.error(
            '%s records from offset %d onward expired unread; '
            'keys issued before now are refused',
            PREFIX,
            self._offset,
        )

    def _execute(self, steps: Sequence[actions.Action]) -> None:
        for step in steps:
            match step:
                case actions.Append(item):
                    self._append(item)
                case actions.Grant(waiter_id, claim_id):
                    self._grant(waiter_id, claim_id)
                case actions.Join(waiter_id, claim_id):
                    self._join(waiter_id, claim_id)
                case actions.QueryHolder(waiter_id, holder):
                    self._query_holder(waiter_id, holder)
                case actions.Refuse(waiter_id, reason):
                    self.counts[reason.value] += 1
                    self._resolve(waiter_id, _refusal(_refusal_answer(reason)))
                case actions.ClaimReleased(claim_id):
                    self._claim_again(claim_id)

    def _append(self, item: records.Item) -> None:
        def on_result(result: log_writer.AppendResult) -> None:
            error = result.error if result.is_error() else None
            now = self._clock.monotonic()
            self._execute(self._claimant.append_finished(item, error, now))

        self._batcher.add(item).addCallback(on_result)

    def _grant(self, waiter_id: int, claim_id: str) -> None:
        if waiter_id not in self._waiters_by_id:
            now = self._clock.monotonic()
            self._execute(self._claimant.finish_run(claim_id, False, now))
            return
        self.counts['granted'] += 1
        self._resolve(waiter_id, Ok(interfaces.ClaimGrant(claim_id)))

    def _join(self, waiter_id: int, claim_id: str) -> None:
        waiter = self._waiters_by_id.get(waiter_id)
        if waiter is None:
            return
        self.counts['joined'] += 1
        state, answer = self._lookup(claim_id)
        if answer is not None:
            self._resolve(waiter_id, _refusal(answer))
        elif state is messages.AnswerState.RUNNING:
            self._wait_for(waiter, claim_id)
        else:
            unknown = _unknown_answer(answers.Reason.CLAIMED_ELSEWHERE)
            self._resolve(waiter_id, _refusal(unknown))

    def _query_holder(self, waiter_id: int, holder: fold.Holder) -> None:
        waiter = self._waiters_by_id.get(waiter_id)
        if waiter is None:
            return
        self.counts['claimed_elsewhere'] += 1
        self._wait_for(waiter, holder.claim_id)
        waiter.fetching = defer.Deferred.fromCoroutine(
            self._fetch_answer(waiter_id, holder, waiter.request.deadline)
        )
        waiter.fetching.addErrback(
            lambda failure: failure.trap(defer.CancelledError)
        )

    async def _fetch_answer(
        self, waiter_id: int, holder: fold.Holder, deadline: float
    ) -> None:
        answer = None
        if self._answer_exchange is not None:
            answer = await self._answer_exchange.fetch_answer(
                holder.owner.host_id, holder.claim_id, deadline
            )
        unknown = _unknown_answer(answers.Reason.CLAIMED_ELSEWHERE)
        self._waiters_by_id[waiter_id].fetching = None
        self._resolve(waiter_id, _refusal(answer or unknown))

    def _claim_again(self, claim_id: str) -> None:
        """Claim again for the requests that wait for a released claim."""
        for waiter_id in self._take_waiters(claim_id):
            waiter = self._waiters_by_id[waiter_id]
            fetching, waiter.fetching = waiter.fetching, None
            if fetching is not None:
                fetching.cancel()
            self._request_claim(waiter.request)

    def _lookup(
        self, claim_id: str
    ) -> tuple[messages.AnswerState, answers.Answer | None]:
        answer = self.store.get(claim_id)
        if answer is not None:
            return messages.AnswerState.FINISHED, answer
        phase = self._claimant.phase(claim_id)
        if phase is None or phase is claimant.Phase.FINISHED:
            return messages.AnswerState.UNKNOWN, None
        return messages.AnswerState.RUNNING, None

    def _wait_for(self, waiter: _Waiter, claim_id: str) -> None:
        """Make a request wait for the end of a claimed run."""
        waiter.awaited_claim_id = claim_id
        self._waiter_ids_by_claim.setdefault(claim_id, set()).add(
            waiter.request.waiter_id
        )

    def _take_waiters(self, claim_id: str) -> list[int]:
        """Return the requests that waited for a claim, oldest first."""
        waiter_ids = sorted(self._waiter_ids_by_claim.pop(claim_id, ()))
        for waiter_id in waiter_ids:
            self._waiters_by_id[waiter_id].awaited_claim_id = ''
        return waiter_ids

    def _remove(self, waiter_id: int) -> _Waiter | None:
        waiter = self._waiters_by_id.pop(waiter_id, None)
        if waiter is not None and waiter.awaited_claim_id:
            waiter_ids = self._waiter_ids_by_claim[waiter.awaited_claim_id]
            waiter_ids.discard(waiter_id)
            if not waiter_ids:
                del self._waiter_ids_by_claim[waiter.awaited_claim_id]
        return waiter

    def _cancel(self, waiter_id: int) -> None:
        waiter = self._remove(waiter_id)
        self._claimant.cancel_request(waiter_id)
        if waiter is not None and waiter.fetching is not None:
            waiter.fetching.cancel()

    def _resolve(self, waiter_id: int, outcome: ClaimOutcome) -> None:
        waiter = self._remove(waiter_id)
        if waiter is None:
            return
        fetching, waiter.fetching = waiter.fetching, None
        waiter.done.callback(outcome)
        if fetching is not None:
            fetching.cancel()


def _encode_items(
    owner: records.Owner, items: Sequence[records.Item]
) -> bytes:
    return records.encode_batch(records.Batch(owner, tuple(items)))


def _refusal(answer: answers.Answer) -> ClaimOutcome:
    return Error(interfaces.ClaimRefusal(answer))


def _unknown_answer(reason: answers.Reason) -> answers.Answer:
    return answers.Answer(answers.Outcome.UNKNOWN, reason)


def _refusal_answer(reason: answers.Reason) -> answers.Answer:
    """Return the answer to a request that this host does not run.

    A run under an expired key may have ended before the oldest claim that
    this host knows, so its outcome is ``unknown``.
    """
    expired = reason is answers.Reason.KEY_EXPIRED
    unavailable = reason is answers.Reason.CLAIM_UNAVAILABLE
    return answers.Answer(
        answers.Outcome.UNKNOWN if expired else answers.Outcome.NOT_RUN,
        reason,
        retry_after_s=_RETRY_AFTER_S if unavailable else 0.0,
        status=HTTP_STATUS_BY_REASON.get(reason, 0),
    )
