"""Checks a ledger for violations of the delivery guarantees.

=================  ======================================================
Count              Violation
=================  ======================================================
``lost``           a request without a final answer, or a complete answer
                   that lacks a stage, an event or the order of events
``doubled``        a stage that may not be repeated started twice for one
                   nonce, or an event that arrived twice
``misdelivered``   an answer or event of another request
``false_not_run``  a ``not_run`` answer to a request that a target started
=================  ======================================================
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from standins import ledger

__all__ = ['Report', 'check', 'peak_concurrency']


_ABORT_KINDS = (
    ledger.EventKind.CANCELLED,
    ledger.EventKind.CRASHED,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Counts of requests by outcome and of violations.

    :param in_time: requests completed within their deadline.
    :param findings: one line for each violation.
    """

    sent: int
    complete: int
    not_run: int
    unknown: int
    failed: int
    lost: int
    doubled: int
    misdelivered: int
    false_not_run: int
    in_time: int
    findings: tuple[str, ...] = ()

    @property
    def is_clean(self) -> bool:
        """Return whether there is no violation."""
        return not self.findings

    @property
    def attainment(self) -> float:
        """Return the share of sent requests completed in time."""
        return self.in_time / self.sent if self.sent else 1.0


def check(
    events: Iterable[ledger.LedgerEvent],
    stages_by_entry: Mapping[str, tuple[str, ...]],
) -> Report:
    """Count outcomes and violations in the events of a run.

    :param stages_by_entry: names of the stages of each entry, in order.
    """
    events_by_kind: dict[str, list[ledger.LedgerEvent]] = (
        collections.defaultdict(list)
    )
    for event in events:
        events_by_kind[event.kind].append(event)
    sent = {event.nonce for event in events_by_kind[ledger.EventKind.SENT]}
    answered = events_by_kind[ledger.EventKind.ANSWERED]
    final_by_nonce = {
        event.nonce: event
        for event in answered
        if event.outcome != 'disconnected'
    }
    started = events_by_kind[ledger.EventKind.STARTED]
    lost = _find_lost(sent, final_by_nonce, stages_by_entry)
    doubled = _find_doubled(started, answered)
    misdelivered = _find_misdelivered(answered)
    false_not_run = _find_false_not_run(started, answered)
    outcomes = collections.Counter(
        event.outcome for event in final_by_nonce.values()
    )
    return Report(
        sent=len(sent),
        complete=outcomes['complete'],
        not_run=outcomes['not_run'],
        unknown=outcomes['unknown'],
        failed=outcomes['failed'],
        lost=len(lost),
        doubled=len(doubled),
        misdelivered=len(misdelivered),
        false_not_run=len(false_not_run),
        in_time=sum(
            event.outcome == 'complete' and not event.late
            for event in final_by_nonce.values()
        ),
        findings=(*lost, *doubled, *misdelivered, *false_not_run),
    )


def peak_concurrency(
    events: Iterable[ledger.LedgerEvent], entry_id: str
) -> int:
    """Return the highest number of concurrently running requests of an entry.

    A request counts once while both an attempt and its hedge run. A hedge
    that reaches its target after the first attempt has finished the stage
    does not count: its cancellation is in transit, and the request may
    already have been answered.
    """
    stage_by_attempt: dict[str, tuple[str, str]] = {}
    finished: set[tuple[str, str]] = set()
    peak = 0
    for event in events:
        stage = (event.request_id, event.stage)
        if event.kind is ledger.EventKind.FINISHED:
            finished.add(stage)
            stage_by_attempt = {
                attempt: running_stage
                for attempt, running_stage in stage_by_attempt.items()
                if running_stage != stage
            }
        elif event.kind in _ABORT_KINDS:
            stage_by_attempt.pop(event.attempt_id, None)
        elif event.kind is ledger.EventKind.STARTED:
            if event.entry_id == entry_id and stage not in finished:
                stage_by_attempt[event.attempt_id] = stage
                running = {request for request, _ in stage_by_attempt.values()}
                peak = max(peak, len(running))
    return peak


def _find_lost(
    sent: set[str],
    final_by_nonce: Mapping[str, ledger.LedgerEvent],
    stages_by_entry: Mapping[str, tuple[str, ...]],
) -> list[str]:
    findings = [
        f'lost: {nonce} has no answer'
        for nonce in sorted(sent - set(final_by_nonce))
    ]
    for nonce, event in final_by_nonce.items():
        if event.outcome != 'complete':
            continue
        expected_stages = stages_by_entry.get(event.entry_id)
        if expected_stages is not None and event.trace != expected_stages:
            findings.append(f'lost: {nonce} lacks a stage: {event.trace}')
        distinct_tokens = tuple(dict.fromkeys(event.tokens))
        if distinct_tokens != tuple(
            range(max(len(distinct_tokens), event.tokens_wanted))
        ):
            findings.append(
                f'lost: {nonce} has missing or misordered events: '
                f'{event.tokens}'
            )
    return findings


def _find_doubled(
    started: list[ledger.LedgerEvent], answered: list[ledger.LedgerEvent]
) -> list[str]:
    runs = collections.Counter(
        (event.nonce, event.stage) for event in started if not event.repeatable
    )
    findings = [
        f'doubled: {nonce} ran {stage} {count} times'
        for (nonce, stage), count in runs.items()
        if count > 1
    ]
    findings += [
        f'doubled: {event.nonce} got an event twice'
        for event in answered
        if len(set(event.tokens)) != len(event.tokens)
    ]
    return findings


def _find_misdelivered(answered: list[ledger.LedgerEvent]) -> list[str]:
    return [
        f'misdelivered: {event.nonce} got {event.answered_nonce}'
        for event in answered
        if event.outcome == 'complete' and event.answered_nonce != event.nonce
    ]


def _find_false_not_run(
    started: list[ledger.LedgerEvent], answered: list[ledger.LedgerEvent]
) -> list[str]:
    started_request_ids = {event.request_id for event in started}
    return [
        f'false not_run: {event.nonce} ({event.reason})'
        for event in answered
        if event.outcome == 'not_run'
        and event.request_id in started_request_ids
    ]
