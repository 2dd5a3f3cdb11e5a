"""Requests to a claimant and the actions that it answers with."""

import dataclasses

from walnutport.claims import fold
from walnutport.claims import records
from walnutport.lifecycle import answers

__all__ = [
    'Action',
    'Append',
    'QueryHolder',
    'ClaimReleased',
    'Grant',
    'Join',
    'Refuse',
    'Request',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that must run at most once.

    :param issued_s: issue time of its key in Unix seconds.
    :param deadline: monotonic time in seconds.
    """

    waiter_id: int
    identity: bytes
    body_digest: bytes
    issued_s: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append an item to the stream ``claims``."""

    item: records.Item


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The request owns the run."""

    waiter_id: int
    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """The request gets the answer of a run of this host."""

    waiter_id: int
    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class QueryHolder:
    """The request gets the answer of a run of another host."""

    waiter_id: int
    holder: fold.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not run by this host."""

    waiter_id: int
    reason: answers.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReleased:
    """A claim was released: requests that ask for its answer start anew."""

    claim_id: str


Action = Append | Grant | Join | QueryHolder | Refuse | ClaimReleased
