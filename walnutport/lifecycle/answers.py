"""Answers to callers: outcome, reason and body."""

import dataclasses
import enum

__all__ = ['Answer', 'Outcome', 'Reason']


class Outcome(enum.StrEnum):
    """What an answer says about the run of a request.

    ``NOT_RUN`` means that no byte was sent to a target, ``UNKNOWN`` that the
    request may have run.
    """

    COMPLETE = 'complete'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class Reason(enum.StrEnum):
    """Machine-readable reason of an answer."""

    OK = 'ok'
    BAD_REQUEST = 'bad_request'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    UNKNOWN_ENTRY = 'unknown_entry'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    KEY_MISSING = 'idempotency_key_missing'
    KEY_INVALID = 'idempotency_key_invalid'
    KEY_EXPIRED = 'key_expired'
    KEY_REUSED = 'key_reused'
    DEADLINE_PAST = 'deadline_past'
    DEADLINE_INFEASIBLE = 'deadline_infeasible'
    LIMIT = 'limit'
    OVERLOAD = 'overload'
    NO_TARGET = 'no_target'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    CLAIMED_ELSEWHERE = 'claimed_elsewhere'
    QUARANTINED = 'quarantined'
    SUSPECT_BUSY = 'suspect_busy'
    HOST_NOT_READY = 'host_not_ready'
    STOPPING = 'stopping'
    TARGET_FAILED = 'target_failed'
    TARGET_LOST = 'target_lost'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    CALLER_GONE = 'caller_gone'
    STREAM_INCOMPLETE = 'stream_incomplete'
    INTERNAL = 'internal'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to one request.

    :param output: JSON text of the result, empty unless complete.
    :param retry_after_s: delay after which the caller may retry, 0 if a retry
        is not useful.
    :param status: HTTP status; 0 means the default status of the outcome.
    """

    outcome: Outcome
    reason: Reason
    output: bytes = b''
    detail: str = ''
    retry_after_s: float = 0.0
    status: int = 0

    @property
    def http_status(self) -> int:
        """Return the HTTP status of the answer."""
        return self.status or _STATUS_BY_OUTCOME[self.outcome]


_STATUS_BY_OUTCOME = {
    Outcome.COMPLETE: 200,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
    Outcome.FAILED: 502,
}
