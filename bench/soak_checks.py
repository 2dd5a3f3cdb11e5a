"""Checks of the entry hosts' guarantees against caller and target records."""

import bisect
from collections.abc import Iterable
import dataclasses

__all__ = [
    'STREAM_ROUTES',
    'ColdTime',
    'Disturbance',
    'Outcome',
    'cold_violations',
    'violations',
    'whole_events',
]

# Answers may arrive this long after the caller's deadline, to allow for
# transmission and a busy machine.
DEADLINE_SLACK_S = 1.0
# Maximum number of targets that a route allows for one request.
MAX_TARGETS = 2
#: Routes whose answers are streams.
STREAM_ROUTES = ('write', 'review')


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """Period in which a host cannot keep its guarantees.

    :param kind: ``pause``, ``kill`` or ``stop``.
    """

    host: int
    kind: str
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one request as the caller saw it.

    :param status: HTTP status, or 0 without an answer.
    :param body: body of the answer, or the part of it that was received.
    :param complete: whether the whole answer was received.
    :param begun: events that an earlier attempt brought, after which this one
        goes on.
    :param begun_by: id of the attempt that began these events.
    :param error: the error that broke it off, empty if there was none.
    :param reused: whether the connection had carried an earlier request.
    :param first_event_at: when the first event of a stream had arrived, None
        if there was none.
    :param sent_at: when the last byte of the request had been written, None
        if that failed.
    """

    request_id: str
    route: str
    host: int
    begin: float
    end: float
    deadline_s: float
    status: int = 0
    body: bytes = b''
    complete: bool = False
    sealed: bool = False
    retry_after: str | None = None
    reused: bool = False
    begun: bytes = b''
    first_event_at: float | None = None
    begun_by: str = ''
    error: str = ''
    sent_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ColdTime:
    """Time in which a target was cold and all hosts could know it."""

    target_id: str
    begin: float
    end: float


def cold_violations(
    cold: ColdTime, arrivals: list[float], bound_per_s: float
) -> list[str]:
    """Return each second in which a cold target got too many requests.

    :param arrivals: times at which requests arrived, in order.
    """
    problems = []
    for position, start in enumerate(arrivals):
        count = bisect.bisect_left(arrivals, start + 1.0) - position
        if cold.begin <= start <= cold.end - 1.0 and count > bound_per_s:
            problems.append(
                f'{cold} got {count} requests in the second from {start}'
            )
    return problems


def whole_events(body: bytes) -> bytes:
    """Return the complete events at the start of a stream."""
    return body[: body.rfind(b'\n\n') + 2] if b'\n\n' in body else b''


def violations(
    outcomes: Iterable[Outcome],
    runs: Iterable[dict],
    disturbances: list[Disturbance],
    streams: tuple[bytes, ...],
) -> list[str]:
    """Return a description of each violated guarantee.

    :param runs: records of the runs that targets started.
    :param streams: the complete stream of each software version of an engine.
    """
    targets_by_id: dict[str, list[str]] = {}
    for run in runs:
        if run['stage'] < 0:
            targets_by_id.setdefault(run['request_id'], []).append(
                run['target_id']
            )
    problems: list[str] = []
    for outcome in outcomes:
        run_targets = targets_by_id.get(outcome.request_id, [])
        problems += [
            f'{problem}: {outcome} ran at {run_targets}'
            for problem in (
                _check_runs(outcome, run_targets),
                _check_answer(outcome, run_targets, streams),
                _check_stream(outcome, streams),
                _check_deadline(outcome, disturbances),
                _check_complete(outcome, run_targets, disturbances),
            )
            if problem
        ]
    return problems


def _check_runs(outcome: Outcome, run_targets: list[str]) -> str:
    if outcome.route == 'pay' and len(run_targets) > 1:
        return 'a request that must not be repeated ran more than once'
    if len(run_targets) > MAX_TARGETS:
        return 'the request ran on more targets than the route allows'
    if _is_refusal(outcome) and run_targets:
        return 'the request was refused although a target ran it'
    return ''


def _check_stream(outcome: Outcome, streams: tuple[bytes, ...]) -> str:
    """Check the events of a stream that broke off, over several attempts."""
    if outcome.complete or outcome.route not in STREAM_ROUTES:
        return ''
    events = outcome.begun + whole_events(outcome.body)
    if any(stream.startswith(events) for stream in streams):
        return ''
    return 'the stream has a gap or events of two versions'


def _check_answer(
    outcome: Outcome, run_targets: list[str], streams: tuple[bytes, ...]
) -> str:
    if not outcome.complete:
        return ''
    if outcome.status == 200:
        if not outcome.sealed:
            return 'the answer lacks the seal of a target'
        if outcome.route in STREAM_ROUTES:
            if outcome.begun + outcome.body not in streams:
                return 'the stream is incomplete or out of order'
        elif outcome.body not in [
            f'{outcome.request_id} by {target_id}'.encode()
            for target_id in run_targets
        ]:
            return 'the answer belongs to another request'
    elif outcome.status not in (500, 502, 503, 504):
        return 'the answer has an unexpected status'
    elif outcome.status == 503 and not _is_refusal(outcome):
        return 'the refusal lacks a retry-after header or has a seal'
    return ''


def _check_deadline(outcome: Outcome, disturbances: list[Disturbance]) -> str:
    late_s = outcome.end - outcome.begin - outcome.deadline_s
    if late_s <= DEADLINE_SLACK_S or _is_disturbed(outcome, disturbances):
        return ''
    return 'the request ended after its deadline'


def _check_complete(
    outcome: Outcome, run_targets: list[str], disturbances: list[Disturbance]
) -> str:
    if outcome.complete or _is_disturbed(outcome, disturbances):
        return ''
    if outcome.status == 200 and outcome.route in STREAM_ROUTES:
        return ''
    is_stopping = _is_disturbed(outcome, disturbances, ('stop',))
    if is_stopping and not outcome.status and not run_targets:
        # The host closed the idle connection while the request was sent, or
        # no longer listened.
        return ''
    return 'the caller received no complete answer'


def _is_refusal(outcome: Outcome) -> bool:
    return (
        outcome.status == 503
        and not outcome.sealed
        and outcome.retry_after is not None
    )


def _is_disturbed(
    outcome: Outcome,
    disturbances: list[Disturbance],
    kinds: tuple[str, ...] = ('pause', 'kill'),
) -> bool:
    return any(
        disturbance.host == outcome.host
        and disturbance.kind in kinds
        and disturbance.begin <= outcome.end
        and outcome.begin <= disturbance.end
        for disturbance in disturbances
    )
