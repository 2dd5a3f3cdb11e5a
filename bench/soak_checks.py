"""Promises of the entry hosts, checked from what callers and targets saw."""

from collections.abc import Iterable
import dataclasses

__all__ = ['Disturbance', 'Outcome', 'violations']

# An answer may be this late after the caller's deadline: the time of the way
# and of a busy machine.
DEADLINE_SLACK_S = 1.0
# Bound of the routes on the targets of one request.
MAX_TARGETS = 2
_STREAM_ROUTES = ('write', 'review')


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """Time in which a host cannot keep its promises.

    :param kind: ``pause``, ``kill`` or ``stop``.
    """

    host: int
    kind: str
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller saw of one request.

    :param status: 0 when no answer began.
    :param whole: whether the answer came to its end.
    :param reused: whether the connection had carried a request before.
    """

    request_id: str
    route: str
    host: int
    begin: float
    end: float
    deadline_s: float
    status: int = 0
    body: bytes = b''
    whole: bool = False
    sealed: bool = False
    retry_after: str | None = None
    reused: bool = False


def violations(
    outcomes: Iterable[Outcome],
    runs: Iterable[dict],
    disturbances: list[Disturbance],
    stream: bytes,
) -> list[str]:
    """Return the promises that were broken.

    :param runs: what the targets began to work on.
    :param stream: the whole stream that an engine sends.
    """
    targets_by_id: dict[str, list[str]] = {}
    for run in runs:
        if run['stage'] < 0:
            targets_by_id.setdefault(run['request_id'], []).append(
                run['target_id']
            )
    found: list[str] = []
    for outcome in outcomes:
        ran = targets_by_id.get(outcome.request_id, [])
        found += [
            f'{problem}: {outcome} ran at {ran}'
            for problem in (
                _judge_runs(outcome, ran),
                _judge_answer(outcome, ran, stream),
                _judge_time(outcome, disturbances),
                _judge_cut(outcome, ran, disturbances),
            )
            if problem
        ]
    return found


def _judge_runs(outcome: Outcome, ran: list[str]) -> str:
    if outcome.route == 'pay' and len(ran) > 1:
        return 'a request that must not be repeated ran twice'
    if len(ran) > MAX_TARGETS:
        return 'more targets than the route allows'
    if _is_refusal(outcome) and ran:
        return 'a refusal says falsely that the request has not run'
    return ''


def _judge_answer(outcome: Outcome, ran: list[str], stream: bytes) -> str:
    if not outcome.whole:
        return ''
    if outcome.status == 200:
        if not outcome.sealed:
            return 'an answer without the seal of a target'
        if outcome.route in _STREAM_ROUTES:
            if outcome.body != stream:
                return 'a stream that is not whole, or not in order'
        elif outcome.body not in [
            f'{outcome.request_id} by {target_id}'.encode()
            for target_id in ran
        ]:
            return 'an answer that is not of this request'
    elif outcome.status not in (500, 502, 503, 504):
        return 'an answer with an unknown status'
    elif outcome.status == 503 and not _is_refusal(outcome):
        return 'a refusal that does not say when to come back'
    return ''


def _judge_time(outcome: Outcome, disturbances: list[Disturbance]) -> str:
    late_s = outcome.end - outcome.begin - outcome.deadline_s
    if late_s <= DEADLINE_SLACK_S or _is_disturbed(outcome, disturbances):
        return ''
    return 'held beyond its deadline'


def _judge_cut(
    outcome: Outcome, ran: list[str], disturbances: list[Disturbance]
) -> str:
    if outcome.whole or _is_disturbed(outcome, disturbances):
        return ''
    if outcome.status == 200 and outcome.route in _STREAM_ROUTES:
        return ''
    stopping = _is_disturbed(outcome, disturbances, ('stop',))
    if stopping and not outcome.status and not ran:
        # The host closed an idle connection at the moment of the request, or
        # had stopped to listen.
        return ''
    return 'no whole answer'


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
        item.host == outcome.host
        and item.kind in kinds
        and item.begin <= outcome.end
        and outcome.begin <= item.end
        for item in disturbances
    )
