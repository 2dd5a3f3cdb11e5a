"""Requests to a claimant and the actions that it returns."""

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
    'ClaimRequest',
]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request that must run at most once.

    :param waiter_id: id under which the actions refer to the request.
    :param identity: digest of member, entry and key.
    :param body_digest: digest of the request body.
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
    """Append an item to the ``claims`` stream."""

    item: records.Item


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Run the request: its claim has won."""

    waiter_id: int
    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Answer the request with the result of a run of this host."""

    waiter_id: int
    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class QueryHolder:
    """Answer the request with the result of a run of another host."""

    waiter_id: int
    holder: fold.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request: this host does not run it."""

    waiter_id: int
    reason: answers.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReleased:
    """Claim again for the requests that wait for a run of this claim.

    The claim was released, so that run will never start.
    """

    claim_id: str


Action = Append | Grant | Join | QueryHolder | Refuse | ClaimReleased
